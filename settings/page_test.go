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

// The operators' page must list exactly the existing settings, with their types.
func TestPageMatchesSettings(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/install-and-settings.md")
	require.NoError(t, err)
	var want, listed [][2]string
	for _, row := range settingsTableRow.FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, [2]string{row[1], row[2]})
	}
	settingsType := reflect.TypeFor[settings.Settings]()
	for i := range settingsType.NumField() {
		f, kind := settingsType.Field(i), "text"
		if f.Type.Kind() == reflect.Slice {
			kind = "list of text, at most " + f.Tag.Get("max")
		}
		want = append(want, [2]string{f.Tag.Get("json"), kind})
	}
	assert.Equal(t, want, listed)
}
