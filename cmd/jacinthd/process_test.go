package main

import (
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/internal/loopback"
	"github.com/jacinthstall/jacinthstall/settings"
)

const (
	startTimeout = 20 * time.Second
	// endTimeout is above the time to the next log line: the platform is unreachable.
	endTimeout = 3 * time.Second
)

// startProcess starts jacinthd without a platform. The channel is closed when the
// process has ended.
func startProcess(t *testing.T) (cmd *exec.Cmd, output *os.File, ended <-chan struct{}) {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "jacinthd")
	built, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput()
	require.NoError(t, err, string(built))
	host := loopback.Host()
	s := settings.Settings{Name: "a-1", Region: "r", Domain: "d", CallerAddress: host + ":7100", PeerAddress: host + ":7200",
		OperatorAddress: host + ":7300", Platform: host + ":7400", OperatorKeys: []string{"Si4H10CIdBsC5KH8qvmN4KD4+17HVfqBgBQ8QtPT910="}}
	text, err := json.Marshal(s)
	require.NoError(t, err)
	file := filepath.Join(dir, "settings.json")
	require.NoError(t, os.WriteFile(file, text, 0o600))
	cmd = exec.Command(path, "--settings", file)
	output, written, err := os.Pipe()
	require.NoError(t, err)
	t.Cleanup(func() { _ = output.Close() })
	cmd.Stderr = written
	require.NoError(t, cmd.Start())
	_ = written.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = cmd.Wait() // The tests look at ProcessState.
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-done
	})
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", s.CallerAddress)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}, startTimeout, 10*time.Millisecond)
	return cmd, output, done
}

// Guards against the end of the process, and of its requests, when the reader of its
// log has closed the pipe.
func TestClosedLogDoesNotEndJacinthd(t *testing.T) {
	cmd, output, ended := startProcess(t)
	require.NoError(t, output.Close())
	select {
	case <-ended:
		assert.Fail(t, "the process has ended", cmd.ProcessState.String())
	case <-time.After(endTimeout):
	}
}
