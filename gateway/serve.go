package gateway

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/forward"
	"github.com/jacinthstall/jacinthstall/quarantine"
	"github.com/jacinthstall/jacinthstall/quota"
	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// noConfigRetryAfter is the Retry-After of an instance that has no configuration
	// yet.
	noConfigRetryAfter = 300 * time.Millisecond
	// maxUnreachedAttempts limits the attempts at targets that cannot be reached.
	maxUnreachedAttempts = 4
	// shedRetryAfter is the Retry-After after a target had no capacity, and after
	// the deadline passed without the request being sent.
	shedRetryAfter = 200 * time.Millisecond
	// notExecutedRetryAfter is the Retry-After when targets with free capacity
	// refused the request or none was reached: the request may succeed at once.
	notExecutedRetryAfter = 50 * time.Millisecond
	// responseMargin is subtracted from the caller's deadline, so that the response
	// reaches the caller in time.
	responseMargin = 20 * time.Millisecond
	// minRetryTimeFraction is the fraction of the route's objective that must be left
	// before the deadline for a retry. A target could not respond in less time.
	minRetryTimeFraction = 0.25
	// defaultTimeout applies to requests without a deadline on routes without a
	// timeout.
	defaultTimeout = 30 * time.Second
	// suspectRetryAfter is the Retry-After for a request that is suspected of
	// crashing targets.
	suspectRetryAfter = 2 * time.Second
)

// Headers reads and writes the HTTP headers of the protocol between instances,
// callers and targets. Package platform implements it.
type Headers interface {
	// RequestID returns the request's ID, or "" if it has none.
	RequestID(http.Header) string
	// ConflictingIDs reports whether a request has several different IDs.
	ConflictingIDs(http.Header) bool
	// Deadline returns the time that the sender gives the request, if it states one.
	Deadline(http.Header) (time.Duration, bool)
	// ObjectKey returns the key of the object that the request concerns, or "".
	ObjectKey(http.Header) string
	// Key returns the caller's API key, or "".
	Key(http.Header) string
	// SetAccount removes the caller's API key, and sets the name of the account, or
	// removes it if account is empty.
	SetAccount(h http.Header, account string)
	// SetTarget sets the ID of the target that a request is sent to and the time
	// left for the request.
	SetTarget(h http.Header, target string, left time.Duration)
	// MatchResponse reports whether a response belongs to the request with the ID.
	MatchResponse(h http.Header, id string) forward.ResponseMatch
	// NotExecuted reports whether the target states that it did not execute the
	// request.
	NotExecuted(status int, h http.Header) bool
	// HasStamp reports whether a response has the signature of a target.
	HasStamp(http.Header) bool
	// Load returns the load that the target states, and the names of the invalid
	// figures, which count as missing.
	Load(http.Header) (load balance.TargetLoad, invalid []string)
	// ColdStart returns how long the target will stay cold.
	ColdStart(http.Header) time.Duration
	// RateLimit returns the requests per second that the target takes from all
	// instances together, +Inf if it states no limit; ok is false if the header is
	// invalid.
	RateLimit(http.Header) (perSecond float64, ok bool)
	// Leaving reports whether the target states that it is leaving; ok is false if
	// the header is invalid.
	Leaving(http.Header) (leaving, ok bool)
	// Pause returns the time for which the target, which rejects a request, asks
	// this instance to send it nothing; ok is false if the header is invalid.
	Pause(status int, h http.Header) (pause time.Duration, ok bool)
	// KnownResponseHeader reports whether a response header, in canonical form, is
	// known.
	KnownResponseHeader(name string) bool
	// EchoRequestID sets the request's ID in a response that this system generates.
	EchoRequestID(h http.Header, id string)
}

// Options configure a Gateway.
type Options struct {
	State          func() *steering.State
	Balancer       *balance.Balancer
	Suspects       *balance.Suspects
	Budget         *balance.RetryBudget
	Forwarder      *forward.Forwarder // To targets.
	RelayForwarder *forward.Forwarder // To peers that act as relays.
	Headers        Headers
	Events         *events.Log
	LiveInstances  func() int // Number of instances that share limits and budgets, including this one.
	MemoryBytes    int64      // Memory limit of the process; 0 if there is none.
	Quotas         Quotas     // Limits the requests of accounts; nil if there are no limits.
	// ExplainQuota returns what Quotas would decide, for Explain; nil if there are no
	// limits.
	ExplainQuota func(now time.Time, account string) (quota.Explanation, bool)
}

