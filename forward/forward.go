package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	maxInterimResponses = 8
	// maxLateResponses bounds the late answers that are skipped for one request.
	maxLateResponses = 4
	// maxLateBodyBytes bounds the body of a late answer that is skipped.
	maxLateBodyBytes = 1 << 20
	// defaultStaleThreshold is how soon a dropped connection shows after it was used: a round
	// trip between regions, with some room. A request takes longer to fail.
	defaultStaleThreshold = 150 * time.Millisecond
)

// Forwarder sends requests over its own connections. It is safe for concurrent
// use.
type Forwarder struct {
	pool           *pool
	staleThreshold time.Duration // See staleTime.
}

// New returns a Forwarder without connections.
func New() *Forwarder { return NewWithIdleTimeout(defaultIdleTimeout) }

// NewWithIdleTimeout returns a Forwarder that keeps idle connections for a time. The
// other side must keep them for longer.
func NewWithIdleTimeout(idle time.Duration) *Forwarder {
	return &Forwarder{pool: newPool(idle), staleThreshold: defaultStaleThreshold}
}

// Preconnect opens a connection for later use, unless an idle one is held.
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

// Close closes the idle connections. Connections in use are closed when their
// exchange ends.
func (f *Forwarder) Close() { f.pool.close() }

// PruneIdle closes the connections that have been idle for too long, and those on
// which the target has closed or sent something unasked. It is called now and
// then; a target without further requests would keep them open.
func (f *Forwarder) PruneIdle() { f.pool.pruneIdle(time.Now()) }

// CloseIdle closes all idle connections. What is known of their age is wrong after
// the process was paused.
func (f *Forwarder) CloseIdle() { f.pool.pruneIdle(time.Now().Add(2 * f.pool.idleTimeout)) }

// HasIdle reports whether an idle connection to an address is held.
func (f *Forwarder) HasIdle(address string) bool { return f.pool.hasIdle(address, time.Now()) }

// Response is the head of a target's answer and its body while it arrives. Body
// must be closed. CleanAnswer has not been applied to Header.
type Response struct {
	Status int
	Header http.Header
	Length int64 // Bytes of the body; -1 when unknown.
	Body   io.ReadCloser
}

// exchange is one request and its answer on a connection.
type exchange struct {
	forwarder           *Forwarder
	ctx                 context.Context
	target              Target
	conn                *conn
	stopWatchingContext func() bool // Ends the closing of the connection by ctx.
	started             time.Time
	requestDone         chan struct{} // Closed when the request is not written any more.
	writeErr            error         // Valid after written is closed.
}

// Do sends the request and reads the answer's head. The error is an *Error.
// The end of ctx closes the connection, also while the body is read. The
// request's body is not read any more after Do has failed or the answer's body
// is closed.
func (f *Forwarder) Do(ctx context.Context, target Target, request *Request) (*Response, error) {
	if err := request.validate(); err != nil {
		return nil, &Error{Target: target.Address, Stage: StageConnect, Err: err}
	}
	c, err := f.pool.acquire(ctx, target)
	if err != nil {
		return nil, &Error{Target: target.Address, Stage: StageConnect, Err: err}
	}
	ex := &exchange{forwarder: f, ctx: ctx, target: target, conn: c, started: time.Now(), requestDone: make(chan struct{})}
	ex.stopWatchingContext = context.AfterFunc(ctx, func() { _ = c.Close() })
	ex.sendRequest(request)
	response, err := ex.readResponse(request)
	if err != nil {
		return nil, ex.fail(err)
	}
	return ex.newResponse(response, request.AllowCloseDelimited), nil
}

// readResponse reads the head of the answer to the request and skips late
// answers to earlier ones.
func (ex *exchange) readResponse(r *Request) (*http.Response, error) {
	for late := range maxLateResponses + 1 {
		response, err := ex.readHead(r.Method)
		if err != nil || r.MatchResponse == nil {
			return response, err
		}
		switch r.MatchResponse(response.Header) {
		case MatchesRequest:
			return response, nil
		case NoRequestID:
			// On a new connection there is no earlier request to answer.
			if !ex.conn.reused && late == 0 {
				return response, nil
			}
			return nil, errNoRequestID
		}
		if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, errLateResponses
		}
		if err := discardBody(response.Body); err != nil {
			return nil, err
		}
	}
	return nil, errLateResponses
}

