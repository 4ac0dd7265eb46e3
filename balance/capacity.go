package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// speedTimeConstant is the time constant with which evidence about the speed of
	// a target decays. Slow periods of 0.6 s change the estimate by less than
	// slownessDeadBand, and one of 6 s is detected within 2 s.
	speedTimeConstant = 4 * time.Second
	// limitTimeConstant is the same for evidence about the execution time at low and
	// high load. The differences are smaller, so they need more responses.
	limitTimeConstant = 10 * time.Second
	// speedPriorWeight is the number of responses at usual speed that are assumed in
	// addition to the observed ones.
	speedPriorWeight = 3
	// maxInstanceWeight limits the evidence about one target that an instance
	// reports, in responses, so that an instance with a bad network cannot make a
	// target slow for the others.
	maxInstanceWeight = 3
	// maxInstanceLimitWeight is the same for responses at low and at high load. A bad
	// network changes both, and a limit follows from their difference.
	maxInstanceLimitWeight = 8
	// maxDeviation limits the deviation of one response from the current estimate,
	// as a natural logarithm. Long execution times of a few requests shift the
	// estimate by a few hundredths only.
	maxDeviation = 0.8
	// maxLogSlowness limits the estimate: ten times slower or faster.
	maxLogSlowness = 2.3
	// slownessDeadBand is the deviation from the usual execution time within which a
	// target counts as equal to the others. Random deviations of the estimate stay
	// below it, so equal targets are treated equally.
	slownessDeadBand = 0.25
	// minSlowness is the lowest slowness that counts in the selection of a target. A
	// faster target is preferred only up to this, because preference for few
	// targets fills them before the load of others is known.
	minSlowness = 0.5
	// queuedMargin is the part of a queued response's deviation that may be due to
	// requests ahead of it that were not known.
	queuedMargin = 0.4
	// queuedWeight is the weight of such a response.
	queuedWeight = 0.5
	// lowLoad and highLoad are the shares of a target's slots up to which and beyond
	// which its load is low or high.
	lowLoad, highLoad = 0.6, 0.75
	// minLimitWeight is the number of responses at low and at high load, each, from
	// which a limit is derived.
	minLimitWeight = 6
	// minLoadEffect is the smallest effect of high load on the execution time, as a
	// natural logarithm, that counts: a tenth.
	minLoadEffect = 0.1
	// loadEffectErrors is the number of standard errors by which the effect of load
	// must differ from none.
	loadEffectErrors = 3
	// initialVariance is the variance of the logarithm of one response's execution
	// time that is assumed at first, and minVariance the lowest one.
	initialVariance, minVariance = 0.2, 0.01
	// varianceStep is the weight of one response in the measured variance.
	varianceStep = 0.02
	// limitStep is the part of the distance to the estimated limit that the limit
	// moves in each weightInterval.
	limitStep = 0.1
	// minLimitShare is the lowest limit as a share of the target's slots.
	minLimitShare = 0.25
	// limitTolerance is the distance to the record's slots below which a limit
	// counts as none.
	limitTolerance = 0.05
	// maxReportedCapacities limits the number of targets with evidence about their
	// capacity in a report, to about 1 KB.
	maxReportedCapacities = 64
	// maxReferences limits the number of execution times per service.
	maxReferences = 64
	// referenceStep is the weight of one response in the usual execution time.
	referenceStep = 0.05
	// statedSlownessTime is the time within which a slowdown that a target states
	// loses its meaning. Slow periods take about 600 ms.
	statedSlownessTime = 600 * time.Millisecond
	// maxStatedSlowness limits the effect of a stated slowdown, which may be false.
	maxStatedSlowness = 3
	// minInterference is the stated slowdown from which the machines of a service
	// count as shared with other load.
	minInterference = 1.2
	// interferenceTime is how long they count as such after a statement. Slow periods
	// of some targets follow each other within seconds, and a false statement must not
	// change the placement of requests for good.
	interferenceTime = 30 * time.Second
	// loggedLimitChange is the relative change of a limit that is logged.
	loggedLimitChange = 0.25
	// maxPendingCapacityChanges limits the changes kept for CapacityChanges.
	maxPendingCapacityChanges = 256
	// evidencePerResponse and logUnits are the resolution of evidence in reports.
	evidencePerResponse, logUnits = 8.0, 64.0
)

