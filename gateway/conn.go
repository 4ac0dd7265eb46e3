package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// maxPipelined limits the requests of a connection that run concurrently. It is
	// the capacity of conn.exchanges.
	maxPipelined = 64
	// readBufferBytes is the size of the read buffer of a caller's connection.
	readBufferBytes = 4 << 10
	// firstRequestTime is how long a new connection is kept for its first request
	// when idle connections are closed.
	firstRequestTime = 250 * time.Millisecond
)

// expiredDeadline, set as read deadline, interrupts a blocked read.
var expiredDeadline = time.Unix(1, 0)

// conn is a connection from a caller, or from a peer that uses this instance as
// a relay.
type conn struct {
	net.Conn
	server    *Server
	reader    *bufio.Reader
	headLimit headLimiter
	ctx       context.Context
	cancel    context.CancelFunc
	exchanges chan *exchange // In the order in which the requests arrived.

	mu        sync.Mutex
	pending   int       // Requests whose first byte has arrived and whose response is not yet written.
	undecided int       // Pending requests of which no byte of the response is written.
	closing   bool      // No further requests are read.
	idleSince time.Time // When the last response was written; before that, when the connection was accepted.
	// closeIdleRequested: the connection is closed when it has no pending request.
	closeIdleRequested bool
	// closeAfterRequest: the request that has arrived is the last one.
	closeAfterRequest bool
	closedIdle        bool // Closed by this side without a request.
	used              bool // A request has arrived.
	awaiting          bool // The reader waits for a request.
	ending            connEnding
	lastPassedOn      int       // Highest number of the exchanges that were passed on; see passOn.
	lastEnded         int       // Number of the last exchange whose response was written.
	streamed          *exchange // Its response is passed on while it arrives; nil if there is none.
}

// exchange is one request of a caller and its response.
type exchange struct {
	number   int // On its connection, in the order of arrival.
	request  *incomingRequest
	response *response     // Valid after ready is closed.
	ready    chan struct{} // Closed when response is set.
	ended    chan struct{} // Closed when the response was written, or writing has failed.
	interim  bool          // Only a place for a 100 response in the order of responses.
}

func newConn(ctx context.Context, s *Server, raw net.Conn) *conn {
	c := &conn{Conn: raw, server: s, idleSince: time.Now(), exchanges: make(chan *exchange, maxPipelined)}
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.headLimit.source = raw
	c.reader = bufio.NewReaderSize(&c.headLimit, readBufferBytes)
	return c
}

// serve serves the connection until it ends.
func (c *conn) serve() {
	defer c.server.removeConn(c)
	defer func() { _ = c.Conn.Close() }()
	defer c.logEnding()
	defer c.cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeLoop()
	}()
	disconnected := c.readLoop()
	close(c.exchanges)
	if disconnected {
		c.cancel()
		<-written
		return
	}
	if c.closedIdle {
		<-written
		if !c.server.stopping.Load() { // In a stop, all responses have arrived long ago.
			c.lingerUnread()
		}
		return
	}
	// A disconnect must still be detected while responses are pending.
	inputEnded := make(chan struct{})
	go func() {
		defer close(inputEnded)
		c.discardInput()
	}()
	<-written
	c.linger(inputEnded)
}

// readLoop reads requests and handles each in a goroutine of its own, so that
// pipelined requests run concurrently. It reports whether the caller has
// disconnected.
func (c *conn) readLoop() bool {
	for number := 1; ; number++ {
		if !c.awaitRequest() {
			return !c.isClosing()
		}
		request, errorResponse := c.readRequest()
		if request == nil && errorResponse == nil {
			c.setCause(causeInputEnded) // Unless readErrorResponse has set another one.
			return true
		}
		c.server.inFlight.Add(1)
		if request != nil && errorResponse != nil {
			if c.isLastRequest() || len(c.server.gateway.Headers.RequestID(request.httpRequest.Header)) > maxKeptRequestID {
				request.close = true
			}
			if request.close {
				c.setClosing()
			}
			c.exchanges <- c.refusedExchange(number, request, errorResponse)
			if request.close {
				return false
			}
			continue
		}
		ex := &exchange{number: number, request: request, ready: make(chan struct{}), ended: make(chan struct{})}
		if errorResponse != nil {
			c.setClosing()
			ex.response = errorResponse
			close(ex.ready)
			c.exchanges <- ex
			return false
		}
		if c.isLastRequest() {
			request.close = true
			c.setClosing()
		}
		request.beginStream = func() bool { return c.beginStream(ex) }
		request.isNext = func() bool { return c.isNext(ex) }
		c.exchanges <- ex
		go func() {
			defer close(ex.ready)
			if !c.passOn(ex) {
				c.server.gateway.abandon(request)
				ex.response = systemResponse(statusCallerLeft, reasonCallerLeft)
				return
			}
			ex.response = c.server.handler(c.ctx, request)
		}()
		if !request.awaitBody(ex.ended) || request.close {
			c.setClosing()
			return false
		}
	}
}

// awaitRequest waits for the first byte of a request. It returns false when no
// further request is to be read.
func (c *conn) awaitRequest() bool {
	for {
		c.mu.Lock()
		if c.closing {
			c.mu.Unlock()
			return false
		}
		switch {
		case c.pending == 0:
			_ = c.Conn.SetReadDeadline(c.idleDeadline())
		case c.closeIdleRequested && c.undecided > 0:
			c.stopReading()
			c.mu.Unlock()
			return false
		}
		c.awaiting = true
		c.mu.Unlock()
		if maxHead := c.server.gateway.limits().MaxHeadBytes; maxHead > 0 {
			c.headLimit.active, c.headLimit.remaining = true, maxHead+c.server.extraHeadBytes
		}
		_, err := c.reader.Peek(1)
		if awaited, done := c.inputAwaited(err); done {
			return awaited
		}
	}
}

