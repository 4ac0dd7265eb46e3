package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/once"
	"github.com/jacinthstall/jacinthstall/outcome"
)

// serveWithKey serves a request with an idempotency key. The request is
// executed only by the issuer of the key or its successor; other instances
// relay it there.
func (inst *Instance) serveWithKey(ctx context.Context, request *incomingRequest) *response {
	key, err := once.ParseKey(request.idempotencyKey)
	if err != nil {
		o, _ := once.RefuseKeyUnknown.Refusal()
		return refusalResponse(o)
	}
	for {
		decision := inst.keyRegistry.Begin(time.Now(), key, once.Fingerprint(request.fingerprint()))
		inst.events.Emit(events.KeyDecided, log.Fields{"service": request.service.Name,
			"key": request.idempotencyKey, "verdict": decision.Verdict.String()})
		if o, ok := decision.Verdict.Refusal(); ok {
			return refusalResponse(o)
		}
		switch decision.Verdict {
		case once.Run:
			return inst.executeWithKey(ctx, request, decision.Ticket)
		case once.Replay:
			return replayResult(decision.Result)
		case once.Foreign:
			return inst.relay(ctx, request, key.Instance)
		case once.HandedOver:
			return inst.relay(ctx, request, decision.Successor.Instance)
		}
		select {
		case <-decision.Done:
		case <-ctx.Done():
			return refusalResponse(outcome.Outcome{Status: 504, Reason: outcome.ReasonInProgress, Executed: outcome.Unknown})
		}
	}
}

// executeWithKey executes the request and records its result, at the latest
// when the response body has ended.
func (inst *Instance) executeWithKey(ctx context.Context, request *incomingRequest, ticket *once.Ticket) *response {
	response := inst.runAttempts(ctx, request)
	result := once.Result{Executed: response.Executed, Status: response.Status, Reason: response.Reason}
	if response.body == nil {
		ticket.Finish(result)
		return response
	}
	result.ContentType = response.header.Get("Content-Type")
	response.body = &targetBody{ReadCloser: response.body, keepLimit: once.MaxBodyBytes, onEnd: func(b *targetBody, err error) {
		result.Body, result.BodyDropped = b.kept, err != nil
		if err != nil {
			result.Body = nil
		}
		ticket.Finish(result)
	}}
	return response
}

// replayResult returns the recorded result of an earlier execution.
func replayResult(result once.Result) *response {
	o := outcome.Outcome{Status: result.Status, Reason: result.Reason, Executed: result.Executed}
	if o.Status == 0 {
		o.Status = 409
	}
	if result.Executed != outcome.Yes {
		return refusalResponse(o)
	}
	header := http.Header{}
	if result.ContentType != "" {
		header.Set("Content-Type", result.ContentType)
	}
	return &response{Outcome: o, header: header, bodyLength: int64(len(result.Body)), body: io.NopCloser(bytes.NewReader(result.Body))}
}
