package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/forward"
)

// Load pattern: a region sends part of its requests to many targets in another
// region, and each of those targets gets few of them. Idle connections to a
// target time out between two requests, so each request would have to open a new
// one, which takes a round trip between the regions: a quarter of some
// objectives. A relay, an instance near the target, has connections to it or
// opens one within a millisecond, and the connection between the two instances is
// in constant use. The instance that received the request still chooses the
// target.

// Headers between an instance and its relay. They are never forwarded to a target
// or a caller.
const (
	headerRelayTarget        = "Jacinth-Relay-Target"
	headerRelayNonIdempotent = "Jacinth-Relay-Once"
	headerRelayResult        = "Jacinth-Relay-Result"
	// headerRelayLimit holds the limit of the target as the sender knows it, in
	// requests per second, and its age in milliseconds, separated by a semicolon.
	headerRelayLimit = "Jacinth-Relay-Limit"
	// headerRelayOverflow is set for a request that belongs to other targets.
	headerRelayOverflow = "Jacinth-Relay-Overflow"
	// headerRelayWait is the time in milliseconds after which the instance that was
	// refused may ask again.
	headerRelayWait = "Jacinth-Relay-Wait"
	// headerRelayDistinct is set in a response "not executed" by relays that never
	// send two requests with the same ID on one connection to a target. It is only
	// sent there because earlier versions pass other responses on with it.
	headerRelayDistinct = "Jacinth-Relay-Distinct"
	// headerRelayLeaving is set when the relay refuses a request because the target
	// has stated that it is leaving. It holds the start time of that incarnation.
	headerRelayLeaving = "Jacinth-Relay-Leaving"
	// headerRelayPause is set when the relay refuses a request because the target
	// has asked it for a pause. It holds the start time of that incarnation and the
	// rest of the pause in milliseconds, separated by a semicolon.
	headerRelayPause = "Jacinth-Relay-Pause"
	// headerRelayBusy is set when the relay refuses a request for lack of memory, before
	// it has read the body.
	headerRelayBusy = "Jacinth-Relay-Busy"
	// relayHeadBytes is added to the limit for a caller's request head to make
	// room for these headers.
	relayHeadBytes = 1 << 10
)

const (
	// minRelayTripFraction is the fraction of a route's objective that the round trip
	// to the target's region must exceed for a relay to be used. For shorter round
	// trips the relay costs more time than it saves.
	minRelayTripFraction = 0.1
	// relaysPerDomain is the number of instances per failure domain that an instance
	// uses as relays. It is small so that the connections to them stay in use.
	relaysPerDomain = 2
	// minCapacity is the least capacity assumed for an instance, also when its
	// capacity is unknown.
	minCapacity = 0.05
	// relayBackoff is how long a relay is not used after a failure.
	relayBackoff = 2 * time.Second
	// relayMaxIdle is the longest idle time of a connection to a relay that is
	// reused for a non-idempotent request.
	relayMaxIdle = 2 * time.Second
	// RelayIdleTimeout is how long an instance keeps idle connections to relays.
	// The relay keeps them longer, so that it does not close them first.
	RelayIdleTimeout       = 20 * time.Second
	relayServerIdleTimeout = 2 * RelayIdleTimeout
)

// relayResult is the result of an attempt that a relay made for a peer.
type relayResult string

const (
	relayResponded  relayResult = "answered"    // The response is the target's.
	relayRefused    relayResult = "refused"     // Not sent: the relay does not use the target.
	relayUnreached  relayResult = "unreached"   // Not sent: no connection.
	relayNoResponse relayResult = "no-response" // Not sent: opening a connection timed out.
	relayBroken     relayResult = "broken"      // Sent, without a usable response.
	relayCrashed    relayResult = "crashed"     // Sent, and the target closed the connection.
	relayStale      relayResult = "stale"       // Sent on a stale connection.
)

// failure returns the error for the result, the same as if this instance had sent
// the request to the target itself.
func (result relayResult) failure(address string) *forward.Error {
	failure := &forward.Error{Target: address, Stage: forward.StageRequestSent, Err: fmt.Errorf("attempt at the relay failed: %s", string(result))}
	switch result {
	case relayRefused:
		failure.Stage, failure.Err = forward.StageConnect, errRelayRefused
	case relayUnreached:
		failure.Stage = forward.StageConnect
	case relayNoResponse:
		failure.Stage, failure.Err = forward.StageConnect, os.ErrDeadlineExceeded
	case relayCrashed:
		failure.TargetClosed = true
	case relayStale:
		failure.TargetClosed, failure.StaleConnection = true, true
	}
	return failure
}

