package soak

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a check that does not find a configuration that goes back, or that
// takes the start of a process for one, or that passes because it could not read a log.
func TestCheckOfConfigVersions(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	line := func(version string, after time.Duration) string {
		return `{"fields":{"event":918,"version":` + version + `},"timestamp":"` + start.Add(after).Format(time.RFC3339Nano) + `"}` + "\n"
	}
	for log, violations := range map[string]int{
		line("3", time.Second) + "{\"fields\n" + line("4", 2*time.Second):                                         0,
		line("3", time.Second) + line("2", 2*time.Second):                                                         1,
		line("3", time.Second) + `{"fields":{"event":912,"version":1}}` + "\n" + line("2", 4*time.Second):         0,
		line("3", 4*time.Second) + line("4", 5*time.Second) + line("3", 6*time.Second) + line("4", 7*time.Second): 1,
		line("3", time.Second) + strings.Repeat("x", bufio.MaxScanTokenSize) + "\n" + line("2", 2*time.Second):    1,
	} {
		inst := &instance{name: "n0", dir: t.TempDir(), starts: []time.Time{start, start.Add(3 * time.Second)}}
		require.NoError(t, os.WriteFile(filepath.Join(inst.dir, "log"), []byte(log), 0o600))
		deployment := &Deployment{instances: []*instance{inst}}
		deployment.checkConfigVersions()
		assert.Len(t, deployment.violations, violations, log)
	}
}