// MaxCapacitySum is the greatest sum in CapacityEvidence for each unit of weight: the
// greatest estimate and the greatest deviation from it in logUnits, rounded up.
const MaxCapacitySum = 199

// weightedLog is a weighted sum of logarithms of execution times relative to the
// usual one.
type weightedLog struct{ weight, sum float64 }

func (w *weightedLog) scale(factor float64) { w.weight, w.sum = w.weight*factor, w.sum*factor }

// add adds a logarithm. Its distance to the current estimate counts only up to
// maxDeviation.
func (w *weightedLog) add(estimate, logarithm, weight float64) {
	w.weight += weight
	w.sum += weight * min(estimate+maxDeviation, max(estimate-maxDeviation, logarithm))
}

// mean returns the mean with a number of responses at usual speed added.
func (w weightedLog) mean(prior float64) float64 {
	if w.weight+prior <= 0 {
		return 0
	}
	return min(maxLogSlowness, max(-maxLogSlowness, w.sum/(w.weight+prior)))
}

// capacityEvidence is what the responses of a target tell about its capacity.
type capacityEvidence struct {
	speed     weightedLog // All responses.
	low, high weightedLog // Responses at low and high load.
	updated   time.Time
}

// decay reduces the weight of the evidence to that at the given time.
func (e *capacityEvidence) decay(now time.Time) {
	if age := now.Sub(e.updated); age > 0 && !e.updated.IsZero() {
		e.speed.scale(math.Exp(-age.Seconds() / speedTimeConstant.Seconds()))
		factor := math.Exp(-age.Seconds() / limitTimeConstant.Seconds())
		e.low.scale(factor)
		e.high.scale(factor)
	}
	e.updated = now
}

// CapacityEvidence is the evidence of one or more instances about a target, as of
// the last response. Weights are in eighths of a response, and sums are those of
// weights multiplied by logarithms in 64ths.
type CapacityEvidence struct {
	Age                                                 time.Duration // Of the last response.
	Weight, Sum, LowWeight, LowSum, HighWeight, HighSum int
}

// reported returns the evidence in the units of reports.
func (e *capacityEvidence) reported(now time.Time) CapacityEvidence {
	units := func(w weightedLog, maxWeight float64) (weight, sum int) {
		if w.weight > maxWeight {
			w.scale(maxWeight / w.weight)
		}
		return int(math.Round(w.weight * evidencePerResponse)), int(math.Round(w.sum * evidencePerResponse * logUnits))
	}
	report := CapacityEvidence{Age: now.Sub(e.updated)}
	report.Weight, report.Sum = units(e.speed, maxInstanceWeight)
	report.LowWeight, report.LowSum = units(e.low, maxInstanceLimitWeight)
	report.HighWeight, report.HighSum = units(e.high, maxInstanceLimitWeight)
	return report
}

// aged returns the evidence after its weight has decayed with its age.
func (c CapacityEvidence) aged() CapacityEvidence {
	if c.Age <= 0 {
		return c
	}
	speed := math.Exp(-c.Age.Seconds() / speedTimeConstant.Seconds())
	limit := math.Exp(-c.Age.Seconds() / limitTimeConstant.Seconds())
	scaled := func(n int, factor float64) int { return int(math.Round(float64(n) * factor)) }
	return CapacityEvidence{0, scaled(c.Weight, speed), scaled(c.Sum, speed), scaled(c.LowWeight, limit), scaled(c.LowSum, limit),
		scaled(c.HighWeight, limit), scaled(c.HighSum, limit)}
}

// plus returns the sum of two pieces of evidence without age.
func (c CapacityEvidence) plus(other CapacityEvidence, sign int) CapacityEvidence {
	return CapacityEvidence{0, c.Weight + sign*other.Weight, c.Sum + sign*other.Sum, c.LowWeight + sign*other.LowWeight, c.LowSum + sign*other.LowSum,
		c.HighWeight + sign*other.HighWeight, c.HighSum + sign*other.HighSum}
}

