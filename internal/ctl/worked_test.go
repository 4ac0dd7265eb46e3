package ctl_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/internal/ctl"
	"github.com/jacinthstall/jacinthstall/policy"
)

// The worked change of the operators' page must run as written and print what
// the page shows.
func TestOperatorsPageExampleRuns(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/console-and-cli.md")
	require.NoError(t, err)
	src, err := os.ReadFile("../../docs/operators/example.json")
	require.NoError(t, err)
	l := newEmptyPlatformFixture(t)
	run := func(args ...string) {
		t.Helper()
		code, out, errOut := l.run(args[0], append([]string{"--key", l.key, "--in-force-at", l.serveInstanceStatus(0)}, args[1:]...)...)
		require.Equal(t, ctl.ExitOK, code, errOut)
		for line := range strings.Lines(out) {
			assert.Contains(t, string(page), "        "+line)
		}
	}
	code, _, errOut := l.run("publish", "--key", l.key, l.file("example.json", src))
	require.Equal(t, ctl.ExitOK, code, errOut)
	d := l.publishedDocument()
	d.Moves = []policy.Move{{Service: "catalogue", From: "palermo", To: "catania", Percent: 30, CapMbit: 400}}
	run("publish", l.file("change.json", encode(t, d, 1)))
	run("drain", "--target", "catalogue-1")
	run("drain", "--instance", "palermo-a-1")
	assert.Equal(t, uint64(4), l.publishedDocument().Version)

	d = l.publishedDocument()
	d.Moves[0].CapMbit = 4001
	code, _, errOut = l.run("publish", "--key", l.key, l.file("change.json", encode(t, d, 4)))
	assert.Equal(t, ctl.ExitInvalid, code)
	assert.Contains(t, errOut, "/moves/0/capMbit")
}

// Scripts are written from the page: it must list the exit codes as the
// command explains them.
func TestOperatorsPageListsExitCodes(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/console-and-cli.md")
	require.NoError(t, err)
	_, _, help := newFixture(t).run("show", "--help")
	lines := regexp.MustCompile(`(?m)^\s+(\d)  (.+)$`).FindAllStringSubmatch(help, -1)
	require.Len(t, lines, ctl.ExitStale+1)
	for _, line := range lines {
		assert.Contains(t, string(page), "| "+line[1]+" | "+line[2])
	}
}
