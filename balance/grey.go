package balance

import (
	"math"
	"slices"
	"time"
)

const (
	// failureRateTimeConstant is how fast failures are forgotten while a target gets no
	// requests, so that it is tried again after some seconds.
	failureRateTimeConstant = 8 * time.Second
	// greyFailureRateMargin is how much larger a part of a target's answers must be failures
	// than at most targets of its service and region, for it to be left alone.
	// Every target fails now and then; an object that moves has to be learned.
	greyFailureRateMargin = 0.25
	// baselineQuantile is the target, by its failures from few to many, that the others
	// are compared with, as a part of their number. When more targets than the
	// rest are grey, the others could not take their load as well.
	baselineQuantile = 0.5
)

// failureRate is the part of the recent attempts at a target that failed.
type failureRate struct {
	average float64
	updated time.Time
}

func (f *failureRate) value(now time.Time) float64 {
	if f.average == 0 {
		return 0
	}
	return f.average * math.Exp(-now.Sub(f.updated).Seconds()/failureRateTimeConstant.Seconds())
}

func (f *failureRate) record(now time.Time, failed bool) {
	result := 0.0
	if failed {
		result = 1
	}
	part := f.value(now)
	f.average, f.updated = part+ewmaWeight*(result-part), now
}

// isGrey reports whether a target fails much more often than others of its
// service and region. Its health check may be good.
//
// Few of the instances of a large deployment see enough answers of one target to
// tell. What all of them saw together counts as well (evidence.go).
func (b *Balancer) isGrey(now time.Time, s *service, t *target) bool {
	return t.failureRate.value(now) > s.baselineFailureRate[t.region]+greyFailureRateMargin ||
		b.evidence(now, t) >= s.baselineEvidence[t.region]+greyEvidenceMargin
}

// updateBaselines finds how often targets usually fail, and the evidence against
// most of them, by service and region.
func (b *Balancer) updateBaselines(now time.Time) {
	for _, s := range b.services {
		s.baselineFailureRate, s.baselineEvidence = map[string]float64{}, map[string]float64{}
		for region, list := range s.targetsByRegion {
			s.baselineFailureRate[region] = baseline(list, func(t *target) float64 { return t.failureRate.value(now) })
			s.baselineEvidence[region] = max(0, baseline(list, func(t *target) float64 { return b.evidence(now, t) }))
		}
	}
}

// baseline returns a value of the target at greyRank among some.
func baseline(list []*target, value func(*target) float64) float64 {
	if len(list) == 0 {
		return 0
	}
	values := make([]float64, len(list))
	for i, t := range list {
		values[i] = value(t)
	}
	slices.Sort(values)
	return values[int(baselineQuantile*float64(len(values)))]
}
