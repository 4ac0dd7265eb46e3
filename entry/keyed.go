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

// serveWithKey serves a request with an idempotency key. Only the key's authority
// executes it.
func (in *Instance) serveWithKey(ctx context.Context, r *incomingRequest) *response {
	key, err := once.ParseKey(r.idempotencyKey)
	if err != nil {
		o, _ := once.RefuseKeyUnknown.Refusal()
		return refusalResponse(o)
	}
	for {
		d := in.keyRegistry.Begin(time.Now(), key, once.Fingerprint(r.fingerprint()))
		in.events.Emit(events.KeyDecided, log.Fields{"service": r.service.Name, "key": r.idempotencyKey, "verdict": d.Verdict.String()})
		if o, ok := d.Verdict.Refusal(); ok {
			return refusalResponse(o)
		}
		switch d.Verdict {
		case once.Run:
			return in.executeWithKey(ctx, r, d.Ticket)
		case once.Replay:
			return replayResult(d.Result)
		case once.Foreign:
			return in.relay(ctx, r, key.Instance)
		case once.HandedOver:
			return in.relay(ctx, r, d.Successor.Instance)
		}
		select {
		case <-d.Done:
		case <-ctx.Done():
			return refusalResponse(outcome.Outcome{Status: 504, Reason: outcome.ReasonInProgress, Executed: outcome.Unknown})
		}
	}
}

// executeWithKey executes the request and records its result, at the latest when the
// answer's body has ended.
func (in *Instance) executeWithKey(ctx context.Context, r *incomingRequest, ticket *once.Ticket) *response {
	got := in.runAttempts(ctx, r)
	result := once.Result{Executed: got.Executed, Status: got.Status, Reason: got.Reason}
	if got.body == nil {
		ticket.Finish(result)
		return got
	}
	result.ContentType = got.header.Get("Content-Type")
	got.body = &targetBody{ReadCloser: got.body, keepLimit: once.MaxBodyBytes, onEnd: func(b *targetBody, err error) {
		result.Body, result.BodyDropped = b.kept, err != nil
		if err != nil {
			result.Body = nil
		}
		ticket.Finish(result)
	}}
	return got
}

// replayResult repeats a recorded result.
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
