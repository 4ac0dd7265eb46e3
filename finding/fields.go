package finding

import (
	"reflect"
	"strconv"
	"strings"
	"sync"
)

// DefaultMaxItems bounds the length of arrays whose field has no max tag.
const DefaultMaxItems = 4096

// Field describes a field of a Go struct as Decode reads it.
type Field struct {
	Name     string // JSON name.
	Index    int    // Index in the Go struct.
	Required bool   // The JSON tag has no omitempty.
	MaxItems int    // Longest array, from the tag max; DefaultMaxItems without one.
}

// Fields returns the fields of a struct type that Decode reads.
func Fields(t reflect.Type) []Field {
	return fieldsOf(t).fields
}

type structFields struct {
	fields []Field
	names  []string
	index  map[string]int // Position in list by JSON name.
}

var fieldCache sync.Map // reflect.Type to *structFields.

func fieldsOf(t reflect.Type) *structFields {
	if cached, ok := fieldCache.Load(t); ok {
		return cached.(*structFields)
	}
	s := &structFields{index: map[string]int{}}
	for i := range t.NumField() {
		f := t.Field(i)
		name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		s.index[name] = len(s.fields)
		s.names = append(s.names, name)
		s.fields = append(s.fields, Field{Name: name, Index: i,
			Required: !strings.Contains(options, "omitempty"), MaxItems: maxItems(f)})
	}
	fieldCache.Store(t, s)
	return s
}

func maxItems(f reflect.StructField) int {
	n, err := strconv.Atoi(f.Tag.Get("max"))
	if err != nil {
		return DefaultMaxItems
	}
	return n
}
