package finding_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/finding"
)

const locateSource = `{
  "a": [1, {"b/c": "x"},
    null],
  "é": {"d": true}, "~t": 0
}`

// A wrong place would send the operator to a line without the mistake.
func TestLocate(t *testing.T) {
	for _, c := range []struct {
		pointer      string
		line, column int
	}{
		{"", 1, 1},
		{"/a", 2, 8},
		{"/a/0", 2, 9},
		{"/a/1/b~1c", 2, 20},
		{"/a/2", 3, 5},
		{"/é/d", 4, 15}, // Columns count bytes.
		{"/~0t", 4, 28},
		{"/a/1/missing", 2, 12},
		{"/a/9", 2, 8},
		{"/none", 1, 1},
	} {
		t.Run(c.pointer, func(t *testing.T) {
			line, column := finding.Locate([]byte(locateSource), c.pointer)
			assert.Equal(t, [2]int{c.line, c.column}, [2]int{line, column})
		})
	}
}

// Values before a syntax error must still be found.
func TestLocateBeforeSyntaxError(t *testing.T) {
	line, column := finding.Locate([]byte("{\"a\": 1,\n \"b\": 2,\n oops}"), "/b")
	assert.Equal(t, [2]int{2, 7}, [2]int{line, column})
	line, column = finding.Locate(nil, "/b")
	assert.Equal(t, [2]int{0, 0}, [2]int{line, column})
}

// Decoding keeps the last of two fields, so a finding must point at that one.
func TestLocateDuplicate(t *testing.T) {
	line, column := finding.Locate([]byte("{\"a\": 1,\n \"a\": 2}"), "/a")
	assert.Equal(t, [2]int{2, 7}, [2]int{line, column})
}

type document struct {
	Name  string   `json:"name"`
	Count int      `json:"count"`
	Big   uint64   `json:"big,omitempty"`
	On    bool     `json:"on,omitempty"`
	Items []item   `json:"items,omitempty" max:"3"`
	Tags  []string `json:"tags,omitempty"`
}

type item struct {
	Key string `json:"key"`
}

// Each problem of form must be found with its place and fix.
func TestDecodeFindings(t *testing.T) {
	for _, c := range []struct {
		name, src string
		want      []string
	}{
		{"correct", `{"name": "x", "count": -1, "big": 18446744073709551615, "on": true, "tags": null}`, nil},
		{"escapes", `{"n\u0061me": "\u00e9\"", "count": 1}`, nil},
		{"unknown field with a near name", `{"nmae": "x", "count": 1}`,
			[]string{`f:1:2: /nmae: unknown field (use "name")`}},
		{"unknown field without one", `{"name": "x", "count": 1, "zzzzzzzz": [{"a": 1}]}`,
			[]string{`f:1:27: /zzzzzzzz: unknown field (remove it; the fields are name, count, big, on, items, tags)`}},
		{"both names", `{"nam": "x", "name": "y", "count": 1}`,
			[]string{`f:1:2: /nam: unknown field (use "name")`}},
		{"missing field", `{"count": 1}`, []string{`f:1:1: /name: field is missing (add "name")`}},
		{"duplicate field", `{"name": "x", "count": 1, "name": "y"}`,
			[]string{`f:1:27: /name: field appears more than once (keep one of them)`}},
		{"wrong types", `{"name": 5, "count": "7", "on": "true", "items": {}, "tags": [true]}`, []string{
			`f:1:10: /name: must be a string, not a number (use "5")`,
			`f:1:22: /count: must be a whole number, not a string (remove the quotes)`,
			`f:1:33: /on: must be true or false, not a string (remove the quotes)`,
			`f:1:50: /items: must be an array, not an object`,
			`f:1:63: /tags/0: must be a string, not true or false`,
		}},
		{"null", `{"name": null, "count": 1}`, []string{`f:1:10: /name: must be a string, not null`}},
		{"fraction", `{"name": "x", "count": 1.5}`, []string{`f:1:24: /count: 1.5 is not a whole number in range`}},
		{"negative", `{"name": "x", "count": 1, "big": -1}`, []string{`f:1:34: /big: -1 is not a whole number from 0 in range`}},
		{"too large", `{"name": "x", "count": 99999999999999999999}`,
			[]string{`f:1:24: /count: 99999999999999999999 is not a whole number in range`}},
		{"long array", `{"name": "x", "count": 1, "items": [{"key":"1"},{"key":"2"},{"key":"3"},{"key":"4"},{}]}`,
			[]string{`f:1:36: /items: has more than 3 items`}},
		{"in an array", `{"name": "x", "count": 1, "items": [{"key":"1"},{"kee":"2"},{}]}`, []string{
			`f:1:50: /items/1/kee: unknown field (use "key")`,
			`f:1:61: /items/2/key: field is missing (add "key")`,
		}},
		{"not an object", `[1]`, []string{`f:1:1: : must be an object, not an array`}},
		{"empty", ``, []string{`f:1:1: : syntax error: unexpected end of JSON input (add the missing end of the document)`}},
		{"cut off", "{\"name\": \"x\",\n\"cou", []string{
			`f:2:5: : syntax error: unexpected end of JSON input (add the missing end of the document)`}},
		{"comma before the end", "{\"name\": \"x\",\n \"count\": 1,\n}", []string{
			`f:3:1: : syntax error: invalid character '}' looking for beginning of object key string (remove the comma before it)`}},
		{"missing comma", "{\"name\": \"x\"\n \"count\": 1}", []string{
			`f:2:2: : syntax error: invalid character '"' after object key:value pair (add a comma before it)`}},
		{"content after the end", "{\"name\": \"x\", \"count\": 1} x", []string{
			`f:1:27: : syntax error: invalid character 'x' after top-level value`}},
		{"findings before a syntax error", "{\"nmae\": \"x\",\n \"count\": \"1\",\n oops}", []string{
			`f:1:2: /nmae: unknown field (use "name")`,
			`f:2:11: /count: must be a whole number, not a string (remove the quotes)`,
			`f:3:2: : syntax error: invalid character 'o' looking for beginning of object key string`,
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var v document
			var list finding.List
			finding.Decode("f", []byte(c.src), &v, &list)
			var got []string
			for _, f := range list.Findings {
				got = append(got, f.String())
			}
			assert.Equal(t, c.want, got)
		})
	}
}

