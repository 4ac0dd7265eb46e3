package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/forward"
)

const (
	// maxBufferedResponseBytes is the largest answer that is read whole before its first
	// byte goes to the caller. A broken one can then be replaced.
	maxBufferedResponseBytes = 128 << 10
	// baseDialTimeout is the time for opening a connection, beyond two round trips.
	baseDialTimeout = 150 * time.Millisecond
	// timeoutRoundTrips is how many of them bounds on connections leave.
	timeoutRoundTrips = 2
	// baseAckTimeout bounds how long a target may leave bytes unacknowledged, beyond
	// two round trips. Two retransmissions fit into it, after 200 and 400 ms.
	baseAckTimeout = 650 * time.Millisecond
	// nonIdempotentMaxIdle is how long a connection may have been idle that carries a
	// request which must run once: such a request cannot be repeated when the
	// target has dropped the connection meanwhile.
	nonIdempotentMaxIdle = 200 * time.Millisecond
	// maxStaleAttempts is how many dropped connections do not count as attempts. After
	// the first one the target's other idle connections are closed, so the next
	// attempt is on a new one.
	maxStaleAttempts = 1
)

// attemptOutcome is how an attempt ended.
type attemptOutcome struct {
	response        *response // Usable answer of the target; nil when there is none.
	retryable       bool      // Another target may be tried.
	unreached       bool      // The target saw nothing of the request.
	staleConnection bool      // The connection had been dropped; the attempt says nothing of the target.
}

// discard closes an answer that another attempt is to replace. Whole ones are kept
// elsewhere; the rest of a long one has to be read or its connection closed.
func (e *attemptOutcome) discard() {
	if e.response != nil && e.response.stream != nil {
		_ = e.response.stream.Close()
	}
}

// sendAttempt carries a request to a target.
func (g *Gateway) sendAttempt(ctx context.Context, r *routedRequest, grant balance.Grant) attemptOutcome {
	started := time.Now()
	r.excludedTargets[grant.Target.ID] = true
	relay, relayed := g.selectRelay(started, r, grant)
	g.events.EmitFields(&events.TargetChosen, events.String("request", r.id), events.String("route", r.route.Name),
		events.String("target", grant.Target.ID), events.String("object", r.objectKey), events.Bool("warm", grant.Warm),
		events.Int("attempt", int64(r.attempts()+1)), events.Int("load", int64(grant.Load)),
		events.Int("loadAgeMs", grant.LoadAge.Milliseconds()), events.Int("expectedMs", grant.ExpectedTime.Milliseconds()),
		events.Int("leftMs", r.deadline.Sub(started).Milliseconds()), events.Uint("version", uint64(r.version)), events.String("relay", relay))
	out := g.newForwardRequest(r, grant, started)
	trips := timeoutRoundTrips * g.Balancer.RoundTrip(grant.Region)
	to := forward.Target{Address: grant.Target.Address, MaxConnections: g.connectionShare(grant.Target.Service),
		DialTimeout: baseDialTimeout + trips, AckTimeout: baseAckTimeout + trips}
	if !r.route.Idempotent {
		to.MaxIdleTime = nonIdempotentMaxIdle
	}
	carrier := g.Forwarder
	if relayed {
		addressRelay(relay, &to, out, r, grant)
		carrier = g.RelayForwarder
	}
	sent, done := ctx, func() {}
	if r.route.Idempotent {
		// What must run once is waited for: it cannot be repeated, and a target
		// that was only slow to answer connections still brings its answer.
		sent, done = g.inFlight.add(ctx, grant.Target.ID)
	}
	got, err := carrier.Do(sent, to, out)
	blame := true
	if relayed {
		blame = !g.recordRelayResult(sent, relay, started, err)
		if err == nil {
			got, err = unwrapRelayResponse(grant, got)
		}
	}
	if err != nil {
		done()
		return g.attemptFailed(ctx, sent, r, grant, started, blame, err)
	}
	e := g.responseReceived(ctx, r, grant, started, got)
	if e.response != nil && e.response.stream != nil {
		e.response.stream = &cancelOnClose{ReadCloser: e.response.stream, cancel: done}
	} else {
		done()
	}
	return e
}