// relevance orders evidence in reports that have no room for all of it.
func (c CapacityEvidence) relevance() float64 {
	return float64(c.Weight) + 4*math.Abs(float64(c.Sum))/logUnits
}

// relevantCapacities keeps the maxReportedCapacities targets with the most relevant
// evidence.
func relevantCapacities(capacities map[uint32]CapacityEvidence) map[uint32]CapacityEvidence {
	if len(capacities) <= maxReportedCapacities {
		return capacities
	}
	type entry struct {
		hash      uint32
		relevance float64
	}
	order := make([]entry, 0, len(capacities))
	for hash, evidence := range capacities {
		order = append(order, entry{hash, evidence.relevance()})
	}
	slices.SortFunc(order, func(a, c entry) int {
		return cmp.Or(cmp.Compare(c.relevance, a.relevance), cmp.Compare(a.hash, c.hash))
	})
	for _, e := range order[maxReportedCapacities:] {
		delete(capacities, e.hash)
	}
	return capacities
}

// mergeCapacities adds the evidence of a report that is as old as delay.
func mergeCapacities(into, from map[uint32]CapacityEvidence, delay time.Duration) map[uint32]CapacityEvidence {
	if into == nil && len(from) > 0 {
		into = map[uint32]CapacityEvidence{}
	}
	for hash, evidence := range from {
		evidence.Age += delay
		into[hash] = into[hash].aged().plus(evidence.aged(), 1)
	}
	return relevantCapacities(into)
}

// countCapacities adds the evidence of a peer's report to the totals of all peers,
// or subtracts it.
func (balancer *Balancer) countCapacities(report map[uint32]CapacityEvidence, sign int) {
	for hash, evidence := range report {
		sum := balancer.peerCapacities[hash].plus(evidence, sign)
		if sum == (CapacityEvidence{}) {
			delete(balancer.peerCapacities, hash)
			continue
		}
		balancer.peerCapacities[hash] = sum
	}
}

// agedCapacities returns the evidence of a report as of its arrival.
func agedCapacities(report map[uint32]CapacityEvidence) map[uint32]CapacityEvidence {
	aged := make(map[uint32]CapacityEvidence, len(report))
	for hash, evidence := range report {
		aged[hash] = evidence.aged()
	}
	return aged
}

// reportedCapacities returns the evidence of this instance.
func (balancer *Balancer) reportedCapacities(now time.Time) map[uint32]CapacityEvidence {
	if balancer.options.FixedCapacity {
		return nil
	}
	capacities := map[uint32]CapacityEvidence{}
	for _, t := range balancer.targets {
		if t.capacityEvidence.updated.IsZero() || !balancer.learnsCapacity(now, t.record.Service) {
			continue
		}
		evidence := t.capacityEvidence.reported(now)
		if aged := evidence.aged(); aged.Weight > 0 || aged.LowWeight > 0 || aged.HighWeight > 0 {
			capacities[shortHash(t.hash)] = evidence
		}
	}
	return relevantCapacities(capacities)
}

// referenceKey identifies requests of a service that usually take the same time.
// Routes with different work have different objectives.
type referenceKey struct {
	objective time.Duration
	warm      bool
}

// reference is the usual execution time of similar requests, close to the median,
// as the natural logarithm of seconds.
type reference struct {
	logarithm float64
	responses int
}

// deviation returns the deviation of an execution time from the usual one. update
// is set if the execution time also changes the usual one.
func (svc *service) deviation(key referenceKey, work time.Duration, expectedWait time.Duration, update bool) (float64, bool) {
	known := svc.references[key]
	logarithm := math.Log(work.Seconds())
	if known == nil {
		if !update || len(svc.references) >= maxReferences {
			return 0, false
		}
		if svc.references == nil {
			svc.references = map[referenceKey]*reference{}
		}
		known = &reference{logarithm: logarithm}
		svc.references[key] = known
	}
	expected := known.logarithm
	if expectedWait > 0 {
		expected = math.Log(math.Exp(expected) + expectedWait.Seconds())
	}
	if update {
		known.responses++
		step := max(referenceStep, 1/float64(known.responses))
		known.logarithm += step * min(maxDeviation, max(-maxDeviation, logarithm-known.logarithm))
	}
	return logarithm - expected, known.responses >= minSamples
}

