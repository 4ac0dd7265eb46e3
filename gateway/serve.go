package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httputil"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/forward"
	"github.com/jacinthstall/jacinthstall/quarantine"
	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// noConfigRetryAfter is when to come back to an instance that knows no
	// configuration yet.
	noConfigRetryAfter = 300 * time.Millisecond
	// maxUnreachedAttempts bounds the targets that are tried and cannot be reached.
	maxUnreachedAttempts = 4
	// shedRetryAfter is when to come back after targets had no room.
	shedRetryAfter = 200 * time.Millisecond
	// notExecutedRetryAfter is when to come back after targets that have room refused, or
	// none was reached: another attempt may succeed at once.
	notExecutedRetryAfter = 50 * time.Millisecond
	// responseMargin is left of the caller's time for the way of the last answer.
	responseMargin = 20 * time.Millisecond
	// minRetryTimeFraction is the part of the objective that must be left for another
	// attempt. A target could not answer in less.
	minRetryTimeFraction = 0.25
	// defaultTimeout bounds requests that state no deadline on routes without a
	// timeout.
	defaultTimeout = 30 * time.Second
	// suspectRetryAfter is when to come back with a request that may crash targets.
	suspectRetryAfter = 2 * time.Second
)

// Headers reads and writes the headers that instances, callers and targets
// agree on. Package platform implements it.
type Headers interface {
	RequestID(http.Header) string
	Deadline(http.Header) (time.Duration, bool)
	ObjectKey(http.Header) string
	SetTarget(h http.Header, target string, left time.Duration)
	MatchResponse(h http.Header, id string) forward.ResponseMatch
	NotExecuted(status int, h http.Header) bool
	HasStamp(http.Header) bool
	Load(http.Header) (executing, waiting int, ok bool)
	ColdStart(http.Header) time.Duration
	EchoRequestID(h http.Header, id string)
}

// Options configure a Gateway.
type Options struct {
	World          func() *steering.World
	Balancer       *balance.Balancer
	Suspects       *balance.Suspects
	Budget         *balance.Budget
	Forwarder      *forward.Forwarder // To targets.
	RelayForwarder *forward.Forwarder // To other instances that carry requests.
	Headers        Headers
	Events         *events.Log
	LiveInstances  func() int // Instances among which budgets are divided, this one included.
}

// Gateway carries requests to targets.
type Gateway struct {
	Options
	events    *events.Log
	splitter  serviceSplitter
	deadlines deadlineHistory
	inFlight  inFlightAttempts
	relays    relaySet
	counters  Counters
}

// New returns a gateway.
func New(o Options) *Gateway {
	return &Gateway{Options: o, events: o.Events, splitter: serviceSplitter{credits: map[string][]float64{}},
		deadlines: deadlineHistory{routes: map[string]*majorityDeadline{}}, counters: newCounters()}
}

func (g *Gateway) limits() steering.Limits {
	if c := g.World().Config; c != nil {
		return c.Limits
	}
	return steering.Limits{}
}

// routedRequest is a request on its way through attempts.
type routedRequest struct {
	*incomingRequest
	id                string
	route             *steering.Route
	service           string
	version           steering.Version
	object            string
	deadline          time.Time
	firstSent         time.Time // When the caller first asked, as far as its deadline shows.
	excluded          map[string]bool
	reachedAttempts   int                     // Attempts that reached a target.
	unreachedAttempts int                     // Attempts that reached none.
	staleAttempts     int                     // Attempts that ended with a dropped connection and count for neither.
	mayHaveExecuted   bool                    // A target may have executed the request.
	failedResponse    *response               // A target's answer that says that it failed, when nothing better comes.
	targetFull        bool                    // A target had no room.
	cachedFingerprint *quarantine.Fingerprint // Nil until it is needed.
}

// attempts is the number of attempts.
func (request *routedRequest) attempts() int {
	return request.reachedAttempts + request.unreachedAttempts + request.staleAttempts
}

