package balance

import (
	"slices"
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// loadPenalty is the share of a request's execution time that is added to
	// the estimate at full load. It spreads requests over otherwise equal
	// targets, because the requests in flight from peers are known only with
	// delay.
	loadPenalty = 0.15
	// coldSlowdown is the slowdown assumed for a cold target.
	coldSlowdown = 2
	// failurePenalty is the cost of a failed attempt, in latency objectives.
	failurePenalty = 1.0
	// maxLateWait is the longest wait for a slot for a request that will miss
	// its latency objective, as a share of the objective.
	maxLateWait = 1.0
	// maxDisplacedWait is the same for a request that its home does not take because
	// of its rate limit. If limits displace more requests than other targets hold,
	// a longer queue there would make the responses to all of them late.
	maxDisplacedWait = 0.25
	// feasibleShare is the share of the remaining time within which a response
	// must be expected. The rest covers estimation errors.
	feasibleShare = 0.8
	// infeasibleShare is the share of the remaining time beyond which a
	// request is refused even if a slot is free: the response would come after
	// the caller has given up even if execution were a third faster than
	// expected.
	infeasibleShare = 1.5
	// minSamples is the number of observed executions that makes an estimate
	// reliable.
	minSamples = 8
	// objectiveShare is the share of the objective within which the response
	// to a waiting request must be expected.
	objectiveShare = 0.95
	// spareShare is the load, as a share of its capacity, below which a target takes
	// requests whose home is slow. Cold executions take several times as long, so
	// they must not take capacity that other requests need.
	spareShare = 0.5
	// minGainShare is the largest expected time at another target than the home, as
	// a share of that at the home, for which a request leaves it.
	minGainShare = 0.8
	// Range of the Retry-After of a refusal.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// noTargetRetryAfter is the Retry-After when no target is usable, or when a
	// target with a free slot would respond too late.
	noTargetRetryAfter = 500 * time.Millisecond
)

// Request describes a request that needs a target.
type Request struct {
	Service         string
	Object          string               // Empty if the request has no object or its route is not sticky.
	HomeRegions     steering.HomeRegions // That the route and the account both allow.
	Account         string               // Empty if the request has no account.
	Rank            steering.Rank
	Objective       time.Duration   // Latency within which a response has its full value.
	Elapsed         time.Duration   // Since the caller's first attempt.
	Remaining       time.Duration   // Until the deadline.
	ExcludedTargets map[string]bool // IDs of targets that must not be selected.
	// OnlyTargets holds the IDs of the only targets that may be selected; nil if the
	// request may use any.
	OnlyTargets map[string]bool
	Retry       bool // The request has been counted already.
	// HasFallback is set if an earlier response can be delivered. Another
	// attempt must then be expected to complete within the remaining time.
	HasFallback bool
	Unrelayable bool // The request cannot be sent through a relay.
	// OverflowRefused is set if an owner has refused the request as one that belongs
	// to another target. Asking further owners would delay the refusal, by a round
	// trip between regions each.
	OverflowRefused bool
}

// mayUse reports whether the request's earlier attempts permit another one at the target.
func (request *Request) mayUse(t *target) bool {
	return !request.ExcludedTargets[t.record.ID] && (request.OnlyTargets == nil || request.OnlyTargets[t.record.ID])
}

// Grant is the selection of a target. It counts as in flight until Done.
type Grant struct {
	Target       *steering.Target
	Region       string
	ExpectedTime time.Duration // Expected time until the response is complete.
	Load         int           // Requests at the target before this one.
	LoadAge      time.Duration // Age of the load that the target reported; negative if it never did.
	Warm         bool          // The target has probably handled the object recently.
	// Limit is the target's limit. If it is active, the request must be sent
	// through Owner, or directly if this instance is the owner and Owner is empty.
	Limit     LimitStatement
	Owner     steering.Instance
	Overflow  bool // The owner may admit the request only if the target has capacity to spare.
	object    string
	objective time.Duration
	waits     bool
	trial     bool // Sent during the target's pause; see trialAfter.
	rank      steering.Rank
}

