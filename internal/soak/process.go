package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

// instance is an entry instance as a process of its own.
type instance struct {
	name, domain, host string
	dir                string
	binary             string

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	stopping bool // A planned stop is under way.
}

// writeSettings writes the platform's settings file of the instance.
func (inst *instance) writeSettings(store string) error {
	return os.WriteFile(inst.settingsFile(), wiresite.Settings(inst.name, inst.domain, inst.host, regionByDomain, store), 0o600)
}

func (inst *instance) settingsFile() string { return filepath.Join(inst.dir, "settings.json") }

// start runs the process. Its log goes to a file.
func (inst *instance) start() error {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	logFile, err := os.OpenFile(filepath.Join(inst.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(inst.binary)
	cmd.Env = append(os.Environ(), wiresite.SettingsVariable+"="+inst.settingsFile())
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", inst.name, err)
	}
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		defer func() { _ = logFile.Close() }()
		_ = cmd.Wait() // A killed process returns an error; only its end matters.
	}()
	inst.cmd, inst.exited, inst.stopping = cmd, exited, false
	return nil
}

func (inst *instance) signal(sig syscall.Signal) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.cmd != nil {
		_ = inst.cmd.Process.Signal(sig) // It may have ended already.
	}
}

// waitExit waits until the process has ended.
func (inst *instance) waitExit(timeout time.Duration) bool {
	inst.mu.Lock()
	exited := inst.exited
	inst.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// terminate ends the process as the platform does, and reports whether it
// ended within the time for a planned stop.
func (inst *instance) terminate() bool {
	inst.mu.Lock()
	inst.stopping = true
	inst.mu.Unlock()
	inst.signal(syscall.SIGTERM)
	if inst.waitExit(6 * time.Second) {
		return true
	}
	inst.signal(syscall.SIGKILL)
	inst.waitExit(5 * time.Second)
	return false
}

func (inst *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(wiresite.ReadyURL(inst.host))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
