package gateway

import (
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
)

// endCause is the reason why a connection of a caller ended.
type endCause string

const (
	// causeInputEnded: the caller closed the connection or shut down its sending
	// side. The kernel does not tell which.
	causeInputEnded    endCause = "input-ended"
	causeReset         endCause = "reset"           // The caller reset the connection.
	causeReadFailed    endCause = "read-failed"     // Any other error of the socket.
	causeWriteFailed   endCause = "write-failed"    // The caller no longer accepts a response.
	causeWriteTimedOut endCause = "write-timed-out" // The caller did not read for writeTimeout.
	causeBodyFailed    endCause = "response-failed" // The target's response ended before its end.
	causeIdleLimit     endCause = "idle-limit"
	causePlannedStop   endCause = "planned-stop" // Closed after a response or while idle.
	causeStopEnded     endCause = "stop-ended"   // Still open at the end of a planned stop.
	causeAfterResponse endCause = "after-response"
)

const (
	// maxLoggedRequests limits the request IDs in a log line.
	maxLoggedRequests = 8
	// maxPeekedBytes limits the unread bytes of a socket that are counted.
	maxPeekedBytes = 4 << 10
)

// byCaller reports whether the caller ended the connection.
func (cause endCause) byCaller() bool {
	switch cause {
	case causeInputEnded, causeReset, causeReadFailed, causeWriteFailed:
		return true
	}
	return false
}

// connEnding describes how a connection ended.
type connEnding struct {
	cause      endCause // The first that was observed.
	unanswered int      // Requests that were read and have no complete response.
	requests   []string // IDs of the first maxLoggedRequests of them.
	discarded  int      // Bytes that arrived after the last request that was read.
}

func (ending *connEnding) set(cause endCause) {
	if ending.cause == "" {
		ending.cause = cause
	}
}

// setCause records why the connection ends, unless a cause is already known.
func (c *conn) setCause(cause endCause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending.set(cause)
}

// addUnanswered counts a request that gets no complete response.
func (c *conn) addUnanswered(ex *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending.unanswered++
	if ex.request != nil && len(c.ending.requests) < maxLoggedRequests {
		c.ending.requests = append(c.ending.requests, c.server.gateway.Headers.RequestID(ex.request.httpRequest.Header))
	}
}

// logEnding logs a connection that ends with requests unanswered or bytes unread.
// Neither the reader nor the writer may be running.
func (c *conn) logEnding() {
	c.mu.Lock()
	defer c.mu.Unlock()
	ending := &c.ending
	unread := ending.discarded + c.reader.Buffered()
	if !ending.cause.byCaller() {
		unread += len(c.peekInput())
	}
	// A request that was being read is not in ending.unanswered.
	unanswered := ending.unanswered + c.pending
	if unanswered == 0 && unread == 0 {
		return
	}
	ending.set(causeAfterResponse)
	event := events.ConnectionCut
	if ending.cause.byCaller() {
		event = events.CallerLeft
	}
	c.server.gateway.events.Emit(event, log.Fields{"cause": string(ending.cause), "caller": c.Conn.RemoteAddr().String(),
		"unanswered": unanswered, "requests": ending.requests, "unreadBytes": unread})
}

// peekInput returns up to maxPeekedBytes that have arrived and were not read. It
// does not block and leaves them in the socket.
func (c *conn) peekInput() []byte {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	buffer := make([]byte, maxPeekedBytes)
	n := 0
	controlErr := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil || err != nil {
		return nil // Nothing has arrived, or the connection has ended.
	}
	return buffer[:max(n, 0)]
}

func causeOfReadError(err error) endCause {
	switch {
	case err == nil, errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return causeInputEnded
	case errors.Is(err, syscall.ECONNRESET):
		return causeReset
	case errors.Is(err, net.ErrClosed):
		return "" // This side closed the connection and has recorded why.
	}
	return causeReadFailed
}

func causeOfWriteError(err error) endCause {
	var opErr *net.OpError
	switch {
	case err == nil, errors.Is(err, net.ErrClosed):
		return ""
	case isTimeout(err) && errors.As(err, &opErr) && opErr.Op == "write":
		return causeWriteTimedOut
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return causeWriteFailed
	}
	return causeBodyFailed
}
