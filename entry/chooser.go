package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/policy"
	"github.com/jacinthstall/jacinthstall/slots"
)

// AcquireRequest asks for a target.
type AcquireRequest struct {
	Document         *policy.Document
	Service          policy.Service
	Arrived          time.Time       // Start of the request's age.
	Deadline         time.Time       // End of the wait.
	Excluded         map[string]bool // Names of targets that must not be chosen.
	PreviousAttempts int             // Targets tried so far.
	Forwards         int             // Times that the request was forwarded to another region.
}

// Assignment is the right to send one request to a target, or the decision to
// forward it to an instance of another region. Release must be called exactly
// once for the right to a target, and not for a forward.
type Assignment struct {
	Target    policy.Target
	EndBy     time.Time // The exchange must have ended by then; zero means no limit.
	Release   func(slots.ReleaseCause)
	ForwardTo string // Instance to forward to; empty for a target.

	targetLeaving bool // The target's answer said that it is leaving.
}

// targetStateLeaving is the state that a target names in its answers while it leaves.
const targetStateLeaving = "leaving"

func (g Assignment) releaseCause() slots.ReleaseCause {
	if g.targetLeaving {
		return slots.Leaving
	}
	return slots.Answered
}

// Chooser chooses targets.
type Chooser interface {
	// Acquire waits for a target until the deadline or the end of ctx. It
	// returns a refusal when there is none.
	Acquire(ctx context.Context, w AcquireRequest) (Assignment, *outcome.Outcome)
}

// randomChooser picks a random target of the domain, else of the region, else
// any. It does not count slots.
type randomChooser struct {
	domain, region string
}

// Acquire never waits.
func (r randomChooser) Acquire(_ context.Context, w AcquireRequest) (Assignment, *outcome.Outcome) {
	var near, region, far []policy.Target
	for _, t := range w.Document.Targets {
		if t.Service != w.Service.Name || t.Leaving || w.Excluded[t.Name] {
			continue
		}
		switch {
		case t.Domain == r.domain:
			near = append(near, t)
		case w.Document.RegionOf(t.Domain) == r.region:
			region = append(region, t)
		default:
			far = append(far, t)
		}
	}
	for _, candidates := range [][]policy.Target{near, region, far} {
		if len(candidates) > 0 {
			return Assignment{Target: candidates[rand.IntN(len(candidates))], Release: func(slots.ReleaseCause) {}}, nil
		}
	}
	return Assignment{}, &outcome.Outcome{Status: 503, Reason: outcome.ReasonNoTarget, Executed: outcome.No}
}
