package balance

import (
	"math"
	"slices"
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

// Targets execute requests in the order of arrival, and instances hold no queue. So a
// request of a higher rank finds a slot in time only if those of lower ranks have left
// room for it. A service whose requests have several ranks therefore limits how far
// each rank may fill a target: up to the load behind which the higher ranks can still
// be in time, less the requests of higher ranks that are expected until a slot is
// free. See docs/design/ranks.md.

const (
	// loadDelay is the mean age of what an instance knows of the load that others of
	// its failure domain cause. Requests that higher ranks send meanwhile are not seen.
	// A longer time reserves more: with 150 ms and 0.5 deviations, all ranks together
	// earned up to 0.02 less in the simulation.
	loadDelay = 50 * time.Millisecond
	// reserveDeviations is how many standard deviations of the expected requests of
	// higher ranks are reserved beside their mean.
	reserveDeviations = 0.3
	// minRankRate is the rate of requests of a rank, at all instances together, from
	// which others leave room for it.
	minRankRate = 0.2
	// assumedRankTime is the share of the objective that an execution is assumed to
	// take until one of the rank was observed.
	assumedRankTime = 0.5
	// minServedShare is the share of the callers of a rank that are served however
	// high the demand of higher ranks is, relative to that of all callers. The
	// platform fails days on which it is less than a quarter.
	minServedShare = 0.35
	// maxStarvedShare limits minServedShare to a part of what callers of all ranks
	// get, so that a lower rank never takes the place of a higher one.
	maxStarvedShare = 0.6
	// minArrivedCallers is the number of callers of a rank from which its share of
	// served callers is used.
	minArrivedCallers = 3
	// returnedWait is the longest wait for a slot of a caller that returns, in
	// objectives. New callers wait for maxLateWait at most, so those that return are
	// served first.
	returnedWait = 1.5
	// returnedSlots is how many more requests may be at a target for a caller that
	// returns. Without it, up to 1.5 times as many callers were refused twice in the
	// simulation.
	returnedSlots = 1
	// returnShare is the share of the capacity of a rank that is promised to callers
	// that were told to return. New callers use the rest. With the whole capacity,
	// twice as many callers of the lowest rank were refused twice.
	returnShare = 0.5
	// minReturnShare is the rate of returns that is promised at least, as a share of
	// the arrivals.
	minReturnShare = 0.1
	// maxRankRetryAfter limits the Retry-After for callers that do not wait so long.
	maxRankRetryAfter = 10 * time.Second
	// honoredShare is the share of the time left up to which callers honor a
	// Retry-After.
	honoredShare = 1.0 / 3
	// returnSpread is the part of a Retry-After that is random.
	returnSpread = 0.2
)

// rankPlan is what a rank must leave to higher ones. It follows from the demand of all
// ranks.
type rankPlan struct {
	rank steering.Rank
	// higherRate is the rate of requests of higher ranks for each slot of the service.
	higherRate float64
	// higherWork is the share of the slots that they need.
	higherWork float64
	// tolerance is the longest wait for a slot with which the higher ranks are in
	// time. It is valid if reservedFor is set.
	tolerance   time.Duration
	reservedFor *steering.Rank // The rank with that tolerance; nil if there is no demand of higher ranks.
	// returnRate is the rate at which this instance may tell callers to return.
	returnRate float64
	// unrestricted is set while too few callers of the rank are served.
	unrestricted bool
}

// planRanks returns what each rank must leave to the ranks before it. slots are those
// of all targets and demands that of all instances, sorted by rank.
func planRanks(demands []rankDemandOf, slots float64) []rankPlan {
	plans := make([]rankPlan, len(demands))
	higher := rankPlan{}
	for i := range demands {
		d := &demands[i]
		plan := &plans[i]
		*plan = higher
		plan.rank = d.rank
		execTime := d.ExecTime
		if execTime == 0 {
			execTime = time.Duration(assumedRankTime * float64(d.Objective))
		}
		free := max(0, 1-higher.higherWork) * slots
		plan.returnRate = max(returnShare*free/max(execTime, time.Millisecond).Seconds(), minReturnShare*d.PerSecond)
		if d.PerSecond < minRankRate {
			continue
		}
		higher.higherRate += d.PerSecond / slots
		higher.higherWork += d.PerSecond * execTime.Seconds() / slots
		tolerance := max(0, time.Duration(objectiveShare*float64(d.Objective))-execTime-localRoundTrip)
		if higher.reservedFor == nil || tolerance < higher.tolerance {
			higher.reservedFor, higher.tolerance = &d.rank, tolerance
		}
	}
	return plans
}

// queue returns the number of requests that may wait at a target, so that a request
// behind them waits no longer than the higher ranks tolerate.
func (plan *rankPlan) queue(slots, execTime float64) float64 {
	return plan.tolerance.Seconds() * slots / execTime
}

// reserve returns the number of slots of a target to keep for the higher ranks: their
// requests until a slot is free, and the usual deviation of that number.
func (plan *rankPlan) reserve(slots, execTime float64) float64 {
	expected := plan.higherRate * slots * (execTime/slots + loadDelay.Seconds())
	return expected + reserveDeviations*math.Sqrt(expected)
}

// excess returns by how many requests the load of a target is above the limit of the
// rank, if one more is added; at most 0 if the request may be sent. A caller that
// returns was promised capacity and does not leave the reserve to others.
func (plan *rankPlan) excess(load, slots, execTime float64, returned bool) float64 {
	limit := slots + plan.queue(slots, execTime)
	if returned {
		limit += returnedSlots
	} else {
		limit -= plan.reserve(slots, execTime)
	}
	return load + 1 - limit
}

// displaced returns the probability that a request of a higher rank arrives at a target
// while a number of requests are in its queue. Requests of lower ranks are refused no
// more often than they would delay one: refusing all of them above the limit cost 3.8
// requests in time for each one of a higher rank that was in time instead.
func (plan *rankPlan) displaced(queued, execTime float64) float64 {
	return min(1, plan.higherRate*queued*execTime)
}

// rankOptions is the decision on a request without regard to ranks.
type rankOptions struct {
	admitted bool
	feasible bool // The response is expected before the deadline.
}

// rankAdmission is the decision on a request with regard to ranks.
type rankAdmission struct {
	admitted    bool
	retryAfter  time.Duration  // 0 to use that of a refusal without regard to ranks.
	reservedFor *steering.Rank // See Refusal.
}

// admitByRank decides whether a request may be sent to the candidate. Where all
// requests of the service have one rank, the decision without ranks stands.
func (balancer *Balancer) admitByRank(now time.Time, request Request, c candidate, without rankOptions) rankAdmission {
	svc := balancer.services[request.Service]
	first := !request.Retry && request.Elapsed < returnedAfter
	if svc.ranks == nil {
		balancer.callers.count(first, without.admitted && !request.Retry)
		return rankAdmission{admitted: without.admitted}
	}
	own := svc.ranks.ownRank(request.Rank)
	returned := !first && (request.Retry || own.observesRetryAfter(request.Elapsed))
	if own != nil && !request.Retry && (first || returned) {
		own.count(now, request.Objective)
	}
	plan := balancer.rankPlan(now, svc, request.Rank)
	slots, execTime := balancer.capacity(now, c.target), max(svc.meanExecTime.Seconds(), time.Millisecond.Seconds())
	excess := 0.0
	admission := rankAdmission{admitted: without.admitted}
	if returned && without.feasible && c.expectedWait <= time.Duration(returnedWait*float64(request.Objective)) {
		admission.admitted = true
	}
	if plan.reservedFor != nil && !plan.unrestricted {
		load := float64(balancer.load(now, c.target))
		excess = plan.excess(load, slots, execTime, returned)
		if admission.admitted && excess > 0 {
			queued := max(0, load-slots) + 1
			refused := min(1, excess) * plan.displaced(queued, execTime)
			if !balancer.chance(1 - refused) {
				admission.admitted, admission.reservedFor = false, plan.reservedFor
			}
		}
	}
	balancer.callers.count(first, admission.admitted && !request.Retry)
	if own != nil {
		own.callers.count(first, admission.admitted && !request.Retry)
	}
	if admission.admitted {
		return admission
	}
	if c.expectedWait > 0 || admission.reservedFor != nil {
		freeing := execTime / slots / max(minReturnShare, 1-plan.higherWork)
		wait := max(c.expectedWait, time.Duration(max(0, excess)*freeing*float64(time.Second)))
		admission.retryAfter = balancer.returnTime(now, own, plan, wait, request.Remaining)
	}
	return admission
}

// countRefused counts a request that no target can serve like admitByRank, so that it is
// part of the demand of its rank.
func (balancer *Balancer) countRefused(now time.Time, svc *service, request Request) {
	first := request.Elapsed < returnedAfter
	balancer.callers.count(first, false)
	if svc.ranks == nil {
		return
	}
	own := svc.ranks.ownRank(request.Rank)
	if own == nil {
		return
	}
	own.callers.count(first, false)
	if first || own.observesRetryAfter(request.Elapsed) {
		own.count(now, request.Objective)
	}
}

// chance reports true with a probability.
func (balancer *Balancer) chance(probability float64) bool {
	const steps = 1 << 16
	return probability > 0 && float64(balancer.options.Random(steps)) < probability*steps
}

// returnTime returns the Retry-After of a refusal. It is the time until capacity is
// expected, behind the callers of the rank that were told to return before. A caller
// that does not wait so long gets the time but no place.
func (balancer *Balancer) returnTime(now time.Time, own *ownRank, plan *rankPlan, wait, remaining time.Duration) time.Duration {
	wait = max(minRetryAfter, wait)
	wait += time.Duration(balancer.options.Random(int64(returnSpread*float64(wait)) + 1))
	if own == nil {
		return min(maxRankRetryAfter, wait)
	}
	at := now.Add(wait)
	if next := own.nextReturn.Add(time.Duration(float64(time.Second) / max(plan.returnRate, minRankRate))); next.After(at) {
		at = next
	}
	wait = at.Sub(now)
	if wait <= time.Duration(honoredShare*float64(remaining)) {
		own.nextReturn = at
		own.retryAfter += time.Duration(ewmaWeight * float64(wait-own.retryAfter))
	}
	return min(maxRankRetryAfter, wait)
}

// rankPlan returns the plan of a rank. It rebuilds the plans at most once in
// planInterval.
func (balancer *Balancer) rankPlan(now time.Time, svc *service, rank steering.Rank) *rankPlan {
	ranks := svc.ranks
	if elapsed := now.Sub(ranks.planned); elapsed >= planInterval {
		if !ranks.planned.IsZero() {
			ranks.age(now, elapsed)
		}
		ranks.planned = now
		balancer.updatePlans(now, svc)
	}
	for i := range ranks.plans {
		if !ranks.plans[i].rank.Before(rank) {
			return &ranks.plans[i]
		}
	}
	if len(ranks.plans) == 0 {
		return &rankPlan{}
	}
	return &ranks.plans[len(ranks.plans)-1]
}

// updatePlans rebuilds the plans of a service.
func (balancer *Balancer) updatePlans(now time.Time, svc *service) {
	demands := balancer.rankDemands(now, svc.ranks)
	slots := 0.0
	for _, targets := range svc.targetsByRegion {
		for _, t := range targets {
			slots += balancer.capacity(now, t)
		}
	}
	svc.ranks.plans = planRanks(demands, max(1, slots))
	all := RankDemand{}
	for _, d := range demands {
		all = all.add(d.RankDemand)
	}
	enough := min(minServedShare*max(balancer.callers.share(), all.Served), maxStarvedShare*all.Served)
	for i := range svc.ranks.plans {
		plan := &svc.ranks.plans[i]
		j := slices.IndexFunc(svc.ranks.own, func(own *ownRank) bool { return own.rank == plan.rank })
		if j < 0 {
			continue
		}
		own := svc.ranks.own[j]
		plan.returnRate *= own.rate.at(now) / max(demands[i].PerSecond, minRankRate)
		plan.unrestricted = own.callers.arrived >= minArrivedCallers && own.callers.share() < enough
	}
}
