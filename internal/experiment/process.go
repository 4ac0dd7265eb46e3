package experiment

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process is a program that can be started several times, with one process at a time.
type Process struct {
	Name string

	mu      sync.Mutex
	cmd     *exec.Cmd
	args    []string
	logFile *os.File
	exited  chan struct{} // Closed when the current process has ended.
}

// startProcess starts a program and appends its output to dir/name.log.
func startProcess(dir, name, program string, args ...string) (*Process, error) {
	process := &Process{Name: name, args: append([]string{program}, args...)}
	logFile, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	process.logFile = logFile
	if err := process.Start(); err != nil {
		_ = logFile.Close()
		return nil, err
	}
	return process, nil
}

// Start starts the program. It may be called again after the process has ended.
func (process *Process) Start() error {
	process.mu.Lock()
	defer process.mu.Unlock()
	cmd := exec.Command(process.args[0], process.args[1:]...)
	cmd.Stdout, cmd.Stderr = process.logFile, process.logFile
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", process.Name, err)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	process.cmd, process.exited = cmd, exited
	return nil
}

// signal sends a signal unless the process has ended.
func (process *Process) signal(sig syscall.Signal) error {
	process.mu.Lock()
	defer process.mu.Unlock()
	select {
	case <-process.exited:
		return nil
	default:
		return process.cmd.Process.Signal(sig)
	}
}

// Kill sends SIGKILL and waits for the end of the process for at most killTimeout.
func (process *Process) Kill() error {
	err := process.signal(syscall.SIGKILL)
	process.waitExit(killTimeout)
	return err
}

// Suspend suspends the process until Resume.
func (process *Process) Suspend() error { return process.signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (process *Process) Resume() error { return process.signal(syscall.SIGCONT) }

// Terminate requests a graceful shutdown and waits for at most timeout. It reports
// whether the process has ended.
func (process *Process) Terminate(timeout time.Duration) (bool, error) {
	if err := process.signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	return process.waitExit(timeout), nil
}

const killTimeout = 5 * time.Second

func (process *Process) waitExit(timeout time.Duration) bool {
	process.mu.Lock()
	exited := process.exited
	process.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// close kills the process, also if it is suspended, and closes its log file.
func (process *Process) close() {
	_ = process.Resume()
	_ = process.Kill()
	_ = process.logFile.Close()
}