var (
	errRelayRefused = errors.New("relay refused to use the target")
	errRelayBusy    = errors.New("relay has no memory for a further request")
)

// relayResultOf returns the relay result for an error of forward.Forwarder.Do.
func relayResultOf(err error) relayResult {
	var failure *forward.Error
	var netErr net.Error
	switch {
	case !errors.As(err, &failure):
		return relayBroken
	case failure.Stage == forward.StageConnect && errors.Is(err, forward.ErrConnectionLimit):
		return relayRefused
	case failure.Stage == forward.StageConnect && errors.As(err, &netErr) && netErr.Timeout():
		return relayNoResponse
	case failure.Stage == forward.StageConnect:
		return relayUnreached
	case failure.StaleConnection:
		return relayStale
	case failure.TargetClosed:
		return relayCrashed
	}
	return relayBroken
}

// selectRelay returns the address of the relay for an attempt, if one is to be
// used. Requests to a limited target go through its owner. Other streamed requests
// are sent directly, and so are idempotent ones to a target with an idle
// connection.
func (g *Gateway) selectRelay(now time.Time, request *routedRequest, grant balance.Grant) (string, bool, error) {
	if grant.Limit.Active {
		if grant.Owner.Name == "" {
			return "", false, nil
		}
		address, err := g.relays.ownerAddress(now, grant.Owner.Name)
		if err != nil {
			err = &forward.Error{Target: grant.Target.Address, Stage: forward.StageConnect, Err: err}
		}
		return address, true, err
	}
	roundTrip := g.Balancer.RoundTrip(grant.Region)
	if request.stream != nil || !relayWorthwhile(roundTrip, request.route.Objective) || g.Forwarder.HasIdle(grant.Target.Address) && request.route.Idempotent {
		return "", false, nil
	}
	address, ok := g.relays.choose(now, grant.Target.Domain, grant.Region, g.RelayForwarder.HasIdle)
	return address, ok, nil
}

// addressRelay changes an attempt so that it is sent through a relay.
func addressRelay(address string, destination *forward.Target, out *forward.Request, request *routedRequest, grant balance.Grant) {
	destination.Address, destination.MaxConnections, destination.MaxIdleTime = address, 0, 0
	out.ID = "" // Relays respond to each request once.
	out.Header.Set(headerRelayTarget, grant.Target.ID)
	if grant.Limit.Active {
		out.Header.Set(headerRelayLimit, formatLimit(grant.Limit))
	}
	if grant.Overflow {
		out.Header.Set(headerRelayOverflow, "1")
	}
	if !request.route.Idempotent {
		destination.MaxIdleTime = relayMaxIdle
		out.Header.Set(headerRelayNonIdempotent, "1")
	}
}

// recordRelayResult records whether the relay responded to an attempt. It reports
// whether the attempt failed between the two instances.
func (g *Gateway) recordRelayResult(ctx context.Context, address string, started time.Time, err error) bool {
	switch {
	case err == nil:
		g.relays.recordSuccess(time.Now(), address)
		return false
	case ctx.Err() == context.Canceled:
		return false
	}
	return g.relays.recordFailure(time.Now(), address, started, ctx.Err() != nil)
}

// unwrapRelayResponse returns the target's response contained in a relay's
// response, or the error of the relay's attempt. distinct is the statement of
// headerRelayDistinct.
func unwrapRelayResponse(grant balance.Grant, received *forward.Response) (response *forward.Response, distinct bool, err error) {
	result := relayResult(received.Header.Get(headerRelayResult))
	distinct = received.Header.Get(headerRelayDistinct) != ""
	received.Header.Del(headerRelayResult)
	received.Header.Del(headerRelayDistinct)
	if result == relayResponded {
		return received, distinct, nil
	}
	_ = received.Body.Close()
	failure := result.failure(grant.Target.Address)
	if result != relayRefused {
		return nil, distinct, failure
	}
	if refusal := readLimitRefusal(received.Header); refusal != nil {
		failure.Err = refusal
	}
	if received.Header.Get(headerRelayBusy) != "" {
		failure.Err = errRelayBusy
	}
	if refusal := readAvailabilityRefusal(received.Header); refusal != nil && refusal.startedMs == grant.Target.StartedMs {
		failure.Err = refusal
	}
	return nil, distinct, failure
}

