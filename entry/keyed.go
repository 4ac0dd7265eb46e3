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

// serveKey serves a request with an idempotency key. Only the key's authority
// executes it.
func (in *Instance) serveKey(ctx context.Context, r *incoming) *reply {
	key, err := once.ParseKey(r.key)
	if err != nil {
		o, _ := once.RefuseKeyUnknown.Refusal()
		return refused(o)
	}
	for {
		d := in.once.Begin(time.Now(), key, once.Fingerprint(r.fingerprint()))
		in.events.Emit(events.KeyDecided, log.Fields{"service": r.service.Name, "key": r.key, "verdict": d.Verdict.String()})
		if o, ok := d.Verdict.Refusal(); ok {
			return refused(o)
		}
		switch d.Verdict {
		case once.Run:
			return in.runKey(ctx, r, d.Ticket)
		case once.Replay:
			return replay(d.Result)
		case once.Foreign:
			return in.relay(ctx, r, key.Instance)
		case once.HandedOver:
			return in.relay(ctx, r, d.Successor.Instance)
		}
		select {
		case <-d.Done:
		case <-ctx.Done():
			return refused(outcome.Outcome{Status: 504, Reason: outcome.ReasonInProgress, Executed: outcome.Unknown})
		}
	}
}

// runKey executes the request and records its result, at the latest when the
// answer's body has ended.
func (in *Instance) runKey(ctx context.Context, r *incoming, ticket *once.Ticket) *reply {
	got := in.attempts(ctx, r)
	result := once.Result{Executed: got.Executed, Status: got.Status, Reason: got.Reason}
	if got.body == nil {
		ticket.Finish(result)
		return got
	}
	result.ContentType = got.header.Get("Content-Type")
	got.body = &answerBody{ReadCloser: got.body, limit: once.MaxBodyBytes, done: func(b *answerBody, err error) {
		result.Body, result.BodyDropped = b.kept, err != nil
		if err != nil {
			result.Body = nil
		}
		ticket.Finish(result)
	}}
	return got
}

// replay repeats a recorded result.
func replay(result once.Result) *reply {
	o := outcome.Outcome{Status: result.Status, Reason: result.Reason, Executed: result.Executed}
	if o.Status == 0 {
		o.Status = 409
	}
	if result.Executed != outcome.Yes {
		return refused(o)
	}
	header := http.Header{}
	if result.ContentType != "" {
		header.Set("Content-Type", result.ContentType)
	}
	return &reply{Outcome: o, header: header, length: int64(len(result.Body)), body: io.NopCloser(bytes.NewReader(result.Body))}
}