func (g *Gateway) newForwardRequest(r *routedRequest, grant balance.Grant, now time.Time) *forward.Request {
	header := r.httpRequest.Header.Clone()
	for _, name := range []string{headerRelayTarget, headerRelayNonIdempotent} {
		header.Del(name)
	}
	g.Headers.SetTarget(header, grant.Target.ID, r.deadline.Sub(now))
	out := &forward.Request{Method: r.httpRequest.Method, URI: r.uri, Header: header, Host: r.httpRequest.Host, AllowCloseDelimited: true,
		MatchResponse: func(h http.Header) forward.ResponseMatch { return g.Headers.MatchResponse(h, r.id) }}
	switch {
	case r.stream != nil:
		out.Body, out.Length = r.stream, r.httpRequest.ContentLength
	case r.body != nil:
		out.Body, out.Length = bytes.NewReader(r.body), int64(len(r.body))
		if r.httpRequest.ContentLength < 0 {
			out.Length = -1
		}
	}
	return out
}

// connectionShare is this instance's part of the connections that a target accepts.
func (g *Gateway) connectionShare(service string) int {
	config := g.State().Config
	if config == nil || config.Services[service].MaxConnections == 0 {
		return 0
	}
	return max(2, config.Services[service].MaxConnections/max(1, g.LiveInstances()))
}

// attemptFailed ends an attempt without an answer's head. Blame says that the failure
// tells something of the target.
func (g *Gateway) attemptFailed(ctx, sent context.Context, r *routedRequest, grant balance.Grant, started time.Time, blame bool, err error) attemptOutcome {
	var failure *forward.Error
	stage := forward.StageRequestSent
	if errors.As(err, &failure) {
		stage = failure.Stage
	}
	result := balance.ConnectionBroken
	e := attemptOutcome{retryable: r.route.Idempotent}
	var dial net.Error
	switch {
	case errors.Is(context.Cause(sent), errTargetLost):
		result = balance.Abandoned // What is known of the target already.
	case ctx.Err() == context.Canceled:
		result = balance.Abandoned
	case !blame && ctx.Err() == nil:
		result, e.unreached = balance.Abandoned, stage == forward.StageConnect
		e.retryable = e.retryable || e.unreached
		delete(r.excludedTargets, grant.Target.ID)
	case stage == forward.StageConnect && (errors.Is(err, forward.ErrConnectionLimit) || errors.Is(err, errRelayRefused)):
		result, e.unreached, e.retryable = balance.Abandoned, true, true
	case stage == forward.StageConnect && ctx.Err() != nil:
		result, e.unreached = balance.TimedOut, true
	case stage == forward.StageConnect:
		result, e.unreached, e.retryable = balance.Unreachable, true, true
		if errors.As(err, &dial) && dial.Timeout() {
			result = balance.ConnectTimedOut
		}
	case ctx.Err() != nil:
		result = balance.TimedOut
	case failure != nil && failure.StaleConnection:
		result, e.staleConnection = balance.Abandoned, true
		if r.staleAttempts < maxStaleAttempts {
			delete(r.excludedTargets, grant.Target.ID)
		}
	}
	if blame && failure != nil && failure.TargetClosed {
		g.Suspects.RecordCrash(time.Now(), r.fingerprint())
	}
	switch {
	case stage == forward.StageConnect:
		r.unreachedAttempts++
	case e.staleConnection && r.staleAttempts < maxStaleAttempts:
		r.staleAttempts++
		r.mayHaveExecuted = true
	default:
		r.reachedAttempts++
		r.mayHaveExecuted = true
	}
	g.recordAttempt(r, grant, started, balance.Observation{Result: result}, e, err.Error())
	return e
}

