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
	// heldBodyBytes is the largest body that is held in memory, so that the
	// request can be sent once more. Longer ones are passed on as they arrive.
	heldBodyBytes = 64 << 10
	// joinBytes is the buffer between the held part of a body and the rest.
	joinBytes = 512
)

// incoming is a request of a caller.
type incoming struct {
	http    *http.Request
	uri     string // Path and query as sent.
	path    string
	arrived time.Time
	held    []byte   // The body, when it is held.
	stream  *inbound // The body, when it is passed on as it arrives.
	close   bool     // The caller wants the connection closed.
}

// inbound is a body that is still arriving.
type inbound struct {
	io.Reader
	once sync.Once
	done chan struct{} // Closed when all of it was read, or it failed.
	err  error
}

func (b *inbound) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.once.Do(func() {
			b.err = err
			close(b.done)
		})
	}
	return n, err
}

// waitBody waits until the connection is at the next request. It returns false
// when that cannot be reached.
func (r *incoming) waitBody(answered <-chan struct{}) bool {
	if r.stream == nil {
		return true
	}
	select {
	case <-r.stream.done:
	case <-answered:
		select {
		case <-r.stream.done:
		default:
			return false
		}
	}
	return errors.Is(r.stream.err, io.EOF)
}

// headLimit bounds what is read while a head is expected. What is buffered
// from before counts for nothing: the buffer is smaller than any useful bound.
type headLimit struct {
	from     net.Conn
	active   bool
	left     int
	exceeded bool
}

var errHeadTooLarge = errors.New("request head is too large")

func (l *headLimit) Read(p []byte) (int, error) {
	if !l.active {
		return l.from.Read(p)
	}
	if l.left <= 0 {
		l.exceeded = true
		return 0, errHeadTooLarge
	}
	n, err := l.from.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// read reads a request whose first byte has arrived. It returns neither a
// request nor an answer when the caller has left.
func (c *conn) read() (*incoming, *answer) {
	limits := c.server.gateway.limits()
	request, err := http.ReadRequest(c.reader)
	c.limit.active = false
	if err != nil {
		return nil, c.unreadable(err)
	}
	r := &incoming{http: request, arrived: time.Now(), close: request.Close || !request.ProtoAtLeast(1, 1)}
	r.uri = request.RequestURI
	if !strings.HasPrefix(r.uri, "/") {
		r.uri = request.URL.RequestURI()
	}
	r.path, _, _ = strings.Cut(r.uri, "?")
	if limits.MaxBodyBytes > 0 && request.ContentLength > limits.MaxBodyBytes {
		return nil, ownAnswer(http.StatusRequestEntityTooLarge, "body-too-large")
	}
	if err := c.readBody(r, limits.MaxBodyBytes); err != nil {
		return nil, c.unreadable(err)
	}
	return r, nil
}

// readBody holds a short body and leaves a long one on the connection.
func (c *conn) readBody(r *incoming, most int64) error {
	body := r.http.Body
	if body == nil || body == http.NoBody {
		_ = c.Conn.SetReadDeadline(time.Time{})
		return nil
	}
	if strings.EqualFold(r.http.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	_ = c.Conn.SetReadDeadline(time.Time{})
	var reader io.Reader = body
	if most > 0 {
		reader = &bounded{from: body, left: most}
	}
	buffered := bufio.NewReaderSize(reader, joinBytes)
	held, err := io.ReadAll(io.LimitReader(buffered, heldBodyBytes+1))
	if err != nil {
		return err
	}
	if len(held) <= heldBodyBytes {
		r.held = held
		r.arrived = time.Now()
		return nil
	}
	r.stream = &inbound{Reader: io.MultiReader(bytes.NewReader(held), buffered), done: make(chan struct{})}
	return nil
}

var errBodyTooLarge = errors.New("request body is too large")

// bounded fails when more than a number of bytes is read.
type bounded struct {
	from io.Reader
	left int64
}

func (b *bounded) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// unreadable returns the answer to what cannot be read as a request, or nil
// when the caller has left.
func (c *conn) unreadable(err error) *answer {
	switch {
	case c.limit.exceeded:
		return ownAnswer(http.StatusRequestHeaderFieldsTooLarge, "head-too-large")
	case errors.Is(err, errBodyTooLarge):
		return ownAnswer(http.StatusRequestEntityTooLarge, "body-too-large")
	case isTimeout(err):
		return ownAnswer(http.StatusRequestTimeout, "head-too-slow")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), isReset(err):
		return nil
	}
	return ownAnswer(http.StatusBadRequest, "not-http")
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

func isReset(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}
