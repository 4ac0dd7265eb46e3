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

func (c *attemptStats) decay(now time.Time) {
	if gap := now.Sub(c.updated); gap > 0 {
		f := math.Exp(-gap.Seconds() / evidenceTimeConstant.Seconds())
		c.attempts, c.failures = c.attempts*f, c.failures*f
	}
	c.updated = now
}

func (c *attemptStats) record(now time.Time, failed bool) {
	c.decay(now)
	c.attempts++
	if failed {
		c.failures++
	}
}

// excessFailures returns the failures beyond what a rate makes of the attempts. It is
// negative for a target that works better than that.
func (c *attemptStats) excessFailures(now time.Time, rate float64) float64 {
	c.decay(now)
	return min(maxInstanceEvidence, max(-maxInstanceEvidence, c.failures-rate*c.attempts))
}

// recordAttempt counts an attempt at a target.
func (b *Balancer) recordAttempt(now time.Time, t *target, failed bool) {
	t.failureRate.record(now, failed)
	t.stats.record(now, failed)
	b.ownStats.record(now, failed)
}

// ownFailureRate is the part of this instance's own attempts that fails, whatever
// the target. On an instance with a bad network it is high, and no target
// stands out.
func (b *Balancer) ownFailureRate(now time.Time) float64 {
	b.ownStats.decay(now)
	if b.ownStats.attempts < 1 {
		return 0
	}
	return b.ownStats.failures / b.ownStats.attempts
}

// evidence returns the failures beyond the usual at a target, seen here and by
// others.
func (b *Balancer) evidence(now time.Time, t *target) float64 {
	return t.stats.excessFailures(now, b.ownFailureRate(now)) + float64(b.peerEvidence[shortHash(t.hash)])/evidenceUnitsPerFailure
}

// ownEvidence returns the failures beyond the usual at targets, as far as this
// instance saw them and in units of reports: those with the most first as far as reports are bounded.
func (b *Balancer) ownEvidence(now time.Time) map[uint32]int {
	found := map[uint32]int{}
	rate := b.ownFailureRate(now)
	for _, t := range b.targets {
		if t.stats.failures == 0 {
			continue
		}
		if n := int(evidenceUnitsPerFailure * t.stats.excessFailures(now, rate)); n >= minReportedEvidence {
			found[shortHash(t.hash)] = n
		}
	}
	return strongestEvidence(found)
}

// strongestEvidence bounds evidence to the targets with the most of it.
func strongestEvidence(found map[uint32]int) map[uint32]int {
	if len(found) <= maxReportedTargets {
		return found
	}
	order := slices.SortedFunc(maps.Keys(found), func(a, c uint32) int {
		return cmp.Or(cmp.Compare(found[c], found[a]), cmp.Compare(a, c))
	})
	for _, hash := range order[maxReportedTargets:] {
		delete(found, hash)
	}
	return found
}
