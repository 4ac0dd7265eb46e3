package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scriptedTarget accepts connections on loopback and lets a script misbehave on
// each.
type scriptedTarget struct {
	t        *testing.T
	listener net.Listener
	script   func(number int, c *scriptedConn) // Number counts connections from 1.

	mu    sync.Mutex
	conns []net.Conn
	wait  sync.WaitGroup
}

type scriptedConn struct {
	net.Conn
	reader *bufio.Reader
}

func newScriptedTarget(t *testing.T, script func(number int, c *scriptedConn)) *scriptedTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &scriptedTarget{t: t, listener: listener, script: script}
	r.wait.Go(r.accept)
	t.Cleanup(r.close)
	return r
}

func (r *scriptedTarget) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns = append(r.conns, c)
		number := len(r.conns)
		r.mu.Unlock()
		r.wait.Go(func() {
			defer func() { _ = c.Close() }()
			r.script(number, &scriptedConn{Conn: c, reader: bufio.NewReader(c)})
		})
	}
}

func (r *scriptedTarget) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.wait.Wait()
}

func (r *scriptedTarget) connectionCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

func (r *scriptedTarget) destination() Target { return Target{Address: r.listener.Addr().String()} }

// readRequest reads one request with its body; nil when the connection has ended.
func (c *scriptedConn) readRequest() *http.Request {
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return nil
	}
	return r
}

func (c *scriptedConn) send(text string) { _, _ = io.WriteString(c.Conn, text) }

// reset closes the connection with a TCP reset.
func (c *scriptedConn) reset() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// waitUntilClosed waits until the other side closes the connection.
func (c *scriptedConn) waitUntilClosed() {
	_ = c.SetReadDeadline(time.Now().Add(time.Minute))
	_, _ = io.Copy(io.Discard, c.reader)
}
