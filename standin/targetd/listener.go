package targetd

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Listener is a TCP listener that can crash as a process does: all connections
// are reset, and new ones are refused until it listens again on the same
// address. Connections above the bound are reset.
type Listener struct {
	address        string
	maxConnections int // Bound of open connections; 0 means no bound.

	mu     sync.Mutex
	inner  net.Listener
	up     chan struct{} // Closed while the listener is up.
	closed bool
	conns  map[*trackedConn]struct{}
}

type trackedConn struct {
	*net.TCPConn
	listener *Listener
}

// Close also forgets the connection.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

func (c *trackedConn) reset() {
	_ = c.SetLinger(0)
	_ = c.TCPConn.Close()
}

// Listen listens on an ip:port.
func Listen(address string, limit int) (*Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &Listener{address: inner.Addr().String(), maxConnections: limit, inner: inner, up: make(chan struct{}), conns: map[*trackedConn]struct{}{}}
	close(l.up)
	return l, nil
}

// Accept waits while the listener is down.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, up, closed := l.state()
		if closed {
			return nil, net.ErrClosed
		}
		<-up
		c, err := inner.Accept()
		if errors.Is(err, net.ErrClosed) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if tracked := l.track(c.(*net.TCPConn)); tracked != nil {
			return tracked, nil
		}
	}
}

func (l *Listener) state() (net.Listener, chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner, l.up, l.closed
}

func (l *Listener) track(c *net.TCPConn) *trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked := &trackedConn{TCPConn: c, listener: l}
	if l.maxConnections > 0 && len(l.conns) >= l.maxConnections {
		tracked.reset()
		return nil
	}
	l.conns[tracked] = struct{}{}
	return tracked
}

// Crash resets all connections and refuses new ones for a time.
func (l *Listener) Crash(down time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.up:
	default:
		return // Down already.
	}
	l.up = make(chan struct{})
	_ = l.inner.Close()
	for c := range l.conns {
		c.reset()
	}
	l.conns = map[*trackedConn]struct{}{}
	time.AfterFunc(down, l.restart)
}

func (l *Listener) restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	inner, err := net.Listen("tcp", l.address)
	if err != nil {
		// The port can be taken for a moment; the target stays down meanwhile.
		time.AfterFunc(10*time.Millisecond, l.restart)
		return
	}
	l.inner = inner
	close(l.up)
}

// Close ends the listener. Open connections stay.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	select {
	case <-l.up:
	default:
		close(l.up)
	}
	return l.inner.Close()
}

// Addr returns the address.
func (l *Listener) Addr() net.Addr {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner.Addr()
}
