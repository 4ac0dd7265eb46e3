package entry

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/forward"
	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/policy"
	"github.com/jacinthstall/jacinthstall/quarantine"
	"github.com/jacinthstall/jacinthstall/slots"
)

// maxAttempts bounds the targets tried for one request.
const maxAttempts = 3

var errBodyNotRead = errors.New("answer was not read to its end")

func requestDeadline(d *policy.Document, header string) time.Duration {
	ms, err := strconv.Atoi(header)
	limit := min(d.Timing.MaxDeadline(), maxRequestTime)
	if err != nil || ms <= 0 || ms > d.Timing.MaxDeadlineMs {
		if err == nil && ms > 0 {
			return limit
		}
		return min(d.Timing.DefaultDeadline(), limit)
	}
	return min(time.Duration(ms)*time.Millisecond, limit)
}

// serveRequest finds a reply for a request. Only a service that is not idempotent
// takes keys.
func (in *Instance) serveRequest(ctx context.Context, r *incomingRequest) *response {
	if r.idempotencyKey == "" || r.service.Idempotent || in.ignoreIdempotencyKeys {
		return in.runAttempts(ctx, r)
	}
	return in.serveWithKey(ctx, r)
}

// runAttempts tries targets until one answers. A request that is not idempotent
// is sent to another target only when the last one provably did not execute it.
func (in *Instance) runAttempts(ctx context.Context, r *incomingRequest) *response {
	var last *response
	tried := map[string]bool{}
	for number := 1; number <= maxAttempts; number++ {
		if number > 1 {
			in.metrics.Retries.Inc(1)
		}
		next := in.runAttempt(ctx, r, tried, number)
		if next.body != nil || last == nil || next.Reason != outcome.ReasonNoTarget {
			last = next.keepUnknownOf(last)
		}
		again := next.Executed == outcome.No || (r.service.Idempotent && next.Executed == outcome.Unknown)
		if next.Reason == outcome.ReasonRelayFailed && again && r.retryable() && ctx.Err() == nil {
			r.forwards = 1 // The other region does not answer; stay in this one.
			continue
		}
		if next.body != nil || next.Target == "" || !again || !r.retryable() || ctx.Err() != nil {
			return last
		}
	}
	return last
}

// keepUnknownOf keeps "unknown" of an earlier attempt: a later one that was not
// executed does not take it back.
func (r *response) keepUnknownOf(earlier *response) *response {
	if earlier != nil && earlier.Executed == outcome.Unknown && r.Executed == outcome.No {
		r.Executed = outcome.Unknown
	}
	return r
}

func (in *Instance) runAttempt(ctx context.Context, r *incomingRequest, tried map[string]bool, number int) *response {
	f := r.fingerprint()
	targets := r.serviceTargets()
	if number == 1 {
		if got := in.forwardByMove(ctx, r); got != nil {
			return got
		}
	}
	for {
		excluded, refusal := in.excludedTargets(ctx, f, targets, tried)
		if refusal != nil {
			return refusalResponse(*refusal)
		}
		asked := time.Now()
		grant, refusal := in.chooser.Acquire(ctx, AcquireRequest{Document: r.document, Service: r.service, Arrived: r.arrived,
			Deadline: r.deadline, Excluded: excluded, PreviousAttempts: number - 1, Forwards: int(r.forwards)})
		in.metrics.QueueWait.Update(time.Since(asked).Microseconds())
		if refusal != nil {
			return refusalResponse(*refusal)
		}
		if grant.ForwardTo != "" {
			return in.forwardTo(ctx, r, grant.ForwardTo)
		}
		flight := in.quarantineGuard.StartAttempt(time.Now(), f, r.service.Name, grant.Target.Name, targets)
		if flight == nil {
			grant.Release(slots.Unused)
			continue
		}
		tried[grant.Target.Name] = true
		in.events.Emit(events.RequestRouted, log.Fields{"service": r.service.Name, "target": grant.Target.Name, "attempt": number,
			"excluded": len(excluded), "remainingMs": time.Until(r.deadline).Milliseconds(), "version": r.document.Version})
		return in.sendToTarget(ctx, r, grant, flight)
	}
}

// excludedTargets returns the targets that must not be chosen. It waits while an
// identical request is in flight that binds this one.
func (in *Instance) excludedTargets(ctx context.Context, f quarantine.Fingerprint, targets []quarantine.Target, tried map[string]bool) (map[string]bool, *outcome.Outcome) {
	for {
		d := in.quarantineGuard.Check(time.Now(), f, targets)
		switch d.Verdict {
		case quarantine.Refuse:
			return nil, &outcome.Outcome{Status: 422, Reason: outcome.ReasonQuarantined, Executed: outcome.No}
		case quarantine.Wait:
			select {
			case <-d.Changed:
				continue
			case <-ctx.Done():
				return nil, &outcome.Outcome{Status: 504, Reason: outcome.ReasonDeadline, Executed: outcome.No}
			}
		}
		excluded := map[string]bool{}
		for _, t := range targets {
			if tried[t.Name] || !d.Allows(t.Name) {
				excluded[t.Name] = true
			}
		}
		return excluded, nil
	}
}