// Gateway forwards requests to targets.
type Gateway struct {
	Options
	events    *events.Log
	splitter  serviceSplitter
	deadlines deadlineHistory
	inFlight  inFlightAttempts
	relays    relaySet
	counters  Counters
	// unknownHeaders holds the response headers that were logged as unknown.
	unknownHeaders nameSet
	// invalidStatements holds the kinds of statements and targets that were logged
	// as invalid.
	invalidStatements nameSet
	heldResponses     responseSlots
	memory            *memoryBudget
	refusalLog        *events.RepeatLimit // By reason.
	crashChecks       crashChecks
	stop              stopTimes
	dialTimeout       time.Duration // baseDialTimeout, except in tests.
}

func New(o Options) *Gateway {
	return &Gateway{Options: o, events: o.Events, splitter: serviceSplitter{credits: map[string][]float64{}},
		deadlines: deadlineHistory{routes: map[string]*majorityDeadline{}}, counters: newCounters(), memory: newMemoryBudget(o.MemoryBytes), dialTimeout: baseDialTimeout, refusalLog: events.NewRepeatLimit(refusalLogInterval),
		unknownHeaders: nameSet{limit: maxUnknownHeaders}, invalidStatements: nameSet{limit: maxInvalidStatements}}
}

func (g *Gateway) limits() steering.Limits {
	if c := g.State().Config; c != nil {
		return c.Limits
	}
	return steering.Limits{}
}

// routedRequest is a request with its route and the state of its attempts.
type routedRequest struct {
	*incomingRequest
	id                string
	config            *steering.Config // The configuration by which the whole request is decided.
	route             *steering.Route
	account           *steering.Account    // Nil if the request has none.
	homeRegions       steering.HomeRegions // That the route and the account both allow.
	admitted          time.Time            // When the account's quota admitted the request.
	service           string
	version           steering.Version
	objectKey         string
	deadline          time.Time
	firstSent         time.Time               // When the caller first sent the request, estimated from its deadline.
	excludedTargets   map[string]bool         // IDs of the targets that are not to be chosen again.
	reachedAttempts   int                     // Attempts that reached a target.
	unreachedAttempts int                     // Attempts that reached no target.
	staleAttempts     int                     // Attempts on stale connections, not included in reachedAttempts.
	reachedTargets    map[string]bool         // IDs of the targets that a part of the request may have reached.
	mayHaveExecuted   bool                    // A target may have executed the request.
	failedResponse    *response               // A target's error response, delivered if no retry gets a better one.
	targetFull        bool                    // A target had no capacity.
	quotaTaken        bool                    // A token of the account's quota is to be returned if no target executes the request.
	overflowRefused   bool                    // See balance.Request.
	crashesWhenSent   balance.CrashCount      // That were known when the last attempt was sent.
	uncheckedWhenSent *possibleCrash          // One that was not checked yet; nil if there was none.
	cachedFingerprint *quarantine.Fingerprint // See fingerprint; nil until it is needed.
}

// attempts returns the number of attempts of all kinds.
func (request *routedRequest) attempts() int {
	return request.reachedAttempts + request.unreachedAttempts + request.staleAttempts
}

// fingerprint returns the fingerprint by which identical requests are recognized.
// It does not cover the service: a split, or a later configuration, sends the same
// request to another one. It hashes the whole request, of a streamed body the start,
// and is therefore computed only when a target has crashed.
func (request *routedRequest) fingerprint() quarantine.Fingerprint {
	if request.cachedFingerprint == nil {
		body := request.body
		if request.stream != nil {
			body = binary.BigEndian.AppendUint64(nil, request.prefixHash)
		}
		f := quarantine.Request{Destination: steering.NormalizeHost(request.httpRequest.Host), Method: request.httpRequest.Method, URI: request.uri, Body: body,
			BodyLength: request.httpRequest.ContentLength}.Fingerprint()
		request.cachedFingerprint = &f
	}
	return *request.cachedFingerprint
}

// serve returns the response to a caller's request that was accepted, and records it.
func (g *Gateway) serve(ctx context.Context, incoming *incomingRequest) *response {
	g.counters.Requests.Inc(1)
	return g.finish(incoming.routed, g.handle(ctx, incoming.routed))
}

// finish records the response to a request.
func (g *Gateway) finish(request *routedRequest, resp *response) *response {
	if resp.reason != "" {
		g.Headers.EchoRequestID(resp.header, request.id)
	}
	g.recordRequest(request, resp)
	return resp
}

// recordRequest records a completed request in the metrics and the log.
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
		events.Int("attempts", int64(request.reachedAttempts)), events.Int("tookMs", took.Milliseconds()), events.Uint("version", uint64(request.version)), events.String("account", request.accountName()))
}

