package entry

import (
	"net"
	"sync"
)

// callerListener is the listener for callers. It can stop taking connections
// while its server goes on serving those that are open.
type callerListener struct {
	net.Listener
	refusingNew chan struct{} // Closed when no more connections are taken.
	closed      chan struct{}
	refuseOnce  sync.Once
	closeOnce   sync.Once
}

// listenCallers listens on an ip:port. The error is that of net.Listen.
func listenCallers(address string) (*callerListener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &callerListener{Listener: inner, refusingNew: make(chan struct{}), closed: make(chan struct{})}, nil
}

// Accept returns the next connection. Once connections are refused it blocks
// until Close, because the server takes an error as its own end and would not
// wait for open connections.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		return c, nil
	}
	select {
	case <-l.refusingNew:
		<-l.closed
		return nil, net.ErrClosed
	default:
		return nil, err
	}
}

// dropNew ignores new connections, while handshakes under way finish and are
// accepted. Closing the socket alone resets connections that are not accepted
// yet, whose callers may have sent a request. It has no effect on systems
// without socket filters.
func (l *callerListener) dropNew() error { return dropNewConnections(l.Listener) }

// refuseNew refuses new connections from now on.
func (l *callerListener) refuseNew() {
	l.refuseOnce.Do(func() {
		close(l.refusingNew)
		_ = l.Listener.Close()
	})
}

// Close ends the listener. Open connections stay.
func (l *callerListener) Close() error {
	l.refuseNew()
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}
