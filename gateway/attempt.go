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
func (g *Gateway) sendAttempt(ctx context.Context, request *routedRequest, grant balance.Grant) attemptOutcome {
	started := time.Now()
	request.excluded[grant.Target.ID] = true
	relay, relayed := g.selectRelay(started, request, grant)
	g.events.EmitFields(&events.TargetChosen, events.String("request", request.id), events.String("route", request.route.Name),
		events.String("target", grant.Target.ID), events.String("object", request.object), events.Bool("warm", grant.Warm),
		events.Int("attempt", int64(request.attempts()+1)), events.Int("load", int64(grant.Load)),
		events.Int("loadAgeMs", grant.LoadAge.Milliseconds()), events.Int("expectedMs", grant.Expected.Milliseconds()),
		events.Int("leftMs", request.deadline.Sub(started).Milliseconds()), events.Uint("version", uint64(request.version)), events.String("relay", relay))
	out := g.newForwardRequest(request, grant, started)
	extraTime := timeoutRoundTrips * g.Balancer.RoundTrip(grant.Region)
	destination := forward.Target{Address: grant.Target.Address, MaxConnections: g.connectionShare(grant.Target.Service),
		DialTimeout: baseDialTimeout + extraTime, AckTimeout: baseAckTimeout + extraTime}
	if !request.route.Idempotent {
		destination.MaxIdleTime = nonIdempotentMaxIdle
	}
	forwarder := g.Forwarder
	if relayed {
		addressRelay(relay, &destination, out, request, grant)
		forwarder = g.RelayForwarder
	}
	attemptCtx, done := ctx, func() {}
	if request.route.Idempotent {
		// What must run once is waited for: it cannot be repeated, and a target
		// that was only slow to answer connections still brings its answer.
		attemptCtx, done = g.inFlight.add(ctx, grant.Target.ID)
	}
	response, err := forwarder.Do(attemptCtx, destination, out)
	targetAtFault := true
	if relayed {
		targetAtFault = !g.recordRelayResult(attemptCtx, relay, started, err)
		if err == nil {
			response, err = unwrapRelayResponse(grant, response)
		}
	}
	if err != nil {
		done()
		return g.attemptFailed(ctx, attemptCtx, request, grant, started, targetAtFault, err)
	}
	outcome := g.responseReceived(ctx, request, grant, started, response)
	if outcome.response != nil && outcome.response.stream != nil {
		outcome.response.stream = &cancelOnClose{ReadCloser: outcome.response.stream, cancel: done}
	} else {
		done()
	}
	return outcome
}

func (g *Gateway) newForwardRequest(request *routedRequest, grant balance.Grant, now time.Time) *forward.Request {
	header := request.http.Header.Clone()
	for _, name := range []string{headerRelayTarget, headerRelayNonIdempotent} {
		header.Del(name)
	}
	g.Headers.SetTarget(header, grant.Target.ID, request.deadline.Sub(now))
	out := &forward.Request{Method: request.http.Method, URI: request.uri, Header: header, Host: request.http.Host, AllowCloseDelimited: true,
		MatchResponse: func(h http.Header) forward.ResponseMatch { return g.Headers.MatchResponse(h, request.id) }}
	switch {
	case request.stream != nil:
		out.Body, out.Length = request.stream, request.http.ContentLength
	case request.body != nil:
		out.Body, out.Length = bytes.NewReader(request.body), int64(len(request.body))
		if request.http.ContentLength < 0 {
			out.Length = -1
		}
	}
	return out
}

// connectionShare is this instance's part of the connections that a target accepts.
func (g *Gateway) connectionShare(service string) int {
	config := g.World().Config
	if config == nil || config.Services[service].Connections == 0 {
		return 0
	}
	return max(2, config.Services[service].Connections/max(1, g.LiveInstances()))
}

// attemptFailed ends an attempt without an answer's head. Blame says that the failure
// tells something of the target.
func (g *Gateway) attemptFailed(ctx, attemptCtx context.Context, request *routedRequest, grant balance.Grant, started time.Time, targetAtFault bool, err error) attemptOutcome {
	var failure *forward.Error
	stage := forward.StageRequestSent
	if errors.As(err, &failure) {
		stage = failure.Stage
	}
	result := balance.Broken
	outcome := attemptOutcome{retryable: request.route.Idempotent}
	var netErr net.Error
	switch {
	case errors.Is(context.Cause(attemptCtx), errTargetLost):
		result = balance.Abandoned // What is known of the target already.
	case ctx.Err() == context.Canceled:
		result = balance.Abandoned
	case !targetAtFault && ctx.Err() == nil:
		result, outcome.unreached = balance.Abandoned, stage == forward.StageConnect
		outcome.retryable = outcome.retryable || outcome.unreached
		delete(request.excluded, grant.Target.ID)
	case stage == forward.StageConnect && (errors.Is(err, forward.ErrConnectionLimit) || errors.Is(err, errRelayRefused)):
		result, outcome.unreached, outcome.retryable = balance.Abandoned, true, true
	case stage == forward.StageConnect && ctx.Err() != nil:
		result, outcome.unreached = balance.Silent, true
	case stage == forward.StageConnect:
		result, outcome.unreached, outcome.retryable = balance.Unreachable, true, true
		if errors.As(err, &netErr) && netErr.Timeout() {
			result = balance.Unresponsive
		}
	case ctx.Err() != nil:
		result = balance.Silent
	case failure != nil && failure.StaleConnection:
		result, outcome.staleConnection = balance.Abandoned, true
		if request.staleAttempts < maxStaleAttempts {
			delete(request.excluded, grant.Target.ID)
		}
	}
	if targetAtFault && failure != nil && failure.TargetClosed {
		g.Suspects.Crashed(time.Now(), request.fingerprint())
	}
	switch {
	case stage == forward.StageConnect:
		request.unreachedAttempts++
	case outcome.staleConnection && request.staleAttempts < maxStaleAttempts:
		request.staleAttempts++
		request.mayHaveExecuted = true
	default:
		request.reachedAttempts++
		request.mayHaveExecuted = true
	}
	g.recordAttempt(request, grant, started, balance.Observation{Result: result}, outcome, err.Error())
	return outcome
}

