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
	// startingReturn is when to come back to an instance that knows no
	// configuration yet.
	startingReturn = 300 * time.Millisecond
	// maxUnreached bounds the targets that are tried and cannot be reached.
	maxUnreached = 4
	// shedReturn is when to come back after targets had no room.
	shedReturn = 200 * time.Millisecond
	// againReturn is when to come back after targets that have room refused, or
	// none was reached: another attempt may succeed at once.
	againReturn = 50 * time.Millisecond
	// answerMargin is left of the caller's time for the way of the last answer.
	answerMargin = 20 * time.Millisecond
	// repeatPart is the part of the objective that must be left for another
	// attempt. A target could not answer in less.
	repeatPart = 0.25
	// defaultTimeout bounds requests that state no deadline on routes without a
	// timeout.
	defaultTimeout = 30 * time.Second
	// suspectReturn is when to come back with a request that may crash targets.
	suspectReturn = 2 * time.Second
)

// Headers reads and writes the headers that instances, callers and targets
// agree on. Package platform implements it.
type Headers interface {
	RequestID(http.Header) string
	Deadline(http.Header) (time.Duration, bool)
	Object(http.Header) string
	Address(h http.Header, target string, left time.Duration)
	Answers(h http.Header, id string) forward.Owner
	NotExecuted(status int, h http.Header) bool
	Stamped(http.Header) bool
	Load(http.Header) (executing, waiting int, ok bool)
	Cold(http.Header) time.Duration
	Echo(h http.Header, id string)
}

// Options configure a Gateway.
type Options struct {
	World     func() *steering.State
	Balancer  *balance.Balancer
	Suspects  *balance.Suspects
	Budget    *balance.RetryBudget
	Forwarder *forward.Forwarder // To targets.
	Relays    *forward.Forwarder // To other instances that carry requests.
	Headers   Headers
	Events    *events.Log
	Live      func() int // Instances among which budgets are divided, this one included.
}

// Gateway carries requests to targets.
type Gateway struct {
	Options
	events   *events.Log
	splits   splits
	patience patience
	flights  flights
	relays   relays
	count    Counters
}

// New returns a gateway.
func New(o Options) *Gateway {
	return &Gateway{Options: o, events: o.Events, splits: splits{next: map[string][]float64{}},
		patience: patience{routes: map[string]*usual{}}, count: newCounters()}
}

func (g *Gateway) limits() steering.Limits {
	if c := g.World().Config; c != nil {
		return c.Limits
	}
	return steering.Limits{}
}

// carried is a request on its way through attempts.
type carried struct {
	*incoming
	id       string
	route    *steering.Route
	service  string
	version  steering.Version
	object   string
	deadline time.Time
	first    time.Time // When the caller first asked, as far as its deadline shows.
	excluded map[string]bool
	sent     int                     // Attempts that reached a target.
	missed   int                     // Attempts that reached none.
	stale    int                     // Attempts that ended with a dropped connection and count for neither.
	mayRun   bool                    // A target may have executed the request.
	last     *answer                 // A target's answer that says that it failed, when nothing better comes.
	full     bool                    // A target had no room.
	print    *quarantine.Fingerprint // Nil until it is needed.
}

// tries is the number of attempts.
func (r *carried) tries() int { return r.sent + r.missed + r.stale }

// fingerprint tells requests that are the same apart from others. It hashes the
// whole request, so it is made only when a crash is known.
func (r *carried) fingerprint() quarantine.Fingerprint {
	if r.print == nil {
		f := quarantine.Request{Service: r.service, Method: r.http.Method, URI: r.uri, Body: r.held,
			Length: r.http.ContentLength}.Fingerprint()
		r.print = &f
	}
	return *r.print
}

// serve finds the answer to a request.
func (g *Gateway) serve(ctx context.Context, in *incoming) *answer {
	g.count.Requests.Inc(1)
	r := &carried{incoming: in, id: g.Headers.RequestID(in.http.Header), excluded: map[string]bool{}}
	a := g.answer(ctx, r)
	if a.reason != "" {
		g.Headers.Echo(a.header, r.id)
	}
	g.ended(r, a)
	return a
}

func (g *Gateway) ended(r *carried, a *answer) {
	took := time.Since(r.arrived)
	g.count.ended(a, took)
	origin, route := "target", ""
	if a.reason != "" {
		origin = "own"
	}
	if r.route != nil {
		route = r.route.Name
	}
	g.events.EmitFields(&events.RequestEnded, events.String("request", r.id), events.String("route", route),
		events.Int("status", int64(a.status)), events.String("origin", origin), events.String("reason", a.reason),
		events.Int("attempts", int64(r.sent)), events.Int("tookMs", took.Milliseconds()), events.Uint("version", uint64(r.version)))
}

