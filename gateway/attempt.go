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
	// heldAnswerBytes is the largest answer that is read whole before its first
	// byte goes to the caller. A broken one can then be replaced.
	heldAnswerBytes = 128 << 10
	// dialBase is the time for opening a connection, beyond two round trips.
	dialBase = 150 * time.Millisecond
	// roundTrips is how many of them bounds on connections leave.
	roundTrips = 2
	// unanswered bounds how long a target may leave bytes unacknowledged, beyond
	// two round trips. Two retransmissions fit into it, after 200 and 400 ms.
	unanswered = 650 * time.Millisecond
	// freshIdle is how long a connection may have been idle that carries a
	// request which must run once: such a request cannot be repeated when the
	// target has dropped the connection meanwhile.
	freshIdle = 200 * time.Millisecond
	// maxStale is how many dropped connections do not count as attempts. After
	// the first one the target's other idle connections are closed, so the next
	// attempt is on a new one.
	maxStale = 1
)

// ended is how an attempt ended.
type ended struct {
	answer    *answer // Usable answer of the target; nil when there is none.
	again     bool    // Another target may be tried.
	unreached bool    // The target saw nothing of the request.
	stale     bool    // The connection had been dropped; the attempt says nothing of the target.
}

// drop closes an answer that another attempt is to replace. Whole ones are kept
// elsewhere; the rest of a long one has to be read or its connection closed.
func (e *ended) drop() {
	if e.answer != nil && e.answer.stream != nil {
		_ = e.answer.stream.Close()
	}
}

// attempt carries a request to a target.
func (g *Gateway) attempt(ctx context.Context, r *carried, grant balance.Grant) ended {
	started := time.Now()
	r.excluded[grant.Target.ID] = true
	relay, relayed := g.via(started, r, grant)
	g.events.EmitFields(&events.TargetChosen, events.String("request", r.id), events.String("route", r.route.Name),
		events.String("target", grant.Target.ID), events.String("object", r.object), events.Bool("warm", grant.Warm),
		events.Int("attempt", int64(r.tries()+1)), events.Int("load", int64(grant.Load)),
		events.Int("loadAgeMs", grant.LoadAge.Milliseconds()), events.Int("expectedMs", grant.ExpectedTime.Milliseconds()),
		events.Int("leftMs", r.deadline.Sub(started).Milliseconds()), events.Uint("version", uint64(r.version)), events.String("relay", relay))
	out := g.outgoing(r, grant, started)
	trips := roundTrips * g.Balancer.RoundTrip(grant.Region)
	to := forward.Target{Address: grant.Target.Address, Connections: g.connections(grant.Target.Service),
		DialTimeout: dialBase + trips, Unanswered: unanswered + trips}
	if !r.route.Idempotent {
		to.MaxIdle = freshIdle
	}
	carrier := g.Forwarder
	if relayed {
		relayTo(relay, &to, out, r, grant)
		carrier = g.Relays
	}
	sent, done := ctx, func() {}
	if r.route.Idempotent {
		// What must run once is waited for: it cannot be repeated, and a target
		// that was only slow to answer connections still brings its answer.
		sent, done = g.flights.enter(ctx, grant.Target.ID)
	}
	got, err := carrier.Do(sent, to, out)
	blame := true
	if relayed {
		blame = !g.noteRelay(sent, relay, started, err)
		if err == nil {
			got, err = fromRelay(grant, got)
		}
	}
	if err != nil {
		done()
		return g.noAnswer(ctx, sent, r, grant, started, blame, err)
	}
	e := g.gotAnswer(ctx, r, grant, started, got)
	if e.answer != nil && e.answer.stream != nil {
		e.answer.stream = &cancelling{ReadCloser: e.answer.stream, cancel: done}
	} else {
		done()
	}
	return e
}

func (g *Gateway) outgoing(r *carried, grant balance.Grant, now time.Time) *forward.Request {
	header := r.http.Header.Clone()
	for _, name := range []string{headerRelayTarget, headerRelayOnce} {
		header.Del(name)
	}
	g.Headers.Address(header, grant.Target.ID, r.deadline.Sub(now))
	out := &forward.Request{Method: r.http.Method, URI: r.uri, Header: header, Host: r.http.Host, UntilClose: true,
		Answers: func(h http.Header) forward.Owner { return g.Headers.Answers(h, r.id) }}
	switch {
	case r.stream != nil:
		out.Body, out.Length = r.stream, r.http.ContentLength
	case r.held != nil:
		out.Body, out.Length = bytes.NewReader(r.held), int64(len(r.held))
		if r.http.ContentLength < 0 {
			out.Length = -1
		}
	}
	return out
}

// connections is this instance's part of the connections that a target accepts.
func (g *Gateway) connections(service string) int {
	config := g.World().Config
	if config == nil || config.Services[service].MaxConnections == 0 {
		return 0
	}
	return max(2, config.Services[service].MaxConnections/max(1, g.Live()))
}