// RefusalReason tells why no target was selected.
type RefusalReason string

// Reasons of refusals.
const (
	NoTarget    RefusalReason = "no-target"    // No target is usable.
	Overloaded  RefusalReason = "overloaded"   // No target would respond in time.
	RateLimited RefusalReason = "rate-limited" // The targets take no more requests at present.
	Paused      RefusalReason = "paused"       // The targets have asked for a pause.
)

// Refusal tells why a request was refused and when to retry.
type Refusal struct {
	Reason       RefusalReason
	RetryAfter   time.Duration
	Region       string
	ExpectedTime time.Duration // At the best target; 0 if there is none.
	ExpectedWait time.Duration // For a slot of that target.
	Load         int           // Requests at that target.
	// ReservedFor is the rank for which the capacity is kept; nil if a request of any
	// rank would have been refused.
	ReservedFor *steering.Rank
}

// candidate is a target with its estimated times.
type candidate struct {
	target       *target
	expectedTime time.Duration
	expectedWait time.Duration
	warm         bool
	measured     bool // The estimate is based on observed executions.
	overflow     bool // The request belongs to other targets; see overflowReserve.
	displaced    bool // The object's home does not take the request because of its rate limit.
}

// Pick selects a target for a request, or refuses it.
func (balancer *Balancer) Pick(now time.Time, request Request) (Grant, *Refusal) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	svc := balancer.service(request.Service)
	if !request.Retry {
		svc.callerRate.add(now)
	}
	objectHash := balancer.requestHash(svc, request)
	for i, region := range balancer.regionOrder(svc, request, objectHash) {
		if c, ok := balancer.regionCandidate(now, svc, request, region, objectHash, i > 0); ok {
			if region == balancer.options.Region && request.Object != "" && !request.Retry {
				svc.demand.add(now, objectHash)
			}
			return balancer.grantOrRefuse(now, request, c)
		}
	}
	return Grant{}, balancer.refuseWithoutTarget(now, svc, request)
}

// requestHash returns the hash by which a request is placed: that of its object, or one
// of its own if it has none.
func (balancer *Balancer) requestHash(svc *service, request Request) uint64 {
	if request.Object != "" {
		return hashOf(request.Object)
	}
	svc.sequence++
	return mix(svc.sequence, balancer.ownHash())
}

// refuseWithoutTarget returns the refusal of a request for which no target is
// usable.
func (balancer *Balancer) refuseWithoutTarget(now time.Time, svc *service, request Request) *Refusal {
	wait, reason := balancer.statedWait(now, svc, request)
	refusal := &Refusal{Reason: reason, ExpectedWait: wait}
	switch reason {
	case Paused: // The target has named the time, however long it is.
		refusal.RetryAfter = wait + time.Duration(balancer.options.Random(int64(min(maxResumeDelay, wait/2))+1))
	case RateLimited:
		refusal.RetryAfter = balancer.retryAfter(wait)
	default:
		refusal.RetryAfter = noTargetRetryAfter
	}
	return refusal
}

// statedWait returns the time until the targets that a request may use take it, as
// far as their limits and pauses are concerned, and which of them is in its way. A
// single target that ends its pause early has no room for the callers of all, so
// the time is the median of the pauses.
func (balancer *Balancer) statedWait(now time.Time, svc *service, request Request) (time.Duration, RefusalReason) {
	shortestLimit := time.Duration(0)
	var pauses []time.Duration
	for _, region := range balancer.allowedRegions(request.HomeRegions) {
		for _, t := range svc.targetsByRegion[region] {
			limit, pause := balancer.limitWait(now, t, request, false), balancer.pauseWait(now, t)
			switch {
			case pause > limit:
				pauses = append(pauses, pause)
			case limit > 0 && (shortestLimit == 0 || limit < shortestLimit):
				shortestLimit = limit
			}
		}
	}
	switch {
	case shortestLimit > 0:
		return shortestLimit, RateLimited
	case len(pauses) > 0:
		slices.Sort(pauses)
		return pauses[len(pauses)/2], Paused
	}
	return 0, NoTarget
}

