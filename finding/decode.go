package finding

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Decode reads a JSON source into the struct that v points to and adds what
// is wrong with its form to list: syntax errors, unknown, missing and
// duplicate fields, wrong types, numbers out of the range of their type and
// arrays that are too long. Fields without omitempty are required. null is
// accepted for an array, because Go encodes a nil slice as null.
//
// Struct fields may be strings, bools, ints, uint64s, structs, and slices of
// these. Values of the right form are stored even when others are wrong. The
// result is false when a syntax error ended the reading, so that the rest of
// the source is unknown.
func Decode(file string, src []byte, v any, list *List) bool {
	problem := findSyntaxError(src)
	valid := src
	if problem != nil {
		valid = src[:problem.offset]
	}
	d := &decoder{tokens: &tokenizer{src: valid}, src: src, file: file, findings: list}
	d.decodeValue(reflect.ValueOf(v).Elem(), DefaultMaxItems)
	if problem == nil {
		return true
	}
	d.path = nil
	d.addFinding(problem.offset, "", "syntax error: "+problem.message, syntaxFix(src, problem.offset))
	return false
}

// fieldState tells whether an object has a field.
type fieldState uint8

const (
	fieldAbsent     fieldState = iota
	fieldMisspelled            // There is an unknown field with nearly the same name.
	fieldPresent
)

type decoder struct {
	tokens   *tokenizer
	src      []byte
	file     string
	findings *List
	path     []pathElement // Way to the value being read.
	lines    *lineIndex
}

// pathElement is a field name or, when the name is empty, an index.
type pathElement struct {
	name  string
	index int
}

// pointer returns the JSON pointer of the value being read.
func (d *decoder) pointer() string {
	parts := make([]any, len(d.path))
	for i, s := range d.path {
		parts[i] = s.name
		if s.name == "" {
			parts[i] = s.index
		}
	}
	return Pointer(parts...)
}

// addFinding reports a problem at an offset; member is appended to the path when it
// is not empty.
func (d *decoder) addFinding(offset int, member, message, fix string) {
	if d.findings.Full() {
		d.findings.Omitted++
		return
	}
	if d.lines == nil {
		d.lines = newLineIndex(d.src)
	}
	f := Finding{Position: d.lines.position(offset), Pointer: d.pointer(), Message: message, Fix: fix}
	if member != "" {
		f.Pointer += Pointer(truncate(member))
	}
	f.File = d.file
	d.findings.Add(f)
}

// decodeValue reads the next value into v; false when the source ends in the value.
func (d *decoder) decodeValue(v reflect.Value, maxItems int) bool {
	tok, ok := d.tokens.next()
	if !ok {
		return false
	}
	kind := v.Kind()
	switch {
	case kind == reflect.Struct && tok.kind == '{':
		return d.decodeObject(v, tok.start)
	case kind == reflect.Slice && tok.kind == '[':
		return d.decodeArray(v, tok.start, maxItems)
	case kind == reflect.Slice && tok.kind == 'n':
		return true
	case d.decodeScalar(v, tok):
		return true
	}
	d.addFinding(tok.start, "", fmt.Sprintf("must be %s, not %s", kindName(kind), tokenName(tok)), d.typeFix(kind, tok))
	d.findings.markReported(d.pointer())
	return d.tokens.skipRemaining(tok)
}

func (d *decoder) decodeObject(v reflect.Value, start int) bool {
	fields := fieldsOf(v.Type())
	seen := make([]fieldState, len(fields.fields))
	for d.tokens.hasMore() {
		key, ok := d.tokens.next()
		if !ok || !d.decodeMember(v, fields, key, seen) {
			return false
		}
	}
	if _, ok := d.tokens.next(); !ok {
		return false
	}
	d.reportMissingFields(fields, seen, start)
	return true
}

func (d *decoder) decodeMember(v reflect.Value, fields *structFields, keyToken token, seen []fieldState) bool {
	i, known := fields.index[string(d.tokens.src[keyToken.start+1:keyToken.end-1])]
	if !known {
		i, known = fields.index[d.tokens.text(keyToken)]
	}
	if !known {
		d.reportUnknownField(fields, d.tokens.text(keyToken), keyToken.start, seen)
		return d.tokens.skipValue()
	}
	if seen[i] == fieldPresent {
		d.addFinding(keyToken.start, fields.fields[i].Name, "field appears more than once", "keep one of them")
	}
	seen[i] = fieldPresent
	field := fields.fields[i]
	d.path = append(d.path, pathElement{name: field.Name})
	ok := d.decodeValue(v.Field(field.Index), field.MaxItems)
	d.path = d.path[:len(d.path)-1]
	return ok
}

