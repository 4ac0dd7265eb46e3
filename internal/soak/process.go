package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
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
	starts   []time.Time
	ending   bool    // A signal that ends the process has been sent.
	throttle float64 // Share of the time for which the process runs; 0 if it always does.
	env      []string
	// unexpectedEnd is called when the process ends without such a signal.
	unexpectedEnd func(cause string)
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
	cmd.Env = append(append(os.Environ(), inst.env...), wiresite.SettingsVariable+"="+inst.settingsFile())
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", inst.name, err)
	}
	inst.starts = append(inst.starts, time.Now())
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		defer func() { _ = logFile.Close() }()
		err := cmd.Wait()
		inst.mu.Lock()
		expected := inst.ending
		inst.mu.Unlock()
		if !expected {
			inst.unexpectedEnd(fmt.Sprintf("%s ended by itself: %v", inst.name, err))
		}
	}()
	inst.cmd, inst.exited, inst.stopping, inst.ending = cmd, exited, false, false
	if inst.throttle > 0 {
		go throttleProcess(cmd.Process, inst.throttle, exited)
	}
	return nil
}

// quotaPeriod is the period in which a throttled process uses up its share.
const quotaPeriod = 100 * time.Millisecond

// throttleProcess stops a process for a part of each quotaPeriod until it ends.
func throttleProcess(process *os.Process, share float64, exited <-chan struct{}) {
	running := time.Duration(share * float64(quotaPeriod))
	for {
		for _, phase := range []struct {
			signal   syscall.Signal
			duration time.Duration
		}{{syscall.SIGCONT, running}, {syscall.SIGSTOP, quotaPeriod - running}} {
			_ = process.Signal(phase.signal) // The process may have ended already.
			select {
			case <-exited:
				return
			case <-time.After(phase.duration):
			}
		}
	}
}

// startedBetween reports whether the process was started in an interval.
func (inst *instance) startedBetween(start, end time.Time) bool {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	return slices.ContainsFunc(inst.starts, func(at time.Time) bool { return at.After(start) && at.Before(end) })
}

func (inst *instance) signal(sig syscall.Signal) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	inst.ending = inst.ending || sig == syscall.SIGKILL || sig == syscall.SIGTERM
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
// if it has not ended within gracePeriod. Further signals are sent at intervals of
// signalInterval. It reports whether the shutdown was graceful.
func (inst *instance) terminate(further ...syscall.Signal) bool {
	inst.signal(syscall.SIGTERM)
	for _, sig := range further {
		time.Sleep(signalInterval)
		inst.signal(sig)
	}
	return inst.waitExit(gracePeriod - time.Duration(len(further))*signalInterval)
}

// hasExited reports whether the latest process has ended.
func (inst *instance) hasExited() bool {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	select {
	case <-inst.exited:
		return true
	default:
		return false
	}
}

const signalInterval = 300 * time.Millisecond

func (inst *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(wiresite.ReadyURL(inst.host))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