// inputAwaited evaluates the end of a wait for a request. It reports whether a
// request is to be read, and whether the wait is over.
func (c *conn) inputAwaited(err error) (awaited, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = false
	switch {
	case err == nil && !c.closing:
		c.pending++
		c.undecided++
		c.used = true
		_ = c.Conn.SetReadDeadline(c.headDeadline())
		return true, true
	case c.closing:
		return false, true
	case !isTimeout(err):
		c.ending.set(causeOfReadError(err))
		return false, true
	case c.pending > 0 || c.closeAfterRequest:
		_ = c.Conn.SetReadDeadline(time.Time{}) // The connection is not idle.
		return false, false
	}
	if deadline := c.idleDeadline(); deadline.IsZero() || time.Now().Before(deadline) {
		return false, false // A newer configuration has a longer limit.
	}
	// The idle limit has passed, or the server closes idle connections. A request
	// may have arrived that there was no processor time to read.
	if len(c.peekInput()) > 0 {
		c.closeAfterRequest = true
		return false, false
	}
	c.closing, c.closedIdle = true, true
	c.ending.set(causeIdleLimit)
	if c.closeIdleRequested {
		c.ending.cause = causePlannedStop
	}
	return false, true
}

// idleDeadline returns when an idle connection is to be closed.
func (c *conn) idleDeadline() time.Time {
	switch {
	case c.closeAfterRequest:
		return time.Time{}
	case c.closeIdleRequested && !c.used:
		return c.idleSince.Add(c.server.firstRequestTime)
	case c.closeIdleRequested:
		return expiredDeadline
	}
	if c.server.idleTimeout > 0 {
		return c.idleSince.Add(c.server.idleTimeout)
	}
	if d := c.server.gateway.limits().IdleTimeout; d > 0 {
		return c.idleSince.Add(d)
	}
	return time.Time{}
}

func (c *conn) headDeadline() time.Time {
	if d := c.server.gateway.limits().HeadTimeout; d > 0 {
		return time.Now().Add(d)
	}
	return time.Time{}
}

// closesAfterResponse reports whether the connection is closed after the response
// that is about to be written. If the server is draining and this is the last
// pending response, it also stops reading further requests. If the body of the
// request has not been read to its end, it may never be.
func (c *conn) closesAfterResponse(request *incomingRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.undecided--
	if request != nil && !request.bodyRead() {
		c.closing = true
	}
	if c.closing {
		return c.pending == 1
	}
	if (c.server.draining.Load() || c.closeIdleRequested) && c.pending == 1 {
		c.stopReading()
		return true
	}
	return false
}

// responseWritten completes a request. If it was the last pending one, the idle
// timeout starts.
func (c *conn) responseWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.idleSince = time.Now()
	if c.pending == 0 && !c.closing {
		_ = c.Conn.SetReadDeadline(c.idleDeadline())
	}
}

// closeIdle closes the connection if it has no pending request. A request that has
// arrived and was not read yet is served first. If requests are pending, no further
// ones are read, and the connection is closed after the last response.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIdleRequested = true
	switch {
	case c.closing || !c.awaiting:
	case c.pending == 0:
		_ = c.Conn.SetReadDeadline(c.idleDeadline())
	case c.undecided > 0:
		c.stopReading()
	}
	// Otherwise the last response was written without an announcement of the close,
	// and responseWritten is about to be called.
}

// stopReading makes the reader stop before the next request.
func (c *conn) stopReading() {
	c.closing = true
	c.ending.set(causePlannedStop)
	if c.awaiting {
		_ = c.Conn.SetReadDeadline(expiredDeadline)
	}
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// isLastRequest reports whether the request that was just read is the last one.
func (c *conn) isLastRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeAfterRequest
}

// isPipelined reports whether the request that is being read is behind others of whose
// responses no byte is written. A caller may have received a whole response and sent
// the next request before the writer counts the response as written.
func (c *conn) isPipelined() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.undecided > 1
}

func (c *conn) setClosing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

// discardInput reads until the caller closes the connection, then cancels its
// requests.
func (c *conn) discardInput() {
	_ = c.Conn.SetReadDeadline(time.Time{})
	_, err := io.Copy(discardCounter{c}, c.Conn)
	c.mu.Lock()
	if c.pending > 0 {
		c.ending.set(causeOfReadError(err))
	}
	c.mu.Unlock()
	if !isTimeout(err) {
		c.cancel()
	}
}

// discardCounter counts discarded bytes.
type discardCounter struct{ conn *conn }

func (counter discardCounter) Write(p []byte) (int, error) {
	counter.conn.mu.Lock()
	defer counter.conn.mu.Unlock()
	counter.conn.ending.discarded += len(p)
	return len(p), nil
}

// linger closes the sending side and waits up to lingerTimeout for the caller to
// close its side.
func (c *conn) linger(inputEnded <-chan struct{}) {
	c.closeWrite()
	select {
	case <-inputEnded:
	case <-time.After(lingerTimeout):
	}
}

func (c *conn) closeWrite() {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
}

// lingerUnread closes the sending side of an idle connection and waits until the
// caller has closed its side or has sent a request. Such a request stays unread:
// the connection is reset, and the caller may send the request again whatever its
// kind.
func (c *conn) lingerUnread() {
	c.closeWrite()
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_ = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN
	})
}