// retryAfter returns the Retry-After for an expected wait. A random part spreads
// the callers that are refused at the same time.
func (balancer *Balancer) retryAfter(wait time.Duration) time.Duration {
	wait += time.Duration(balancer.options.Random(int64(wait)/2 + 1))
	return min(maxRetryAfter, max(minRetryAfter, wait))
}

func (balancer *Balancer) ownHash() uint64 { return hashOf(balancer.options.Name) }

// regionCandidate returns the best target of a region for the request, if any
// is usable.
//
// A request with an object goes to the object's home target while this is
// usable. Any other target would first have to become warm for the object, and
// a cold execution takes as much slot time as several warm ones. A request
// without an object goes to the target with the lowest estimated response
// time. overflow is set if the request belongs to another region.
func (balancer *Balancer) regionCandidate(now time.Time, svc *service, request Request, region string, objectHash uint64, overflow bool) (candidate, bool) {
	if request.Object == "" {
		return balancer.fastestTarget(now, svc, request, region, objectHash, overflow)
	}
	c := candidate{target: balancer.leastLoadedHome(now, svc, request, region, objectHash, overflow), warm: true, overflow: overflow}
	if c.target == nil || !request.mayUse(c.target) || !balancer.usable(now, c.target, request, overflow) || balancer.isGrey(now, svc, c.target) {
		c = balancer.hashHome(now, svc, request, region, objectHash, overflow)
	}
	if c.target == nil {
		return c, false
	}
	c.warm = c.warm || c.target.recentObjects.has(request.Object)
	c.displaced = balancer.isDisplaced(svc, region, objectHash, c.target)
	c.expectedWait, c.expectedTime = balancer.estimate(now, svc, c.target, c.warm, request.Objective)
	c.measured = svc.samples(c.warm) >= minSamples
	if balancer.mayLeaveHome(now, svc, c) {
		c = balancer.fasterThanHome(now, svc, request, region, objectHash, c)
	}
	return c, true
}

// mayLeaveHome reports whether a request may go to another target than its home
// because the home is slow, or full while machines are shared with other load.
func (balancer *Balancer) mayLeaveHome(now time.Time, svc *service, c candidate) bool {
	return balancer.learnsCapacity(now, svc.name) && !c.overflow && !c.displaced &&
		(balancer.learnedSlowness(c.target) > 1 || svc.hasInterference(now) && c.expectedWait > 0)
}

// fasterThanHome returns the object's second choice among the targets of the region
// if it is expected to be faster than the home, even if it is cold for the object,
// and has capacity to spare. The second choice is always the same target, so it
// becomes warm for the object.
func (balancer *Balancer) fasterThanHome(now time.Time, svc *service, request Request, region string, objectHash uint64, home candidate) candidate {
	var second candidate
	secondRank := uint64(0)
	for _, t := range svc.targetsByRegion[region] {
		if rank := mix(objectHash, t.hash); t != home.target && (second.target == nil || rank > secondRank) {
			second.target, secondRank = t, rank
		}
	}
	t := second.target
	if t == nil || t.limit.Active || !request.mayUse(t) || !balancer.usable(now, t, request, false) || balancer.isGrey(now, svc, t) ||
		float64(balancer.load(now, t)) >= spareShare*balancer.capacity(now, t) {
		return home
	}
	second.warm = t.recentObjects.has(request.Object)
	second.expectedWait, second.expectedTime = balancer.estimate(now, svc, t, second.warm, request.Objective)
	if float64(second.expectedTime) > minGainShare*float64(home.expectedTime) {
		return home
	}
	second.measured = svc.samples(second.warm) >= minSamples
	return second
}

// isDisplaced reports whether a target was selected because the object's home
// target, a limited one, does not take the request.
func (balancer *Balancer) isDisplaced(svc *service, region string, objectHash uint64, selected *target) bool {
	if len(balancer.statedTargets) == 0 {
		return false
	}
	homes := balancer.homeTargets(svc, region, objectHash)
	return homes[0].limit.Active && !slices.Contains(homes, selected)
}

