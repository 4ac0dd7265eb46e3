package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
)

const (
	// maxPipelined bounds the requests of a connection that run at one time.
	maxPipelined = 64
	// readBufferBytes is the buffer for what a caller sends.
	readBufferBytes = 4 << 10
)

// longAgo as a read deadline ends a read that waits.
var longAgo = time.Unix(1, 0)

// conn is a connection of a caller.
type conn struct {
	net.Conn
	server *Server
	reader *bufio.Reader
	limit  headLimit
	ctx    context.Context
	cancel context.CancelFunc
	queue  chan *exchange // In the order in which the requests arrived.

	mu      sync.Mutex
	pending int  // Requests whose first byte has arrived and whose answer is not written.
	closing bool // No further request is read.
}

// exchange is one request of a caller with its answer.
type exchange struct {
	request *incoming
	answer  *answer       // Valid after ready is closed.
	ready   chan struct{} // Closed when the answer is known.
}

func newConn(ctx context.Context, s *Server, raw net.Conn) *conn {
	c := &conn{Conn: raw, server: s, queue: make(chan *exchange, maxPipelined)}
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.limit.from = raw
	c.reader = bufio.NewReaderSize(&c.limit, readBufferBytes)
	return c
}

// run serves the connection until it ends.
func (c *conn) run() {
	defer c.server.forget(c)
	defer func() { _ = c.Conn.Close() }()
	defer c.cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeAnswers()
	}()
	left := c.readRequests()
	close(c.queue)
	if left {
		c.left()
		<-written
		return
	}
	// The end of the connection still has to be noticed while answers are due.
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		c.discard()
	}()
	<-written
	c.linger(gone)
}

// readRequests starts each request as it arrives. It reports whether the
// caller has left.
func (c *conn) readRequests() bool {
	for {
		if !c.await() {
			return !c.isClosing()
		}
		r, refused := c.read()
		if r == nil && refused == nil {
			return true
		}
		x := &exchange{request: r, ready: make(chan struct{})}
		c.server.inFlight.Add(1)
		if refused != nil {
			c.setClosing()
			x.answer = refused
			close(x.ready)
			c.queue <- x
			return false
		}
		c.queue <- x
		go func() {
			defer close(x.ready)
			x.answer = c.server.serve(c.ctx, r)
		}()
		if !r.waitBody(x.ready) || r.close {
			c.setClosing()
			return false
		}
	}
}

// await waits for the first byte of a request.
func (c *conn) await() bool {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	if c.pending == 0 {
		_ = c.Conn.SetReadDeadline(c.idleDeadline())
	}
	c.mu.Unlock()
	if most := c.server.gateway.limits().MaxHeadBytes; most > 0 {
		c.limit.active, c.limit.left = true, most+c.server.extra
	}
	_, err := c.reader.Peek(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		// An idle connection whose time is over is closed on this side.
		if isTimeout(err) && c.pending == 0 {
			c.closing = true
		}
		return false
	}
	if c.closing {
		return false
	}
	c.pending++
	_ = c.Conn.SetReadDeadline(c.headDeadline())
	return true
}

func (c *conn) idleDeadline() time.Time {
	if c.server.idle > 0 {
		return time.Now().Add(c.server.idle)
	}
	if d := c.server.gateway.limits().IdleTimeout; d > 0 {
		return time.Now().Add(d)
	}
	return time.Time{}
}

func (c *conn) headDeadline() time.Time {
	if d := c.server.gateway.limits().HeadTimeout; d > 0 {
		return time.Now().Add(d)
	}
	return time.Time{}
}

// lastAnswer reports whether the connection closes after the answer that is
// about to be written. From then on no further request is read.
func (c *conn) lastAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return c.pending == 1
	}
	if c.server.stopping.Load() && c.pending == 1 {
		c.closing = true
		_ = c.Conn.SetReadDeadline(longAgo)
		return true
	}
	return false
}

// answerWritten ends a request and starts the time that the connection may be
// idle.
func (c *conn) answerWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.pending == 0 && !c.closing {
		_ = c.Conn.SetReadDeadline(c.idleDeadline())
	}
}

// closeIdle closes the connection when it has no request.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && !c.closing {
		c.closing = true
		_ = c.Conn.SetReadDeadline(longAgo)
	}
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

func (c *conn) setClosing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

// left ends the requests of a caller that has gone.
func (c *conn) left() {
	c.mu.Lock()
	pending := c.pending
	c.mu.Unlock()
	if pending > 0 {
		c.server.gateway.events.Emit(events.CallerLeft, log.Fields{"unanswered": pending})
	}
	c.cancel()
}

// discard reads until the caller ends the connection, then ends its requests.
func (c *conn) discard() {
	_ = c.Conn.SetReadDeadline(time.Time{})
	_, err := io.Copy(io.Discard, c.Conn)
	if !isTimeout(err) {
		c.cancel()
	}
}

// linger closes the sending side and gives the caller time to close its own.
func (c *conn) linger(gone <-chan struct{}) {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	select {
	case <-gone:
	case <-time.After(lingerTime):
	}
}
