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
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s: %s", c.Path, valueText(c.New))
	case Removed:
		return fmt.Sprintf("- %s: %s", c.Path, valueText(c.Old))
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, valueText(c.Old), valueText(c.New))
}

func valueText(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(text)
}

// FormatChanges returns one line for each change.
func FormatChanges(changes []Change) string {
	var b strings.Builder
	for _, c := range changes {
		b.WriteString(c.String())
		b.WriteByte('\n')
	}
	return b.String()
}

// Diff returns the changes from a to b in the order of the document's fields.
// The order of objects in their lists and the version do not count.
func Diff(a, b *Document) []Change {
	var out []Change
	if a.LogLevel != b.LogLevel {
		out = append(out, Change{Changed, "/logLevel", a.LogLevel, b.LogLevel})
	}
	out = append(out, fieldChanges("/timing", a.Timing, b.Timing)...)
	out = append(out, diffList(regionKind, a.Regions, b.Regions)...)
	out = append(out, diffList(linkKind, a.Links, b.Links)...)
	out = append(out, diffList(siteKind, a.Sites, b.Sites)...)
	out = append(out, diffList(serviceKind, a.Services, b.Services)...)
	out = append(out, diffList(targetKind, a.Targets, b.Targets)...)
	out = append(out, diffList(moveKind, a.Moves, b.Moves)...)
	out = append(out, diffList(blockKind, a.Blocks, b.Blocks)...)
	return append(out, diffList(leavingKind, a.LeavingInstances, b.LeavingInstances)...)
}

func diffList[T any](k objectKind[T], a, b []T) []Change {
	var out []Change
	before, after := k.index(a), k.index(b)
	for _, object := range a {
		if _, ok := after[k.key(object)]; !ok {
			out = append(out, Change{Kind: Removed, Path: k.path(object), Old: object})
		}
	}
	for _, object := range b {
		i, ok := before[k.key(object)]
		switch {
		case !ok:
			out = append(out, Change{Kind: Added, Path: k.path(object), New: object})
		case !k.equal(a[i], object):
			out = append(out, fieldChanges(k.path(object), a[i], object)...)
		}
	}
	return out
}

// fieldChanges compares two structs of the same type.
func fieldChanges(path string, a, b any) []Change {
	var out []Change
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for _, f := range finding.Fields(va.Type()) {
		before, after := va.Field(f.Index).Interface(), vb.Field(f.Index).Interface()
		if !reflect.DeepEqual(before, after) {
			out = append(out, Change{Changed, path + finding.Pointer(f.Name), before, after})
		}
	}
	return out
}
