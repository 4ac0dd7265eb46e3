package finding

import (
	"reflect"
	"strconv"
	"strings"
	"sync"
)

// DefaultMaxItems is the length limit of arrays whose field has no max tag.
const DefaultMaxItems = 4096

// Field describes how Decode treats a field of a Go struct.
type Field struct {
	Name     string // JSON name.
	Index    int    // Index in the Go struct.
	Required bool   // The json tag has no omitempty option.
	MaxItems int    // Length limit of an array: the max tag or DefaultMaxItems.
}

// Fields returns the fields of a struct type that Decode handles.
func Fields(t reflect.Type) []Field {
	return fieldsOf(t).fields
}

type structFields struct {
	fields []Field
	names  []string
	index  map[string]int // Index in fields by JSON name.
}

var fieldCache sync.Map // reflect.Type to *structFields.

func fieldsOf(t reflect.Type) *structFields {
	if cached, ok := fieldCache.Load(t); ok {
		return cached.(*structFields)
	}
	result := &structFields{index: map[string]int{}}
	for i := range t.NumField() {
		f := t.Field(i)
		name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		result.index[name] = len(result.fields)
		result.names = append(result.names, name)
		result.fields = append(result.fields, Field{Name: name, Index: i,
			Required: !strings.Contains(options, "omitempty"), MaxItems: maxItems(f)})
	}
	fieldCache.Store(t, result)
	return result
}

func maxItems(f reflect.StructField) int {
	n, err := strconv.Atoi(f.Tag.Get("max"))
	if err != nil {
		return DefaultMaxItems
	}
	return n
}
