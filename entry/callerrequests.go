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

// maxInFlight bounds the requests of callers that are served concurrently. Each
// holds at most 64 KB of its body.
const maxInFlight = 1024

// closeDetector is a connection that can detect the caller's disconnect while
// nothing else reads from it.
type closeDetector interface {
	DetectConnectionClose()
	AbortBlockingRead()
}

// handleRequest serves a request of a caller. The request ends when the
// response body has been sent, which is after the handler returns.
func (inst *Instance) handleRequest(ctx context.Context, c *app.RequestContext) {
	inst.metrics.Requests.Inc(1)
	if inst.inFlight.Add(1) > maxInFlight {
		inst.inFlight.Add(-1)
		c.SetConnectionClose()
		o := outcome.Outcome{Status: 503, Reason: outcome.ReasonOverloaded, Executed: outcome.No}
		inst.writeRefusal(c, "", refusedBeforeKeyCheck(string(c.Request.Header.Peek(outcome.HeaderIdempotencyKey)), o))
		return
	}
	finish := func() { inst.inFlight.Add(-1) }
	request, refusal := inst.receive(c)
	if refusal != nil {
		// The body was not read to its end.
		c.SetConnectionClose()
		inst.writeRefusal(c, "", refusedBeforeKeyCheck(string(c.Request.Header.Peek(outcome.HeaderIdempotencyKey)), *refusal))
		finish()
		return
	}
	ctx, cancel := context.WithDeadline(ctx, request.deadline)
	stopWatching := watchDisconnect(c, request)
	result := inst.serveRequest(ctx, request)
	if request.bodyRemainder != nil {
		c.SetConnectionClose()
	}
	done := func() {
		inst.metrics.recordLatency(request.arrived)
		cancel()
		stopWatching()
		finish()
	}
	inst.writeResponse(c, request, result, done)
}

// watchDisconnect makes the server cancel the request's context when the caller
// disconnects. The server watches requests without a body by itself.
func watchDisconnect(c *app.RequestContext, request *incomingRequest) (stop func()) {
	conn, ok := c.GetConn().(closeDetector)
	if !ok || !c.Request.IsBodyStream() || request.bodyRemainder != nil {
		return func() {}
	}
	conn.DetectConnectionClose()
	return conn.AbortBlockingRead
}

// receive reads the head and the first part of the body.
func (inst *Instance) receive(c *app.RequestContext) (*incomingRequest, *outcome.Outcome) {
	document := inst.document.Load()
	if document == nil {
		return nil, &outcome.Outcome{Status: 503, Reason: outcome.ReasonNoConfig, Executed: outcome.No}
	}
	// The target receives the path as the caller sent it, so the service is
	// chosen by that path and not by the server's normalized one.
	service, ok := document.ServiceFor(pathOf(string(c.Request.Header.RequestURI())))
	if !ok {
		return nil, &outcome.Outcome{Status: 404, Reason: outcome.ReasonNoService, Executed: outcome.No}
	}
	now := time.Now()
	request := &incomingRequest{
		method: string(c.Method()), uri: string(c.Request.Header.RequestURI()),
		header: http.Header{}, idempotencyKey: string(c.Request.Header.Peek(outcome.HeaderIdempotencyKey)),
		arrived: now, document: document, service: service,
	}
	c.Request.Header.VisitAll(func(key, value []byte) { request.header.Add(string(key), string(value)) })
	request.deadline = now.Add(requestDeadline(document, request.header.Get(outcome.HeaderDeadline)))
	if !c.Request.IsBodyStream() {
		return request, nil
	}
	request.bodyLength = max(int64(c.Request.Header.ContentLength()), -1)
	body := &pacedBody{source: c.Request.BodyStream(), conn: c.GetConn(), now: time.Now, started: now, deadline: request.deadline}
	remove := inst.pendingBodies.add(body.abort)
	defer remove()
	return request, request.readBodyPrefix(body)
}

// pathOf returns the part of a request URI before the query.
func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}

func (inst *Instance) writeResponse(c *app.RequestContext, request *incomingRequest, result *response, done func()) {
	if result.body == nil {
		inst.writeRefusal(c, request.service.Name, result.Outcome)
		done()
		return
	}
	c.Response.Reset()
	c.SetStatusCode(result.Status)
	for name, values := range result.header {
		for _, value := range values {
			c.Response.Header.Add(name, value)
		}
	}
	inst.writeOutcome(c, result.Outcome)
	c.Response.ImmediateHeaderFlush = true
	c.SetBodyStream(&callerBody{ReadCloser: result.body, abortConn: func() { _ = c.GetConn().Close() }, onClose: done}, int(result.bodyLength))
}

func (inst *Instance) writeRefusal(c *app.RequestContext, service string, o outcome.Outcome) {
	closing := c.Response.ConnectionClose()
	inst.writeRefusalBody(c, o)
	if closing {
		c.SetConnectionClose()
	}
	inst.writeOutcome(c, o)
	inst.events.Emit(events.RequestRefused, log.Fields{"service": service, "status": o.Status, "reason": o.Reason, "executed": o.Executed})
}

func (inst *Instance) writeOutcome(c *app.RequestContext, o outcome.Outcome) {
	inst.metrics.countOutcome(o)
	c.Response.Header.Set(outcome.HeaderExecuted, string(o.Executed))
	c.Response.Header.Set(outcome.HeaderReason, string(o.Reason))
	if o.Target != "" {
		c.Response.Header.Set(outcome.HeaderTarget, o.Target)
	}
	c.Response.Header.Set(outcome.HeaderInstance, inst.settings.Name)
	if o.Reason == outcome.ReasonKeyUnknown || o.Reason == outcome.ReasonKeyExpired {
		c.Response.Header.Set(outcome.HeaderIdempotencyKeyPrefix, inst.keyPrefix())
	}
	if inst.leaving.Load() {
		c.SetConnectionClose()
	}
}

// callerBody is a response body that is sent to the caller. When the target's
// response is truncated, callerBody closes the caller's connection before it
// returns the error: the server ends a chunked body with the final chunk even
// after an error, so the truncated response would look complete.
type callerBody struct {
	io.ReadCloser
	abortConn func()
	onClose   func()
}

// Read implements io.Reader.
func (body *callerBody) Read(b []byte) (int, error) {
	n, err := body.ReadCloser.Read(b)
	if err != nil && err != io.EOF {
		body.abortConn()
	}
	return n, err
}

// Close ends the request.
func (body *callerBody) Close() error {
	err := body.ReadCloser.Close()
	if body.onClose != nil {
		body.onClose()
		body.onClose = nil
	}
	return err
}
