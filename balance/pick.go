package balance

import (
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// loadPenalty is the part of a request's time that a target's last free slot
	// costs. It spreads requests over targets that are otherwise equal, since
	// what others have in flight is known late.
	loadPenalty = 0.15
	// coldSlowdown is how much longer a cold target takes until it was observed.
	coldSlowdown = 2
	// failurePenalty is what a failed attempt costs, in objectives.
	failurePenalty = 1.0
	// maxLateWait is the longest wait for a slot of a request that will be late,
	// as a part of its objective.
	maxLateWait = 1.0
	// feasibleShare is the part of the time left within which an answer must be
	// expected. The rest covers the error of the expectation.
	feasibleShare = 0.8
	// infeasibleShare is the part of the time left beyond which a free slot is of no
	// use either: the answer would come after the caller has given up, even from
	// a target that is a third faster than expected.
	infeasibleShare = 1.5
	// minSamples is the number of observed runs from which on an expectation is
	// more than a guess.
	minSamples = 8
	// objectiveShare is the part of the objective that the expected time must
	// stay under when a request would have to wait for a slot.
	objectiveShare = 0.95
	// Retry-After of a refusal stays between these.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// noTargetRetryAfter is when to come back when no target can be used.
	noTargetRetryAfter = 500 * time.Millisecond
)

// Request is a request that needs a target.
type Request struct {
	Service         string
	Object          string // Empty when the request names none, or the route is not sticky.
	HomeRegions     steering.HomeRegions
	Objective       time.Duration // Time within which the answer has its full value.
	Elapsed         time.Duration // Time since the caller first asked.
	Remaining       time.Duration // Time until it must be answered.
	ExcludedTargets map[string]bool
	Retry           bool // The request was counted before.
	// HasFallback says that an answer is at hand already. Another attempt has to be
	// expected within the time left; else that answer is delivered at once.
	HasFallback bool
}

// Grant is a choice. It counts as in flight until Done.
type Grant struct {
	Target       *steering.Target
	Region       string
	ExpectedTime time.Duration // Until the answer is complete.
	Load         int           // Requests in flight there before this one.
	LoadAge      time.Duration // Since the target last told its load; negative when it never has.
	Warm         bool          // The target is believed to have handled the object.
	object       string
	waits        bool
}

// RefusalReason says why no target was chosen.
type RefusalReason string

// Reasons.
const (
	NoTarget   RefusalReason = "no-target"  // None can be used.
	Overloaded RefusalReason = "overloaded" // None would answer in time.
)

// Refusal tells when to come back.
type Refusal struct {
	Reason       RefusalReason
	RetryAfter   time.Duration
	Region       string
	ExpectedTime time.Duration // Of the best target; 0 when there is none.
	ExpectedWait time.Duration // For a slot of that target.
	Load         int           // Requests in flight there.
}

// candidate is a candidate with its expected time.
type candidate struct {
	target   *target
	expected time.Duration
	wait     time.Duration
	warm     bool
	measured bool // The expectation rests on runs that were observed.
}

// Pick chooses a target, or says why there is none.
func (balancer *Balancer) Pick(now time.Time, request Request) (Grant, *Refusal) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	svc := balancer.service(request.Service)
	if !request.Retry {
		svc.callerRate.add(now)
	}
	object := hashOf(request.Object)
	if request.Object == "" {
		svc.sequence++
		object = mix(svc.sequence, balancer.ownHash())
	}
	for _, region := range balancer.regionOrder(svc, request, object) {
		if c, ok := balancer.regionCandidate(now, svc, request, region, object); ok {
			if region == balancer.options.Region && request.Object != "" && !request.Retry {
				svc.demand.add(now, object)
			}
			return balancer.grantOrRefuse(now, request, c)
		}
	}
	return Grant{}, &Refusal{Reason: NoTarget, RetryAfter: noTargetRetryAfter}
}

func (balancer *Balancer) ownHash() uint64 { return hashOf(balancer.options.Name) }

// regionCandidate returns the target of a region that takes the request, if one can.
//
// A request with an object goes to the object's home as long as that can be
// used: a second target would have to learn the object, and a request to a
// target that does not know its object takes the slot of several that do.
// Without an object it goes to the target that is expected to answer first.
func (balancer *Balancer) regionCandidate(now time.Time, svc *service, request Request, region string, object uint64) (candidate, bool) {
	if request.Object == "" {
		return balancer.fastestTarget(now, svc, request, region, object)
	}
	c := candidate{target: balancer.leastLoadedHome(now, svc, request, region, object), warm: true}
	if c.target == nil || request.ExcludedTargets[c.target.record.ID] || !balancer.usable(now, c.target) || balancer.isGrey(now, svc, c.target) {
		c = balancer.hashHome(now, svc, request, region, object)
	}
	if c.target == nil {
		return c, false
	}
	c.warm = c.warm || c.target.recentObjects.has(request.Object)
	c.wait, c.expected = balancer.estimate(now, svc, c.target, c.warm, request.Objective)
	c.measured = svc.samples(c.warm) >= minSamples
	return c, true
}

// leastLoadedHome returns the home that a table names for an object. Of several
// ones it is the usable one with the most room; nil when the table names none.
func (balancer *Balancer) leastLoadedHome(now time.Time, svc *service, request Request, region string, object uint64) *target {
	first := balancer.tableHome(svc, region, object, 0)
	if balancer.tableHome(svc, region, object, 1) == nil {
		return first
	}
	var best *target
	lowestLoad := 0.0
	for _, t := range balancer.homeTargets(svc, region, object) {
		if request.ExcludedTargets[t.record.ID] || !balancer.usable(now, t) || balancer.isGrey(now, svc, t) {
			continue
		}
		relativeLoad := float64(balancer.load(now, t)) / float64(t.record.Slots)
		if best == nil || relativeLoad < lowestLoad {
			best, lowestLoad = t, relativeLoad
		}
	}
	return best
}

