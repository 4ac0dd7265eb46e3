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

const (
	// gracePeriod is the time that the settings allow for a graceful shutdown.
	gracePeriod = 6 * time.Second
	killTimeout = 5 * time.Second
)

// instance is an entry instance that runs as a separate process.
type instance struct {
	name, domain, host string
	dir                string
	binary             string

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	stopping bool // A fault that ends the process has reserved the instance.
}

// writeSettings writes the platform's settings file of the instance.
func (inst *instance) writeSettings(store string) error {
	return os.WriteFile(inst.settingsFile(), wiresite.Settings(inst.name, inst.domain, inst.host, regionByDomain, store), 0o600)
}

func (inst *instance) settingsFile() string { return filepath.Join(inst.dir, "settings.json") }

// start starts the process and appends its output to the log file in dir.
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
		_ = cmd.Wait() // The exit status does not matter: a killed process returns an error.
	}()
	inst.cmd, inst.exited, inst.stopping = cmd, exited, false
	return nil
}

func (inst *instance) signal(sig syscall.Signal) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.cmd != nil {
		_ = inst.cmd.Process.Signal(sig) // The process may have ended already.
	}
}

// waitExit waits for the end of the process and reports whether it ended in time.
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

// terminate ends the process as the platform does: with SIGTERM, and with SIGKILL
// if it has not ended within gracePeriod. It reports whether the shutdown was
// graceful.
func (inst *instance) terminate() bool {
	inst.mu.Lock()
	inst.stopping = true
	inst.mu.Unlock()
	inst.signal(syscall.SIGTERM)
	if inst.waitExit(gracePeriod) {
		return true
	}
	inst.signal(syscall.SIGKILL)
	inst.waitExit(killTimeout)
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
