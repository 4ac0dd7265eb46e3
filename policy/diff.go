package policy

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/jacinthstall/jacinthstall/finding"
)

// ChangeKind tells what happened to an object or field.
type ChangeKind string

// Kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two documents. The path is like a JSON
// pointer, with the name of an object in place of its index: a target's slots
// are at "/targets/NAME/slots", a link at "/links/FROM>TO", a move at
// "/moves/SERVICE:FROM>TO". An object is added or removed as a whole; in an
// object that both documents have, each field changes by itself.
type Change struct {
	Kind ChangeKind `json:"kind"`
	Path string     `json:"path"`
	Old  any        `json:"old,omitempty"` // nil when added.
	New  any        `json:"new,omitempty"` // nil when removed.
}

// String returns the change as one line, such as
// "~ /targets/t1/slots: 5 -> 6".
func (change Change) String() string {
	switch change.Kind {
	case Added:
		return fmt.Sprintf("+ %s: %s", change.Path, valueText(change.New))
	case Removed:
		return fmt.Sprintf("- %s: %s", change.Path, valueText(change.Old))
	}
	return fmt.Sprintf("~ %s: %s -> %s", change.Path, valueText(change.Old), valueText(change.New))
}

func valueText(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}

// FormatChanges returns one line for each change.
func FormatChanges(changes []Change) string {
	var text strings.Builder
	for _, change := range changes {
		text.WriteString(change.String())
		text.WriteByte('\n')
	}
	return text.String()
}

// Diff returns the changes from a to b in the order of the document's fields.
// The order of objects in their lists and the version do not count.
func Diff(before, after *Document) []Change {
	var changes []Change
	if before.LogLevel != after.LogLevel {
		changes = append(changes, Change{Changed, "/logLevel", before.LogLevel, after.LogLevel})
	}
	changes = append(changes, fieldChanges("/timing", before.Timing, after.Timing)...)
	changes = append(changes, diffList(regionKind, before.Regions, after.Regions)...)
	changes = append(changes, diffList(linkKind, before.Links, after.Links)...)
	changes = append(changes, diffList(siteKind, before.Sites, after.Sites)...)
	changes = append(changes, diffList(serviceKind, before.Services, after.Services)...)
	changes = append(changes, diffList(targetKind, before.Targets, after.Targets)...)
	changes = append(changes, diffList(moveKind, before.Moves, after.Moves)...)
	changes = append(changes, diffList(blockKind, before.Blocks, after.Blocks)...)
	return append(changes, diffList(leavingKind, before.LeavingInstances, after.LeavingInstances)...)
}

func diffList[T any](kind objectKind[T], before, after []T) []Change {
	var changes []Change
	beforeIndex, afterIndex := kind.index(before), kind.index(after)
	for _, object := range before {
		if _, ok := afterIndex[kind.key(object)]; !ok {
			changes = append(changes, Change{Kind: Removed, Path: kind.path(object), Old: object})
		}
	}
	for _, object := range after {
		i, ok := beforeIndex[kind.key(object)]
		switch {
		case !ok:
			changes = append(changes, Change{Kind: Added, Path: kind.path(object), New: object})
		case !kind.equal(before[i], object):
			changes = append(changes, fieldChanges(kind.path(object), before[i], object)...)
		}
	}
	return changes
}

// fieldChanges compares two structs of the same type.
func fieldChanges(path string, before, after any) []Change {
	var changes []Change
	beforeValue, afterValue := reflect.ValueOf(before), reflect.ValueOf(after)
	for _, field := range finding.Fields(beforeValue.Type()) {
		beforeField, afterField := beforeValue.Field(field.Index).Interface(), afterValue.Field(field.Index).Interface()
		if !reflect.DeepEqual(beforeField, afterField) {
			changes = append(changes, Change{Changed, path + finding.Pointer(field.Name), beforeField, afterField})
		}
	}
	return changes
}
