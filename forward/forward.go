package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	maxInterimResponses = 8
	// maxLateResponses is the number of late responses to earlier requests that
	// are skipped while waiting for the response to one request.
	maxLateResponses = 4
	// maxLateBodyBytes is the size limit for the body of a skipped response.
	maxLateBodyBytes = 1 << 20
	// defaultStaleThreshold is the time within which a failure on a reused
	// connection is taken for a stale connection: a round trip between regions
	// plus a margin. A target that fails while executing a request takes longer.
	defaultStaleThreshold = 150 * time.Millisecond
)

// Forwarder sends requests over connections that it opens and pools. It is safe
// for concurrent use.
type Forwarder struct {
	pool           *pool
	staleThreshold time.Duration // See defaultStaleThreshold.
}

// New returns a Forwarder with the default idle timeout.
func New() *Forwarder { return NewWithIdleTimeout(defaultIdleTimeout) }

// NewWithIdleTimeout returns a Forwarder that keeps idle connections for at most
// the given time. The servers it connects to must keep them longer.
func NewWithIdleTimeout(idle time.Duration) *Forwarder {
	return &Forwarder{pool: newPool(idle), staleThreshold: defaultStaleThreshold}
}

// Preconnect opens a connection for later use, unless an idle one exists.
func (f *Forwarder) Preconnect(ctx context.Context, target Target) error {
	if f.HasIdle(target.Address) {
		return nil
	}
	conn, err := f.pool.open(ctx, target)
	if err != nil {
		return &Error{Target: target.Address, Stage: StageConnect, Err: err}
	}
	f.pool.release(target.Address, conn)
	return nil
}

// CheckAccepting returns an error unless the target accepts connections. It opens
// one for later use, unless there is an idle one that the target has not closed.
func (f *Forwarder) CheckAccepting(ctx context.Context, target Target) error {
	f.pool.pruneIdleTo(target.Address, time.Now())
	return f.Preconnect(ctx, target)
}

// Close closes the idle connections. Connections in use are closed when their
// exchange ends.
func (f *Forwarder) Close() { f.pool.close() }

// PruneIdle closes the connections that have exceeded the idle timeout, that
// the target has closed, or on which it has sent unsolicited bytes. It must be
// called periodically: otherwise such connections stay open at targets that get
// no further requests.
func (f *Forwarder) PruneIdle() { f.pool.pruneIdle(time.Now()) }

// CloseIdle closes all idle connections. It is used after the process was
// paused, when their recorded idle times are wrong.
func (f *Forwarder) CloseIdle() { f.pool.pruneIdle(time.Now().Add(2 * f.pool.idleTimeout)) }

// HasIdle reports whether the pool has a usable idle connection to an address.
func (f *Forwarder) HasIdle(address string) bool { return f.pool.hasIdle(address, time.Now()) }

// Response is the head of a target's response and its body, which is streamed.
// Body must be closed. CleanResponseHeaders has not been applied to Header.
type Response struct {
	Status int
	Match  ResponseMatch // MatchesRequest or NoRequestID.
	Header http.Header
	Length int64 // Bytes of the body; -1 when unknown.
	Body   io.ReadCloser
}

// exchange is one request and its response on a connection.
type exchange struct {
	forwarder           *Forwarder
	ctx                 context.Context
	target              Target
	conn                *conn
	stopWatchingContext func() bool   // Prevents the end of ctx from closing the connection; see context.AfterFunc.
	closedByContext     chan struct{} // Closed when the connection was closed at the end of ctx.
	started             time.Time
	requestDone         chan struct{} // Closed when writing the request has ended.
	writeErr            error         // Valid after requestDone is closed.
	bodyFailed          atomic.Bool   // The connection was closed because the request body could not be read.
	interruptBody       func()        // See Request.InterruptBody; may be nil.
	skippedResponse     bool          // The connection carried a response to another request.
}

// Do sends the request and reads the response head. Errors have the type *Error.
// When ctx ends, the connection is closed, even while the response body is being
// read. The request body is not read after Do has failed or after the response
// body was closed.
func (f *Forwarder) Do(ctx context.Context, target Target, request *Request) (*Response, error) {
	if err := request.validate(); err != nil {
		return nil, &Error{Target: target.Address, Stage: StageConnect, Err: err}
	}
	c, err := f.connect(ctx, target, request)
	if err != nil {
		return nil, &Error{Target: target.Address, Stage: StageConnect, Err: err}
	}
	ex := &exchange{forwarder: f, ctx: ctx, target: target, conn: c, started: time.Now(), requestDone: make(chan struct{}), interruptBody: request.InterruptBody}
	ex.closedByContext = make(chan struct{})
	ex.stopWatchingContext = context.AfterFunc(ctx, func() {
		defer close(ex.closedByContext)
		_ = c.Close()
	})
	c.addRequestID(request.ID)
	ex.sendRequest(request)
	response, match, err := ex.readResponse(request)
	if err != nil {
		return nil, ex.fail(err)
	}
	return ex.newResponse(response, match, request), nil
}

func (f *Forwarder) connect(ctx context.Context, target Target, request *Request) (*conn, error) {
	if request.NewConnection {
		return f.pool.open(ctx, target)
	}
	return f.pool.acquire(ctx, target, request.ID)
}

