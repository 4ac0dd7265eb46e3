package settings_test

import (
	"os"
	"reflect"
	"regexp"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/settings"
)

var settingsTableRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| ([^|]+) \\| [^|]+ \\|$")

// The operators' page must list each setting with its type, and no other.
func TestPageMatchesSettings(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/install-and-settings.md")
	require.NoError(t, err)
	var want, listed [][2]string
	for _, row := range settingsTableRow.FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, [2]string{row[1], row[2]})
	}
	of := reflect.TypeFor[settings.Settings]()
	for i := range of.NumField() {
		f, kind := of.Field(i), "text"
		if f.Type.Kind() == reflect.Slice {
			kind = "list of text, at most " + f.Tag.Get("max")
		}
		want = append(want, [2]string{f.Tag.Get("json"), kind})
	}
	assert.Equal(t, want, listed)
}
