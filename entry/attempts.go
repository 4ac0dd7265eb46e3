package entry

import (
	"context"
	"errors"
	"net/http"
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

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

var errBodyNotRead = errors.New("response body was not read to its end")

func requestDeadline(document *policy.Document, header string) time.Duration {
	ms, err := strconv.Atoi(header)
	limit := min(document.Timing.MaxDeadline(), maxRequestTime)
	if err != nil || ms <= 0 || ms > document.Timing.MaxDeadlineMs {
		if err == nil && ms > 0 {
			return limit
		}
		return min(document.Timing.DefaultDeadline(), limit)
	}
	return min(time.Duration(ms)*time.Millisecond, limit)
}

// serveRequest executes a request and returns the response. Idempotency keys are used
// only by services that are not idempotent.
func (inst *Instance) serveRequest(ctx context.Context, request *incomingRequest) *response {
	if request.idempotencyKey == "" || request.service.Idempotent || inst.ignoreIdempotencyKeys {
		return inst.runAttempts(ctx, request)
	}
	return inst.serveWithKey(ctx, request)
}

// runAttempts sends a request to targets until one responds. A request that is
// not idempotent is retried only when the last attempt provably did not execute
// it.
func (inst *Instance) runAttempts(ctx context.Context, request *incomingRequest) *response {
	var last *response
	tried := map[string]bool{}
	for number := 1; number <= maxAttempts; number++ {
		if number > 1 {
			inst.metrics.Retries.Inc(1)
		}
		next := inst.runAttempt(ctx, request, tried, number)
		if next.body != nil || last == nil || next.Reason != outcome.ReasonNoTarget {
			last = next.keepUnknownOf(last)
		}
		mayRetry := next.Executed == outcome.No || (request.service.Idempotent && next.Executed == outcome.Unknown)
		if next.Reason == outcome.ReasonRelayFailed && mayRetry && request.retryable() && ctx.Err() == nil {
			request.forwards = 1 // The other region is unreachable; stay in this one.
			continue
		}
		if next.body != nil || next.Target == "" || !mayRetry || !request.retryable() || ctx.Err() != nil {
			return last
		}
	}
	return last
}

// keepUnknownOf returns the response with the outcome "unknown" when an earlier
// attempt may have been executed, although this one was not.
func (r *response) keepUnknownOf(earlier *response) *response {
	if earlier != nil && earlier.Executed == outcome.Unknown && r.Executed == outcome.No {
		r.Executed = outcome.Unknown
	}
	return r
}

func (inst *Instance) runAttempt(ctx context.Context, request *incomingRequest, tried map[string]bool, number int) *response {
	fingerprint := request.fingerprint()
	targets := request.serviceTargets()
	if number == 1 {
		if moved := inst.forwardByMove(ctx, request); moved != nil {
			return moved
		}
	}
	for {
		excluded, refusal := inst.excludedTargets(ctx, fingerprint, targets, tried)
		if refusal != nil {
			return refusalResponse(*refusal)
		}
		acquireStart := time.Now()
		assignment, refusal := inst.chooser.Acquire(ctx, AcquireRequest{Document: request.document, Service: request.service,
			Arrived: request.arrived, Deadline: request.deadline, Excluded: excluded, PreviousAttempts: number - 1, Forwards: int(request.forwards)})
		inst.metrics.QueueWait.Update(time.Since(acquireStart).Microseconds())
		if refusal != nil {
			return refusalResponse(*refusal)
		}
		if assignment.ForwardTo != "" {
			return inst.forwardTo(ctx, request, assignment.ForwardTo)
		}
		attempt := inst.quarantineGuard.StartAttempt(time.Now(), fingerprint, request.service.Name, assignment.Target.Name, targets)
		if attempt == nil {
			assignment.Release(slots.Unused)
			continue
		}
		tried[assignment.Target.Name] = true
		inst.events.Emit(events.RequestRouted, log.Fields{"service": request.service.Name, "target": assignment.Target.Name, "attempt": number,
			"excluded": len(excluded), "remainingMs": time.Until(request.deadline).Milliseconds(), "version": request.document.Version})
		return inst.sendToTarget(ctx, request, assignment, attempt)
	}
}

// excludedTargets returns the targets that must not be chosen. While the
// quarantine guard demands it, it waits for an identical request in flight to
// end.
func (inst *Instance) excludedTargets(ctx context.Context, fingerprint quarantine.Fingerprint,
	targets []quarantine.Target, tried map[string]bool) (map[string]bool, *outcome.Outcome) {
	for {
		decision := inst.quarantineGuard.Check(time.Now(), fingerprint, targets)
		switch decision.Verdict {
		case quarantine.Refuse:
			return nil, &outcome.Outcome{Status: 422, Reason: outcome.ReasonQuarantined, Executed: outcome.No}
		case quarantine.Wait:
			select {
			case <-decision.Changed:
				continue
			case <-ctx.Done():
				return nil, &outcome.Outcome{Status: 504, Reason: outcome.ReasonDeadline, Executed: outcome.No}
			}
		}
		excluded := map[string]bool{}
		for _, t := range targets {
			if tried[t.Name] || !decision.Allows(t.Name) {
				excluded[t.Name] = true
			}
		}
		return excluded, nil
	}
}

// sendToTarget sends the request to the assigned target. The assignment and the
// attempt end with the response body.
func (inst *Instance) sendToTarget(ctx context.Context, request *incomingRequest, assignment Assignment, attempt *quarantine.Attempt) *response {
	targetRequest := request.targetRequest()
	targetRequest.Header.Set(outcome.HeaderDeadline, strconv.FormatInt(max(1, time.Until(request.deadline).Milliseconds()), 10))
	target := forward.Target{Address: assignment.Target.Address, MaxConnections: assignment.Target.Connections}
	ctx, cancel := withSlotExpiry(ctx, assignment)
	targetResponse, err := inst.forwarder.Do(ctx, target, targetRequest)
	if err != nil {
		defer cancel()
		return inst.finishFailed(ctx, request, assignment, attempt, err)
	}
	if targetResponse.Header.Get(outcome.HeaderTargetState) == targetStateLeaving {
		assignment.targetLeaving = true
	}
	refused := statesNotExecuted(targetResponse.Header)
	forward.CleanResponseHeaders(targetResponse.Header)
	if refused {
		defer cancel()
		_ = targetResponse.Body.Close()
		inst.quarantineGuard.EndAttempt(attempt)
		assignment.Release(slots.Shed)
		return refusalResponse(outcome.Outcome{Status: 503, Reason: outcome.ReasonShed, Executed: outcome.No, Target: assignment.Target.Name})
	}
	o := outcome.Outcome{Status: targetResponse.Status, Reason: outcome.ReasonResponded, Executed: outcome.Yes, Target: assignment.Target.Name}
	body := &targetBody{ReadCloser: targetResponse.Body}
	body.onEnd = func(_ *targetBody, err error) {
		inst.finishResponse(request, assignment, attempt, err)
		cancel()
	}
	return &response{Outcome: o, header: targetResponse.Header, bodyLength: targetResponse.Length, body: body}
}

// statesNotExecuted reports whether a response states that the target did not
// execute the request.
func statesNotExecuted(header http.Header) bool {
	executed := header.Values(outcome.HeaderExecuted)
	return len(executed) == 1 && outcome.ParseExecuted(executed[0]) == outcome.No
}

// withSlotExpiry limits the exchange to the time for which its slot is granted.
func withSlotExpiry(ctx context.Context, assignment Assignment) (context.Context, context.CancelFunc) {
	if assignment.EndBy.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, assignment.EndBy)
}

