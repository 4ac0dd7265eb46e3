package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// maxBufferedBodyBytes is the largest body that is held in memory, so that the
	// request can be sent once more. Longer ones are passed on as they arrive.
	maxBufferedBodyBytes = 64 << 10
	// bodyReaderBytes is the buffer between the held part of a body and the rest.
	bodyReaderBytes = 512
)

// incomingRequest is a request of a caller.
type incomingRequest struct {
	httpRequest *http.Request
	uri         string // Path and query as sent.
	path        string
	arrived     time.Time
	body        []byte        // The body, when it is held.
	stream      *streamedBody // The body, when it is passed on as it arrives.
	close       bool          // The caller wants the connection closed.
}

// streamedBody is a body that is still arriving.
type streamedBody struct {
	io.Reader
	once     sync.Once
	finished chan struct{} // Closed when all of it was read, or it failed.
	err      error
}

func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.once.Do(func() {
			b.err = err
			close(b.finished)
		})
	}
	return n, err
}

// awaitBody waits until the connection is at the next request. It returns false
// when that cannot be reached.
func (r *incomingRequest) awaitBody(answered <-chan struct{}) bool {
	if r.stream == nil {
		return true
	}
	select {
	case <-r.stream.finished:
	case <-answered:
		select {
		case <-r.stream.finished:
		default:
			return false
		}
	}
	return errors.Is(r.stream.err, io.EOF)
}

// headLimiter bounds what is read while a head is expected. What is buffered
// from before counts for nothing: the buffer is smaller than any useful bound.
type headLimiter struct {
	source    net.Conn
	active    bool
	remaining int
	exceeded  bool
}

var errHeadTooLarge = errors.New("request head is too large")

func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.active {
		return l.source.Read(p)
	}
	if l.remaining <= 0 {
		l.exceeded = true
		return 0, errHeadTooLarge
	}
	n, err := l.source.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// readRequest reads a request whose first byte has arrived. It returns neither a
// request nor an answer when the caller has left.
func (c *conn) readRequest() (*incomingRequest, *response) {
	limits := c.server.gateway.limits()
	request, err := http.ReadRequest(c.reader)
	c.headLimit.active = false
	if err != nil {
		return nil, c.readErrorResponse(err)
	}
	r := &incomingRequest{httpRequest: request, arrived: time.Now(), close: request.Close || !request.ProtoAtLeast(1, 1)}
	r.uri = request.RequestURI
	if !strings.HasPrefix(r.uri, "/") {
		r.uri = request.URL.RequestURI()
	}
	r.path, _, _ = strings.Cut(r.uri, "?")
	if limits.MaxBodyBytes > 0 && request.ContentLength > limits.MaxBodyBytes {
		return nil, systemResponse(http.StatusRequestEntityTooLarge, "body-too-large")
	}
	if err := c.readBody(r, limits.MaxBodyBytes); err != nil {
		return nil, c.readErrorResponse(err)
	}
	return r, nil
}

// readBody holds a short body and leaves a long one on the connection.
func (c *conn) readBody(r *incomingRequest, most int64) error {
	body := r.httpRequest.Body
	if body == nil || body == http.NoBody {
		_ = c.Conn.SetReadDeadline(time.Time{})
		return nil
	}
	if strings.EqualFold(r.httpRequest.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	_ = c.Conn.SetReadDeadline(time.Time{})
	var reader io.Reader = body
	if most > 0 {
		reader = &limitedBody{source: body, remaining: most}
	}
	buffered := bufio.NewReaderSize(reader, bodyReaderBytes)
	held, err := io.ReadAll(io.LimitReader(buffered, maxBufferedBodyBytes+1))
	if err != nil {
		return err
	}
	if len(held) <= maxBufferedBodyBytes {
		r.body = held
		r.arrived = time.Now()
		return nil
	}
	r.stream = &streamedBody{Reader: io.MultiReader(bytes.NewReader(held), buffered), finished: make(chan struct{})}
	return nil
}

var errBodyTooLarge = errors.New("request body is too large")

// limitedBody fails when more than a number of bytes is read.
type limitedBody struct {
	source    io.Reader
	remaining int64
}

func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// readErrorResponse returns the answer to what cannot be read as a request, or nil
// when the caller has left.
func (c *conn) readErrorResponse(err error) *response {
	switch {
	case c.headLimit.exceeded:
		return systemResponse(http.StatusRequestHeaderFieldsTooLarge, "head-too-large")
	case errors.Is(err, errBodyTooLarge):
		return systemResponse(http.StatusRequestEntityTooLarge, "body-too-large")
	case isTimeout(err):
		return systemResponse(http.StatusRequestTimeout, "head-too-slow")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), isNetOpError(err):
		return nil
	}
	return systemResponse(http.StatusBadRequest, "not-http")
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

func isNetOpError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}
