package policy

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/jacinthstall/jacinthstall/finding"
)

// ChangeKind is the kind of difference of an object or field.
type ChangeKind string

// Kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two documents. Path is a JSON pointer with the
// key of an object in place of its index: the slots of a target are at
// "/targets/NAME/slots", a link is at "/links/FROM>TO" and a move at
// "/moves/SERVICE:FROM>TO". Added and removed objects are one change each. An
// object that is in both documents has one change per field that differs.
type Change struct {
	Kind ChangeKind `json:"kind"`
	Path string     `json:"path"`
	Old  any        `json:"old,omitempty"` // nil if added.
	New  any        `json:"new,omitempty"` // nil if removed.
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

// valueText returns a value as JSON.
func valueText(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}

// FormatChanges returns the changes as text, one per line.
func FormatChanges(changes []Change) string {
	var text strings.Builder
	for _, change := range changes {
		text.WriteString(change.String())
		text.WriteByte('\n')
	}
	return text.String()
}

// Diff returns the changes between two documents in the order of the document's
// fields. It ignores the version and the order of objects in their lists.
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

// fieldChanges returns the changes between the fields of two structs of the same
// type.
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
