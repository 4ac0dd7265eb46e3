package events

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"time"
	"unicode/utf8"
)

type fieldKind uint8

const (
	kindString fieldKind = iota
	kindInt
	kindUint
	kindBool
	kindStrings
)

// Field is one named value of a log line. Building and encoding one allocates
// nothing.
type Field struct {
	name   string
	kind   fieldKind
	text   string
	number uint64
	list   []string
}

// String returns a field with a text.
func String(name, value string) Field { return Field{name: name, kind: kindString, text: value} }

// Int returns a field with a signed number.
func Int(name string, value int64) Field {
	return Field{name: name, kind: kindInt, number: uint64(value)}
}

// Uint returns a field with an unsigned number.
func Uint(name string, value uint64) Field { return Field{name: name, kind: kindUint, number: value} }

// Bool returns a field with a truth value.
func Bool(name string, value bool) Field {
	f := Field{name: name, kind: kindBool}
	if value {
		f.number = 1
	}
	return f
}

// Strings returns a field with a list of texts. The list must not change
// before the line is emitted.
func Strings(name string, value []string) Field {
	return Field{name: name, kind: kindStrings, list: value}
}

// value returns the value of the field as an apex/log field value.
func (f Field) value() any {
	switch f.kind {
	case kindInt:
		return int64(f.number)
	case kindUint:
		return f.number
	case kindBool:
		return f.number == 1
	case kindStrings:
		return f.list
	}
	return f.text
}

// append appends the field as a JSON member with a leading comma.
func (f Field) append(b []byte) []byte {
	b = append(b, ',')
	b = appendText(b, f.name)
	b = append(b, ':')
	switch f.kind {
	case kindInt:
		return strconv.AppendInt(b, int64(f.number), 10)
	case kindUint:
		return strconv.AppendUint(b, f.number, 10)
	case kindBool:
		return strconv.AppendBool(b, f.number == 1)
	case kindStrings:
		return appendTexts(b, f.list)
	}
	return appendText(b, f.text)
}

func appendTexts(b []byte, list []string) []byte {
	b = append(b, '[')
	for i, s := range list {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendText(b, s)
	}
	return append(b, ']')
}

// appendText appends a JSON string.
func appendText(b []byte, s string) []byte {
	if !plain(s) {
		quoted, _ := json.Marshal(s) // A string always encodes.
		return append(b, quoted...)
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

// plain reports whether s is a JSON string without escapes.
func plain(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c < ' ' || c == '"' || c == '\\' || c >= utf8.RuneSelf {
			return false
		}
	}
	return true
}

// appendAny appends any value as JSON. A value that does not encode is written
// as its Go text, so that the line is kept.
func appendAny(b []byte, value any) []byte {
	switch v := value.(type) {
	case string:
		return appendText(b, v)
	case []string:
		return appendTexts(b, v)
	case bool:
		return strconv.AppendBool(b, v)
	case int:
		return strconv.AppendInt(b, int64(v), 10)
	case int64:
		return strconv.AppendInt(b, v, 10)
	case uint64:
		return strconv.AppendUint(b, v, 10)
	case float64:
		if !math.IsInf(v, 0) && !math.IsNaN(v) {
			return strconv.AppendFloat(b, v, 'g', -1, 64)
		}
	case time.Duration:
		return strconv.AppendInt(b, int64(v), 10)
	case error:
		return appendText(b, v.Error())
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return appendText(b, fmt.Sprint(value))
	}
	return append(b, encoded...)
}