// serveRelayed returns the response to a request that a peer sends through this
// instance to the target named in the request.
func (g *Gateway) serveRelayed(ctx context.Context, incoming *incomingRequest) *response {
	id, target := g.Headers.RequestID(incoming.httpRequest.Header), incoming.httpRequest.Header.Get(headerRelayTarget)
	resp, result := g.forwardRelayed(ctx, incoming, id, target)
	resp.header.Set(headerRelayResult, string(result))
	if result != relayResponded {
		g.Headers.EchoRequestID(resp.header, id)
	}
	g.events.EmitFields(&events.PeerRequestEnded, events.String("request", id), events.String("target", target),
		events.String("result", string(result)), events.Int("status", int64(resp.status)), events.Int("tookMs", time.Since(incoming.arrived).Milliseconds()))
	return resp
}

// forwardRelayed makes the one attempt that a peer asked for.
func (g *Gateway) forwardRelayed(ctx context.Context, incoming *incomingRequest, id, target string) (*response, relayResult) {
	failed := func(result relayResult) (*response, relayResult) {
		return systemResponse(http.StatusBadGateway, string(result)), result
	}
	state := g.State()
	record := state.Targets[target]
	timeLeft, ok := g.Headers.Deadline(incoming.httpRequest.Header)
	if record == nil || !state.Usable(record) || !ok {
		return failed(relayRefused)
	}
	if g.stop.outlastsStop(time.Now(), incoming.arrived, incoming.arrived.Add(timeLeft), 0) {
		return failed(relayRefused)
	}
	header := incoming.httpRequest.Header
	if admission := g.Balancer.AdmitRelayed(time.Now(), record, parseLimit(header.Get(headerRelayLimit)), header.Get(headerRelayOverflow) != ""); !admission.Granted {
		resp, result := failed(relayRefused)
		setRefusal(resp.header, record, admission)
		return resp, result
	}
	request := &routedRequest{incomingRequest: incoming, id: id, service: record.Service, deadline: incoming.arrived.Add(timeLeft)}
	destination := forward.Target{Address: record.Address, MaxConnections: g.connectionShare(state.Config, record.Service), DialTimeout: g.dialTimeout, AckTimeout: baseAckTimeout}
	if header.Get(headerRelayNonIdempotent) != "" {
		destination.MaxIdleTime = nonIdempotentMaxIdle
	}
	ctx, cancel := context.WithDeadline(ctx, request.deadline)
	known := balance.CrashCount{} // The peer has decided to send the request.
	if g.Suspects.Any() {
		known, _ = g.Suspects.Check(time.Now(), request.fingerprint())
	}
	g.noteCrashesWhenSent(request, known)
	sent := time.Now()
	received, err := g.Forwarder.Do(ctx, destination, g.newForwardRequest(request, balance.Grant{Target: record}, sent))
	if err != nil {
		cancel()
		return failed(relayResultOf(err))
	}
	g.observeResponse(sent, record, received, true)
	received.Body = g.watchBody(request, record, received.Body)
	if stated, certain := g.notExecuted(received, id); stated {
		defer cancel()
		_ = received.Body.Close()
		if !certain {
			return failed(relayBroken)
		}
		forward.CleanResponseHeaders(received.Header)
		received.Header.Set(headerRelayDistinct, "1")
		return &response{status: received.Status, header: received.Header}, relayResponded
	}
	// The response is streamed. The peer validates it and detects truncation.
	length := received.Header.Get("Content-Length")
	forward.CleanResponseHeaders(received.Header)
	if incoming.httpRequest.Method == http.MethodHead && length != "" {
		received.Header.Set("Content-Length", length)
	}
	resp := &response{status: received.Status, header: received.Header, length: received.Length}
	if incoming.httpRequest.Method == http.MethodHead || received.Length == 0 {
		cancel()
		_ = received.Body.Close()
		return resp, relayResponded
	}
	resp.stream = &cancelOnClose{ReadCloser: received.Body, cancel: cancel}
	return resp, relayResponded
}
