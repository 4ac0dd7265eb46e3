package quota

import "time"

// Explanation is the state of an account with a limit, and the decision on a request
// that arrives now.
type Explanation struct {
	RequestsPerSecond float64 // Limit of all instances together.
	Burst             float64
	Share             float64 // Part of the limit for the instances known here.
	Demand            float64 // Requests per second, as far as known here.
	OwnDemand         float64 // At this instance.
	Level             float64 // Requests that may be admitted beyond the limit; negative for a debt.
	AdmittedShare     float64 // Share of the requests that are admitted at this demand.
	Admitted          bool
	// Range of the Retry-After if the request is not admitted. A random part spreads
	// the callers.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// Explain returns the decision that Admit would make, without counting a request. It
// reports false if the account has no limit.
func (limiter *Limiter) Explain(now time.Time, name string) (Explanation, bool) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	known := limiter.accounts[name]
	if known == nil {
		return Explanation{}, false
	}
	a := *known // Has no references, so the decision changes only the copy.
	if limiter.tickOverdue(now) {
		a.reset(now)
	}
	a.advance(now)
	explanation := Explanation{RequestsPerSecond: a.limit, Burst: a.burst, Share: a.share, Demand: a.demand.at(now) + a.peers.Demand,
		OwnDemand: a.demand.at(now), Level: a.level}
	a.demand.add(now, 1)
	explanation.Admitted = a.decide(now)
	explanation.AdmittedShare = a.admissionShare
	if !explanation.Admitted {
		explanation.MinRetryAfter, explanation.MaxRetryAfter = a.retryAfter(now, 0), a.retryAfter(now, 1)
	}
	return explanation, true
}
