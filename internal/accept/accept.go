// Package accept keeps a listener in use after an accept call has failed.
package accept

import (
	"errors"
	"net"
	"time"
)

// retryDelay is the pause after a failed accept call.
const retryDelay = 50 * time.Millisecond

// Listener repeats accept calls that fail, for instance because the process has
// used up its file descriptors. Servers end at such an error.
type Listener struct {
	net.Listener
	onError func(error)
}

// Retry returns a listener that calls onError for each failed accept call.
func Retry(listener net.Listener, onError func(error)) *Listener {
	return &Listener{Listener: listener, onError: onError}
}

// Accept returns the next connection, or an error after Close.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.onError(err)
		time.Sleep(retryDelay)
	}
}