// fingerprint tells requests that are the same apart from others. It hashes the
// whole request, so it is made only when a crash is known.
func (request *routedRequest) fingerprint() quarantine.Fingerprint {
	if request.cachedFingerprint == nil {
		f := quarantine.Request{Service: request.service, Method: request.http.Method, URI: request.uri, Body: request.body,
			Length: request.http.ContentLength}.Fingerprint()
		request.cachedFingerprint = &f
	}
	return *request.cachedFingerprint
}

// serve finds the answer to a request.
func (g *Gateway) serve(ctx context.Context, incoming *incomingRequest) *response {
	g.counters.Requests.Inc(1)
	request := &routedRequest{incomingRequest: incoming, id: g.Headers.RequestID(incoming.http.Header), excluded: map[string]bool{}}
	resp := g.handle(ctx, request)
	if resp.reason != "" {
		g.Headers.EchoRequestID(resp.header, request.id)
	}
	g.recordRequest(request, resp)
	return resp
}

func (g *Gateway) recordRequest(request *routedRequest, resp *response) {
	took := time.Since(request.arrived)
	g.counters.recordResponse(resp, took)
	origin, route := "target", ""
	if resp.reason != "" {
		origin = "own"
	}
	if request.route != nil {
		route = request.route.Name
	}
	g.events.EmitFields(&events.RequestEnded, events.String("request", request.id), events.String("route", route),
		events.Int("status", int64(resp.status)), events.String("origin", origin), events.String("reason", resp.reason),
		events.Int("attempts", int64(request.reachedAttempts)), events.Int("tookMs", took.Milliseconds()), events.Uint("version", uint64(request.version)))
}

func (g *Gateway) handle(ctx context.Context, request *routedRequest) *response {
	config := g.World().Config
	if config == nil {
		return retryAfterResponse(http.StatusServiceUnavailable, "no-configuration", noConfigRetryAfter)
	}
	request.version = config.Version
	if request.route = config.Match(request.http.Host, request.path); request.route == nil {
		return systemResponse(http.StatusNotFound, "no-route")
	}
	request.service = g.splitter.choose(request.route)
	if request.route.Sticky {
		request.object = g.Headers.ObjectKey(request.http.Header)
	}
	timeout := request.route.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	request.deadline, request.firstSent = request.arrived.Add(timeout), request.arrived
	if timeLeft, ok := g.Headers.Deadline(request.http.Header); ok {
		request.firstSent = request.arrived.Add(-g.deadlines.sinceFirstRequest(request.route.Name, timeLeft))
		if callerDeadline := request.arrived.Add(timeLeft - responseMargin); callerDeadline.Before(request.deadline) || request.route.Timeout == 0 {
			request.deadline = callerDeadline
		}
	}
	ctx, cancel := context.WithDeadline(ctx, request.deadline)
	resp := g.sendWithRetries(ctx, request)
	if resp.stream == nil {
		cancel()
	} else {
		resp.stream = &cancelOnClose{ReadCloser: resp.stream, cancel: cancel}
	}
	return resp
}

// cancelOnClose ends the context of a streamed answer with it.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (c *cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// sendWithRetries tries targets until one answers.
func (g *Gateway) sendWithRetries(ctx context.Context, request *routedRequest) *response {
	g.Budget.Request(request.arrived, request.service)
	for {
		if crashes, refused := g.suspectedCrashes(request); refused {
			return g.suspectResponse(request, crashes)
		}
		grant, refusal := g.Balancer.Pick(time.Now(), request.pickCriteria(time.Now()))
		if refusal != nil {
			return g.refusalResponse(request, refusal)
		}
		outcome := g.sendAttempt(ctx, request, grant)
		if outcome.response != nil && !outcome.retryable {
			return outcome.response
		}
		if ctx.Err() != nil {
			outcome.discard()
			return request.interruptedResponse(ctx)
		}
		if !g.shouldRetry(request, outcome) {
			return request.failureResponse(outcome)
		}
		outcome.discard()
	}
}

func (request *routedRequest) pickCriteria(now time.Time) balance.Want {
	return balance.Want{Service: request.service, Object: request.object, Homes: request.route.Homes, Objective: request.route.Objective,
		Waited: now.Sub(request.firstSent), Left: request.deadline.Sub(now), Excluded: request.excluded, Repeat: request.attempts() > 0, Spare: request.failedResponse != nil}
}

