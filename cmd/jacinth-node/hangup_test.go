package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// handlesOrIgnores reports whether a process has changed what a signal does.
func handlesOrIgnores(pid int, s syscall.Signal) (bool, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false, err
	}
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ":")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		mask, err := strconv.ParseUint(strings.TrimSpace(value), 16, 64)
		if err != nil {
			return false, err
		}
		if mask&(1<<(s-1)) != 0 {
			return true, nil
		}
	}
	return false, nil
}

// Guards against a process that a reload request ends while Go's packages are
// initialized, before main. The first signal is sent as soon as the process has
// changed what it does, so that the test does not depend on the machine's load.
func TestReloadRequestBeforeMainDoesNotEndTheProcess(t *testing.T) {
	const processes = 6 // For each delay.
	p := newProcess(t, 0)
	for _, delay := range []time.Duration{0, 1, 2, 4, 8, 16} {
		ended := 0
		for range processes {
			cmd := exec.Command(p.cmd.Path)
			cmd.Env = p.cmd.Env
			require.NoError(t, cmd.Start())
			exit := make(chan error, 1)
			go func() { exit <- cmd.Wait() }()
			for deadline := time.Now().Add(startTimeout); ; {
				set, err := handlesOrIgnores(cmd.Process.Pid, syscall.SIGHUP)
				require.NoError(t, err)
				if set {
					break
				}
				require.True(t, time.Now().Before(deadline), "the process neither handles nor ignores SIGHUP")
			}
			time.Sleep(delay * time.Millisecond)
			require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
			select {
			case <-exit:
				ended++
			case <-time.After(100 * time.Millisecond):
				_ = cmd.Process.Kill()
				<-exit
			}
		}
		assert.Zero(t, ended, "of %d processes, signal after %d ms", processes, delay)
	}
}

// Guards against reload requests that are ignored once the process has started.
func TestReloadRequestAfterAnIgnoredOneIsServed(t *testing.T) {
	p := newProcess(t, 0)
	output := &lockedBuffer{}
	p.cmd.Stdout = output
	p.start()
	require.Eventually(t, func() bool {
		set, err := handlesOrIgnores(p.cmd.Process.Pid, syscall.SIGHUP)
		return err == nil && set
	}, startTimeout, time.Millisecond)
	p.signal(syscall.SIGHUP)
	p.awaitReady()
	for range 2 {
		before := strings.Count(output.String(), "settings reloaded")
		p.signal(syscall.SIGHUP)
		assert.Eventually(t, func() bool { return strings.Count(output.String(), "settings reloaded") > before }, 5*time.Second, 5*time.Millisecond)
	}
	p.requireServes()
}

// Guards against a process that can be built with cgo only.
func TestProcessBuildsWithoutCgo(t *testing.T) {
	cmd := exec.Command("go", "build", "-o", filepath.Join(t.TempDir(), "jacinth-node"), ".")
	cmd.Env = append(os.Environ(), "CGO_ENABLED=0")
	output, err := cmd.CombinedOutput()
	require.NoError(t, err, string(output))
}