// finishResponse ends an exchange in which the response head was received.
func (inst *Instance) finishResponse(request *incomingRequest, assignment Assignment, attempt *quarantine.Attempt, err error) {
	var forwardError *forward.Error
	switch {
	case err == nil:
		inst.queueCrashReports(inst.quarantineGuard.RecordSuccess(time.Now(), attempt))
		assignment.Release(assignment.releaseCause())
		return
	case errors.As(err, &forwardError) && forwardError.TargetClosed:
		inst.reportCrash(request, assignment, attempt)
		assignment.Release(slots.Crashed)
	default:
		inst.quarantineGuard.EndAttempt(attempt)
		assignment.Release(slots.TimedOut)
	}
	inst.events.Emit(events.ResponseCut, log.Fields{"service": request.service.Name, "target": assignment.Target.Name, "error": err.Error()})
}

// finishFailed ends an exchange in which no response was received.
func (inst *Instance) finishFailed(ctx context.Context, request *incomingRequest, assignment Assignment,
	attempt *quarantine.Attempt, err error) *response {
	o := outcome.Outcome{Status: 502, Reason: outcome.ReasonTargetFailed, Executed: outcome.Unknown, Target: assignment.Target.Name}
	cause := slots.TimedOut
	var forwardError *forward.Error
	if errors.As(err, &forwardError) && forwardError.Stage == forward.StageConnect {
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
	if forwardError != nil && forwardError.TargetClosed {
		cause = slots.Crashed
		inst.reportCrash(request, assignment, attempt)
	} else {
		inst.quarantineGuard.EndAttempt(attempt)
	}
	assignment.Release(cause)
	inst.events.Emit(events.AttemptFailed, log.Fields{"service": request.service.Name, "target": assignment.Target.Name,
		"executed": o.Executed, "reason": o.Reason, "error": err.Error()})
	return refusalResponse(o)
}

func (inst *Instance) reportCrash(request *incomingRequest, assignment Assignment, attempt *quarantine.Attempt) {
	reports := inst.quarantineGuard.RecordCrash(time.Now(), attempt)
	inst.queueCrashReports(reports)
	for _, report := range reports {
		inst.events.Emit(events.TargetCrashSuspected, log.Fields{"service": request.service.Name, "target": assignment.Target.Name,
			"fingerprint": report.Fingerprint.String(), "quarantineMs": report.RemainingQuarantine.Milliseconds()})
	}
}
