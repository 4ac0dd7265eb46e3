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

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/forward"
)

const (
	// maxBufferedBodyBytes is the largest request body that is buffered in memory,
	// so that the request can be retried. Longer bodies are streamed.
	maxBufferedBodyBytes = 64 << 10
	// bodyReaderBytes is the size of the read buffer for request bodies.
	bodyReaderBytes = 512
)

// incomingRequest is a request as read from a caller.
type incomingRequest struct {
	httpRequest *http.Request
	uri         string // Path and query as the caller sent them.
	path        string
	arrived     time.Time      // When the head, or all of a buffered body, was read.
	body        []byte         // The buffered body; nil when it is streamed or empty.
	stream      *streamedBody  // The streamed body; nil when it is buffered or empty.
	prefixHash  uint64         // Hash of the start of a streamed body.
	close       bool           // The caller wants the connection closed after the response.
	beginStream func() bool    // See conn.beginStream.
	isNext      func() bool    // See conn.isNext.
	pipelined   bool           // Behind another request on its connection.
	bodyArrived bool           // The whole body had arrived with the head.
	routed      *routedRequest // Set when the request of a caller is accepted.
	held        heldMemory     // The memory that is reserved until the response has been written.
	// heldResponses is the number of slots of Gateway.heldResponses that are used for
	// this request until its response has been written.
	heldResponses int32
}

// streamedBody is a request body that is forwarded while it arrives.
type streamedBody struct {
	io.Reader
	mu       sync.Mutex    // Held while finished is closed or the read deadline is set.
	finished chan struct{} // Closed at the end of the body or at a read error.
	err      error         // The final error of Read; valid after finished is closed.
	conn     net.Conn
}

// interrupt ends a Read that waits for the caller.
func (b *streamedBody) interrupt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.finished:
	default:
		_ = b.conn.SetReadDeadline(expiredDeadline)
	}
}

func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == nil {
		return n, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.finished:
	default:
		b.err = err
		close(b.finished)
	}
	return n, err
}

// awaitBody waits until the body was read completely, so that the next request
// can be read from the connection. It returns false when that is not possible:
// reading failed, or the response was written before the end of the body. Until
// then, nothing else may read from the connection.
func (r *incomingRequest) awaitBody(responseWritten <-chan struct{}) bool {
	if r.stream == nil {
		return true
	}
	select {
	case <-r.stream.finished:
	case <-responseWritten:
	}
	return r.bodyRead()
}

// bodyRead reports whether the body was read to its end.
func (r *incomingRequest) bodyRead() bool {
	if r.stream == nil {
		return true
	}
	select {
	case <-r.stream.finished:
		return errors.Is(r.stream.err, io.EOF)
	default:
		return false
	}
}

// headLimiter limits the bytes read while a request head is expected. Bytes that
// were buffered before are not counted, as the buffer is smaller than any useful
// limit. While recording is set, it also keeps what is read and a read error.
type headLimiter struct {
	source    net.Conn
	active    bool
	remaining int
	exceeded  bool
	recording bool
	recorded  []byte
	err       error
}

var errHeadTooLarge = errors.New("request head exceeds the size limit")

func (limiter *headLimiter) Read(p []byte) (int, error) {
	n, err := limiter.readLimited(p)
	if limiter.recording {
		limiter.recorded = append(limiter.recorded, p[:n]...)
		limiter.err = err
	}
	return n, err
}

func (limiter *headLimiter) readLimited(p []byte) (int, error) {
	if !limiter.active {
		return limiter.source.Read(p)
	}
	if limiter.remaining <= 0 {
		limiter.exceeded = true
		return 0, errHeadTooLarge
	}
	n, err := limiter.source.Read(p[:min(len(p), limiter.remaining)])
	limiter.remaining -= n
	return n, err
}

// parseHead reads a request head. It refuses heads that net/http accepts although
// they do not tell for certain where the body ends or what is to be executed.
func (c *conn) parseHead() (*http.Request, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // Never fails for what is buffered.
	c.headLimit.recorded, c.headLimit.err, c.headLimit.recording = bytes.Clone(buffered), nil, true
	request, err := http.ReadRequest(c.reader)
	head, readErr := c.headLimit.recorded, c.headLimit.err
	c.headLimit.active, c.headLimit.recording, c.headLimit.recorded, c.headLimit.err = false, false, nil, nil
	switch {
	case readErr != nil: // net/http takes what precedes a read error for a whole line.
		return nil, readErr
	case err != nil:
		return nil, err
	case forward.IsAmbiguousRequest(head, request), c.server.gateway.Headers.ConflictingIDs(request.Header):
		return nil, errAmbiguousHead
	}
	return request, nil
}

var errAmbiguousHead = errors.New("ambiguous request head")

// readRequest reads a request whose first byte has arrived. It returns an error
// response for an invalid request, and neither a request nor a response when the
// caller has disconnected. If it returns both, the request is refused, and the next
// one can be read.
func (c *conn) readRequest() (*incomingRequest, *response) {
	request, refusal, unreadable := c.readRequestUnlogged()
	if unreadable {
		c.server.gateway.events.Emit(events.RequestUnreadable, log.Fields{"reason": refusal.reason, "status": refusal.status, "caller": c.Conn.RemoteAddr().String()})
	}
	return request, refusal
}

