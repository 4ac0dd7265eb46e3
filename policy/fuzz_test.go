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

// FuzzParse checks that every finding has a valid position, that Parse and
// encoding/json decode an accepted document equally, and that Parse accepts the
// encoding of the document.
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
		parsed, err := policy.Parse("f", src)
		if err != nil {
			checkPositions(t, src, err)
			return
		}
		var decoded policy.Document
		decoder := json.NewDecoder(bytes.NewReader(src))
		decoder.DisallowUnknownFields()
		require.NoError(t, decoder.Decode(&decoded))
		assert.Empty(t, policy.Diff(parsed, &decoded))
		assert.Equal(t, parsed.Version, decoded.Version)
		encoded, err := parsed.Encode()
		require.NoError(t, err)
		_, err = policy.Parse("again", encoded)
		require.NoError(t, err)
	})
}

// checkPositions checks that all findings of an error have positions within src.
func checkPositions(t *testing.T, src []byte, err error) {
	t.Helper()
	var parseError *finding.Error
	require.True(t, errors.As(err, &parseError))
	lines := strings.Count(string(src), "\n") + 1
	for _, finding := range parseError.Findings {
		require.Equal(t, "f", finding.File)
		require.Positive(t, finding.Line, "%v", finding)
		require.LessOrEqual(t, finding.Line, lines, "%v", finding)
		require.Positive(t, finding.Column, "%v", finding)
	}
}
