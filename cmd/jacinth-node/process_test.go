package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/internal/loopback"
	"github.com/jacinthstall/jacinthstall/standin/metastore"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
	"github.com/jacinthstall/jacinthstall/standin/wiretarget"
)

const (
	// startTimeout and endTimeout limit waiting for a process. The latter is above
	// the shutdown period of the settings.
	startTimeout = 20 * time.Second
	endTimeout   = 10 * time.Second
)

// binary builds the program once.
var binary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "jacinth-node")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "jacinth-node")
	output, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := binary(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// process is a running jacinth-node.
type process struct {
	t            *testing.T
	host         string
	settings     []byte
	settingsFile string
	cmd          *exec.Cmd
	ended        chan struct{}
	store        *metastore.Store
	target       *wiretarget.Target
	targetRecord []byte
}

// newProcess prepares a process with a store and a target, and does not start it.
func newProcess(t *testing.T, work time.Duration) *process {
	t.Helper()
	path, err := binary()
	require.NoError(t, err)
	listen := func() net.Listener {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		return listener
	}
	storeListener, targetListener := listen(), listen()
	store := metastore.New()
	target := wiretarget.New(wiretarget.Options{ID: "t0", Slots: 64, MaxQueued: 64, WarmTime: work})
	storeServer, targetServer := metastore.NewServer(store, storeListener), target.NewServer(targetListener)
	go func() { _ = storeServer.Run() }()
	go func() { _ = targetServer.Run() }()
	t.Cleanup(func() { _ = storeServer.Close(); _ = targetServer.Close() })
	store.Put(wiresite.ConfigKey, wiresite.Config(1, "s", wiresite.Route{Segment: "app", Timeout: 8 * time.Second}))
	record := wiresite.TargetRecord("s", "d", targetListener.Addr().String(), "ready", 64)
	store.Put(wiresite.TargetKey("t0"), record)
	p := &process{t: t, host: loopback.Host(), store: store, target: target, targetRecord: record, ended: make(chan struct{})}
	p.settings = wiresite.Settings("n1", "d", p.host, map[string]string{"d": "r"}, storeListener.Addr().String())
	p.settingsFile = filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(p.settingsFile, p.settings, 0o600))
	p.cmd = exec.Command(path)
	p.cmd.Env = append(os.Environ(), wiresite.SettingsVariable+"="+p.settingsFile)
	return p
}

func (p *process) start() {
	p.t.Helper()
	require.NoError(p.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait() // The tests look at ProcessState.
		close(p.ended)
	}()
	p.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
	})
}

func (p *process) startReady() {
	p.t.Helper()
	p.start()
	p.awaitReady()
}

