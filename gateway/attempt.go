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
	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// maxBufferedResponseBytes is the largest response body that is read completely
	// before the first byte goes to the caller. If reading it fails, the request
	// can still be retried.
	maxBufferedResponseBytes = 128 << 10
	// maxPipelinedResponseBytes is the same for a response with requests behind it
	// on the caller's connection that have been passed on, see conn.passOn, or with
	// unanswered requests before it.
	maxPipelinedResponseBytes = 1 << 20
	// maxHeldShare limits a longer response of a declared length to this part of the
	// memory for bodies, 1/maxHeldShare, if the process has a memory limit.
	maxHeldShare = 8
	// baseDialTimeout is the time limit for opening a connection, in addition to
	// timeoutRoundTrips.
	baseDialTimeout = 150 * time.Millisecond
	// timeoutRoundTrips is the number of round trips to the target's region that
	// are added to baseDialTimeout and baseAckTimeout.
	timeoutRoundTrips = 2
	// baseAckTimeout is how long sent bytes may stay unacknowledged, in addition to
	// timeoutRoundTrips. It leaves time for two retransmissions, after 200 and
	// 400 ms.
	baseAckTimeout = 650 * time.Millisecond
	// nonIdempotentMaxIdle is the longest idle time of a connection that is reused
	// for a non-idempotent request. Such a request cannot be retried if the target
	// has closed the idle connection.
	nonIdempotentMaxIdle = 200 * time.Millisecond
	// maxStaleAttempts is the number of attempts on stale connections that are not
	// counted against the route's attempts. One is enough: the other idle
	// connections to the target are closed after it, so that the next attempt uses
	// a new connection. The target is one of reachedTargets all the same: it may have
	// executed the request and lost the response.
	maxStaleAttempts = 1
)

// attemptOutcome is the result of one attempt.
type attemptOutcome struct {
	response        *response // The target's response; nil when there is no usable one.
	retryable       bool      // A retry is allowed.
	unreached       bool      // No byte of the request reached the target.
	staleConnection bool      // The target had closed the idle connection; this is not counted as its failure.
}

// discard closes a streamed response that a retry replaces; otherwise its
// connection would stay open. Buffered responses need no closing and may be kept
// in routedRequest.failedResponse.
func (result *attemptOutcome) discard() {
	if result.response != nil && result.response.stream != nil {
		_ = result.response.stream.Close()
	}
}

// sendAttempt sends the request to the granted target, directly or through a
// relay, and reports the result to the balancer.
func (g *Gateway) sendAttempt(ctx context.Context, request *routedRequest, grant balance.Grant) attemptOutcome {
	started := time.Now()
	request.excludedTargets[grant.Target.ID] = true
	relay, relayed, relayErr := g.selectRelay(started, request, grant)
	g.events.EmitFields(&events.TargetChosen, events.String("request", request.id), events.String("route", request.route.Name),
		events.String("target", grant.Target.ID), events.String("object", request.objectKey), events.Bool("warm", grant.Warm),
		events.Int("attempt", int64(request.attempts()+1)), events.Int("load", int64(grant.Load)),
		events.Int("loadAgeMs", grant.LoadAge.Milliseconds()), events.Int("expectedMs", grant.ExpectedTime.Milliseconds()),
		events.Int("leftMs", request.deadline.Sub(started).Milliseconds()), events.Uint("version", uint64(request.version)), events.String("relay", relay))
	if relayErr != nil {
		return g.attemptFailed(ctx, ctx, request, grant, started, false, relayErr)
	}
	out := g.newForwardRequest(request, grant, started)
	extraTime := timeoutRoundTrips * g.Balancer.RoundTrip(grant.Region)
	destination := forward.Target{Address: grant.Target.Address, MaxConnections: g.connectionShare(request.config, grant.Target.Service),
		DialTimeout: g.dialTimeout + extraTime, AckTimeout: baseAckTimeout + extraTime}
	if !request.route.Idempotent {
		destination.MaxIdleTime = nonIdempotentMaxIdle
	}
	forwarder := g.Forwarder
	if relayed {
		addressRelay(relay, &destination, out, request, grant)
		forwarder = g.RelayForwarder
	}
	attemptCtx, responding, done := ctx, func() {}, func() {}
	if request.route.Idempotent {
		// Only idempotent requests are cancelled when their target is considered
		// lost. Others cannot be retried, and a target that was only slow to accept
		// connections may still respond.
		attemptCtx, responding, done = g.inFlight.add(ctx, grant.Target.ID)
	}
	response, err := forwarder.Do(attemptCtx, destination, out)
	targetAtFault, distinct := true, true
	if relayed {
		targetAtFault = !g.recordRelayResult(attemptCtx, relay, started, err)
		if err == nil {
			response, distinct, err = unwrapRelayResponse(grant, response)
			if errors.Is(err, errRelayBusy) { // Another one may have memory, and so may this instance.
				targetAtFault = !g.relays.recordFailure(time.Now(), relay, started, false)
			}
		}
	}
	if err != nil {
		done()
		return g.attemptFailed(ctx, attemptCtx, request, grant, started, targetAtFault, err)
	}
	g.observeResponse(started, grant.Target, response, relayed)
	if relayed {
		response.Body = g.watchRelayedBody(request, response.Body)
	} else {
		response.Body = g.watchBody(request, grant.Target, response.Body)
	}
	outcome := g.responseReceived(ctx, request, grant, started, response, distinct)
	if outcome.response != nil && outcome.response.stream != nil {
		responding() // A part of the response will be written; there can be no retry.
		if errors.Is(context.Cause(attemptCtx), errTargetLost) {
			outcome.discard()
			done()
			return attemptOutcome{retryable: true}
		}
		outcome.response.stream = &cancelOnClose{ReadCloser: outcome.response.stream, cancel: done}
	} else {
		done()
	}
	return outcome
}