// noAnswer ends an attempt without an answer's head. Blame says that the failure
// tells something of the target.
func (g *Gateway) noAnswer(ctx, sent context.Context, r *carried, grant balance.Grant, started time.Time, blame bool, err error) ended {
	var failure *forward.Error
	stage := forward.StageWritten
	if errors.As(err, &failure) {
		stage = failure.Stage
	}
	result := balance.ConnectionBroken
	e := ended{again: r.route.Idempotent}
	var dial net.Error
	switch {
	case errors.Is(context.Cause(sent), errTargetLost):
		result = balance.Abandoned // What is known of the target already.
	case ctx.Err() == context.Canceled:
		result = balance.Abandoned
	case !blame && ctx.Err() == nil:
		result, e.unreached = balance.Abandoned, stage == forward.StageConnect
		e.again = e.again || e.unreached
		delete(r.excluded, grant.Target.ID)
	case stage == forward.StageConnect && (errors.Is(err, forward.ErrConnectionLimit) || errors.Is(err, errRelayRefused)):
		result, e.unreached, e.again = balance.Abandoned, true, true
	case stage == forward.StageConnect && ctx.Err() != nil:
		result, e.unreached = balance.TimedOut, true
	case stage == forward.StageConnect:
		result, e.unreached, e.again = balance.Unreachable, true, true
		if errors.As(err, &dial) && dial.Timeout() {
			result = balance.ConnectTimedOut
		}
	case ctx.Err() != nil:
		result = balance.TimedOut
	case failure != nil && failure.Stale:
		result, e.stale = balance.Abandoned, true
		if r.stale < maxStale {
			delete(r.excluded, grant.Target.ID)
		}
	}
	if blame && failure != nil && failure.Crashed {
		g.Suspects.RecordCrash(time.Now(), r.fingerprint())
	}
	switch {
	case stage == forward.StageConnect:
		r.missed++
	case e.stale && r.stale < maxStale:
		r.stale++
		r.mayRun = true
	default:
		r.sent++
		r.mayRun = true
	}
	g.done(r, grant, started, balance.Observation{Result: result}, e, err.Error())
	return e
}

// gotAnswer ends an attempt whose answer's head has arrived.
func (g *Gateway) gotAnswer(ctx context.Context, r *carried, grant balance.Grant, started time.Time, got *forward.Answer) ended {
	r.sent++
	o := balance.Observation{ColdFor: g.Headers.Cold(got.Header)}
	o.Executing, o.Waiting, o.LoadReported = g.Headers.Load(got.Header)
	if g.Headers.NotExecuted(got.Status, got.Header) {
		_ = got.Body.Close()
		o.Result = balance.Shed
		if got.Status == http.StatusMisdirectedRequest {
			o.Result = balance.Misdirected
		}
		if o.MayRetry(grant.Target) {
			delete(r.excluded, grant.Target.ID)
		} else {
			r.full = true
		}
		e := ended{again: true}
		g.done(r, grant, started, o, e, fmt.Sprintf("not executed, status %d", got.Status))
		return e
	}
	r.mayRun = true
	a, err := g.readAnswer(r, got)
	if err != nil {
		o.Result = balance.ConnectionBroken
		if ctx.Err() != nil {
			o.Result = balance.Abandoned
		}
		e := ended{again: r.route.Idempotent}
		g.done(r, grant, started, o, e, err.Error())
		return e
	}
	if g.Suspects.Any() {
		g.Suspects.Clear(r.fingerprint())
	}
	e := ended{answer: a}
	o.Result = balance.Succeeded
	if a.status >= http.StatusInternalServerError {
		o.Result = balance.Failed
		e.again = r.route.Idempotent
		if a.stream == nil {
			r.last = a
		}
	}
	cause := ""
	if e.again {
		cause = fmt.Sprintf("status %d", a.status)
	}
	g.done(r, grant, started, o, e, cause)
	return e
}

var (
	errNoStamp      = errors.New("success without the target's signature")
	errFalsePromise = errors.New("status promises that nothing ran, but the target does not say so")
)

// readAnswer reads an answer of ordinary size whole.
func (g *Gateway) readAnswer(r *carried, got *forward.Answer) (*answer, error) {
	if got.Status < http.StatusMultipleChoices && !g.Headers.Stamped(got.Header) {
		_ = got.Body.Close()
		return nil, errNoStamp
	}
	if promisesNotRun(got.Status) {
		_ = got.Body.Close()
		return nil, errFalsePromise
	}
	length := got.Header.Get("Content-Length")
	forward.CleanAnswer(got.Header)
	a := &answer{status: got.Status, header: got.Header, length: got.Length}
	if r.http.Method == http.MethodHead && length != "" {
		a.header.Set("Content-Length", length)
	}
	if got.Length > heldAnswerBytes {
		a.stream = got.Body
		return a, nil
	}
	body, err := io.ReadAll(io.LimitReader(got.Body, heldAnswerBytes))
	if err != nil {
		_ = got.Body.Close()
		return nil, err
	}
	if len(body) == heldAnswerBytes && got.Length != heldAnswerBytes {
		a.length = -1
		a.stream = &rest{Reader: io.MultiReader(bytes.NewReader(body), got.Body), Closer: got.Body}
		return a, nil
	}
	a.body = body
	return a, got.Body.Close()
}

// rest is a body of which a part was read already.
type rest struct {
	io.Reader
	io.Closer
}

// promisesNotRun reports whether callers take the status as a promise that the
// request was not executed.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// done reports an attempt to the balancer and the log.
func (g *Gateway) done(r *carried, grant balance.Grant, started time.Time, o balance.Observation, e ended, cause string) {
	now := time.Now()
	o.Duration = now.Sub(started)
	g.count.attempt(o.Result)
	if avoided := g.Balancer.Done(now, grant, o); avoided != nil {
		g.events.Emit(events.TargetAvoided, log.Fields{"target": avoided.Target, "reason": cause,
			"failures": avoided.ConsecutiveFailures, "forMs": avoided.Duration.Milliseconds(), "lost": avoided.Lost})
		if avoided.Lost {
			g.flights.end(avoided.Target)
		}
	}
	if cause == "" {
		return
	}
	executed := "unknown"
	if e.unreached || o.Result == balance.Shed || o.Result == balance.Misdirected {
		executed = "no"
	}
	g.events.Emit(events.AttemptEnded, log.Fields{"request": r.id, "target": grant.Target.ID, "attempt": r.tries(),
		"result": resultNames[o.Result], "executed": executed, "tookMs": o.Duration.Milliseconds(), "cause": cause, "again": e.again})
}
