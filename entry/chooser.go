package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/policy"
)

// Cause says how the use of a target ended.
type Cause int

// Causes of a release.
const (
	CauseUnused Cause = iota
	CauseAnswered
	CauseShed
	CauseConnectFailed
	CauseCrashed
	CauseTimedOut
)

// Want asks for a target.
type Want struct {
	Document *policy.Document
	Service  policy.Service
	Arrived  time.Time       // Start of the request's age.
	Deadline time.Time       // End of the wait.
	Excluded map[string]bool // Names of targets that must not be chosen.
}

// Grant is the right to send one request to a target. Release must be called
// exactly once.
type Grant struct {
	Target  policy.Target
	Release func(Cause)
}

// Chooser chooses targets.
type Chooser interface {
	// Acquire waits for a target until the deadline or the end of ctx. It
	// returns a refusal when there is none.
	Acquire(ctx context.Context, w Want) (Grant, *outcome.Outcome)
}

// randomChooser picks a random target of the domain, else of the region, else
// any. It does not count slots.
type randomChooser struct {
	domain, region string
}

// Acquire never waits.
func (r randomChooser) Acquire(_ context.Context, w Want) (Grant, *outcome.Outcome) {
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
			return Grant{Target: candidates[rand.IntN(len(candidates))], Release: func(Cause) {}}, nil
		}
	}
	return Grant{}, &outcome.Outcome{Status: 503, Reason: outcome.ReasonNoTarget, Executed: outcome.No}
}
