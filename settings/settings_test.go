package settings_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/finding"
	"github.com/jacinthstall/jacinthstall/settings"
)

// The check must not reject settings that the demo runs with.
func TestLoadAcceptsDemo(t *testing.T) {
	files, err := filepath.Glob("../demo/settings/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		s, err := settings.Load(file)
		require.NoError(t, err)
		assert.Equal(t, strings.TrimSuffix(filepath.Base(file), ".json"), s.Name)
	}
}

// Each problem must be in one report, at its own place.
func TestParseReportsAllFindings(t *testing.T) {
	const src = `{
  "name": "a.1",
  "regoin": "palermo",
  "domain": "",
  "callerAddress": "localhost:80",
  "peerAddress": "127.0.0.1:7300",
  "operatorAddress": "127.0.0.1:7300",
  "platform": "127.0.0.1:0",
  "operatorKeys": ["eA==", 5,
    "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=",
    "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="],
  "extra": {}
}`
	_, err := settings.Parse("s.json", []byte(src))
	var all *finding.Error
	require.True(t, errors.As(err, &all))
	var got []string
	for _, f := range all.Findings {
		assert.Equal(t, "s.json", f.File)
		got = append(got, fmt.Sprintf("%d:%d %s %s", f.Line, f.Column, f.Pointer, f.Fix))
	}
	assert.Equal(t, []string{
		"2:11 /name ",
		`3:3 /regoin use "region"`,
		"4:13 /domain ",
		`5:20 /callerAddress use "127.0.0.1:80"`,
		"7:22 /operatorAddress use another port",
		"8:15 /platform name its port",
		"9:20 /operatorKeys/0 ",
		`9:28 /operatorKeys/1 use "5"`,
		"11:5 /operatorKeys/3 remove it",
		"12:3 /extra remove it; the fields are name, region, domain, callerAddress, peerAddress, operatorAddress, platform, operatorKeys",
	}, got)
}

// A huge file must be rejected after a bounded read.
func TestLoadBoundsFileSize(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.json")
	require.NoError(t, os.WriteFile(file, make([]byte, settings.MaxFileBytes+5), 0o600))
	_, err := settings.Load(file)
	assert.ErrorContains(t, err, "more than 1048576 bytes")
}

// A missing file is not a finding: there is no place to point at.
func TestLoadMissingFile(t *testing.T) {
	_, err := settings.Load(filepath.Join(t.TempDir(), "none"))
	assert.ErrorIs(t, err, os.ErrNotExist)
}
