package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/policy"
	"github.com/jacinthstall/jacinthstall/slots"
)

// AcquireRequest describes the request that a target is needed for.
type AcquireRequest struct {
	Document         *policy.Document
	Service          policy.Service
	Arrived          time.Time       // Arrival at the first instance; the request's age counts from here.
	Deadline         time.Time       // Latest time to wait for a target.
	Excluded         map[string]bool // Names of targets that must not be chosen.
	PreviousAttempts int             // Targets that the request was sent to before.
	Forwards         int             // Number of times the request was forwarded to another region.
}

// Assignment is the permission to send one request to a target, or the decision
// to forward it to an instance of another region. Release must be called
// exactly once for a target, and must not be called for a forward.
type Assignment struct {
	Target    policy.Target
	EndBy     time.Time // Latest end of the exchange with the target; zero means no limit.
	Release   func(slots.ReleaseCause)
	ForwardTo string // Name of the instance to forward to; empty when Target is set.

	targetLeaving bool // Whether the target's response said that it is leaving.
}

// targetStateLeaving is the value of outcome.HeaderTargetState in the responses
// of a target that is leaving.
const targetStateLeaving = "leaving"

func (a Assignment) releaseCause() slots.ReleaseCause {
	if a.targetLeaving {
		return slots.Leaving
	}
	return slots.Answered
}

// Chooser chooses a target for each request.
type Chooser interface {
	// Acquire waits for a target until the request's deadline or the end of
	// ctx. It returns an outcome when the request is refused.
	Acquire(ctx context.Context, request AcquireRequest) (Assignment, *outcome.Outcome)
}

// randomChooser picks a random target of the failure domain, otherwise of the
// region, otherwise any. It does not count slots.
type randomChooser struct {
	domain, region string
}

// Acquire implements Chooser. It never waits.
func (c randomChooser) Acquire(_ context.Context, request AcquireRequest) (Assignment, *outcome.Outcome) {
	var inDomain, inRegion, elsewhere []policy.Target
	for _, t := range request.Document.Targets {
		if t.Service != request.Service.Name || t.Leaving || request.Excluded[t.Name] {
			continue
		}
		switch {
		case t.Domain == c.domain:
			inDomain = append(inDomain, t)
		case request.Document.RegionOf(t.Domain) == c.region:
			inRegion = append(inRegion, t)
		default:
			elsewhere = append(elsewhere, t)
		}
	}
	for _, candidates := range [][]policy.Target{inDomain, inRegion, elsewhere} {
		if len(candidates) > 0 {
			return Assignment{Target: candidates[rand.IntN(len(candidates))], Release: func(slots.ReleaseCause) {}}, nil
		}
	}
	return Assignment{}, &outcome.Outcome{Status: 503, Reason: outcome.ReasonNoTarget, Executed: outcome.No}
}
