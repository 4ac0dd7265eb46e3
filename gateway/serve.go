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
	State          func() *steering.State
	Balancer       *balance.Balancer
	Suspects       *balance.Suspects
	Budget         *balance.RetryBudget
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
	if c := g.State().Config; c != nil {
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
	objectKey         string
	deadline          time.Time
	firstSent         time.Time // When the caller first asked, as far as its deadline shows.
	excludedTargets   map[string]bool
	reachedAttempts   int                     // Attempts that reached a target.
	unreachedAttempts int                     // Attempts that reached none.
	staleAttempts     int                     // Attempts that ended with a dropped connection and count for neither.
	mayHaveExecuted   bool                    // A target may have executed the request.
	failedResponse    *response               // A target's answer that says that it failed, when nothing better comes.
	targetFull        bool                    // A target had no room.
	cachedFingerprint *quarantine.Fingerprint // Nil until it is needed.
}

// attempts is the number of attempts.
func (r *routedRequest) attempts() int {
	return r.reachedAttempts + r.unreachedAttempts + r.staleAttempts
}

// fingerprint tells requests that are the same apart from others. It hashes the
// whole request, so it is made only when a crash is known.
func (r *routedRequest) fingerprint() quarantine.Fingerprint {
	if r.cachedFingerprint == nil {
		f := quarantine.Request{Service: r.service, Method: r.httpRequest.Method, URI: r.uri, Body: r.body,
			BodyLength: r.httpRequest.ContentLength}.Fingerprint()
		r.cachedFingerprint = &f
	}
	return *r.cachedFingerprint
}

// serve finds the answer to a request.
func (g *Gateway) serve(ctx context.Context, in *incomingRequest) *response {
	g.counters.Requests.Inc(1)
	r := &routedRequest{incomingRequest: in, id: g.Headers.RequestID(in.httpRequest.Header), excludedTargets: map[string]bool{}}
	a := g.handle(ctx, r)
	if a.reason != "" {
		g.Headers.EchoRequestID(a.header, r.id)
	}
	g.recordRequest(r, a)
	return a
}

func (g *Gateway) recordRequest(r *routedRequest, a *response) {
	took := time.Since(r.arrived)
	g.counters.recordResponse(a, took)
	origin, route := "target", ""
	if a.reason != "" {
		origin = "own"
	}
	if r.route != nil {
		route = r.route.Name
	}
	g.events.EmitFields(&events.RequestEnded, events.String("request", r.id), events.String("route", route),
		events.Int("status", int64(a.status)), events.String("origin", origin), events.String("reason", a.reason),
		events.Int("attempts", int64(r.reachedAttempts)), events.Int("tookMs", took.Milliseconds()), events.Uint("version", uint64(r.version)))
}