func (p *process) awaitReady() {
	p.t.Helper()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	require.Eventually(p.t, func() bool {
		response, err := client.Get(wiresite.ReadyURL(p.host))
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, startTimeout, 10*time.Millisecond, "the process is not ready")
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.cmd.Process.Signal(s))
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// awaitEnd returns the time until the process has ended.
func (p *process) awaitEnd() time.Duration {
	p.t.Helper()
	started := time.Now()
	select {
	case <-p.ended:
	case <-time.After(endTimeout):
		p.t.Fatal("the process does not end")
	}
	return time.Since(started)
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

func (p *process) dial() (*callerConn, error) {
	conn, err := net.DialTimeout("tcp", wiresite.CallerAddress(p.host), time.Second)
	if err != nil {
		return nil, err
	}
	p.t.Cleanup(func() { _ = conn.Close() })
	return &callerConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

var requestNumber atomic.Int64

// send writes a request and returns its ID.
func (c *callerConn) send() (string, error) {
	id := fmt.Sprint("r", requestNumber.Add(1))
	_, err := io.WriteString(c, wiresite.Request("POST", "/app/x", id, "o", "b", 7*time.Second))
	return id, err
}

// receive returns the status of the response and whether it announces the end of
// the connection.
func (c *callerConn) receive() (status int, last bool, err error) {
	_ = c.SetReadDeadline(time.Now().Add(endTimeout))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Close, err
}

func (p *process) requireServes() {
	p.t.Helper()
	c, err := p.dial()
	require.NoError(p.t, err)
	_, err = c.send()
	require.NoError(p.t, err)
	status, _, err := c.receive()
	require.NoError(p.t, err)
	assert.Equal(p.t, http.StatusOK, status)
}

// Guards against a process that a reload request ends while it starts. The
// settings are read from a pipe, so that the process waits in its start.
func TestReloadRequestDuringStartDoesNotEndTheProcess(t *testing.T) {
	p := newProcess(t, 0)
	require.NoError(t, os.Remove(p.settingsFile))
	require.NoError(t, syscall.Mkfifo(p.settingsFile, 0o600))
	p.start()
	pipe, err := os.OpenFile(p.settingsFile, os.O_WRONLY, 0) // Waits until the process reads.
	require.NoError(t, err)
	p.signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	_, _ = pipe.Write(p.settings)
	_ = pipe.Close()
	time.Sleep(100 * time.Millisecond)
	require.False(t, p.hasEnded(), "%v", p.cmd.ProcessState)
	// The request is pending; the process reads the settings again.
	pipe, err = os.OpenFile(p.settingsFile, os.O_WRONLY, 0)
	require.NoError(t, err)
	_, err = pipe.Write(p.settings)
	require.NoError(t, err)
	_ = pipe.Close()
	p.awaitReady()
	p.requireServes()
}

// Guards against a stop during the start that is ignored.
func TestStopDuringStartEndsTheProcess(t *testing.T) {
	p := newProcess(t, 0)
	require.NoError(t, os.Remove(p.settingsFile))
	require.NoError(t, syscall.Mkfifo(p.settingsFile, 0o600))
	p.start()
	pipe, err := os.OpenFile(p.settingsFile, os.O_WRONLY, 0)
	require.NoError(t, err)
	p.signal(syscall.SIGTERM)
	_, _ = pipe.Write(p.settings)
	_ = pipe.Close()
	assert.Less(t, p.awaitEnd(), 6*time.Second)
}

// Guards against a process that ends, with its requests, because nobody reads its
// log any more.
func TestClosedOutputDoesNotEndTheProcess(t *testing.T) {
	p := newProcess(t, 0)
	read, write, err := os.Pipe()
	require.NoError(t, err)
	p.cmd.Stdout, p.cmd.Stderr = write, write
	p.startReady()
	_ = write.Close()
	p.requireServes()
	require.NoError(t, read.Close())
	for range 5 {
		p.requireServes()
		time.Sleep(20 * time.Millisecond)
	}
	assert.False(t, p.hasEnded(), "%v", p.cmd.ProcessState)
}

// Guards against a stop that does not end because nobody reads the log.
func TestUnreadOutputDoesNotHoldUpAStop(t *testing.T) {
	p := newProcess(t, 0)
	read, write, err := os.Pipe()
	require.NoError(t, err)
	defer func() { _ = read.Close() }()
	p.cmd.Stdout, p.cmd.Stderr = write, write
	p.startReady()
	_ = write.Close()
	c, err := p.dial()
	require.NoError(t, err)
	for range 400 { // Log lines of more than the 64 KB of the pipe.
		_, err = c.send()
		require.NoError(t, err)
		_, _, err = c.receive()
		require.NoError(t, err)
	}
	p.signal(syscall.SIGTERM)
	assert.Less(t, p.awaitEnd(), 6*time.Second)
}

// Guards against a process that ends, with its requests, because it has no
// descriptor left for a connection to one of its listeners.
func TestExhaustedDescriptorsDoNotEndTheProcess(t *testing.T) {
	const descriptors = 80
	p := newProcess(t, time.Second)
	p.cmd.Args = []string{"sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", descriptors, p.cmd.Path)}
	p.cmd.Path = "/bin/sh"
	p.startReady()
	served, err := p.dial()
	require.NoError(t, err)
	id, err := served.send()
	require.NoError(t, err)
	require.Eventually(t, func() bool { return p.target.Executions()[id] == 1 }, 5*time.Second, time.Millisecond)
	var conns []net.Conn
	for range descriptors {
		for _, address := range []string{wiresite.CallerAddress(p.host), strings.TrimSuffix(strings.TrimPrefix(wiresite.ReadyURL(p.host), "http://"), "/-/ready")} {
			conn, err := net.DialTimeout("tcp", address, time.Second)
			if err == nil {
				conns = append(conns, conn)
			}
		}
	}
	status, _, err := served.receive()
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status)
	assert.False(t, p.hasEnded(), "%v", p.cmd.ProcessState)
	for _, conn := range conns {
		_ = conn.Close()
	}
	p.awaitReady()
	p.requireServes()
}

// Guards against signals that cut the requests of a planned stop.
func TestSignalsDuringAStopCutNoRequest(t *testing.T) {
	for _, first := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		p := newProcess(t, 2*time.Second)
		p.startReady()
		c, err := p.dial()
		require.NoError(t, err)
		id, err := c.send()
		require.NoError(t, err)
		require.Eventually(t, func() bool { return p.target.Executions()[id] == 1 }, 5*time.Second, time.Millisecond)
		p.signal(first)
		time.Sleep(100 * time.Millisecond)
		for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGHUP} {
			p.signal(s)
		}
		status, last, err := c.receive()
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, status)
		assert.True(t, last)
		p.awaitEnd()
		assert.Equal(t, 0, p.cmd.ProcessState.ExitCode(), "%v", p.cmd.ProcessState)
	}
}
