package entry

import (
	"net"
	"sync"
)

// limitedListener accepts connections only while fewer than a limit are open.
// Further connections wait in the operating system's backlog.
type limitedListener struct {
	net.Listener
	openConns chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// limitConnections limits the number of open connections of a listener.
func limitConnections(l net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: l, openConns: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept waits until the number of open connections is below the limit and then
// accepts one.
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

// Close closes the listener and ends a blocked Accept.
func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn is a connection that counts against the limit until it is closed.
type limitedConn struct {
	net.Conn
	closeOnce sync.Once
	release   func()
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(c.release)
	return err
}
