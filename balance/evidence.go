package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// evidenceTimeConstant is how fast attempts at a target are forgotten as evidence.
	evidenceTimeConstant = 8 * time.Second
	// maxInstanceEvidence bounds what one instance's attempts count for, in failures. An
	// instance with a bad network can so not condemn a target alone.
	maxInstanceEvidence = 3
	// greyEvidenceMargin is the number of failures beyond the usual, at all instances
	// together, from which on a target is left alone: two instances agree.
	greyEvidenceMargin = 4
	// evidenceUnitsPerFailure is the unit of reports: a tenth of a failure.
	evidenceUnitsPerFailure = 10
	// minReportedEvidence is the least that is worth telling, in that unit.
	minReportedEvidence = 5
	// maxReportedTargets bounds the targets of a service group that a report names.
	maxReportedTargets = 32
)

// attemptStats counts recent attempts and failures; both fade.
type attemptStats struct {
	attempts, failures float64
	updated            time.Time
}

func (stats *attemptStats) decay(now time.Time) {
	if gap := now.Sub(stats.updated); gap > 0 {
		factor := math.Exp(-gap.Seconds() / evidenceTimeConstant.Seconds())
		stats.attempts, stats.failures = stats.attempts*factor, stats.failures*factor
	}
	stats.updated = now
}

func (stats *attemptStats) record(now time.Time, failed bool) {
	stats.decay(now)
	stats.attempts++
	if failed {
		stats.failures++
	}
}

// excessFailures returns the failures beyond what a rate makes of the attempts. It is
// negative for a target that works better than that.
func (stats *attemptStats) excessFailures(now time.Time, rate float64) float64 {
	stats.decay(now)
	return min(maxInstanceEvidence, max(-maxInstanceEvidence, stats.failures-rate*stats.attempts))
}

// recordAttempt counts an attempt at a target.
func (balancer *Balancer) recordAttempt(now time.Time, t *target, failed bool) {
	t.failureRate.record(now, failed)
	t.stats.record(now, failed)
	balancer.ownStats.record(now, failed)
}

// ownFailureRate is the part of this instance's own attempts that fails, whatever
// the target. On an instance with a bad network it is high, and no target
// stands out.
func (balancer *Balancer) ownFailureRate(now time.Time) float64 {
	balancer.ownStats.decay(now)
	if balancer.ownStats.attempts < 1 {
		return 0
	}
	return balancer.ownStats.failures / balancer.ownStats.attempts
}

// evidence returns the failures beyond the usual at a target, seen here and by
// others.
func (balancer *Balancer) evidence(now time.Time, t *target) float64 {
	return t.stats.excessFailures(now, balancer.ownFailureRate(now)) + float64(balancer.peerEvidence[shortHash(t.hash)])/evidenceUnitsPerFailure
}

// ownEvidence returns the failures beyond the usual at targets, as far as this
// instance saw them and in units of reports: those with the most first as far as reports are bounded.
func (balancer *Balancer) ownEvidence(now time.Time) map[uint32]int {
	evidence := map[uint32]int{}
	rate := balancer.ownFailureRate(now)
	for _, t := range balancer.targets {
		if t.stats.failures == 0 {
			continue
		}
		if n := int(evidenceUnitsPerFailure * t.stats.excessFailures(now, rate)); n >= minReportedEvidence {
			evidence[shortHash(t.hash)] = n
		}
	}
	return strongestEvidence(evidence)
}

// strongestEvidence bounds evidence to the targets with the most of it.
func strongestEvidence(evidence map[uint32]int) map[uint32]int {
	if len(evidence) <= maxReportedTargets {
		return evidence
	}
	order := slices.SortedFunc(maps.Keys(evidence), func(a, c uint32) int {
		return cmp.Or(cmp.Compare(evidence[c], evidence[a]), cmp.Compare(a, c))
	})
	for _, hash := range order[maxReportedTargets:] {
		delete(evidence, hash)
	}
	return evidence
}
