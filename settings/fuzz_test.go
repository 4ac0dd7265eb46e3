package settings_test

import (
	"encoding/json"
	"errors"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/finding"
	"github.com/jacinthstall/jacinthstall/settings"
)

// Every finding of Parse must have a position, and valid files must be decoded as
// by encoding/json.
func FuzzParse(f *testing.F) {
	demo, err := os.ReadFile("../demo/settings/palermo-a-1.json")
	require.NoError(f, err)
	f.Add(demo)
	for _, src := range []string{
		"", "{", "{}", "[1]", `{"name": "a", "name": 1}`, `{"operatorKeys": [null, "AA=="]}`, `{"platform": "[::1%a]:1"}`,
		"{\"peerAddress\": \"127.0.0.1\",\n}", `{"nam\u0065": "\ud800"}`, "\xef\xbb\xbf{}",
	} {
		f.Add([]byte(src))
	}
	f.Fuzz(func(t *testing.T, src []byte) {
		s, err := settings.Parse("f", src)
		if err == nil {
			var plain settings.Settings
			require.NoError(t, json.Unmarshal(src, &plain))
			assert.Equal(t, plain, s)
			return
		}
		var all *finding.Error
		require.True(t, errors.As(err, &all))
		for _, finding := range all.Findings {
			require.Equal(t, "f", finding.File)
			require.Positive(t, finding.Line, "%v", finding)
			require.Positive(t, finding.Column, "%v", finding)
		}
	})
}