// readResponse reads the head of the response to the request and skips late
// responses to earlier requests.
func (ex *exchange) readResponse(r *Request) (*http.Response, ResponseMatch, error) {
	for range maxLateResponses + 1 {
		response, err := ex.readHead(r.Method)
		if err != nil || r.MatchResponse == nil {
			return response, MatchesRequest, err
		}
		switch match := r.MatchResponse(response.Header); match {
		case MatchesRequest:
			return response, match, nil
		case NoRequestID:
			// On a new connection there is no earlier request that the
			// response could belong to.
			if !ex.conn.reused && !ex.skippedResponse {
				return response, match, nil
			}
			return nil, match, errNoRequestID
		}
		ex.skippedResponse = true
		if !canSkip(response, r.Method) {
			return nil, OtherRequest, errLateResponses
		}
		if err := discardBody(response.Body); err != nil {
			return nil, OtherRequest, err
		}
	}
	return nil, OtherRequest, errLateResponses
}

// canSkip reports whether the next response on the connection can be found after
// the body of a late response. The late response was parsed as a response to the
// given method, and a response to HEAD has no body whatever length it declares.
func canSkip(response *http.Response, method string) bool {
	if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return false
	}
	return method != http.MethodHead || response.ContentLength == 0
}

// discardBody reads the body of a late response to its end, where the next head
// begins. A body over the limit is an error, because the bytes that follow the
// limit must not be parsed as a head.
func discardBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxLateBodyBytes+1))
	if err == nil && n > maxLateBodyBytes {
		return errLateResponses
	}
	return err
}

// sendRequest sends the request. A streamed body is sent concurrently with
// reading the response, since a target may respond before it has read the whole
// body.
func (ex *exchange) sendRequest(r *Request) {
	if r.Body == nil || r.bodyInMemory() {
		ex.writeRequest(r)
		return
	}
	go ex.writeRequest(r)
}

// writeRequest writes the request to the connection. When the request body
// cannot be read, the connection is closed so that the target does not treat the
// truncated request as complete.
func (ex *exchange) writeRequest(r *Request) {
	defer close(ex.requestDone)
	ex.writeErr = r.write(ex.conn, ex.target.Address)
	if errors.Is(ex.writeErr, ErrRequestBody) {
		ex.bodyFailed.Store(true)
		_ = ex.conn.Close()
	}
}

func (ex *exchange) readHead(method string) (*http.Response, error) {
	ex.conn.expectHead()
	defer ex.conn.expectBody()
	for range maxInterimResponses {
		response, err := parseHead(ex.conn.reader, method)
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errProtocolSwitched
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errTooManyInterim
}

// fail ends an exchange without a response and returns its *Error.
func (ex *exchange) fail(err error) error {
	bodyFailed := ex.bodyFailed.Load() // Before finish, which may interrupt the body.
	ex.finish(abandoned)
	if bodyFailed {
		err = ex.writeErr
	}
	failure := &Error{Target: ex.target.Address, Stage: StageRequestSent, Err: err}
	if !ex.conn.writeStarted.Load() {
		failure.Stage = StageConnect
	}
	failure.TargetClosed = failure.Stage == StageRequestSent && ex.closedByTarget() && !errors.Is(err, ErrRequestBody)
	if failure.TargetClosed && ex.conn.reused && ex.conn.limit.bytesRead == 0 {
		// The target closed this idle connection and may have closed the others.
		ex.forwarder.pool.closeIdle(ex.target.Address)
	}
	failure.StaleConnection = failure.TargetClosed && ex.conn.reused && ex.conn.limit.bytesRead == 0 && time.Since(ex.started) < ex.forwarder.staleThreshold
	if cause := ex.ctx.Err(); cause != nil {
		failure.Err = cause
	}
	return failure
}

// exchangeEnd is how an exchange has ended.
type exchangeEnd int

const (
	abandoned exchangeEnd = iota // Without a complete response.
	completed                    // With a complete response, after which the connection must be closed.
	reusable                     // With a complete response.
)

// finish returns the connection to the pool or closes it. The connection of an
// abandoned exchange is reset: the target must not receive the request later.
func (ex *exchange) finish(end exchangeEnd) {
	watched := ex.stopWatchingContext()
	if !watched {
		// The descriptor may still be open, although reads and writes have failed.
		<-ex.closedByContext
	}
	reuse := watched && end == reusable
	switch {
	case end == abandoned:
		_ = ex.conn.Close()
	case !reuse:
		ex.conn.closeGracefully()
	}
	ex.awaitRequestDone()
	// A target that wrote a response too many may write another one.
	if !reuse || ex.skippedResponse || ex.writeErr != nil || !ex.conn.isReusable() {
		ex.forwarder.pool.discard(ex.target.Address, ex.conn)
		return
	}
	ex.forwarder.pool.release(ex.target.Address, ex.conn)
}

// awaitRequestDone waits until the request body is no longer read. A read of it that
// waits for the sender is interrupted.
func (ex *exchange) awaitRequestDone() {
	select {
	case <-ex.requestDone:
		return
	default:
	}
	if ex.interruptBody != nil {
		ex.interruptBody()
	}
	<-ex.requestDone
}

// closedByTarget reports whether the target closed or reset the connection.
func (ex *exchange) closedByTarget() bool {
	return ex.ctx.Err() == nil && ex.conn.limit.connectionEnded
}

// requestSent reports whether the whole request was written successfully.
func (ex *exchange) requestSent() bool {
	select {
	case <-ex.requestDone:
		return ex.writeErr == nil
	default:
		return false
	}
}

func (ex *exchange) newResponse(r *http.Response, match ResponseMatch, request *Request) *Response {
	closeAfter := r.Close || request.CloseAfter != nil && request.CloseAfter(r.Header)
	b := &responseBody{exchange: ex, source: r.Body, closeAfter: closeAfter, allowCloseDelimited: request.AllowCloseDelimited}
	b.closeDelimited = r.ContentLength < 0 && len(r.TransferEncoding) == 0
	if r.ContentLength == 0 || r.Body == http.NoBody {
		b.complete()
	}
	return &Response{Status: r.StatusCode, Match: match, Header: r.Header, Length: r.ContentLength, Body: b}
}