// responseReceived ends an attempt whose answer's head has arrived.
func (g *Gateway) responseReceived(ctx context.Context, r *routedRequest, grant balance.Grant, started time.Time, got *forward.Response) attemptOutcome {
	r.reachedAttempts++
	o := balance.Observation{ColdFor: g.Headers.ColdStart(got.Header)}
	o.Executing, o.Waiting, o.LoadReported = g.Headers.Load(got.Header)
	if g.Headers.NotExecuted(got.Status, got.Header) {
		_ = got.Body.Close()
		o.Result = balance.Shed
		if got.Status == http.StatusMisdirectedRequest {
			o.Result = balance.Misdirected
		}
		if o.MayRetry(grant.Target) {
			delete(r.excludedTargets, grant.Target.ID)
		} else {
			r.targetFull = true
		}
		e := attemptOutcome{retryable: true}
		g.recordAttempt(r, grant, started, o, e, fmt.Sprintf("not executed, status %d", got.Status))
		return e
	}
	r.mayHaveExecuted = true
	a, err := g.readResponse(r, got)
	if err != nil {
		o.Result = balance.ConnectionBroken
		if ctx.Err() != nil {
			o.Result = balance.Abandoned
		}
		e := attemptOutcome{retryable: r.route.Idempotent}
		g.recordAttempt(r, grant, started, o, e, err.Error())
		return e
	}
	if g.Suspects.Any() {
		g.Suspects.Clear(r.fingerprint())
	}
	e := attemptOutcome{response: a}
	o.Result = balance.Succeeded
	if a.status >= http.StatusInternalServerError {
		o.Result = balance.Failed
		e.retryable = r.route.Idempotent
		if a.stream == nil {
			r.failedResponse = a
		}
	}
	cause := ""
	if e.retryable {
		cause = fmt.Sprintf("status %d", a.status)
	}
	g.recordAttempt(r, grant, started, o, e, cause)
	return e
}

var (
	errMissingStamp           = errors.New("success without the target's signature")
	errUnconfirmedNotExecuted = errors.New("status promises that nothing ran, but the target does not say so")
)

// readResponse reads an answer of ordinary size whole.
func (g *Gateway) readResponse(r *routedRequest, got *forward.Response) (*response, error) {
	if got.Status < http.StatusMultipleChoices && !g.Headers.HasStamp(got.Header) {
		_ = got.Body.Close()
		return nil, errMissingStamp
	}
	if impliesNotExecuted(got.Status) {
		_ = got.Body.Close()
		return nil, errUnconfirmedNotExecuted
	}
	length := got.Header.Get("Content-Length")
	forward.CleanResponseHeaders(got.Header)
	a := &response{status: got.Status, header: got.Header, length: got.Length}
	if r.httpRequest.Method == http.MethodHead && length != "" {
		a.header.Set("Content-Length", length)
	}
	if got.Length > maxBufferedResponseBytes {
		a.stream = got.Body
		return a, nil
	}
	body, err := io.ReadAll(io.LimitReader(got.Body, maxBufferedResponseBytes))
	if err != nil {
		_ = got.Body.Close()
		return nil, err
	}
	if len(body) == maxBufferedResponseBytes && got.Length != maxBufferedResponseBytes {
		a.length = -1
		a.stream = &partlyReadBody{Reader: io.MultiReader(bytes.NewReader(body), got.Body), Closer: got.Body}
		return a, nil
	}
	a.body = body
	return a, got.Body.Close()
}

// partlyReadBody is a body of which a part was read already.
type partlyReadBody struct {
	io.Reader
	io.Closer
}

// impliesNotExecuted reports whether callers take the status as a promise that the
// request was not executed.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// recordAttempt reports an attempt to the balancer and the log.
func (g *Gateway) recordAttempt(r *routedRequest, grant balance.Grant, started time.Time, o balance.Observation, e attemptOutcome, cause string) {
	now := time.Now()
	o.Duration = now.Sub(started)
	g.counters.recordAttempt(o.Result)
	if avoided := g.Balancer.Done(now, grant, o); avoided != nil {
		g.events.Emit(events.TargetAvoided, log.Fields{"target": avoided.Target, "reason": cause,
			"failures": avoided.ConsecutiveFailures, "forMs": avoided.Duration.Milliseconds(), "lost": avoided.Lost})
		if avoided.Lost {
			g.inFlight.cancelTarget(avoided.Target)
		}
	}
	if cause == "" {
		return
	}
	executed := "unknown"
	if e.unreached || o.Result == balance.Shed || o.Result == balance.Misdirected {
		executed = "no"
	}
	g.events.Emit(events.AttemptEnded, log.Fields{"request": r.id, "target": grant.Target.ID, "attempt": r.attempts(),
		"result": attemptResultNames[o.Result], "executed": executed, "tookMs": o.Duration.Milliseconds(), "cause": cause, "again": e.retryable})
}
