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
func (in *instance) writeSettings(store string) error {
	return os.WriteFile(in.settingsFile(), wiresite.Settings(in.name, in.domain, in.host, regionByDomain, store), 0o600)
}

func (in *instance) settingsFile() string { return filepath.Join(in.dir, "settings.json") }

// start runs the process. Its log goes to a file.
func (in *instance) start() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(in.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(in.binary)
	cmd.Env = append(os.Environ(), wiresite.SettingsVariable+"="+in.settingsFile())
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", in.name, err)
	}
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		defer func() { _ = out.Close() }()
		_ = cmd.Wait() // A killed process returns an error; only its end matters.
	}()
	in.cmd, in.exited, in.stopping = cmd, exited, false
	return nil
}

func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cmd != nil {
		_ = in.cmd.Process.Signal(s) // It may have ended already.
	}
}

// waitExit waits until the process has ended.
func (in *instance) waitExit(limit time.Duration) bool {
	in.mu.Lock()
	exited := in.exited
	in.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// terminate ends the process as the platform does, and reports whether it
// ended within the time for a planned stop.
func (in *instance) terminate() bool {
	in.mu.Lock()
	in.stopping = true
	in.mu.Unlock()
	in.signal(syscall.SIGTERM)
	if in.waitExit(6 * time.Second) {
		return true
	}
	in.signal(syscall.SIGKILL)
	in.waitExit(5 * time.Second)
	return false
}

func (in *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get(wiresite.ReadyURL(in.host))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}