// recordCapacity adds a response to the evidence about a target's capacity. work is
// the time from the selection of the target to the response, without the network.
//
// A request that may have waited in the target's queue is compared with the
// expected time including the wait, and only a clear excess counts as slowness.
func (balancer *Balancer) recordCapacity(now time.Time, svc *service, t *target, grant Grant, work time.Duration, observation Observation) {
	if !balancer.learnsCapacity(now, svc.name) {
		return
	}
	load, slots := grant.Load, t.record.Slots
	if observation.LoadReported {
		// The figures may be false, so they add at most one full target.
		load = max(load, min(observation.Executing+observation.Waiting, load+slots))
	}
	queued := load >= slots || observation.Waiting > 0
	wait := time.Duration(0)
	if queued {
		wait = time.Duration(float64(max(0, load-slots)+1) / float64(slots) * float64(svc.meanExecTime))
	}
	deviation, known := svc.deviation(referenceKey{grant.objective, grant.Warm}, work, wait, !queued)
	if !known {
		return
	}
	evidence := &t.capacityEvidence
	evidence.decay(now)
	if svc.logVariance == 0 {
		svc.logVariance = initialVariance
	}
	if queued {
		evidence.speed.add(t.logSlowness, max(0, deviation-queuedMargin), queuedWeight)
		return
	}
	residual := min(maxDeviation, max(-maxDeviation, deviation-t.logSlowness))
	svc.logVariance += varianceStep * (max(minVariance, residual*residual) - svc.logVariance)
	concurrency := float64(load+1) / float64(slots)
	if observation.LoadReported { // The mean of the loads at the start and the end.
		concurrency = float64(grant.Load+1+min(slots, observation.Executing+1)) / 2 / float64(slots)
	}
	if limit := balancer.capacity(now, t); float64(load+1) > limit {
		evidence.speed.add(t.logSlowness, deviation-math.Log(float64(load+1)/limit), 1)
	} else {
		evidence.speed.add(t.logSlowness, deviation, 1)
	}
	switch {
	case concurrency <= lowLoad:
		evidence.low.add(t.logSlowness, deviation, 1)
	case concurrency > highLoad:
		evidence.high.add(t.logSlowness, deviation, 1)
	}
}

// combinedEvidence returns the evidence of this instance and its peers.
func (balancer *Balancer) combinedEvidence(now time.Time, t *target) (speed, low, high weightedLog) {
	evidence := t.capacityEvidence
	evidence.decay(now)
	peers := balancer.peerCapacities[shortHash(t.hash)]
	plus := func(own weightedLog, weight, sum int) weightedLog {
		return weightedLog{own.weight + float64(weight)/evidencePerResponse, own.sum + float64(sum)/evidencePerResponse/logUnits}
	}
	return plus(evidence.speed, peers.Weight, peers.Sum), plus(evidence.low, peers.LowWeight, peers.LowSum), plus(evidence.high, peers.HighWeight, peers.HighSum)
}

// updateCapacities estimates the speed and the limit of all targets. It is called
// once per weightInterval.
func (balancer *Balancer) updateCapacities(now time.Time) {
	if balancer.options.FixedCapacity {
		return
	}
	for _, t := range balancer.targets {
		if t.capacityEvidence.updated.IsZero() && balancer.peerCapacities[shortHash(t.hash)] == (CapacityEvidence{}) && t.limitShare == 1 {
			t.logSlowness = 0
			continue
		}
		speed, low, high := balancer.combinedEvidence(now, t)
		t.logSlowness = speed.mean(speedPriorWeight)
		t.limitShare += limitStep * (limitShare(low, high, balancer.service(t.record.Service).logVariance) - t.limitShare)
		balancer.noteCapacityChange(now, t)
	}
}

// limitShare returns the share of a target's slots up to which its execution time
// does not depend on the load. variance is that of one response.
func limitShare(low, high weightedLog, variance float64) float64 {
	if low.weight < minLimitWeight || high.weight < minLimitWeight {
		return 1
	}
	effect := high.mean(0) - low.mean(0)
	if effect < max(minLoadEffect, loadEffectErrors*math.Sqrt(variance*(1/low.weight+1/high.weight))) {
		return 1
	}
	return max(minLimitShare, math.Exp(-effect)*(1+highLoad)/2)
}

