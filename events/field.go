package events

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
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
	kindAddr
)

// Field is a named value of a log line. Creating and encoding a Field does not
// allocate. The name must not contain characters that JSON escapes.
type Field struct {
	name   string
	kind   fieldKind
	text   string
	number uint64
	list   []string
	addr   netip.Addr
}

// String returns a field with a string value.
func String(name, value string) Field { return Field{name: name, kind: kindString, text: value} }

// Addr returns a field with an IP address. The zone of the address is omitted.
func Addr(name string, value netip.Addr) Field {
	return Field{name: name, kind: kindAddr, addr: value.WithZone("")}
}

// Int returns a field with a signed integer.
func Int(name string, value int64) Field {
	return Field{name: name, kind: kindInt, number: uint64(value)}
}

// Uint returns a field with an unsigned integer.
func Uint(name string, value uint64) Field { return Field{name: name, kind: kindUint, number: value} }

// Bool returns a field with a boolean value.
func Bool(name string, value bool) Field {
	f := Field{name: name, kind: kindBool}
	if value {
		f.number = 1
	}
	return f
}

// Strings returns a field with a list of strings. The list must not be modified
// before the line is emitted.
func Strings(name string, value []string) Field {
	return Field{name: name, kind: kindStrings, list: value}
}

// value returns the value of the field for apex/log. Strings and lists are copied,
// so that the buffers of the caller need not escape to the heap.
func (f *Field) value() any {
	switch f.kind {
	case kindInt:
		return int64(f.number)
	case kindUint:
		return f.number
	case kindBool:
		return f.number == 1
	case kindStrings:
		return append([]string(nil), f.list...) // With slices.Clone, f.list would escape to the heap.
	case kindAddr:
		return f.addr.String()
	}
	return strings.Clone(f.text)
}

// append appends the field to b as a JSON member with a leading comma.
func (f *Field) append(b []byte) []byte {
	b = append(b, ',')
	b = appendName(b, f.name)
	switch f.kind {
	case kindInt:
		return strconv.AppendInt(b, int64(f.number), 10)
	case kindUint:
		return strconv.AppendUint(b, f.number, 10)
	case kindBool:
		return strconv.AppendBool(b, f.number == 1)
	case kindStrings:
		return appendStrings(b, f.list)
	case kindAddr:
		b = append(b, '"')
		b = f.addr.AppendTo(b)
		return append(b, '"')
	}
	return appendString(b, f.text)
}

func appendStrings(b []byte, list []string) []byte {
	b = append(b, '[')
	for i, s := range list {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendString(b, s)
	}
	return append(b, ']')
}

// maxTextBytes is the length to which texts are cut. They may contain what a caller
// or target has sent.
const maxTextBytes = 16 << 10

// appendString appends s as a JSON string. Invalid UTF-8 bytes are replaced by
// U+FFFD.
func appendString(b []byte, s string) []byte {
	b = append(b, '"')
	if len(s) > maxTextBytes {
		s = s[:maxTextBytes] + "..."
	}
	start := 0
	for i := 0; i < len(s); {
		if isUnescaped[s[i]] {
			i++
			continue
		}
		b = append(b, s[start:i]...)
		var size int
		b, size = appendEscaped(b, s[i:])
		i += size
		start = i
	}
	b = append(b, s[start:]...)
	return append(b, '"')
}

// isUnescaped contains true for the bytes that need no escape in a JSON string.
var isUnescaped = func() (table [256]bool) {
	for c := byte(' '); c < utf8.RuneSelf; c++ {
		table[c] = c != '"' && c != '\\'
	}
	return table
}()

// appendEscaped appends the first character of s, escaped if necessary, and returns
// its size in s.
func appendEscaped(b []byte, s string) ([]byte, int) {
	const digits = "0123456789abcdef"
	switch c := s[0]; {
	case c == '"' || c == '\\':
		return append(b, '\\', c), 1
	case c < utf8.RuneSelf:
		return append(b, '\\', 'u', '0', '0', digits[c>>4], digits[c&15]), 1
	}
	r, size := utf8.DecodeRuneInString(s)
	return utf8.AppendRune(b, r), size
}

// appendName appends the name of a field, which contains no characters to escape,
// and a colon.
func appendName(b []byte, name string) []byte {
	b = append(b, '"')
	b = append(b, name...)
	return append(b, '"', ':')
}

// appendValue appends any value as JSON. A value that cannot be encoded is written
// as a string formatted by fmt.Sprint, so that the log line is not lost.
func appendValue(b []byte, value any) []byte {
	switch v := value.(type) {
	case string:
		return appendString(b, v)
	case []string:
		return appendStrings(b, v)
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
		return appendString(b, v.Error())
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return appendString(b, fmt.Sprint(value))
	}
	return append(b, encoded...)
}
