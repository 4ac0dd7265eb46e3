package entry

import (
	"net"
	"sync"
)

// callerListener is the listener for callers. It can refuse new connections
// while its server continues to serve the open ones.
type callerListener struct {
	net.Listener
	refusingNew chan struct{} // Closed when new connections are refused.
	closed      chan struct{}
	refuseOnce  sync.Once
	closeOnce   sync.Once
}

// listenCallers listens on an ip:port address. It returns the error of
// net.Listen unchanged.
func listenCallers(address string) (*callerListener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &callerListener{Listener: inner, refusingNew: make(chan struct{}), closed: make(chan struct{})}, nil
}

// Accept returns the next connection. Once new connections are refused, it
// blocks until Close: the server would treat an error as the end of the
// listener and not wait for open connections.
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

// dropNew makes the system drop segments that open a new connection, while
// handshakes in progress complete and are accepted. Without it, closing the
// socket would reset connections that are established but not accepted yet,
// whose callers may already have sent a request. It has no effect on systems
// without socket filters.
func (l *callerListener) dropNew() error { return dropNewConnections(l.Listener) }

// refuseNew closes the socket, so that new connections are refused.
func (l *callerListener) refuseNew() {
	l.refuseOnce.Do(func() {
		close(l.refusingNew)
		_ = l.Listener.Close()
	})
}

// Close ends a blocked Accept. Open connections are not affected.
func (l *callerListener) Close() error {
	l.refuseNew()
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}