func (g *Gateway) answer(ctx context.Context, r *carried) *answer {
	config := g.World().Config
	if config == nil {
		return retryAfter(http.StatusServiceUnavailable, "no-configuration", startingReturn)
	}
	r.version = config.Version
	if r.route = config.Match(r.http.Host, r.path); r.route == nil {
		return ownAnswer(http.StatusNotFound, "no-route")
	}
	r.service = g.splits.service(r.route)
	if r.route.Sticky {
		r.object = g.Headers.Object(r.http.Header)
	}
	timeout := r.route.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	r.deadline, r.first = r.arrived.Add(timeout), r.arrived
	if d, ok := g.Headers.Deadline(r.http.Header); ok {
		r.first = r.arrived.Add(-g.patience.elapsed(r.route.Name, d))
		if left := r.arrived.Add(d - answerMargin); left.Before(r.deadline) || r.route.Timeout == 0 {
			r.deadline = left
		}
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	a := g.attempts(ctx, r)
	if a.stream == nil {
		cancel()
	} else {
		a.stream = &cancelling{ReadCloser: a.stream, cancel: cancel}
	}
	return a
}

// cancelling ends the context of a streamed answer with it.
type cancelling struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (c *cancelling) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// attempts tries targets until one answers.
func (g *Gateway) attempts(ctx context.Context, r *carried) *answer {
	g.Budget.CountRequest(r.arrived, r.service)
	for {
		if crashes, refused := g.refusedAsSuspect(r); refused {
			return g.suspected(r, crashes)
		}
		grant, refusal := g.Balancer.Pick(time.Now(), r.want(time.Now()))
		if refusal != nil {
			return g.refused(r, refusal)
		}
		e := g.attempt(ctx, r, grant)
		if e.answer != nil && !e.again {
			return e.answer
		}
		if ctx.Err() != nil {
			e.drop()
			return r.givenUp(ctx)
		}
		if !g.repeat(r, e) {
			return r.failed(e)
		}
		e.drop()
	}
}

func (r *carried) want(now time.Time) balance.Request {
	return balance.Request{Service: r.service, Object: r.object, HomeRegions: r.route.HomeRegions, Objective: r.route.Objective,
		Elapsed: now.Sub(r.first), Remaining: r.deadline.Sub(now), ExcludedTargets: r.excluded, Retry: r.tries() > 0, HasFallback: r.last != nil}
}

// repeat reports whether the request goes to another target after an attempt.
func (g *Gateway) repeat(r *carried, e ended) bool {
	if !e.again || r.stream != nil {
		return false
	}
	if time.Until(r.deadline) < time.Duration(repeatPart*float64(r.route.Objective)) {
		return false
	}
	if e.unreached {
		return r.missed < maxUnreached
	}
	return r.sent < r.route.MaxAttempts && g.Budget.AllowRetry(time.Now(), r.service, g.Live(), r.first.Before(r.arrived))
}

// refused answers a request for which no target was chosen.
func (g *Gateway) refused(r *carried, f *balance.Refusal) *answer {
	now := time.Now()
	g.events.Emit(events.RequestNotPlaced, log.Fields{"request": r.id, "route": r.route.Name, "service": r.service,
		"reason": f.Reason, "region": f.Region, "load": f.Load, "waitMs": f.ExpectedWait.Milliseconds(),
		"expectedMs": f.ExpectedTime.Milliseconds(), "sinceFirstMs": now.Sub(r.first).Milliseconds(),
		"leftMs": r.deadline.Sub(now).Milliseconds(), "retryAfterMs": f.RetryAfter.Milliseconds(), "version": uint64(r.version)})
	if r.last != nil {
		return r.last
	}
	if r.mayRun {
		return ownAnswer(http.StatusBadGateway, "attempt-failed")
	}
	return retryAfter(http.StatusServiceUnavailable, string(f.Reason), f.RetryAfter)
}

// refusedAsSuspect reports whether the request must not go to a target any more,
// and how often it has ended a target's connection.
func (g *Gateway) refusedAsSuspect(r *carried) (int, bool) {
	if !g.Suspects.Any() {
		return 0, false
	}
	return g.Suspects.Refused(time.Now(), r.fingerprint())
}

// suspected answers a request that has ended the connection of several targets
// in a row.
func (g *Gateway) suspected(r *carried, crashes int) *answer {
	g.events.Emit(events.RequestSuspected, log.Fields{"request": r.id, "route": r.route.Name, "service": r.service,
		"fingerprint": r.fingerprint().String(), "crashes": crashes})
	if r.mayRun {
		return ownAnswer(http.StatusBadGateway, "suspected-crash")
	}
	return retryAfter(http.StatusServiceUnavailable, "suspected-crash", suspectReturn)
}

// failed answers a request after its last attempt.
func (r *carried) failed(e ended) *answer {
	switch {
	case e.answer != nil:
		return e.answer
	case r.last != nil:
		return r.last
	case r.mayRun:
		return ownAnswer(http.StatusBadGateway, "attempt-failed")
	}
	if !r.full {
		return retryAfter(http.StatusServiceUnavailable, "not-executed", againReturn)
	}
	return retryAfter(http.StatusServiceUnavailable, "not-executed", shedReturn)
}

// givenUp answers a request whose time is over, or whose caller has left. A
// target's whole answer that came before a repeat is delivered.
func (r *carried) givenUp(ctx context.Context) *answer {
	if ctx.Err() == context.Canceled {
		return ownAnswer(statusCallerLeft, "caller-left")
	}
	if r.last != nil {
		return r.last
	}
	if r.mayRun {
		return ownAnswer(http.StatusGatewayTimeout, "timeout")
	}
	return retryAfter(http.StatusServiceUnavailable, "timeout-not-sent", shedReturn)
}

// statusCallerLeft marks requests whose caller does not read the answer.
const statusCallerLeft = 499

func newChunks(w io.Writer) io.WriteCloser { return httputil.NewChunkedWriter(w) }
