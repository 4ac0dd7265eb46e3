package main

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/finding"
)

// Guards against settings that can be checked only by starting an instance.
func TestSettingsAreCheckedWithoutStarting(t *testing.T) {
	file := filepath.Join(t.TempDir(), "local.json")
	write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write(`{"node":"n1","zone":"pa-1","region":"palermo","zones":{"pa-1":"palermo"},"bindIp":"127.0.0.1",
 "listen":{"front":"127.0.0.1:1","ready":"127.0.0.1:2"},"internalPorts":[3,6],"platform":{"address":"127.0.0.1:7"}}`)
	var out bytes.Buffer
	require.NoError(t, run([]string{"-settings", file, "-check"}, &out, nil))
	assert.Contains(t, out.String(), "n1")
	write(`{"node":"n1"}`)
	var findings *finding.Error
	require.ErrorAs(t, run([]string{"-settings", file, "-check"}, &out, nil), &findings)
	assert.Greater(t, len(findings.Findings), 3)
}

func TestHelpAndVersion(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, run([]string{"-version"}, &out, nil))
	assert.Contains(t, out.String(), "jacinth-node ")
	assert.ErrorIs(t, run([]string{"-help"}, &out, nil), flag.ErrHelp)
}