// hashHome returns the usable target to which an object belongs by its hash. A
// grey one is taken only when all are. It is warm when no other one, usable or
// not, comes before it.
func (balancer *Balancer) hashHome(now time.Time, svc *service, request Request, region string, object uint64) candidate {
	var best, fallback candidate // Among those that are not grey, and among all.
	var bestRank, fallbackRank, homeRank uint64
	for _, t := range svc.targetsByRegion[region] {
		r := mix(object, t.hash)
		homeRank = max(homeRank, r)
		if fallback.target != nil && r < fallbackRank && best.target != nil && r < bestRank {
			continue
		}
		if request.ExcludedTargets[t.record.ID] || !balancer.usable(now, t) {
			continue
		}
		if fallback.target == nil || r > fallbackRank {
			fallback, fallbackRank = candidate{target: t}, r
		}
		if !balancer.isGrey(now, svc, t) && (best.target == nil || r > bestRank) {
			best, bestRank = candidate{target: t}, r
		}
	}
	if best.target == nil {
		best, bestRank = fallback, fallbackRank
	}
	best.warm = bestRank == homeRank
	return best
}

// fastestTarget returns the usable target with the shortest expected time. Equal ones
// are told apart by their hash.
func (balancer *Balancer) fastestTarget(now time.Time, svc *service, request Request, region string, number uint64) (candidate, bool) {
	var best candidate
	var rank uint64
	for _, t := range svc.targetsByRegion[region] {
		if request.ExcludedTargets[t.record.ID] || !balancer.usable(now, t) {
			continue
		}
		c, r := candidate{target: t}, mix(number, t.hash)
		c.wait, c.expected = balancer.estimate(now, svc, t, false, request.Objective)
		c.measured = svc.coldSamples >= minSamples
		if best.target == nil || c.expected < best.expected || c.expected == best.expected && r > rank {
			best, rank = c, r
		}
	}
	return best, best.target != nil
}

// grantOrRefuse takes a candidate, or refuses. A request that will be late is worth
// less than one in time, but refusing it costs its caller more than a short
// wait costs the others.
func (balancer *Balancer) grantOrRefuse(now time.Time, request Request, c candidate) (Grant, *Refusal) {
	inTime := request.Elapsed+c.expected <= time.Duration(objectiveShare*float64(request.Objective))
	shortWait := c.wait <= time.Duration(maxLateWait*float64(request.Objective))
	feasible := c.expected < time.Duration(feasibleShare*float64(request.Remaining))
	maxShare := infeasibleShare
	if request.HasFallback {
		maxShare = feasibleShare
	}
	infeasible := c.measured && c.expected > time.Duration(maxShare*float64(request.Remaining))
	if c.wait == 0 && !infeasible || feasible && (inTime || shortWait) {
		return balancer.grant(now, c, request), nil
	}
	retryAfter := c.wait + time.Duration(balancer.options.Random(int64(c.wait)/2+1))
	if c.wait == 0 {
		retryAfter = noTargetRetryAfter
	}
	return Grant{}, &Refusal{Reason: Overloaded, Region: c.target.region, ExpectedTime: c.expected, ExpectedWait: c.wait,
		Load: balancer.load(now, c.target), RetryAfter: min(maxRetryAfter, max(minRetryAfter, retryAfter))}
}

// usable reports whether a request may go to a target now.
func (balancer *Balancer) usable(now time.Time, t *target) bool {
	if now.Before(t.avoidUntil) {
		return false
	}
	if t.down && t.ownInFlight > 0 {
		return false
	}
	return balancer.coldRequestAllowed(now, t)
}

// estimate returns the expected wait for a slot and the time to the answer. A
// target that is faster than usual does not attract requests by that: it would
// get all of them, and then be the only one whose speed is known.
func (balancer *Balancer) estimate(now time.Time, svc *service, t *target, warm bool, objective time.Duration) (wait, total time.Duration) {
	execTime := svc.coldExecTime
	if warm {
		execTime = svc.warmExecTime
	}
	slots := float64(t.record.Slots)
	load := float64(balancer.load(now, t))
	slowdown := max(1, t.slowdown)
	if now.Before(t.coldUntil) {
		slowdown = max(slowdown, coldSlowdown)
	}
	slowedTime := float64(execTime) * slowdown
	if load >= slots {
		wait = time.Duration((load - slots + 1) / slots * float64(svc.meanExecTime) * slowdown)
	}
	total = wait + time.Duration(slowedTime) + balancer.roundTrip(t.region)
	total += time.Duration(min(1, load/slots) * loadPenalty * slowedTime)
	total += time.Duration(t.failureRate.value(now) * failurePenalty * float64(objective))
	return wait, total
}

func (balancer *Balancer) grant(now time.Time, c candidate, request Request) Grant {
	t := c.target
	g := Grant{Target: t.record, Region: t.region, ExpectedTime: c.expected, Load: balancer.load(now, t), LoadAge: -1,
		object: request.Object, Warm: c.warm, waits: c.wait > 0}
	if !t.loadReportedAt.IsZero() {
		g.LoadAge = now.Sub(t.loadReportedAt)
	}
	t.ownInFlight++
	balancer.recordColdRequest(now, t)
	return g
}
