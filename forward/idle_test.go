package forward

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// resetSecondRequest answers one request on each connection and resets it on the next
// one, as a target does that has dropped an idle connection without notice.
func resetSecondRequest(_ int, c *scriptedConn) {
	if c.readRequest() == nil {
		return
	}
	c.send(okResponse("x"))
	if c.readRequest() != nil {
		c.reset()
	}
}

// Guards against a dropped connection that counts as a failure of the target.
func TestStaleConnectionIsDistinguishedFromCrash(t *testing.T) {
	to := newScriptedTarget(t, resetSecondRequest)
	f := New()
	f.staleThreshold = time.Minute // The test must not depend on the speed of the machine.
	defer f.Close()
	_, _, err := doExchange(t, f, to.destination(), getRequest("/"))
	require.NoError(t, err)
	_, _, err = doExchange(t, f, to.destination(), getRequest("/"))
	var failure *Error
	require.True(t, errors.As(err, &failure))
	assert.True(t, failure.StaleConnection)
	assert.Equal(t, StageRequestSent, failure.Stage, "whether it was executed is not known")

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

// Guards against a request that must run once and is lost on a connection that
// the target has dropped.
func TestMaxIdleTimeForcesNewConnection(t *testing.T) {
	to := newScriptedTarget(t, resetSecondRequest)
	f := New()
	defer f.Close()
	fresh := to.destination()
	fresh.MaxIdleTime = time.Nanosecond
	for range 5 {
		_, _, err := doExchange(t, f, fresh, getRequest("/"))
		require.NoError(t, err)
	}
	assert.Equal(t, 5, to.connectionCount())

	fresh.MaxConnections = 5
	_, _, err := doExchange(t, f, fresh, getRequest("/"))
	require.NoError(t, err, "an idle connection makes room for a new one")
	assert.Equal(t, 5, f.pool.openCount[fresh.Address])
}