// shouldRetry reports whether the request goes to another target after an attempt.
func (g *Gateway) shouldRetry(request *routedRequest, outcome attemptOutcome) bool {
	if !outcome.retryable || request.stream != nil {
		return false
	}
	if time.Until(request.deadline) < time.Duration(minRetryTimeFraction*float64(request.route.Objective)) {
		return false
	}
	if outcome.unreached {
		return request.unreachedAttempts < maxUnreachedAttempts
	}
	return request.reachedAttempts < request.route.Attempts && g.Budget.Repeat(time.Now(), request.service, g.LiveInstances(), request.firstSent.Before(request.arrived))
}

// refusalResponse answers a request for which no target was chosen.
func (g *Gateway) refusalResponse(request *routedRequest, refusal *balance.Refusal) *response {
	now := time.Now()
	g.events.Emit(events.RequestNotPlaced, log.Fields{"request": request.id, "route": request.route.Name, "service": request.service,
		"reason": refusal.Reason, "region": refusal.Region, "load": refusal.Load, "waitMs": refusal.Wait.Milliseconds(),
		"expectedMs": refusal.Expected.Milliseconds(), "sinceFirstMs": now.Sub(request.firstSent).Milliseconds(),
		"leftMs": request.deadline.Sub(now).Milliseconds(), "retryAfterMs": refusal.RetryAfter.Milliseconds(), "version": uint64(request.version)})
	if request.failedResponse != nil {
		return request.failedResponse
	}
	if request.mayHaveExecuted {
		return systemResponse(http.StatusBadGateway, "attempt-failed")
	}
	return retryAfterResponse(http.StatusServiceUnavailable, string(refusal.Reason), refusal.RetryAfter)
}

// suspectedCrashes reports whether the request must not go to a target any more,
// and how often it has ended a target's connection.
func (g *Gateway) suspectedCrashes(request *routedRequest) (int, bool) {
	if !g.Suspects.Any() {
		return 0, false
	}
	return g.Suspects.Refused(time.Now(), request.fingerprint())
}

// suspectResponse answers a request that has ended the connection of several targets
// in a row.
func (g *Gateway) suspectResponse(request *routedRequest, crashes int) *response {
	g.events.Emit(events.RequestSuspected, log.Fields{"request": request.id, "route": request.route.Name, "service": request.service,
		"fingerprint": request.fingerprint().String(), "crashes": crashes})
	if request.mayHaveExecuted {
		return systemResponse(http.StatusBadGateway, "suspected-crash")
	}
	return retryAfterResponse(http.StatusServiceUnavailable, "suspected-crash", suspectRetryAfter)
}

// failureResponse answers a request after its last attempt.
func (request *routedRequest) failureResponse(outcome attemptOutcome) *response {
	switch {
	case outcome.response != nil:
		return outcome.response
	case request.failedResponse != nil:
		return request.failedResponse
	case request.mayHaveExecuted:
		return systemResponse(http.StatusBadGateway, "attempt-failed")
	}
	if !request.targetFull {
		return retryAfterResponse(http.StatusServiceUnavailable, "not-executed", notExecutedRetryAfter)
	}
	return retryAfterResponse(http.StatusServiceUnavailable, "not-executed", shedRetryAfter)
}

// interruptedResponse answers a request whose time is over, or whose caller has left. A
// target's whole answer that came before a repeat is delivered.
func (request *routedRequest) interruptedResponse(ctx context.Context) *response {
	if ctx.Err() == context.Canceled {
		return systemResponse(statusCallerLeft, "caller-left")
	}
	if request.failedResponse != nil {
		return request.failedResponse
	}
	if request.mayHaveExecuted {
		return systemResponse(http.StatusGatewayTimeout, "timeout")
	}
	return retryAfterResponse(http.StatusServiceUnavailable, "timeout-not-sent", shedRetryAfter)
}

// statusCallerLeft marks requests whose caller does not read the answer.
const statusCallerLeft = 499

func newChunkedWriter(w io.Writer) io.WriteCloser { return httputil.NewChunkedWriter(w) }