// setDeadline sets the deadline of a request, which ends margin before the time that the
// caller states, and when the caller first sent it according to sinceFirst. stated is
// false if the caller states no time.
func (request *routedRequest) setDeadline(timeLeft time.Duration, stated bool, margin time.Duration, sinceFirst func(route string, deadline time.Duration) time.Duration) {
	request.deadline, request.firstSent = request.arrived.Add(routeTimeout(request.route)), request.arrived
	if !stated {
		return
	}
	request.firstSent = request.arrived.Add(-sinceFirst(request.route.Name, timeLeft))
	if callerDeadline := request.arrived.Add(timeLeft - margin); callerDeadline.Before(request.deadline) || request.route.Timeout == 0 {
		request.deadline = callerDeadline
	}
}

// routeTimeout returns the time limit of the requests of a route.
func routeTimeout(route *steering.Route) time.Duration {
	if route.Timeout == 0 {
		return defaultTimeout
	}
	return route.Timeout
}

// handle determines the deadline of an accepted request and sends it.
func (g *Gateway) handle(ctx context.Context, request *routedRequest) *response {
	defer g.returnUnusedQuota(request)
	timeLeft, stated := g.Headers.Deadline(request.httpRequest.Header)
	request.setDeadline(timeLeft, stated, responseMargin, g.deadlines.sinceFirstRequest)
	// The caller's Connection header must not name headers that attempts add.
	forward.CleanRequestHeaders(request.httpRequest.Header)
	request.setAccountHeader(g.Headers)
	ctx, cancel := context.WithDeadline(ctx, request.deadline)
	if request.stream != nil {
		context.AfterFunc(ctx, func() {
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				request.stream.interrupt()
			}
		})
	}
	resp := g.sendWithRetries(ctx, request)
	if resp.stream == nil {
		cancel()
	} else {
		resp.stream = &cancelOnClose{ReadCloser: resp.stream, cancel: cancel}
		resp.expired = func() *response { return g.expiredResponse(ctx, request) }
	}
	return resp
}

// expiredResponse returns the response in place of one that was to be passed on while it
// arrives, if the time of the request has ended before its turn came. Otherwise it
// returns nil.
func (g *Gateway) expiredResponse(ctx context.Context, request *routedRequest) *response {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil
	}
	g.events.Emit(events.ResponseExpired, log.Fields{"request": request.id, "route": request.route.Name, "overdueMs": time.Since(request.deadline).Milliseconds()})
	resp := request.interruptedResponse(ctx)
	if resp.reason != "" {
		g.Headers.EchoRequestID(resp.header, request.id)
	}
	return resp
}

