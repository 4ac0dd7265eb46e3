package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

// RateLimit is the rate of requests that a target takes from all instances
// together. The zero value means no limit.
type RateLimit struct {
	Active    bool
	PerSecond float64 // Valid while Active.
}

// LimitStatement is a target's statement about its limit.
type LimitStatement struct {
	RateLimit
	Age   time.Duration // Since the response that carried it arrived.
	Owned bool          // In reports: the reporting instance is the owner of the target.
}

// LimitSource tells how an instance learned of a limit.
type LimitSource string

// Sources of limits.
const (
	LimitFromResponse LimitSource = "response" // Response to a request of this instance.
	LimitFromRelay    LimitSource = "relay"    // Response or refusal that passed through a relay.
	LimitFromPeer     LimitSource = "peer"     // Report of a peer.
)

// LimitChange is a change of what an instance believes about a target's limit.
type LimitChange struct {
	Target string
	RateLimit
	Source LimitSource
	Owner  string // Instance that admits requests to the target for all instances.
}

// MaxRate is the greatest valid rate in a statement or a message, in requests per
// second. Sums of such rates are exact enough and far from overflowing.
const MaxRate = 1e9

const (
	// limitReportTime is how long an instance reports a statement that it has
	// received from the target itself. The owner of a target reports the limit
	// for as long as it applies.
	limitReportTime = 3 * time.Second
	// maxReportedLimits limits the statements in a report. Instances that miss
	// one learn the limit from the target's next response.
	maxReportedLimits = 128
	// maxPendingLimitChanges limits the changes kept for LimitChanges.
	maxPendingLimitChanges = 256
)

// limitStatement is the latest known statement of a target.
type limitStatement struct {
	RateLimit
	at        time.Time // When the response that carried it arrived at the first instance.
	firsthand bool      // This instance received the response.
}

// ObserveRateLimit records the limit that a target's response states; +Inf means
// none. sent is a time at which the request had not yet been sent. It reports
// whether the limit has changed.
//
// Responses may overtake each other, so a response ends a limit only if its
// request was sent after the limit was last stated.
func (balancer *Balancer) ObserveRateLimit(now time.Time, record *steering.Target, sent time.Time, perSecond float64, source LimitSource) bool {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	t := balancer.currentTarget(record)
	if t == nil {
		balancer.retainLimit(now, record, sent, perSecond)
		return false
	}
	statement, stated := t.limit.next(now, sent, perSecond)
	if !stated {
		return false
	}
	before := t.limit.RateLimit
	balancer.setLimit(now, t, statement, source)
	return t.limit.RateLimit != before
}

// next returns the statement that follows from a response; see ObserveRateLimit. It
// reports false if the response changes nothing.
func (before limitStatement) next(now, sent time.Time, perSecond float64) (limitStatement, bool) {
	switch {
	case !math.IsInf(perSecond, 1):
		return limitStatement{RateLimit{Active: true, PerSecond: perSecond}, now, true}, true
	case before.Active && sent.After(before.at):
		return limitStatement{at: now, firsthand: true}, true
	}
	return before, false
}

// retainLimit records the limit that an incarnation without a record states.
func (balancer *Balancer) retainLimit(now time.Time, record *steering.Target, sent time.Time, perSecond float64) {
	if math.IsInf(perSecond, 1) && balancer.availabilities[incarnationOf(record)] == nil {
		return
	}
	state := balancer.availabilityOf(now, record)
	state.limit, _ = state.limit.next(now, sent, perSecond)
}

// setLimit replaces the statement of a target, and starts or ends the control of
// its rate.
func (balancer *Balancer) setLimit(now time.Time, t *target, statement limitStatement, source LimitSource) {
	before := t.limit.RateLimit
	t.limit = statement
	balancer.statedTargets[t] = struct{}{}
	switch {
	case statement.Active && !before.Active:
		balancer.startAdmissions(now, t)
	case !statement.Active:
		t.owner, t.deferredUntil, t.overflowDeferredUntil = steering.Instance{}, time.Time{}, time.Time{}
	}
	if statement.RateLimit != before {
		balancer.noteLimitChange(t, source)
	}
}

// noteLimitChange keeps a change for LimitChanges.
func (balancer *Balancer) noteLimitChange(t *target, source LimitSource) {
	if len(balancer.limitChanges) < maxPendingLimitChanges {
		balancer.limitChanges = append(balancer.limitChanges, LimitChange{t.record.ID, t.limit.RateLimit, source, t.owner.Name})
	}
}

// LimitChanges returns the changes since the last call.
func (balancer *Balancer) LimitChanges() []LimitChange {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	changes := balancer.limitChanges
	balancer.limitChanges = nil
	return changes
}

// LimitedTargets returns the number of targets with a limit.
func (balancer *Balancer) LimitedTargets() int {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	limited := 0
	for t := range balancer.statedTargets {
		if t.limit.Active {
			limited++
		}
	}
	return limited
}

// reportedLimits returns the statements that this instance reports, by short hash
// of the target ID.
func (balancer *Balancer) reportedLimits(now time.Time) map[uint32]LimitStatement {
	limits := map[uint32]LimitStatement{}
	for t := range balancer.statedTargets {
		age, owned := now.Sub(t.limit.at), t.limit.Active && balancer.owns(t)
		switch {
		case owned || t.limit.firsthand && age < limitReportTime:
			limits[shortHash(t.hash)] = LimitStatement{t.limit.RateLimit, age, owned}
		case !t.limit.Active:
			delete(balancer.statedTargets, t)
		}
	}
	return latestLimits(limits)
}

// latestLimits keeps the maxReportedLimits latest statements.
func latestLimits(limits map[uint32]LimitStatement) map[uint32]LimitStatement {
	if len(limits) <= maxReportedLimits {
		return limits
	}
	order := slices.SortedFunc(maps.Keys(limits), func(a, c uint32) int {
		return cmp.Or(cmp.Compare(limits[a].Age, limits[c].Age), cmp.Compare(a, c))
	})
	for _, hash := range order[maxReportedLimits:] {
		delete(limits, hash)
	}
	return limits
}

// mergeLimits adds the statements of a report that is as old as delay, and keeps
// the latest one of each target.
func mergeLimits(into, from map[uint32]LimitStatement, delay time.Duration) {
	for hash, statement := range from {
		statement.Age += delay
		known, ok := into[hash]
		owned := statement.Owned || known.Owned
		if ok && known.Age <= statement.Age {
			statement = known
		}
		statement.Owned = owned && statement.Active
		into[hash] = statement
	}
}

// applyLimits records the statements of a peer's report that are later than the
// known ones. If a peer reports that it owns a target of this instance, the two do
// not hear of each other; this instance leaves the target to the peer meanwhile.
func (balancer *Balancer) applyLimits(now time.Time, limits map[uint32]LimitStatement) {
	for hash, statement := range limits {
		inUse := false
		for _, svc := range balancer.services {
			if t := svc.targetsByHash[hash]; t != nil {
				inUse = true
				balancer.applyStatement(now, t, statement, LimitFromPeer)
				if statement.Owned && t.limit.Active && balancer.owns(t) {
					balancer.awaitSettling(now, t)
				}
			}
		}
		if !inUse {
			balancer.addPendingLimit(now, hash, statement)
		}
	}
}

// applyStatement records a statement that another instance has received, unless a
// later one is known.
func (balancer *Balancer) applyStatement(now time.Time, t *target, statement LimitStatement, source LimitSource) {
	if at := now.Add(-statement.Age); at.After(t.limit.at) {
		balancer.setLimit(now, t, limitStatement{RateLimit: statement.RateLimit, at: at}, source)
	}
}
