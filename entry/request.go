package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/jacinthstall/jacinthstall/forward"
	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/policy"
)

// maxAttempts bounds the targets tried for one request.
const maxAttempts = 3

func (in *Instance) serve(ctx context.Context, c *app.RequestContext) outcome.Outcome {
	d := in.document.Load()
	if d == nil {
		return outcome.Outcome{Status: 503, Reason: outcome.ReasonNoConfig, Executed: outcome.No}
	}
	service, ok := d.ServiceFor(string(c.Path()))
	if !ok {
		return outcome.Outcome{Status: 404, Reason: outcome.ReasonNoService, Executed: outcome.No}
	}
	deadline := requestDeadline(d, string(c.Request.Header.Peek(outcome.HeaderDeadline)))
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	return in.attempt(ctx, c, d, service)
}

func requestDeadline(d *policy.Document, header string) time.Duration {
	ms, err := strconv.Atoi(header)
	if err != nil || ms <= 0 {
		return d.Timing.DefaultDeadline()
	}
	return min(time.Duration(ms)*time.Millisecond, d.Timing.MaxDeadline())
}

// attempt tries targets until one answers. A request that is not idempotent
// is sent to another target only when the last one provably did not execute it.
func (in *Instance) attempt(ctx context.Context, c *app.RequestContext, d *policy.Document, s policy.Service) outcome.Outcome {
	last := outcome.Outcome{Status: 503, Reason: outcome.ReasonNoTarget, Executed: outcome.No}
	tried := map[string]bool{}
	for range maxAttempts {
		target, ok := in.chooseTarget(d, s, tried)
		if !ok {
			return last
		}
		tried[target.Name] = true
		in.log.WithFields(log.Fields{"service": s.Name, "target": target.Name, "version": d.Version}).Debug("target chosen")
		last = in.send(ctx, c, target)
		if last.Reason == outcome.ReasonAnswered {
			return last
		}
		if last.Executed == outcome.Unknown && !s.Idempotent {
			return last
		}
	}
	return last
}

// chooseTarget picks a random target of the domain, else of the region, else any.
func (in *Instance) chooseTarget(d *policy.Document, s policy.Service, tried map[string]bool) (policy.Target, bool) {
	var near, region, far []policy.Target
	for _, t := range d.Targets {
		if t.Service != s.Name || t.Leaving || tried[t.Name] {
			continue
		}
		switch {
		case t.Domain == in.settings.Domain:
			near = append(near, t)
		case d.RegionOf(t.Domain) == in.settings.Region:
			region = append(region, t)
		default:
			far = append(far, t)
		}
	}
	for _, candidates := range [][]policy.Target{near, region, far} {
		if len(candidates) > 0 {
			return candidates[rand.IntN(len(candidates))], true
		}
	}
	return policy.Target{}, false
}

func (in *Instance) send(ctx context.Context, c *app.RequestContext, t policy.Target) outcome.Outcome {
	request, answer := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(answer)
	c.Request.CopyTo(request)
	request.SetHost(t.Address)
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(outcome.HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	if err := in.forwarder.Do(ctx, t.Address, request, answer); err != nil {
		return failed(ctx, t, err)
	}
	shed := string(answer.Header.Peek(outcome.HeaderExecuted)) == string(outcome.No)
	if shed {
		return outcome.Outcome{Status: 503, Reason: outcome.ReasonShed, Executed: outcome.No, Target: t.Name}
	}
	answer.CopyTo(&c.Response)
	return outcome.Outcome{Status: answer.StatusCode(), Reason: outcome.ReasonAnswered, Executed: outcome.Yes, Target: t.Name}
}

func failed(ctx context.Context, t policy.Target, err error) outcome.Outcome {
	o := outcome.Outcome{Status: 502, Reason: outcome.ReasonTargetFailed, Executed: outcome.Unknown, Target: t.Name}
	var failure *forward.Error
	if errors.As(err, &failure) && failure.Stage == forward.StageConnect {
		o.Executed = outcome.No
	}
	if ctx.Err() != nil {
		o.Status, o.Reason = 504, outcome.ReasonDeadline
	}
	return o
}
