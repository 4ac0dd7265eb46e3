package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// evidenceTimeConstant is the time constant of the exponential decay of
	// attempt counts.
	evidenceTimeConstant = 8 * time.Second
	// maxInstanceEvidence limits the evidence of one instance, in failures, so
	// that an instance with a bad network cannot exclude a target alone.
	maxInstanceEvidence = 3
	// greyEvidenceMargin is the number of failures above the baseline, over
	// all instances, at which a target counts as grey. It exceeds
	// maxInstanceEvidence, so at least two instances must have seen failures.
	greyEvidenceMargin = 4
	// evidenceUnitsPerFailure is the resolution of evidence in reports: tenths
	// of a failure.
	evidenceUnitsPerFailure = 10
	// minReportedEvidence is the smallest evidence that is reported, in report
	// units.
	minReportedEvidence = 5
	// maxReportedTargets limits the number of targets with evidence in a
	// report.
	maxReportedTargets = 32
)

// attemptStats counts attempts and failures with exponential decay.
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

// excessFailures returns the failures above those expected at the given
// failure rate. It is negative for a target with a lower failure rate.
func (stats *attemptStats) excessFailures(now time.Time, rate float64) float64 {
	stats.decay(now)
	return min(maxInstanceEvidence, max(-maxInstanceEvidence, stats.failures-rate*stats.attempts))
}

// recordAttempt counts the result of an attempt at a target.
func (balancer *Balancer) recordAttempt(now time.Time, t *target, failed bool) {
	t.failureRate.record(now, failed)
	t.stats.record(now, failed)
	balancer.ownStats.record(now, failed)
}

// ownFailureRate returns the failure rate of this instance's attempts at all
// targets. If the instance has a bad network, the rate is high and no single
// target stands out.
func (balancer *Balancer) ownFailureRate(now time.Time) float64 {
	balancer.ownStats.decay(now)
	if balancer.ownStats.attempts < 1 {
		return 0
	}
	return balancer.ownStats.failures / balancer.ownStats.attempts
}

// evidence returns the failures above the expected number at a target, as seen
// by this instance and its peers.
func (balancer *Balancer) evidence(now time.Time, t *target) float64 {
	return t.stats.excessFailures(now, balancer.ownFailureRate(now)) + float64(balancer.peerEvidence[shortHash(t.hash)])/evidenceUnitsPerFailure
}

// ownEvidence returns the excess failures that this instance has seen at each
// target, in report units, limited to the targets with the most evidence.
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

// strongestEvidence keeps the maxReportedTargets targets with the most
// evidence.
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