// leastLoadedHome returns the object's home target from the home table, or
// nil. If the object has several home targets, it returns the usable one with
// the lowest relative load.
func (balancer *Balancer) leastLoadedHome(now time.Time, svc *service, request Request, region string, objectHash uint64, overflow bool) *target {
	first := balancer.tableHome(svc, region, objectHash, 0)
	if balancer.tableHome(svc, region, objectHash, 1) == nil {
		return first
	}
	var best *target
	lowestLoad := 0.0
	for _, t := range balancer.homeTargets(svc, region, objectHash) {
		if !request.mayUse(t) || !balancer.usable(now, t, request, overflow) || balancer.isGrey(now, svc, t) {
			continue
		}
		relativeLoad := float64(balancer.load(now, t)) / balancer.usableSlots(now, t.record)
		if best == nil || relativeLoad < lowestLoad {
			best, lowestLoad = t, relativeLoad
		}
	}
	return best
}

// hashHome returns the usable target with the highest rendezvous hash for the
// object. It prefers targets to which the request is no overflow, and returns a
// grey target only if all usable ones are grey. The candidate is warm if it has
// the highest hash of all targets, usable or not.
func (balancer *Balancer) hashHome(now time.Time, svc *service, request Request, region string, objectHash uint64, overflow bool) candidate {
	const (
		grey = iota
		overflowing
		preferred
	)
	var best candidate
	bestPreference, bestRank, homeRank := grey, uint64(0), uint64(0)
	for _, t := range svc.targetsByRegion[region] {
		rank := mix(objectHash, t.hash)
		homeRank = max(homeRank, rank)
		if best.target != nil && bestPreference == preferred && rank < bestRank {
			continue
		}
		c := candidate{target: t}
		if t.limit.Active && !t.recentObjects.has(request.Object) {
			c.overflow = overflow || rendezvousTarget(svc.targetsByRegion[region], objectHash) != t
		}
		if !request.mayUse(t) || !balancer.usable(now, t, request, c.overflow) {
			continue
		}
		preference := preferred
		switch {
		case balancer.isGrey(now, svc, t):
			preference = grey
		case c.overflow:
			preference = overflowing
		}
		if best.target == nil || preference > bestPreference || preference == bestPreference && rank > bestRank {
			best, bestPreference, bestRank = c, preference, rank
		}
	}
	best.warm = bestRank == homeRank
	return best
}

// fastestTarget returns the usable target with the shortest expected time.
// Ties are broken by hash.
func (balancer *Balancer) fastestTarget(now time.Time, svc *service, request Request, region string, requestHash uint64, overflow bool) (candidate, bool) {
	var best candidate
	var rank uint64
	for _, t := range svc.targetsByRegion[region] {
		if !request.mayUse(t) || !balancer.usable(now, t, request, overflow) {
			continue
		}
		c, r := candidate{target: t, overflow: overflow}, mix(requestHash, t.hash)
		c.expectedWait, c.expectedTime = balancer.estimate(now, svc, t, false, request.Objective)
		c.measured = svc.coldSamples >= minSamples
		if best.target == nil || c.expectedTime < best.expectedTime || c.expectedTime == best.expectedTime && r > rank {
			best, rank = c, r
		}
	}
	return best, best.target != nil
}

