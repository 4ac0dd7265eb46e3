package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/app"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/outcome"
)

// maxInFlight bounds the requests of callers that are served at a time; each
// holds at most 64 KB of its body.
const maxInFlight = 1024

// closeDetector is a connection that can watch for the caller's disconnect
// while nothing else reads from it.
type closeDetector interface {
	DetectConnectionClose()
	AbortBlockingRead()
}

// handleRequest serves a request of a caller. The work ends when the answer's
// body has been passed on, which is after the handler returns.
func (in *Instance) handleRequest(ctx context.Context, c *app.RequestContext) {
	in.metrics.Requests.Inc(1)
	if in.inFlight.Add(1) > maxInFlight {
		in.inFlight.Add(-1)
		c.SetConnectionClose()
		o := outcome.Outcome{Status: 503, Reason: outcome.ReasonOverloaded, Executed: outcome.No}
		in.writeRefusal(c, "", refusedBeforeKeyCheck(string(c.Request.Header.Peek(outcome.HeaderIdempotencyKey)), o))
		return
	}
	end := func() { in.inFlight.Add(-1) }
	r, refusal := in.receive(c)
	if refusal != nil {
		// The body was not read to its end.
		c.SetConnectionClose()
		in.writeRefusal(c, "", refusedBeforeKeyCheck(string(c.Request.Header.Peek(outcome.HeaderIdempotencyKey)), *refusal))
		end()
		return
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	stopWatching := watchDisconnect(c, r)
	got := in.serveRequest(ctx, r)
	if r.bodyRemainder != nil {
		c.SetConnectionClose()
	}
	done := func() {
		in.metrics.recordLatency(r.arrived)
		cancel()
		stopWatching()
		end()
	}
	in.writeResponse(c, r, got, done)
}

// watchDisconnect cancels the request's context when the caller disconnects.
// Requests without a body are watched by the server itself.
func watchDisconnect(c *app.RequestContext, r *incomingRequest) (stop func()) {
	conn, ok := c.GetConn().(closeDetector)
	if !ok || !c.Request.IsBodyStream() || r.bodyRemainder != nil {
		return func() {}
	}
	conn.DetectConnectionClose()
	return conn.AbortBlockingRead
}

// receive reads the head and the first part of the body.
func (in *Instance) receive(c *app.RequestContext) (*incomingRequest, *outcome.Outcome) {
	d := in.document.Load()
	if d == nil {
		return nil, &outcome.Outcome{Status: 503, Reason: outcome.ReasonNoConfig, Executed: outcome.No}
	}
	// The target sees the path as it was sent, so the service is chosen by that
	// path and not by the server's normalized one.
	service, ok := d.ServiceFor(pathOf(string(c.Request.Header.RequestURI())))
	if !ok {
		return nil, &outcome.Outcome{Status: 404, Reason: outcome.ReasonNoService, Executed: outcome.No}
	}
	now := time.Now()
	r := &incomingRequest{
		method: string(c.Method()), uri: string(c.Request.Header.RequestURI()),
		header: http.Header{}, idempotencyKey: string(c.Request.Header.Peek(outcome.HeaderIdempotencyKey)),
		arrived: now, document: d, service: service,
	}
	c.Request.Header.VisitAll(func(key, value []byte) { r.header.Add(string(key), string(value)) })
	r.deadline = now.Add(requestDeadline(d, r.header.Get(outcome.HeaderDeadline)))
	if !c.Request.IsBodyStream() {
		return r, nil
	}
	r.bodyLength = max(int64(c.Request.Header.ContentLength()), -1)
	body := &pacedBody{source: c.Request.BodyStream(), conn: c.GetConn(), now: time.Now, started: now, deadline: r.deadline}
	leave := in.pendingBodies.add(body.abort)
	defer leave()
	return r, r.readBodyPrefix(body)
}

// pathOf returns the part of a request URI before its query.
func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}

func (in *Instance) writeResponse(c *app.RequestContext, r *incomingRequest, got *response, done func()) {
	if got.body == nil {
		in.writeRefusal(c, r.service.Name, got.Outcome)
		done()
		return
	}
	c.Response.Reset()
	c.SetStatusCode(got.Status)
	for name, values := range got.header {
		for _, value := range values {
			c.Response.Header.Add(name, value)
		}
	}
	in.writeOutcome(c, got.Outcome)
	c.Response.ImmediateHeaderFlush = true
	c.SetBodyStream(&callerBody{ReadCloser: got.body, abortConn: func() { _ = c.GetConn().Close() }, onClose: done}, int(got.bodyLength))
}

func (in *Instance) writeRefusal(c *app.RequestContext, service string, o outcome.Outcome) {
	closing := c.Response.ConnectionClose()
	in.writeRefusalBody(c, o)
	if closing {
		c.SetConnectionClose()
	}
	in.writeOutcome(c, o)
	in.events.Emit(events.RequestRefused, log.Fields{"service": service, "status": o.Status, "reason": o.Reason, "executed": o.Executed})
}

func (in *Instance) writeOutcome(c *app.RequestContext, o outcome.Outcome) {
	in.metrics.countOutcome(o)
	c.Response.Header.Set(outcome.HeaderExecuted, string(o.Executed))
	c.Response.Header.Set(outcome.HeaderReason, string(o.Reason))
	if o.Target != "" {
		c.Response.Header.Set(outcome.HeaderTarget, o.Target)
	}
	c.Response.Header.Set(outcome.HeaderInstance, in.settings.Name)
	if o.Reason == outcome.ReasonKeyUnknown || o.Reason == outcome.ReasonKeyExpired {
		c.Response.Header.Set(outcome.HeaderIdempotencyKeyPrefix, in.keyPrefix())
	}
	if in.leaving.Load() {
		c.SetConnectionClose()
	}
}

// callerBody is the body of an answer on its way to the caller. When it breaks off,
// the caller's connection is closed before the error is returned: the server
// ends a chunked body with the final chunk also after an error, which would
// present a truncated answer as whole.
type callerBody struct {
	io.ReadCloser
	abortConn func()
	onClose   func()
}

// Read passes on what has arrived.
func (p *callerBody) Read(b []byte) (int, error) {
	n, err := p.ReadCloser.Read(b)
	if err != nil && err != io.EOF {
		p.abortConn()
	}
	return n, err
}

// Close ends the request.
func (p *callerBody) Close() error {
	err := p.ReadCloser.Close()
	if p.onClose != nil {
		p.onClose()
		p.onClose = nil
	}
	return err
}
