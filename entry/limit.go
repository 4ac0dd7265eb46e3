package entry

import (
	"net"
	"sync"
)

// limitedListener accepts a connection only while fewer than a limit are open.
// Others wait in the backlog of the operating system.
type limitedListener struct {
	net.Listener
	openConns chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// limitConnections bounds the open connections of a listener.
func limitConnections(l net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: l, openConns: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept waits for room and then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.openConns <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.openConns
		return nil, err
	}
	return &limitedConn{Conn: conn, release: func() { <-l.openConns }}, nil
}

// Close ends a wait for room as well.
func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn gives its room back when it is closed.
type limitedConn struct {
	net.Conn
	closeOnce sync.Once
	release   func()
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(c.release)
	return err
}
