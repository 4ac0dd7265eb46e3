package accept_test

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/internal/accept"
)

// failingListener fails a number of accept calls.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a server that ends because an accept call has failed, and against
// one that does not end when its listener is closed.
func TestAcceptIsRetriedUntilClose(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	failed := 0
	listener := accept.Retry(&failingListener{Listener: inner, failures: 2}, func(err error) {
		assert.ErrorIs(t, err, syscall.EMFILE)
		failed++
	})
	conn, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	accepted, err := listener.Accept()
	require.NoError(t, err)
	assert.NoError(t, accepted.Close())
	assert.Equal(t, 2, failed)
	require.NoError(t, listener.Close())
	_, err = listener.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}
