package forward

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// resetSecondRequest responds to the first request on a connection and resets the
// connection on the second, like a target that closed an idle connection without
// notice.
func resetSecondRequest(_ int, c *scriptedConn) {
	if c.readRequest() == nil {
		return
	}
	c.send(okResponse("x"))
	if c.readRequest() != nil {
		c.reset()
	}
}

// Guards against counting a stale connection as a failure of the target.
func TestStaleConnectionIsDistinguishedFromCrash(t *testing.T) {
	target := newScriptedTarget(t, resetSecondRequest)
	f := New()
	f.staleThreshold = time.Minute // Makes the test independent of the machine's speed.
	defer f.Close()
	_, _, err := doExchange(t, f, target.destination(), getRequest("/"))
	require.NoError(t, err)
	_, _, err = doExchange(t, f, target.destination(), getRequest("/"))
	var failure *Error
	require.True(t, errors.As(err, &failure))
	assert.True(t, failure.StaleConnection)
	assert.Equal(t, StageRequestSent, failure.Stage, "whether the request was executed is unknown")

	crashing := newScriptedTarget(t, func(_ int, c *scriptedConn) {
		if c.readRequest() != nil {
			c.reset()
		}
	})
	_, _, err = doExchange(t, f, crashing.destination(), getRequest("/"))
	require.True(t, errors.As(err, &failure))
	assert.False(t, failure.StaleConnection, "the connection was new")
	assert.True(t, failure.TargetClosed)
}

// Guards against losing a non-idempotent request, which cannot be retried, on a
// connection that the target has closed.
func TestMaxIdleTimeForcesNewConnection(t *testing.T) {
	server := newScriptedTarget(t, resetSecondRequest)
	f := New()
	defer f.Close()
	target := server.destination()
	target.MaxIdleTime = time.Nanosecond
	for range 5 {
		_, _, err := doExchange(t, f, target, getRequest("/"))
		require.NoError(t, err)
	}
	assert.Equal(t, 5, server.connectionCount())

	target.MaxConnections = 5
	_, _, err := doExchange(t, f, target, getRequest("/"))
	require.NoError(t, err, "at the limit an idle connection is closed for a new one")
	assert.Equal(t, 5, f.pool.openCount[target.Address])
}

// Guards against taking a target for one that accepts connections because of an idle
// connection that it has closed, and against a further connection where one is idle.
func TestCheckAccepting(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	f := New()
	defer f.Close()
	target := Target{Address: listener.Addr().String()}
	require.NoError(t, f.CheckAccepting(context.Background(), target))
	first := <-accepted
	require.NoError(t, f.CheckAccepting(context.Background(), target), "the connection is still open")
	assert.Empty(t, accepted)
	require.NoError(t, first.Close())
	require.Eventually(t, func() bool {
		return f.CheckAccepting(context.Background(), target) == nil && len(accepted) == 1
	}, hangTimeout, time.Millisecond, "another one is opened")
	require.NoError(t, listener.Close())
	_ = (<-accepted).Close()
	require.Eventually(t, func() bool { return f.CheckAccepting(context.Background(), target) != nil }, hangTimeout, time.Millisecond)
}
