package targetd

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Listener is a TCP listener that can simulate a process crash: it resets all
// connections and refuses new ones until it listens on the same address again.
// It also resets connections that exceed a limit.
type Listener struct {
	address        string
	maxConnections int // Maximum number of open connections; 0 means no limit.

	mu     sync.Mutex
	inner  net.Listener
	up     chan struct{} // Closed while the listener is up; replaced by an open channel on a crash.
	closed bool
	conns  map[*trackedConn]struct{}
}

type trackedConn struct {
	*net.TCPConn
	listener *Listener
}

// Close closes the connection and removes it from the listener's set.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// reset closes the connection with a TCP reset.
func (c *trackedConn) reset() {
	_ = c.SetLinger(0)
	_ = c.TCPConn.Close()
}

// Listen listens on an ip:port address. maxConnections limits the open
// connections; 0 means no limit.
func Listen(address string, maxConnections int) (*Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	listener := &Listener{address: inner.Addr().String(), maxConnections: maxConnections, inner: inner, up: make(chan struct{}), conns: map[*trackedConn]struct{}{}}
	close(listener.up)
	return listener, nil
}

// Accept returns the next connection. It blocks while the listener is down.
func (listener *Listener) Accept() (net.Conn, error) {
	for {
		inner, up, closed := listener.state()
		if closed {
			return nil, net.ErrClosed
		}
		<-up
		conn, err := inner.Accept()
		if errors.Is(err, net.ErrClosed) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if tracked := listener.track(conn.(*net.TCPConn)); tracked != nil {
			return tracked, nil
		}
	}
}

func (listener *Listener) state() (net.Listener, chan struct{}, bool) {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	return listener.inner, listener.up, listener.closed
}

// track adds a connection to the set of open connections. If the limit is
// reached, it resets the connection and returns nil.
func (listener *Listener) track(conn *net.TCPConn) *trackedConn {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	tracked := &trackedConn{TCPConn: conn, listener: listener}
	if listener.maxConnections > 0 && len(listener.conns) >= listener.maxConnections {
		tracked.reset()
		return nil
	}
	listener.conns[tracked] = struct{}{}
	return tracked
}

// Crash resets all connections and refuses new ones for the duration of downtime.
func (listener *Listener) Crash(downtime time.Duration) {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	select {
	case <-listener.up:
	default:
		return // The listener is already down.
	}
	listener.up = make(chan struct{})
	_ = listener.inner.Close()
	for conn := range listener.conns {
		conn.reset()
	}
	listener.conns = map[*trackedConn]struct{}{}
	time.AfterFunc(downtime, listener.restart)
}

// restart listens on the address again. It retries until this succeeds.
func (listener *Listener) restart() {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	if listener.closed {
		return
	}
	inner, err := net.Listen("tcp", listener.address)
	if err != nil {
		// Another socket may temporarily use the port. The target stays down
		// until it is free.
		time.AfterFunc(10*time.Millisecond, listener.restart)
		return
	}
	listener.inner = inner
	close(listener.up)
}

// Close closes the listener. Open connections are not affected.
func (listener *Listener) Close() error {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	if listener.closed {
		return nil
	}
	listener.closed = true
	select {
	case <-listener.up:
	default:
		close(listener.up)
	}
	return listener.inner.Close()
}

// Addr implements net.Listener.
func (listener *Listener) Addr() net.Addr {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	return listener.inner.Addr()
}