// cancelOnClose cancels the context of a streamed response when it is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (c *cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// sendWithRetries makes attempts until one has a usable response or no retry is
// allowed.
func (g *Gateway) sendWithRetries(ctx context.Context, request *routedRequest) *response {
	g.Budget.CountRequest(request.arrived, request.service)
	for {
		decision := g.admitSuspect(request)
		if decision.Refused {
			return g.suspectResponse(request, decision.Count.Crashes)
		}
		g.noteCrashesWhenSent(request, decision.Count)
		if decision.Trial {
			defer g.abortUnsentTrial(request, decision)
		}
		grant, refusal := g.Balancer.Pick(time.Now(), request.pickCriteria(time.Now()))
		if refusal != nil {
			return g.refusalResponse(request, refusal)
		}
		if g.stop.outlastsStop(time.Now(), request.arrived, request.deadline, grant.ExpectedTime) {
			return g.refuseForStop(request, grant)
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

func (request *routedRequest) pickCriteria(now time.Time) balance.Request {
	criteria := balance.Request{Service: request.service, Object: request.objectKey, HomeRegions: request.homeRegions,
		Account: request.accountName(), Rank: request.config.RankOf(request.account, request.route), Objective: request.route.Objective,
		Elapsed: now.Sub(request.firstSent), Remaining: request.deadline.Sub(now), ExcludedTargets: request.excludedTargets, Retry: request.attempts() > 0, HasFallback: request.failedResponse != nil, Unrelayable: request.stream != nil, OverflowRefused: request.overflowRefused}
	if request.targetsUsedUp() {
		criteria.OnlyTargets = request.reachedTargets
	}
	return criteria
}

// targetsUsedUp reports whether the request was sent to as many targets as its route
// allows. Further attempts must go to one of these.
func (request *routedRequest) targetsUsedUp() bool {
	return len(request.reachedTargets) >= request.route.MaxAttempts
}

// targetLeft reports whether there may be a target for a further attempt.
func (request *routedRequest) targetLeft() bool {
	if !request.targetsUsedUp() {
		return true
	}
	for id := range request.reachedTargets {
		if !request.excludedTargets[id] {
			return true
		}
	}
	return false
}

// shouldRetry reports whether the request is sent again after an attempt.
func (g *Gateway) shouldRetry(request *routedRequest, outcome attemptOutcome) bool {
	if !outcome.retryable || request.stream != nil || !request.targetLeft() {
		return false
	}
	if time.Until(request.deadline) < time.Duration(minRetryTimeFraction*float64(request.route.Objective)) {
		return false
	}
	if outcome.unreached {
		return request.unreachedAttempts < maxUnreachedAttempts
	}
	return request.reachedAttempts < request.route.MaxAttempts && g.Budget.AllowRetry(time.Now(), request.service, g.LiveInstances(), request.firstSent.Before(request.arrived))
}

// refusalResponse returns the response to a request for which the balancer chose
// no target.
func (g *Gateway) refusalResponse(request *routedRequest, refusal *balance.Refusal) *response {
	now := time.Now()
	rank, reservedFor := request.config.RankOf(request.account, request.route), ""
	if refusal.ReservedFor != nil {
		reservedFor = refusal.ReservedFor.String()
	}
	g.counters.recordNotPlaced(rank)
	g.events.Emit(events.RequestNotPlaced, log.Fields{"rank": rank.String(), "reservedFor": reservedFor, "request": request.id, "route": request.route.Name, "service": request.service,
		"reason": refusal.Reason, "region": refusal.Region, "load": refusal.Load, "waitMs": refusal.ExpectedWait.Milliseconds(),
		"expectedMs": refusal.ExpectedTime.Milliseconds(), "sinceFirstMs": now.Sub(request.firstSent).Milliseconds(),
		"leftMs": request.deadline.Sub(now).Milliseconds(), "retryAfterMs": refusal.RetryAfter.Milliseconds(), "version": uint64(request.version)})
	return request.unsentResponse("attempt-failed", string(refusal.Reason), refusal.RetryAfter)
}

// unsentResponse returns the response to a request that is not sent again: a target's
// error response that is kept, 502 with the reason failed if an earlier attempt may
// have been executed, or else 503 with the reason refused.
func (request *routedRequest) unsentResponse(failed, refused string, retryAfter time.Duration) *response {
	switch {
	case request.failedResponse != nil:
		return request.failedResponse
	case request.mayHaveExecuted:
		return systemResponse(http.StatusBadGateway, failed)
	}
	return retryAfterResponse(http.StatusServiceUnavailable, refused, retryAfter)
}

// admitSuspect decides whether the request may be sent to a target although it may
// have crashed some.
func (g *Gateway) admitSuspect(request *routedRequest) balance.SuspectDecision {
	if !g.Suspects.Any() {
		return balance.SuspectDecision{}
	}
	return g.Suspects.Admit(time.Now(), request.fingerprint())
}

// abortUnsentTrial withdraws the trial of a request that no target can have executed.
func (g *Gateway) abortUnsentTrial(request *routedRequest, trial balance.SuspectDecision) {
	if !request.mayHaveExecuted {
		g.Suspects.AbortTrial(time.Now(), request.fingerprint(), trial)
	}
}

// suspectResponse returns the response to a request after which several targets in
// a row closed the connection.
func (g *Gateway) suspectResponse(request *routedRequest, crashes int) *response {
	g.events.Emit(events.RequestSuspected, log.Fields{"request": request.id, "route": request.route.Name, "service": request.service,
		"fingerprint": request.fingerprint().String(), "crashes": crashes})
	return request.unsentResponse("suspected-crash", "suspected-crash", suspectRetryAfter)
}

// failureResponse returns the response to a request whose last attempt failed.
func (request *routedRequest) failureResponse(outcome attemptOutcome) *response {
	if outcome.response != nil {
		return outcome.response
	}
	retryAfter := notExecutedRetryAfter
	if request.targetFull {
		retryAfter = shedRetryAfter
	}
	return request.unsentResponse("attempt-failed", "not-executed", retryAfter)
}

// interruptedResponse returns the response to a request whose deadline has passed
// or whose caller has disconnected. An error response of a target that arrived
// before the interrupted retry is delivered.
func (request *routedRequest) interruptedResponse(ctx context.Context) *response {
	if ctx.Err() == context.Canceled {
		return systemResponse(statusCallerLeft, reasonCallerLeft)
	}
	if request.failedResponse != nil {
		return request.failedResponse
	}
	if request.mayHaveExecuted {
		return systemResponse(http.StatusGatewayTimeout, "timeout")
	}
	return retryAfterResponse(http.StatusServiceUnavailable, "timeout-not-sent", shedRetryAfter)
}

// statusCallerLeft and reasonCallerLeft are the logged status and reason of requests
// whose caller has disconnected. Such a response is not sent.
const (
	statusCallerLeft = 499
	reasonCallerLeft = "caller-left"
)

func newChunkedWriter(w io.Writer) io.WriteCloser { return httputil.NewChunkedWriter(w) }
