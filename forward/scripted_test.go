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

// scriptedTarget accepts connections on loopback and runs a script on each, which
// may violate the protocol.
type scriptedTarget struct {
	t        *testing.T
	listener net.Listener
	script   func(number int, c *scriptedConn) // The number of the first connection is 1.

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
	target := &scriptedTarget{t: t, listener: listener, script: script}
	target.wait.Go(target.accept)
	t.Cleanup(target.close)
	return target
}

func (target *scriptedTarget) accept() {
	for {
		c, err := target.listener.Accept()
		if err != nil {
			return
		}
		target.mu.Lock()
		target.conns = append(target.conns, c)
		number := len(target.conns)
		target.mu.Unlock()
		target.wait.Go(func() {
			defer func() { _ = c.Close() }()
			target.script(number, &scriptedConn{Conn: c, reader: bufio.NewReader(c)})
		})
	}
}

func (target *scriptedTarget) close() {
	_ = target.listener.Close()
	target.mu.Lock()
	for _, c := range target.conns {
		_ = c.Close()
	}
	target.mu.Unlock()
	target.wait.Wait()
}

func (target *scriptedTarget) connectionCount() int {
	target.mu.Lock()
	defer target.mu.Unlock()
	return len(target.conns)
}

func (target *scriptedTarget) destination() Target {
	return Target{Address: target.listener.Addr().String()}
}

// readRequest reads one request with its body. It returns nil when the connection
// has ended.
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

// waitUntilClosed reads until the client closes the connection.
func (c *scriptedConn) waitUntilClosed() {
	_ = c.SetReadDeadline(time.Now().Add(time.Minute))
	_, _ = io.Copy(io.Discard, c.reader)
}