// reportUnknownField reports an unknown field. When a required field has nearly the same
// name, that field is not reported as missing too.
func (d *decoder) reportUnknownField(fields *structFields, key string, start int, seen []fieldState) {
	if d.findings.Full() {
		d.findings.Omitted++
		return
	}
	var free []string
	for i, name := range fields.names {
		if seen[i] == fieldAbsent {
			free = append(free, name)
		}
	}
	nearest := Nearest(key, free)
	if nearest == "" {
		d.addFinding(start, key, "unknown field", "remove it; the fields are "+strings.Join(fields.names, ", "))
		return
	}
	d.addFinding(start, key, "unknown field", "use "+strconv.Quote(nearest))
	seen[fields.index[nearest]] = fieldMisspelled
	d.findings.markReported(d.pointer() + Pointer(nearest))
}

func (d *decoder) reportMissingFields(fields *structFields, seen []fieldState, start int) {
	for i, f := range fields.fields {
		if f.Required && seen[i] == fieldAbsent {
			d.addFinding(start, f.Name, "field is missing", "add "+strconv.Quote(f.Name))
			d.findings.markReported(d.pointer() + Pointer(f.Name))
		}
	}
}

func (d *decoder) decodeArray(v reflect.Value, start, maxItems int) bool {
	v.Set(reflect.MakeSlice(v.Type(), 0, 0))
	for i := 0; d.tokens.hasMore(); i++ {
		if i == maxItems {
			d.addFinding(start, "", fmt.Sprintf("has more than %d items", maxItems), "")
		}
		if !d.decodeItem(v, i, maxItems) {
			return false
		}
	}
	_, ok := d.tokens.next()
	return ok
}

func (d *decoder) decodeItem(v reflect.Value, i, maxItems int) bool {
	if i >= maxItems {
		return d.tokens.skipValue()
	}
	v.Grow(1)
	v.SetLen(i + 1)
	d.path = append(d.path, pathElement{index: i})
	ok := d.decodeValue(v.Index(i), DefaultMaxItems)
	d.path = d.path[:len(d.path)-1]
	return ok
}

// decodeScalar stores a string, bool or number; false means that the type is wrong.
func (d *decoder) decodeScalar(v reflect.Value, tok token) bool {
	kind := v.Kind()
	switch {
	case kind == reflect.String && tok.kind == '"':
		v.SetString(d.tokens.text(tok))
	case kind == reflect.Bool && (tok.kind == 't' || tok.kind == 'f'):
		v.SetBool(tok.kind == 't')
	case isNumberKind(kind) && tok.kind == '0':
		d.decodeNumber(v, tok)
	default:
		return false
	}
	return true
}

func isNumberKind(k reflect.Kind) bool {
	return k == reflect.Int || k == reflect.Uint64
}

func (d *decoder) decodeNumber(v reflect.Value, tok token) {
	text := d.tokens.text(tok)
	var err error
	if v.Kind() == reflect.Uint64 {
		var u uint64
		u, err = strconv.ParseUint(text, 10, 64)
		v.SetUint(u)
	} else {
		var i int64
		i, err = strconv.ParseInt(text, 10, 64)
		v.SetInt(i)
	}
	if err != nil {
		d.addFinding(tok.start, "", fmt.Sprintf("%s is not %s in range", text, kindName(v.Kind())), "")
		d.findings.markReported(d.pointer())
	}
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Uint64:
		return "a whole number from 0"
	}
	return "a whole number"
}

func tokenName(tok token) string {
	switch tok.kind {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case 't', 'f':
		return "true or false"
	case '0':
		return "a number"
	}
	return "null"
}

// typeFix returns the fix where only the quotes are wrong.
func (d *decoder) typeFix(k reflect.Kind, tok token) string {
	text := d.tokens.text(tok)
	switch {
	case tok.kind == '"' && isNumberKind(k):
		if _, err := strconv.ParseInt(text, 10, 64); err == nil {
			return "remove the quotes"
		}
	case tok.kind == '"' && k == reflect.Bool && (text == "true" || text == "false"):
		return "remove the quotes"
	case tok.kind == '0' && k == reflect.String:
		return "use " + strconv.Quote(text)
	}
	return ""
}