// Values of the right form must be stored, so that they can be checked too.
func TestDecodeStoresValidValues(t *testing.T) {
	var v document
	var list finding.List
	src := `{"n\u0061me": "\u00e9\"", "count": "x", "on": true, "items": [{"key": "k"}], "tags": ["a", "b"]}`
	ok := finding.Decode("f", []byte(src), &v, &list)
	assert.True(t, ok)
	require.Len(t, list.Findings, 1)
	assert.Equal(t, document{Name: "é\"", On: true, Items: []item{{Key: "k"}}, Tags: []string{"a", "b"}}, v)
}

// An empty array must stay one: a nil slice would be encoded as null.
func TestDecodeEmptyArray(t *testing.T) {
	var v document
	var list finding.List
	finding.Decode("f", []byte(`{"name": "x", "count": 1, "items": [], "tags": null}`), &v, &list)
	require.NoError(t, list.Err())
	assert.NotNil(t, v.Items)
	assert.Nil(t, v.Tags)
}

// Deep nesting must be rejected, not exhaust the stack.
func TestDecodeDeepNesting(t *testing.T) {
	src := `{"x": ` + strings.Repeat("[", 1_000_000)
	var v document
	var list finding.List
	assert.False(t, finding.Decode("f", []byte(src), &v, &list))
	assert.Contains(t, list.Err().Error(), "exceeded max depth")
}

// Findings beyond the bound must be counted, not lost silently.
func TestListCountsOmittedFindings(t *testing.T) {
	var list finding.List
	for i := range finding.MaxFindings + 7 {
		list.Add(finding.Finding{Message: fmt.Sprint(i)})
	}
	var all *finding.Error
	require.True(t, errors.As(list.Err(), &all))
	assert.Len(t, all.Findings, finding.MaxFindings)
	assert.Equal(t, 7, all.Omitted)
	assert.True(t, strings.HasSuffix(all.Error(), "\nand 7 more"))
}

// The report must follow the order of the source.
func TestResolvePositionsSortsFindings(t *testing.T) {
	var list finding.List
	for _, pointer := range []string{"/~0t", "/a/2", "/a/1/b~1c"} {
		list.Add(finding.Finding{Pointer: pointer, Message: "m"})
	}
	list.ResolvePositions("f", []byte(locateSource))
	assert.Equal(t, "f:2:20: /a/1/b~1c: m\nf:3:5: /a/2: m\nf:4:28: /~0t: m", list.Err().Error())
}

// A huge value in the input must not make a huge report.
func TestLongTextIsTruncated(t *testing.T) {
	name := strings.Repeat("é", 1<<20)
	var v document
	var list finding.List
	finding.Decode("f", []byte(`{"name": "x", "count": 1, "`+name+`": 1, "items": [{"key": 1}]}`), &v, &list)
	require.Len(t, list.Findings, 2)
	assert.Less(t, len(list.Err().Error()), 2*finding.MaxTextBytes)
	assert.Empty(t, finding.Nearest(name, []string{name + "x"}))
}

// A suggestion must be near; a far one would mislead.
func TestNearest(t *testing.T) {
	known := []string{"palermo", "catania", "agrigento"}
	for name, want := range map[string]string{
		"palrmo": "palermo", "Catania": "catania", "agrigneto": "agrigento", "milano": "", "": "", "x": "",
	} {
		assert.Equal(t, want, finding.Nearest(name, known), name)
	}
}