// grantOrRefuse grants the candidate or refuses the request. A late response
// is worth less than one in time, but a refusal costs the caller more than a
// short wait costs others.
func (balancer *Balancer) grantOrRefuse(now time.Time, request Request, c candidate) (Grant, *Refusal) {
	inTime := request.Elapsed+c.expectedTime <= time.Duration(objectiveShare*float64(request.Objective))
	maxWait := maxLateWait
	if c.displaced {
		maxWait = maxDisplacedWait
	}
	shortWait := c.expectedWait <= time.Duration(maxWait*float64(request.Objective))
	feasible := c.expectedTime < time.Duration(feasibleShare*float64(request.Remaining))
	maxShare := infeasibleShare
	if request.HasFallback {
		maxShare = feasibleShare
	}
	infeasible := c.measured && c.expectedTime > time.Duration(maxShare*float64(request.Remaining))
	admission := balancer.admitByRank(now, request, c, rankOptions{
		admitted: c.expectedWait == 0 && !infeasible || feasible && (inTime || shortWait),
		feasible: feasible,
	})
	if admission.admitted {
		return balancer.grant(now, c, request), nil
	}
	retryAfter := noTargetRetryAfter
	switch {
	case admission.retryAfter > 0:
		retryAfter = admission.retryAfter
	case c.expectedWait > 0:
		retryAfter = balancer.retryAfter(c.expectedWait)
	}
	return Grant{}, &Refusal{Reason: Overloaded, Region: c.target.region, ExpectedTime: c.expectedTime, ExpectedWait: c.expectedWait,
		Load: balancer.load(now, c.target), RetryAfter: retryAfter, ReservedFor: admission.reservedFor}
}

// usable reports whether a request may be sent to a target now. overflow is set if
// the request belongs to other targets.
func (balancer *Balancer) usable(now time.Time, t *target, request Request, overflow bool) bool {
	return balancer.obstacle(now, t, request, overflow) == ""
}

// obstacle returns why a request must not be sent to a target now, or "".
func (balancer *Balancer) obstacle(now time.Time, t *target, request Request, overflow bool) TargetReason {
	switch {
	case now.Before(t.avoidUntil):
		return TargetAvoided
	case t.down && t.ownInFlight > 0:
		return TargetDown
	case balancer.pauseWait(now, t) != 0:
		return TargetPaused
	case !balancer.coldRequestAllowed(now, t):
		return TargetCold
	case balancer.limitWait(now, t, request, overflow) != 0:
		return TargetLimited
	}
	return ""
}

// estimate returns the expected wait for a slot and the total expected time. A
// target that is faster than average is not preferred: it would attract all
// requests, and the slowdown of the others would no longer be measured.
func (balancer *Balancer) estimate(now time.Time, svc *service, t *target, warm bool, objective time.Duration) (wait, total time.Duration) {
	execTime := svc.coldExecTime
	if warm {
		execTime = svc.warmExecTime
	}
	slots, limit := float64(t.record.Slots), balancer.capacity(now, t)
	load := float64(balancer.load(now, t))
	slowdown := balancer.slowness(now, t)
	if now.Before(t.coldUntil) {
		slowdown = max(slowdown, coldSlowdown)
	}
	slowedTime := float64(execTime) * slowdown
	if limit < slots { // Executions beyond the limit share its capacity.
		slowedTime *= max(1, min(load+1, slots)/limit)
	}
	if load >= slots {
		wait = time.Duration((load - slots + 1) / limit * float64(svc.meanExecTime) * slowdown)
	}
	total = wait + time.Duration(slowedTime) + balancer.roundTrip(t.region)
	total += time.Duration(min(1, load/limit) * loadPenalty * slowedTime)
	total += time.Duration(t.failureRate.value(now) * failurePenalty * float64(objective))
	return wait, total
}

func (balancer *Balancer) grant(now time.Time, c candidate, request Request) Grant {
	t := c.target
	grant := Grant{Target: t.record, Region: t.region, ExpectedTime: c.expectedTime, Load: balancer.load(now, t), LoadAge: -1,
		object: request.Object, objective: request.Objective, Warm: c.warm, waits: c.expectedWait > 0, rank: request.Rank}
	if !t.loadReportedAt.IsZero() {
		grant.LoadAge = now.Sub(t.loadReportedAt)
	}
	if t.limit.Active {
		grant.Limit = LimitStatement{RateLimit: t.limit.RateLimit, Age: now.Sub(t.limit.at)}
		if balancer.owns(t) {
			t.bucket.tokens--
		} else {
			grant.Owner, grant.Overflow = t.owner, c.overflow
		}
	}
	grant.trial = t.availability.useTrial(now)
	t.ownInFlight++
	balancer.recordColdRequest(now, t)
	return grant
}
