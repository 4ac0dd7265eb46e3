package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
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

const (
	callerPort    = "8001"
	readyPort     = "8002"
	directoryPort = "8003"
)

// writeSettings writes the platform's settings file of the instance.
func (in *instance) writeSettings(domains map[string]string, store string) error {
	at := func(port string) string { return net.JoinHostPort(in.host, port) }
	src, err := json.Marshal(map[string]any{
		"node": in.name, "bindIp": in.host, "zone": in.domain, "region": domains[in.domain], "zones": domains,
		"listen":        map[string]string{"front": at(callerPort), "ready": at(readyPort), "directory": at(directoryPort)},
		"internalPorts": []int{8010, 8020}, "heartbeat": "1500ms", "limits": map[string]int{"memoryMb": 128},
		"bounds": map[string]any{"stability": "3000ms", "drain": "2500ms", "grace": "6s", "ttl_max": "5s",
			"retryRatio": 0.2, "retryWindow": "10s", "retrySlack": 56, "shiftMost": 0.15},
		"platform": map[string]string{"address": store},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(in.dir, "settings.json"), src, 0o600)
}

// start runs the process. Its log goes to a file.
func (in *instance) start() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(in.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(in.binary)
	cmd.Env = append(os.Environ(), "JACINTHSTALL_NODE_FILE="+filepath.Join(in.dir, "settings.json"))
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

// wait waits until the process has ended.
func (in *instance) wait(limit time.Duration) bool {
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
	if in.wait(6 * time.Second) {
		return true
	}
	in.signal(syscall.SIGKILL)
	in.wait(5 * time.Second)
	return false
}

func (in *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + net.JoinHostPort(in.host, readyPort) + "/-/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}
