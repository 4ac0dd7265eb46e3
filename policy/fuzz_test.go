package policy_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/finding"
	"github.com/jacinthstall/jacinthstall/policy"
)

// Parse must place every finding, agree with encoding/json on what it accepts,
// and accept its own encoding.
func FuzzParse(f *testing.F) {
	f.Add(demoSource(f))
	f.Add([]byte(documentWithTenMistakes))
	for _, src := range []string{
		"", "{", "{}", "[]", "null", `{"version": -1}`, `{"version": 1, "version": 2}`, `{"a": "\ud800"}`,
		`{"targets": [{"name": "\u0074", "address": "[::1]:80"}]}`, `{"blocks": [{"prefix": "::/0", "site": 5}, 7, null]}`,
		`{"moves": [{"percent": 1e3}]} x`, "{\"links\": [\n,]}", `{"timing": "1s", "logLevel": {"a": [1, "]"]}}`, "\xff{}", `{"x": "\\"`,
	} {
		f.Add([]byte(src))
	}
	f.Fuzz(func(t *testing.T, src []byte) {
		d, err := policy.Parse("f", src)
		if err != nil {
			checkPositions(t, src, err)
			return
		}
		var strict policy.Document
		dec := json.NewDecoder(bytes.NewReader(src))
		dec.DisallowUnknownFields()
		require.NoError(t, dec.Decode(&strict))
		assert.Empty(t, policy.Diff(d, &strict))
		assert.Equal(t, d.Version, strict.Version)
		again, err := d.Encode()
		require.NoError(t, err)
		_, err = policy.Parse("again", again)
		require.NoError(t, err)
	})
}

func checkPositions(t *testing.T, src []byte, err error) {
	t.Helper()
	var all *finding.Error
	require.True(t, errors.As(err, &all))
	lines := strings.Count(string(src), "\n") + 1
	for _, finding := range all.Findings {
		require.Equal(t, "f", finding.File)
		require.Positive(t, finding.Line, "%v", finding)
		require.LessOrEqual(t, finding.Line, lines, "%v", finding)
		require.Positive(t, finding.Column, "%v", finding)
	}
}
