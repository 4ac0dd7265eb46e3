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

// Process is one started program.
type Process struct {
	Name string

	mu      sync.Mutex
	cmd     *exec.Cmd
	args    []string
	logFile *os.File
	exited  chan struct{}
}

// startProcess starts a program with its output in dir/name.log.
func startProcess(dir, name, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, args: append([]string{program}, args...)}
	file, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p.logFile = file
	if err := p.Start(); err != nil {
		_ = file.Close()
		return nil, err
	}
	return p, nil
}

// Start starts the program, again after it has ended.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = p.logFile, p.logFile
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	p.cmd, p.exited = cmd, done
	return nil
}

func (p *Process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return nil
	default:
		return p.cmd.Process.Signal(s)
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	err := p.signal(syscall.SIGKILL)
	p.waitExit(killTimeout)
	return err
}

// Suspend stops the process from running until Resume.
func (p *Process) Suspend() error { return p.signal(syscall.SIGSTOP) }

// Resume lets a frozen process run again.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate asks for a graceful stop and waits at most timeout. It reports
// whether the process ended.
func (p *Process) Terminate(timeout time.Duration) (bool, error) {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	return p.waitExit(timeout), nil
}

const killTimeout = 5 * time.Second

func (p *Process) waitExit(timeout time.Duration) bool {
	p.mu.Lock()
	done := p.exited
	p.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// close ends the process and its log.
func (p *Process) close() {
	_ = p.Resume()
	_ = p.Kill()
	_ = p.logFile.Close()
}