func (g *Gateway) handle(ctx context.Context, r *routedRequest) *response {
	config := g.State().Config
	if config == nil {
		return retryAfterResponse(http.StatusServiceUnavailable, "no-configuration", noConfigRetryAfter)
	}
	r.version = config.Version
	if r.route = config.Match(r.httpRequest.Host, r.path); r.route == nil {
		return systemResponse(http.StatusNotFound, "no-route")
	}
	r.service = g.splitter.choose(r.route)
	if r.route.Sticky {
		r.objectKey = g.Headers.ObjectKey(r.httpRequest.Header)
	}
	timeout := r.route.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	r.deadline, r.firstSent = r.arrived.Add(timeout), r.arrived
	if d, ok := g.Headers.Deadline(r.httpRequest.Header); ok {
		r.firstSent = r.arrived.Add(-g.deadlines.sinceFirstRequest(r.route.Name, d))
		if left := r.arrived.Add(d - responseMargin); left.Before(r.deadline) || r.route.Timeout == 0 {
			r.deadline = left
		}
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	a := g.sendWithRetries(ctx, r)
	if a.stream == nil {
		cancel()
	} else {
		a.stream = &cancelOnClose{ReadCloser: a.stream, cancel: cancel}
	}
	return a
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
func (g *Gateway) sendWithRetries(ctx context.Context, r *routedRequest) *response {
	g.Budget.CountRequest(r.arrived, r.service)
	for {
		if crashes, refused := g.suspectedCrashes(r); refused {
			return g.suspectResponse(r, crashes)
		}
		grant, refusal := g.Balancer.Pick(time.Now(), r.pickCriteria(time.Now()))
		if refusal != nil {
			return g.refusalResponse(r, refusal)
		}
		e := g.sendAttempt(ctx, r, grant)
		if e.response != nil && !e.retryable {
			return e.response
		}
		if ctx.Err() != nil {
			e.discard()
			return r.interruptedResponse(ctx)
		}
		if !g.shouldRetry(r, e) {
			return r.failureResponse(e)
		}
		e.discard()
	}
}

func (r *routedRequest) pickCriteria(now time.Time) balance.Request {
	return balance.Request{Service: r.service, Object: r.objectKey, HomeRegions: r.route.HomeRegions, Objective: r.route.Objective,
		Elapsed: now.Sub(r.firstSent), Remaining: r.deadline.Sub(now), ExcludedTargets: r.excludedTargets, Retry: r.attempts() > 0, HasFallback: r.failedResponse != nil}
}

// shouldRetry reports whether the request goes to another target after an attempt.
func (g *Gateway) shouldRetry(r *routedRequest, e attemptOutcome) bool {
	if !e.retryable || r.stream != nil {
		return false
	}
	if time.Until(r.deadline) < time.Duration(minRetryTimeFraction*float64(r.route.Objective)) {
		return false
	}
	if e.unreached {
		return r.unreachedAttempts < maxUnreachedAttempts
	}
	return r.reachedAttempts < r.route.MaxAttempts && g.Budget.AllowRetry(time.Now(), r.service, g.LiveInstances(), r.firstSent.Before(r.arrived))
}

// refusalResponse answers a request for which no target was chosen.
func (g *Gateway) refusalResponse(r *routedRequest, f *balance.Refusal) *response {
	now := time.Now()
	g.events.Emit(events.RequestNotPlaced, log.Fields{"request": r.id, "route": r.route.Name, "service": r.service,
		"reason": f.Reason, "region": f.Region, "load": f.Load, "waitMs": f.ExpectedWait.Milliseconds(),
		"expectedMs": f.ExpectedTime.Milliseconds(), "sinceFirstMs": now.Sub(r.firstSent).Milliseconds(),
		"leftMs": r.deadline.Sub(now).Milliseconds(), "retryAfterMs": f.RetryAfter.Milliseconds(), "version": uint64(r.version)})
	if r.failedResponse != nil {
		return r.failedResponse
	}
	if r.mayHaveExecuted {
		return systemResponse(http.StatusBadGateway, "attempt-failed")
	}
	return retryAfterResponse(http.StatusServiceUnavailable, string(f.Reason), f.RetryAfter)
}

// suspectedCrashes reports whether the request must not go to a target any more,
// and how often it has ended a target's connection.
func (g *Gateway) suspectedCrashes(r *routedRequest) (int, bool) {
	if !g.Suspects.Any() {
		return 0, false
	}
	return g.Suspects.Refused(time.Now(), r.fingerprint())
}

// suspectResponse answers a request that has ended the connection of several targets
// in a row.
func (g *Gateway) suspectResponse(r *routedRequest, crashes int) *response {
	g.events.Emit(events.RequestSuspected, log.Fields{"request": r.id, "route": r.route.Name, "service": r.service,
		"fingerprint": r.fingerprint().String(), "crashes": crashes})
	if r.mayHaveExecuted {
		return systemResponse(http.StatusBadGateway, "suspected-crash")
	}
	return retryAfterResponse(http.StatusServiceUnavailable, "suspected-crash", suspectRetryAfter)
}

// failureResponse answers a request after its last attempt.
func (r *routedRequest) failureResponse(e attemptOutcome) *response {
	switch {
	case e.response != nil:
		return e.response
	case r.failedResponse != nil:
		return r.failedResponse
	case r.mayHaveExecuted:
		return systemResponse(http.StatusBadGateway, "attempt-failed")
	}
	if !r.targetFull {
		return retryAfterResponse(http.StatusServiceUnavailable, "not-executed", notExecutedRetryAfter)
	}
	return retryAfterResponse(http.StatusServiceUnavailable, "not-executed", shedRetryAfter)
}

// interruptedResponse answers a request whose time is over, or whose caller has left. A
// target's whole answer that came before a repeat is delivered.
func (r *routedRequest) interruptedResponse(ctx context.Context) *response {
	if ctx.Err() == context.Canceled {
		return systemResponse(statusCallerLeft, "caller-left")
	}
	if r.failedResponse != nil {
		return r.failedResponse
	}
	if r.mayHaveExecuted {
		return systemResponse(http.StatusGatewayTimeout, "timeout")
	}
	return retryAfterResponse(http.StatusServiceUnavailable, "timeout-not-sent", shedRetryAfter)
}

// statusCallerLeft marks requests whose caller does not read the answer.
const statusCallerLeft = 499

func newChunkedWriter(w io.Writer) io.WriteCloser { return httputil.NewChunkedWriter(w) }