// responseReceived ends an attempt whose answer's head has arrived.
func (g *Gateway) responseReceived(ctx context.Context, request *routedRequest, grant balance.Grant, started time.Time, received *forward.Response) attemptOutcome {
	request.reachedAttempts++
	observation := balance.Observation{Cold: g.Headers.ColdStart(received.Header)}
	observation.Executing, observation.Waiting, observation.Told = g.Headers.Load(received.Header)
	if g.Headers.NotExecuted(received.Status, received.Header) {
		_ = received.Body.Close()
		observation.Result = balance.Shed
		if received.Status == http.StatusMisdirectedRequest {
			observation.Result = balance.Misdirected
		}
		if observation.MayRetry(grant.Target) {
			delete(request.excluded, grant.Target.ID)
		} else {
			request.targetFull = true
		}
		outcome := attemptOutcome{retryable: true}
		g.recordAttempt(request, grant, started, observation, outcome, fmt.Sprintf("not executed, status %d", received.Status))
		return outcome
	}
	request.mayHaveExecuted = true
	resp, err := g.readResponse(request, received)
	if err != nil {
		observation.Result = balance.Broken
		if ctx.Err() != nil {
			observation.Result = balance.Abandoned
		}
		outcome := attemptOutcome{retryable: request.route.Idempotent}
		g.recordAttempt(request, grant, started, observation, outcome, err.Error())
		return outcome
	}
	if g.Suspects.Any() {
		g.Suspects.Succeeded(request.fingerprint())
	}
	outcome := attemptOutcome{response: resp}
	observation.Result = balance.Answered
	if resp.status >= http.StatusInternalServerError {
		observation.Result = balance.Failed
		outcome.retryable = request.route.Idempotent
		if resp.stream == nil {
			request.failedResponse = resp
		}
	}
	cause := ""
	if outcome.retryable {
		cause = fmt.Sprintf("status %d", resp.status)
	}
	g.recordAttempt(request, grant, started, observation, outcome, cause)
	return outcome
}

var (
	errMissingStamp           = errors.New("success without the target's signature")
	errUnconfirmedNotExecuted = errors.New("status promises that nothing ran, but the target does not say so")
)

// readResponse reads an answer of ordinary size whole.
func (g *Gateway) readResponse(request *routedRequest, received *forward.Response) (*response, error) {
	if received.Status < http.StatusMultipleChoices && !g.Headers.HasStamp(received.Header) {
		_ = received.Body.Close()
		return nil, errMissingStamp
	}
	if impliesNotExecuted(received.Status) {
		_ = received.Body.Close()
		return nil, errUnconfirmedNotExecuted
	}
	length := received.Header.Get("Content-Length")
	forward.CleanResponseHeaders(received.Header)
	resp := &response{status: received.Status, header: received.Header, length: received.Length}
	if request.http.Method == http.MethodHead && length != "" {
		resp.header.Set("Content-Length", length)
	}
	if received.Length > maxBufferedResponseBytes {
		resp.stream = received.Body
		return resp, nil
	}
	body, err := io.ReadAll(io.LimitReader(received.Body, maxBufferedResponseBytes))
	if err != nil {
		_ = received.Body.Close()
		return nil, err
	}
	if len(body) == maxBufferedResponseBytes && received.Length != maxBufferedResponseBytes {
		resp.length = -1
		resp.stream = &partlyReadBody{Reader: io.MultiReader(bytes.NewReader(body), received.Body), Closer: received.Body}
		return resp, nil
	}
	resp.body = body
	return resp, received.Body.Close()
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
func (g *Gateway) recordAttempt(request *routedRequest, grant balance.Grant, started time.Time, observation balance.Observation, outcome attemptOutcome, cause string) {
	now := time.Now()
	observation.Took = now.Sub(started)
	g.counters.recordAttempt(observation.Result)
	if avoided := g.Balancer.Done(now, grant, observation); avoided != nil {
		g.events.Emit(events.TargetAvoided, log.Fields{"target": avoided.Target, "reason": cause,
			"failures": avoided.Failures, "forMs": avoided.For.Milliseconds(), "lost": avoided.Lost})
		if avoided.Lost {
			g.inFlight.cancelTarget(avoided.Target)
		}
	}
	if cause == "" {
		return
	}
	executed := "unknown"
	if outcome.unreached || observation.Result == balance.Shed || observation.Result == balance.Misdirected {
		executed = "no"
	}
	g.events.Emit(events.AttemptEnded, log.Fields{"request": request.id, "target": grant.Target.ID, "attempt": request.attempts(),
		"result": resultNames[observation.Result], "executed": executed, "tookMs": observation.Took.Milliseconds(), "cause": cause, "again": outcome.retryable})
}
