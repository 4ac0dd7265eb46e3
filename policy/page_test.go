package policy_test

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/policy"
)

var fieldRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| ([^|]+) \\| [^|]+ \\|$")

// The documentation page of the policy document must list all fields with their
// types and limits, and no other fields.
func TestPageMatchesTypes(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/policy.md")
	require.NoError(t, err)
	listed := map[string]string{}
	for _, row := range fieldRow.FindAllStringSubmatch(string(page), -1) {
		assert.NotContains(t, listed, row[1], "listed twice")
		listed[row[1]] = row[2]
	}
	want := map[string]string{}
	addFields(want, "", reflect.TypeFor[policy.Document]())
	assert.Equal(t, want, listed)
	for _, level := range policy.LogLevels {
		assert.Contains(t, string(page), "`"+level+"`")
	}
	for _, bound := range []int{policy.MaxNameBytes, policy.MaxDurationMs, policy.MaxCapMbit, policy.MaxSlots, policy.MaxConnections,
		policy.MaxPercent, policy.MaxDocumentBytes >> 20} {
		assert.Regexp(t, fmt.Sprintf(`\b%d\b`, bound), string(page))
	}
}

// addFields adds the paths of the fields of a struct with descriptions of their
// types, as in the page.
func addFields(fields map[string]string, path string, structType reflect.Type) {
	for i := range structType.NumField() {
		f := structType.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		name = path + name
		switch f.Type.Kind() {
		case reflect.Struct:
			addFields(fields, name+".", f.Type)
		case reflect.Slice:
			element := f.Type.Elem()
			if element.Kind() == reflect.Struct {
				fields[name] = "list, at most " + f.Tag.Get("max")
				addFields(fields, name+"[].", element)
			} else {
				fields[name] = "list of text, at most " + f.Tag.Get("max")
			}
		case reflect.Bool:
			fields[name] = "true or false"
		case reflect.String:
			fields[name] = "text"
		default:
			fields[name] = "number"
		}
	}
}