func (c *conn) readRequestUnlogged() (_ *incomingRequest, refusal *response, unreadable bool) {
	limits := c.server.gateway.limits()
	httpRequest, err := c.parseHead()
	if err != nil {
		refusal = c.readErrorResponse(err)
		return nil, refusal, refusal != nil
	}
	r := &incomingRequest{httpRequest: httpRequest, arrived: time.Now(), close: httpRequest.Close || !httpRequest.ProtoAtLeast(1, 1)}
	r.uri = pathAndQuery(httpRequest)
	r.path, _, _ = strings.Cut(r.uri, "?")
	if limits.MaxBodyBytes > 0 && httpRequest.ContentLength > limits.MaxBodyBytes {
		return nil, systemResponse(http.StatusRequestEntityTooLarge, "body-too-large"), true
	}
	r.pipelined, r.bodyArrived = c.isPipelined(), c.bodyArrived(httpRequest)
	if refusal := c.server.accept(r); refusal != nil {
		if !c.discardRefusedBody(httpRequest) {
			return nil, refusal, false
		}
		return r, refusal, false
	}
	if err := c.readBody(r, limits.MaxBodyBytes); err != nil {
		c.server.gateway.abandon(r)
		if isTimeout(err) {
			return nil, systemResponse(http.StatusRequestTimeout, "body-too-slow"), true
		}
		refusal = c.readErrorResponse(err)
		return nil, refusal, refusal != nil
	}
	return r, nil, false
}

// bodyArrived reports whether the whole body of the request that was just read has
// arrived.
func (c *conn) bodyArrived(request *http.Request) bool {
	return request.ContentLength >= 0 && request.ContentLength <= int64(c.reader.Buffered())
}

// pathAndQuery returns the path and query of a request as the caller sent them.
func pathAndQuery(request *http.Request) string {
	uri := request.RequestURI
	if strings.HasPrefix(uri, "/") {
		return uri
	}
	_, rest, isAbsolute := strings.Cut(uri, "://")
	if !isAbsolute || request.URL.Opaque != "" {
		return request.URL.RequestURI()
	}
	// URL.RequestURI encodes characters that are not valid in a path.
	start := strings.IndexAny(rest, "/?")
	switch {
	case start < 0:
		return "/"
	case rest[start] == '?':
		return "/" + rest[start:]
	}
	return rest[start:]
}

// readBody buffers a body of up to maxBufferedBodyBytes in request.body. It sets
// request.stream for a longer one.
func (c *conn) readBody(request *incomingRequest, maxBytes int64) error {
	body := request.httpRequest.Body
	if body == nil || body == http.NoBody {
		_ = c.Conn.SetReadDeadline(time.Time{})
		return nil
	}
	if expectsContinue(request.httpRequest) {
		// Earlier responses may not be complete. An error ends the connection.
		c.exchanges <- &exchange{interim: true}
	}
	// A caller gives up at its deadline.
	timeLeft, ok := c.server.gateway.Headers.Deadline(request.httpRequest.Header)
	if !ok || timeLeft <= 0 {
		timeLeft = defaultTimeout
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(timeLeft))
	defer func() { _ = c.Conn.SetReadDeadline(time.Time{}) }()
	var reader io.Reader = body
	if maxBytes > 0 {
		reader = &limitedBody{source: body, remaining: maxBytes}
	}
	buffered := bufio.NewReaderSize(reader, bodyReaderBytes)
	var prefix bytes.Buffer
	if length := request.httpRequest.ContentLength; length >= 0 { // Avoids copies while the buffer grows.
		prefix.Grow(int(min(length, maxBufferedBodyBytes)) + bytes.MinRead)
	}
	if _, err := prefix.ReadFrom(io.LimitReader(buffered, maxBufferedBodyBytes+1)); err != nil {
		return err
	}
	if prefix.Len() <= maxBufferedBodyBytes {
		request.body = prefix.Bytes()
		request.held.release(request.held.bytes - int64(prefix.Len()))
		request.arrived = time.Now()
		return nil
	}
	request.prefixHash = xxhash.Sum64(prefix.Bytes())
	request.stream = &streamedBody{Reader: io.MultiReader(&prefix, buffered), finished: make(chan struct{}), conn: c.Conn}
	return nil
}

var errBodyTooLarge = errors.New("request body exceeds the size limit")

// limitedBody returns errBodyTooLarge when the body exceeds a number of bytes.
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

// readErrorResponse returns the response to a request that could not be read, or
// nil when the caller has disconnected.
func (c *conn) readErrorResponse(err error) *response {
	switch {
	case c.headLimit.exceeded:
		return systemResponse(http.StatusRequestHeaderFieldsTooLarge, "head-too-large")
	case errors.Is(err, errBodyTooLarge):
		return systemResponse(http.StatusRequestEntityTooLarge, "body-too-large")
	case errors.Is(err, errAmbiguousHead):
		return systemResponse(http.StatusBadRequest, "invalid-request")
	case isTimeout(err):
		return systemResponse(http.StatusRequestTimeout, "head-too-slow")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), isNetOpError(err):
		c.setCause(causeOfReadError(err))
		return nil
	}
	return systemResponse(http.StatusBadRequest, "not-http")
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func isNetOpError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr)
}
