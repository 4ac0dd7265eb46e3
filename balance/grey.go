package balance

import (
	"math"
	"slices"
	"time"
)

const (
	// failureRateTimeConstant is the time constant with which a failure rate
	// decays while the target receives no requests, so that it is used again
	// after some seconds.
	failureRateTimeConstant = 8 * time.Second
	// greyFailureRateMargin is how far a target's failure rate must exceed the
	// baseline of its service and region for the target to count as grey.
	// Occasional failures are normal, and moving an object has a cost: the new
	// target is not warm for it.
	greyFailureRateMargin = 0.25
	// baselineQuantile selects the target whose failures are the baseline for
	// the others: the median. If more than half of the targets fail, the
	// others could not take over their load.
	baselineQuantile = 0.5
)

// failureRate is an exponentially weighted moving average of failed attempts
// at a target.
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
	average := f.value(now)
	f.average, f.updated = average+ewmaWeight*(result-average), now
}

// isGrey reports whether a target has a grey failure: it fails much more often
// than other targets of its service and region, although its health check may
// succeed.
//
// In a large deployment few instances see enough responses of one target to
// decide alone, so the combined evidence of all instances counts as well
// (evidence.go).
func (balancer *Balancer) isGrey(now time.Time, svc *service, t *target) bool {
	return t.failureRate.value(now) > svc.baselineFailureRate[t.region]+greyFailureRateMargin ||
		balancer.evidence(now, t) >= svc.baselineEvidence[t.region]+greyEvidenceMargin
}

// updateBaselines computes the baseline failure rate and evidence for each
// service and region.
func (balancer *Balancer) updateBaselines(now time.Time) {
	for _, svc := range balancer.services {
		svc.baselineFailureRate, svc.baselineEvidence = map[string]float64{}, map[string]float64{}
		for region, targets := range svc.targetsByRegion {
			svc.baselineFailureRate[region] = baseline(targets, func(t *target) float64 { return t.failureRate.value(now) })
			svc.baselineEvidence[region] = max(0, baseline(targets, func(t *target) float64 { return balancer.evidence(now, t) }))
		}
	}
}

// baseline returns the baselineQuantile of a value over the targets.
func baseline(targets []*target, value func(*target) float64) float64 {
	if len(targets) == 0 {
		return 0
	}
	values := make([]float64, len(targets))
	for i, t := range targets {
		values[i] = value(t)
	}
	slices.Sort(values)
	return values[int(baselineQuantile*float64(len(values)))]
}