// sendToTarget carries the request to the target. The grant and the flight end with
// the answer's body.
func (in *Instance) sendToTarget(ctx context.Context, r *incomingRequest, grant Assignment, flight *quarantine.Attempt) *response {
	out := r.targetRequest()
	out.Header.Set(outcome.HeaderDeadline, strconv.FormatInt(max(1, time.Until(r.deadline).Milliseconds()), 10))
	to := forward.Target{Address: grant.Target.Address, MaxConnections: grant.Target.Connections}
	ctx, cancel := withSlotExpiry(ctx, grant)
	answer, err := in.forwarder.Do(ctx, to, out)
	if err != nil {
		defer cancel()
		return in.finishFailed(ctx, r, grant, flight, err)
	}
	if answer.Header.Get(outcome.HeaderTargetState) == targetStateLeaving {
		grant.targetLeaving = true
	}
	executed := answer.Header.Values(outcome.HeaderExecuted)
	forward.CleanResponseHeaders(answer.Header)
	if len(executed) == 1 && outcome.ParseExecuted(executed[0]) == outcome.No {
		defer cancel()
		_ = answer.Body.Close()
		in.quarantineGuard.EndAttempt(flight)
		grant.Release(slots.Shed)
		return refusalResponse(outcome.Outcome{Status: 503, Reason: outcome.ReasonShed, Executed: outcome.No, Target: grant.Target.Name})
	}
	o := outcome.Outcome{Status: answer.Status, Reason: outcome.ReasonResponded, Executed: outcome.Yes, Target: grant.Target.Name}
	body := &targetBody{ReadCloser: answer.Body}
	body.onEnd = func(_ *targetBody, err error) {
		in.finishResponse(r, grant, flight, err)
		cancel()
	}
	return &response{Outcome: o, header: answer.Header, bodyLength: answer.Length, body: body}
}

// withSlotExpiry bounds an exchange by the life of its slot.
func withSlotExpiry(ctx context.Context, grant Assignment) (context.Context, context.CancelFunc) {
	if grant.EndBy.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, grant.EndBy)
}

// finishResponse ends an exchange whose answer's head was read.
func (in *Instance) finishResponse(r *incomingRequest, grant Assignment, flight *quarantine.Attempt, err error) {
	var failure *forward.Error
	switch {
	case err == nil:
		in.queueCrashReports(in.quarantineGuard.RecordSuccess(time.Now(), flight))
		grant.Release(grant.releaseCause())
		return
	case errors.As(err, &failure) && failure.TargetClosed:
		in.reportCrash(r, grant, flight)
		grant.Release(slots.Crashed)
	default:
		in.quarantineGuard.EndAttempt(flight)
		grant.Release(slots.TimedOut)
	}
	in.events.Emit(events.ResponseCut, log.Fields{"service": r.service.Name, "target": grant.Target.Name, "error": err.Error()})
}

// finishFailed ends an exchange without an answer.
func (in *Instance) finishFailed(ctx context.Context, r *incomingRequest, grant Assignment, flight *quarantine.Attempt, err error) *response {
	o := outcome.Outcome{Status: 502, Reason: outcome.ReasonTargetFailed, Executed: outcome.Unknown, Target: grant.Target.Name}
	cause := slots.TimedOut
	var failure *forward.Error
	if errors.As(err, &failure) && failure.Stage == forward.StageConnect {
		o.Executed, cause = outcome.No, slots.ConnectFailed
	}
	switch {
	case errors.Is(err, errBodyTooLarge):
		o.Status, o.Reason = 413, outcome.ReasonBodyTooLarge
	case errors.Is(err, forward.ErrRequestBody), errors.Is(err, forward.ErrInvalidRequest):
		o.Status, o.Reason = 400, outcome.ReasonBadRequest
	case errors.Is(ctx.Err(), context.Canceled):
		o.Status, o.Reason = 499, outcome.ReasonCanceled
	case ctx.Err() != nil:
		o.Status, o.Reason = 504, outcome.ReasonDeadline
	}
	if failure != nil && failure.TargetClosed {
		cause = slots.Crashed
		in.reportCrash(r, grant, flight)
	} else {
		in.quarantineGuard.EndAttempt(flight)
	}
	grant.Release(cause)
	in.events.Emit(events.AttemptFailed, log.Fields{"service": r.service.Name, "target": grant.Target.Name,
		"executed": o.Executed, "reason": o.Reason, "error": err.Error()})
	return refusalResponse(o)
}

func (in *Instance) reportCrash(r *incomingRequest, grant Assignment, flight *quarantine.Attempt) {
	reports := in.quarantineGuard.RecordCrash(time.Now(), flight)
	in.queueCrashReports(reports)
	for _, report := range reports {
		in.events.Emit(events.TargetCrashSuspected, log.Fields{"service": r.service.Name, "target": grant.Target.Name,
			"fingerprint": report.Fingerprint.String(), "quarantineMs": report.RemainingQuarantine.Milliseconds()})
	}
}