// newForwardRequest builds the request that is sent to a target.
func (g *Gateway) newForwardRequest(request *routedRequest, grant balance.Grant, now time.Time) *forward.Request {
	header := request.httpRequest.Header.Clone()
	for _, name := range []string{headerRelayTarget, headerRelayNonIdempotent, headerRelayLimit, headerRelayOverflow, headerRelayDistinct, headerRelayLeaving, headerRelayPause, headerRelayBusy} {
		header.Del(name)
	}
	g.Headers.SetTarget(header, grant.Target.ID, request.deadline.Sub(now))
	out := &forward.Request{ID: request.id, NewConnection: request.id == "", Method: request.httpRequest.Method, URI: request.uri, Header: header, Host: request.httpRequest.Host, AllowCloseDelimited: true,
		MatchResponse: func(h http.Header) forward.ResponseMatch { return g.Headers.MatchResponse(h, request.id) }}
	switch {
	case request.stream != nil:
		out.Body, out.Length, out.InterruptBody = request.stream, request.httpRequest.ContentLength, request.stream.interrupt
	case request.body != nil:
		out.Body, out.Length = bytes.NewReader(request.body), int64(len(request.body))
		if request.httpRequest.ContentLength < 0 {
			out.Length = -1
		}
	}
	return out
}

// connectionShare returns this instance's share of the connections that a target
// of the service accepts; 0 means no limit.
func (g *Gateway) connectionShare(config *steering.Config, service string) int {
	if config == nil || config.Services[service].MaxConnections == 0 {
		return 0
	}
	return max(2, config.Services[service].MaxConnections/max(1, g.LiveInstances()))
}

// attemptFailed records an attempt that ended without a response head.
// targetAtFault is false when the failure occurred between this instance and a
// relay and so says nothing about the target.
func (g *Gateway) attemptFailed(ctx, attemptCtx context.Context, request *routedRequest, grant balance.Grant, started time.Time, targetAtFault bool, err error) attemptOutcome {
	var failure *forward.Error
	stage := forward.StageRequestSent
	if errors.As(err, &failure) {
		stage = failure.Stage
	}
	result := balance.ConnectionBroken
	outcome := attemptOutcome{retryable: request.route.Idempotent}
	var netErr net.Error
	switch {
	case errors.Is(context.Cause(attemptCtx), errTargetLost):
		result = balance.Abandoned // The balancer already knows that the target is lost.
	case ctx.Err() == context.Canceled:
		result = balance.Abandoned
	case !targetAtFault:
		result, outcome.unreached = balance.Abandoned, stage == forward.StageConnect
		outcome.retryable = outcome.retryable || outcome.unreached
		delete(request.excludedTargets, grant.Target.ID)
	case stage == forward.StageConnect && (errors.Is(err, forward.ErrConnectionLimit) || errors.Is(err, errRelayRefused)):
		result, outcome.unreached, outcome.retryable = balance.Abandoned, true, true
	case stage == forward.StageConnect && ctx.Err() != nil:
		result, outcome.unreached = balance.TimedOut, true
	case stage == forward.StageConnect:
		result, outcome.unreached, outcome.retryable = balance.Unreachable, true, true
		if errors.As(err, &netErr) && netErr.Timeout() {
			result = balance.ConnectTimedOut
		}
	case ctx.Err() != nil:
		result = balance.TimedOut
	case failure != nil && failure.StaleConnection:
		result, outcome.staleConnection = balance.Abandoned, true
		if request.staleAttempts < maxStaleAttempts {
			delete(request.excludedTargets, grant.Target.ID)
		}
	}
	g.deferTarget(request, grant, targetAtFault, err)
	if targetAtFault && failure != nil && failure.TargetClosed {
		g.suspectCrash(request, grant.Target, crashBeforeHead)
	}
	if stage == forward.StageConnect {
		request.unreachedAttempts++
	} else {
		request.reachedTargets[grant.Target.ID] = true
		request.mayHaveExecuted = true
		if outcome.staleConnection && request.staleAttempts < maxStaleAttempts {
			request.staleAttempts++
		} else {
			request.reachedAttempts++
		}
	}
	g.recordAttempt(request, grant, started, balance.Observation{Result: result}, outcome, err.Error())
	return outcome
}