// discardBody reads the body of a late answer to its end, where the next head begins.
// A body beyond the bound is an error: the bytes that follow are no head.
func discardBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxLateBodyBytes+1))
	if err == nil && n > maxLateBodyBytes {
		return errLateResponses
	}
	return err
}

// sendRequest sends the request. A body that is streamed is sent while the answer is
// awaited, since a target may answer before it has read all of it.
func (ex *exchange) sendRequest(r *Request) {
	if r.Body == nil || r.bodyInMemory() {
		ex.writeRequest(r)
		return
	}
	go ex.writeRequest(r)
}

// writeRequest sends the request. When the source fails, the target must not take
// what it has for a whole request, so the connection is closed.
func (ex *exchange) writeRequest(r *Request) {
	defer close(ex.requestDone)
	ex.writeErr = r.write(ex.conn, ex.target.Address)
	if errors.Is(ex.writeErr, ErrRequestBody) {
		_ = ex.conn.Close()
	}
}

func (ex *exchange) readHead(method string) (*http.Response, error) {
	ex.conn.expectHead()
	defer ex.conn.expectBody()
	for range maxInterimResponses {
		response, err := http.ReadResponse(ex.conn.reader, &http.Request{Method: method})
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

// fail ends the exchange without an answer.
func (ex *exchange) fail(err error) error {
	ex.finish(false)
	if errors.Is(ex.writeErr, ErrRequestBody) {
		err = ex.writeErr
	}
	failure := &Error{Target: ex.target.Address, Stage: StageRequestSent, Err: err}
	if !ex.conn.writeStarted.Load() {
		failure.Stage = StageConnect
	}
	failure.TargetClosed = failure.Stage == StageRequestSent && ex.closedByTarget() && !errors.Is(err, ErrRequestBody)
	if failure.TargetClosed && ex.conn.reused && ex.conn.limit.bytesRead == 0 {
		// The target has dropped this connection; it may have dropped the others.
		ex.forwarder.pool.closeIdle(ex.target.Address)
	}
	failure.StaleConnection = failure.TargetClosed && ex.conn.reused && ex.conn.limit.bytesRead == 0 && time.Since(ex.started) < ex.forwarder.staleThreshold
	if cause := ex.ctx.Err(); cause != nil {
		failure.Err = cause
	}
	return failure
}

// finish gives the connection back or closes it.
func (ex *exchange) finish(reuse bool) {
	if !ex.stopWatchingContext() {
		reuse = false
	}
	if !reuse {
		_ = ex.conn.Close()
	}
	<-ex.requestDone
	if !reuse || ex.writeErr != nil || !ex.conn.isReusable() {
		ex.forwarder.pool.discard(ex.target.Address, ex.conn)
		return
	}
	ex.forwarder.pool.release(ex.target.Address, ex.conn)
}

// closedByTarget reports whether the target ended the connection.
func (ex *exchange) closedByTarget() bool {
	return ex.ctx.Err() == nil && ex.conn.limit.connectionEnded
}

// requestSent reports whether the whole request has been written.
func (ex *exchange) requestSent() bool {
	select {
	case <-ex.requestDone:
		return ex.writeErr == nil
	default:
		return false
	}
}

func (ex *exchange) newResponse(r *http.Response, untilClose bool) *Response {
	b := &responseBody{exchange: ex, source: r.Body, closeAfter: r.Close, allowCloseDelimited: untilClose}
	b.closeDelimited = r.ContentLength < 0 && len(r.TransferEncoding) == 0
	if r.ContentLength == 0 || r.Body == http.NoBody {
		b.complete()
	}
	return &Response{Status: r.StatusCode, Header: r.Header, Length: r.ContentLength, Body: b}
}