// capacity returns the number of requests that a target executes at its usual
// speed: its limit, or the record's slots.
func (balancer *Balancer) capacity(now time.Time, t *target) float64 {
	slots := float64(t.record.Slots)
	if t.limitShare > 1-limitTolerance || !balancer.learnsCapacity(now, t.record.Service) {
		return slots
	}
	return max(1, t.limitShare*slots)
}

// slowness returns the execution time at a target relative to the usual one.
func (balancer *Balancer) slowness(now time.Time, t *target) float64 {
	slowness := max(1, t.slowdown)
	if !balancer.learnsCapacity(now, t.record.Service) {
		return slowness
	}
	switch learned := balancer.learnedSlowness(t); {
	case learned > 1:
		slowness = max(slowness, learned)
	case learned < 1 && t.slowdown <= 1: // Else it has become slow, and the estimate is behind.
		slowness = learned
	}
	if age := now.Sub(t.statedAt); t.statedSlowness > 1 && age < statedSlownessTime {
		remaining := 1 - float64(max(0, age))/float64(statedSlownessTime)
		slowness = max(slowness, 1+(min(maxStatedSlowness, t.statedSlowness)-1)*remaining)
	}
	return slowness
}

// learnsCapacity reports whether the speed and the limits of a service's targets are
// learned.
func (balancer *Balancer) learnsCapacity(now time.Time, service string) bool {
	switch {
	case balancer.options.FixedCapacity:
		return false
	case !balancer.options.LearnWhereStated:
		return true
	}
	svc := balancer.services[service]
	return svc != nil && !svc.slownessStatedAt.IsZero() && now.Sub(svc.slownessStatedAt) < interferenceTime
}

// hasInterference reports whether the machines of a service's targets are shared with
// other load.
func (svc *service) hasInterference(now time.Time) bool {
	return !svc.interferedAt.IsZero() && now.Sub(svc.interferedAt) < interferenceTime
}

// learnedSlowness is slowness without what the target states for the moment.
func (balancer *Balancer) learnedSlowness(t *target) float64 {
	if math.Abs(t.logSlowness) <= slownessDeadBand {
		return 1
	}
	return max(minSlowness, math.Exp(t.logSlowness))
}

// CapacityChange is a change of a target's limit or speed.
type CapacityChange struct {
	Target          string
	Slots           int
	Limit, Previous float64 // Requests at a time.
	Slowness        float64 // Execution time divided by the usual one.
	Weight          float64 // Responses behind the estimate.
}

func (balancer *Balancer) noteCapacityChange(now time.Time, t *target) {
	limit := balancer.capacity(now, t)
	if t.loggedLimit == 0 {
		t.loggedLimit = float64(t.record.Slots)
	}
	if math.Abs(limit-t.loggedLimit) < loggedLimitChange*t.loggedLimit || len(balancer.capacityChanges) >= maxPendingCapacityChanges {
		return
	}
	_, _, high := balancer.combinedEvidence(now, t)
	balancer.capacityChanges = append(balancer.capacityChanges, CapacityChange{t.record.ID, t.record.Slots, limit, t.loggedLimit, balancer.slowness(now, t), high.weight})
	t.loggedLimit = limit
}

// CapacityChanges returns the notable changes of targets' limits since the last
// call.
func (balancer *Balancer) CapacityChanges() []CapacityChange {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	changes := balancer.capacityChanges
	balancer.capacityChanges = nil
	return changes
}

// CapacityCounts returns the numbers of targets that are slower than usual, and of
// those with a limit below their slots.
func (balancer *Balancer) CapacityCounts(now time.Time) (slow, belowSlots int) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	if balancer.options.FixedCapacity {
		return 0, 0
	}
	for _, t := range balancer.targets {
		if !balancer.learnsCapacity(now, t.record.Service) {
			continue
		}
		if t.logSlowness > slownessDeadBand {
			slow++
		}
		if balancer.capacity(now, t) < float64(t.record.Slots) {
			belowSlots++
		}
	}
	return slow, belowSlots
}
