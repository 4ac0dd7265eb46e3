package node

import (
	"errors"
	"net"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
)

// acceptRetryDelay is the pause after a failed accept, for example when no file
// descriptors are left.
const acceptRetryDelay = 20 * time.Millisecond

// retryingListener accepts again after errors other than the listener's end.
// Servers that return the first error would end the process.
type retryingListener struct {
	net.Listener
	events *events.Log
}

func (l retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.events.Emit(events.AcceptFailed, log.Fields{"error": err.Error()})
		time.Sleep(acceptRetryDelay)
	}
}