// responseReceived records an attempt whose response head has arrived, and
// decides whether the response is usable. distinct is true when a second attempt
// at the target on the same way would use another connection to the target.
func (g *Gateway) responseReceived(ctx context.Context, request *routedRequest, grant balance.Grant, started time.Time, received *forward.Response, distinct bool) attemptOutcome {
	request.reachedAttempts++
	request.reachedTargets[grant.Target.ID] = true
	observation := balance.Observation{ColdFor: g.Headers.ColdStart(received.Header)}
	if received.Status != http.StatusMisdirectedRequest { // That response states the load of another target.
		observation.SetLoad(g.readLoad(grant.Target, received.Header), grant.Target)
	}
	stated, certain := g.notExecuted(received, request.id)
	if certain {
		_ = received.Body.Close()
		observation.Result = balance.Shed
		pause, _ := g.Headers.Pause(received.Status, received.Header)
		observation.AskedForPause = pause > 0
		if received.Status == http.StatusMisdirectedRequest {
			observation.Result = balance.Misdirected
		}
		cause := fmt.Sprintf("not executed, status %d", received.Status)
		switch {
		case !observation.MayRetry(grant.Target) || observation.AskedForPause:
			request.targetFull = true
		case distinct || request.route.Idempotent:
			delete(request.excludedTargets, grant.Target.ID)
		default:
			cause += ", target excluded: its relay may use the same connection again"
		}
		outcome := attemptOutcome{retryable: true}
		g.recordAttempt(request, grant, started, observation, outcome, cause)
		return outcome
	}
	request.mayHaveExecuted = true
	resp, err := g.readResponse(request, received, stated)
	if err != nil {
		observation.Result = balance.ConnectionBroken
		outcome := attemptOutcome{retryable: request.route.Idempotent}
		switch {
		case ctx.Err() != nil:
			observation.Result = balance.Abandoned
		case errors.Is(err, errResponseNotHeld):
			observation.Result = balance.Abandoned
			// A response of a known length is as long from another target.
			outcome.retryable = outcome.retryable && received.Length < 0
		}
		g.recordAttempt(request, grant, started, observation, outcome, err.Error())
		return outcome
	}
	outcome := attemptOutcome{response: resp}
	observation.Result = balance.Succeeded
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
	errMissingStamp           = errors.New("successful response without the target's signature")
	errUnconfirmedNotExecuted = errors.New("response implies that the request was not executed, but this is not certain")
)

// notExecuted reports whether a response states that the target did not execute
// the request, and whether this is certain: the response belongs to this attempt
// and is not a success. Targets execute no request without an ID.
func (g *Gateway) notExecuted(received *forward.Response, id string) (stated, certain bool) {
	stated = g.Headers.NotExecuted(received.Status, received.Header)
	return stated, stated && received.Status >= http.StatusBadRequest && (received.Match == forward.MatchesRequest || id == "")
}

