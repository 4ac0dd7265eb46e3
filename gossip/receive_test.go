package gossip

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/events"
)

// failingConn fails a number of reads.
type failingConn struct {
	net.PacketConn
	failures atomic.Int32
}

func (c *failingConn) ReadFrom(p []byte) (int, net.Addr, error) {
	if c.failures.Add(-1) >= 0 {
		return 0, nil, errors.New("read failed")
	}
	return c.PacketConn.ReadFrom(p)
}

// Guards against an instance that hears nothing of its peers any more after one
// failed read.
func TestFailedReadsDoNotEndReception(t *testing.T) {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	conn := &failingConn{PacketConn: socket}
	conn.failures.Store(3)
	logger := &log.Logger{Handler: discard.New()}
	exchange := &Exchange{options: Options{Events: events.New(logger)}, conn: conn}
	done := make(chan struct{})
	go func() {
		defer close(done)
		exchange.receive()
	}()
	assert.Eventually(t, func() bool { return conn.failures.Load() < 0 }, 5*time.Second, 10*time.Millisecond, "reads go on")
	select {
	case <-done:
		assert.Fail(t, "reception ended")
	default:
	}
	_ = conn.Close()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		assert.Fail(t, "reception did not end with the socket")
	}
}