// readResponse checks the response head and reads the body.
func (g *Gateway) readResponse(request *routedRequest, received *forward.Response, statedNotExecuted bool) (*response, error) {
	if received.Status < http.StatusMultipleChoices && !g.Headers.HasStamp(received.Header) {
		_ = received.Body.Close()
		return nil, errMissingStamp
	}
	if impliesNotExecuted(received.Status) || statedNotExecuted {
		_ = received.Body.Close()
		return nil, errUnconfirmedNotExecuted
	}
	length := received.Header.Get("Content-Length")
	forward.CleanResponseHeaders(received.Header)
	resp := &response{status: received.Status, header: received.Header, length: received.Length}
	if request.httpRequest.Method == http.MethodHead && length != "" {
		resp.header.Set("Content-Length", length)
	}
	return resp, g.readResponseBody(resp, received, request.incomingRequest)
}

// errResponseNotHeld means that a response neither ended within what is held in memory
// nor could be passed on while it arrives; see conn.passOn.
var errResponseNotHeld = errors.New("response does not end within what is held for the requests behind it")

// readResponseBody reads a body of up to maxBufferedResponseBytes completely. A longer
// one is passed on while it arrives if conn.beginStream allows it. It is read completely
// up to maxHeldBytes if that is not allowed, and while earlier responses are due, since
// its time may end before its turn comes.
func (g *Gateway) readResponseBody(resp *response, received *forward.Response, request *incomingRequest) (err error) {
	defer func() {
		if err != nil || resp.stream == nil {
			_ = received.Body.Close()
		}
	}()
	var body []byte
	var complete bool
	if received.Length <= maxBufferedResponseBytes {
		body, complete, err = request.readHeld(nil, received.Body, received.Length, maxBufferedResponseBytes)
		if err != nil || complete {
			resp.body = body
			return err
		}
	}
	mayStream, limit := request.beginStream(), g.maxHeldBytes(received.Length)
	if (!mayStream || !request.isNext()) && received.Length <= int64(limit) && g.heldResponses.acquire(request) {
		body, complete, err = request.readHeld(body, received.Body, received.Length, limit)
		if err != nil || complete {
			resp.body = body
			return err
		}
	}
	if !mayStream {
		return errResponseNotHeld
	}
	resp.stream = &partlyReadBody{Reader: io.MultiReader(bytes.NewReader(body), received.Body), Closer: received.Body}
	return nil
}

// maxHeldBytes returns the largest body to read completely because of other requests on
// the connection. length is its declared length, or -1.
func (g *Gateway) maxHeldBytes(length int64) int {
	if length > 0 && length <= g.memory.maxBytes/maxHeldShare {
		return max(int(length), maxPipelinedResponseBytes)
	}
	return maxPipelinedResponseBytes
}

// readHeld appends a response body to what was read of it before, until its end, until
// it is longer than limit, or until there is no memory for more. length is its whole
// length, or -1.
func (request *incomingRequest) readHeld(body []byte, source io.Reader, length int64, limit int) (_ []byte, complete bool, err error) {
	reserved := int64(0)
	for len(body) <= limit {
		if len(body) == cap(body) {
			size := int64(min(max(unreservedResponseBytes, 2*cap(body)), limit+1))
			if length >= 0 {
				size = length + 1 // The end is noticed when it is read.
			}
			added := size - max(int64(cap(body)), unreservedResponseBytes+1)
			if added > 0 && !request.held.reserve(added) {
				return body, false, nil
			}
			reserved += max(added, 0)
			grown := make([]byte, len(body), size)
			copy(grown, body)
			body = grown
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			request.held.release(reserved)
			return nil, false, err
		}
	}
	return body, false, nil
}

// partlyReadBody is a response body whose first part was already read into
// memory.
type partlyReadBody struct {
	io.Reader
	io.Closer
}

// impliesNotExecuted reports whether callers conclude from the status that the
// request was not executed.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// recordAttempt reports an attempt to the balancer, the metrics and the log. If
// the balancer now considers the target lost, its other attempts are cancelled.
func (g *Gateway) recordAttempt(request *routedRequest, grant balance.Grant, started time.Time, observation balance.Observation, outcome attemptOutcome, cause string) {
	now := time.Now()
	observation.Duration = now.Sub(started)
	g.counters.recordAttempt(observation.Result)
	if avoided := g.Balancer.Done(now, grant, observation); avoided != nil {
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
	if outcome.unreached || observation.Result == balance.Shed || observation.Result == balance.Misdirected {
		executed = "no"
	}
	g.events.Emit(events.AttemptEnded, log.Fields{"request": request.id, "target": grant.Target.ID, "attempt": request.attempts(),
		"result": attemptResultNames[observation.Result], "executed": executed, "tookMs": observation.Duration.Milliseconds(), "cause": cause, "again": outcome.retryable})
}
