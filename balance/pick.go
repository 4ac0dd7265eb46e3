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
	target       *target
	expectedTime time.Duration
	expectedWait time.Duration
	warm         bool
	measured     bool // The expectation rests on runs that were observed.
}

// Pick chooses a target, or says why there is none.
func (b *Balancer) Pick(now time.Time, want Request) (Grant, *Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(want.Service)
	if !want.Retry {
		s.callerRate.add(now)
	}
	object := hashOf(want.Object)
	if want.Object == "" {
		s.sequence++
		object = mix(s.sequence, b.ownHash())
	}
	for _, region := range b.regionOrder(s, want, object) {
		if c, ok := b.regionCandidate(now, s, want, region, object); ok {
			if region == b.options.Region && want.Object != "" && !want.Retry {
				s.demand.add(now, object)
			}
			return b.grantOrRefuse(now, want, c)
		}
	}
	return Grant{}, &Refusal{Reason: NoTarget, RetryAfter: noTargetRetryAfter}
}

func (b *Balancer) ownHash() uint64 { return hashOf(b.options.Name) }

// regionCandidate returns the target of a region that takes the request, if one can.
//
// A request with an object goes to the object's home as long as that can be
// used: a second target would have to learn the object, and a request to a
// target that does not know its object takes the slot of several that do.
// Without an object it goes to the target that is expected to answer first.
func (b *Balancer) regionCandidate(now time.Time, s *service, want Request, region string, object uint64) (candidate, bool) {
	if want.Object == "" {
		return b.fastestTarget(now, s, want, region, object)
	}
	c := candidate{target: b.leastLoadedHome(now, s, want, region, object), warm: true}
	if c.target == nil || want.ExcludedTargets[c.target.record.ID] || !b.usable(now, c.target) || b.isGrey(now, s, c.target) {
		c = b.hashHome(now, s, want, region, object)
	}
	if c.target == nil {
		return c, false
	}
	c.warm = c.warm || c.target.recentObjects.has(want.Object)
	c.expectedWait, c.expectedTime = b.estimate(now, s, c.target, c.warm, want.Objective)
	c.measured = s.samples(c.warm) >= minSamples
	return c, true
}

// leastLoadedHome returns the home that a table names for an object. Of several
// ones it is the usable one with the most room; nil when the table names none.
func (b *Balancer) leastLoadedHome(now time.Time, s *service, want Request, region string, object uint64) *target {
	first := b.tableHome(s, region, object, 0)
	if b.tableHome(s, region, object, 1) == nil {
		return first
	}
	var best *target
	least := 0.0
	for _, t := range b.homeTargets(s, region, object) {
		if want.ExcludedTargets[t.record.ID] || !b.usable(now, t) || b.isGrey(now, s, t) {
			continue
		}
		level := float64(b.load(now, t)) / float64(t.record.Slots)
		if best == nil || level < least {
			best, least = t, level
		}
	}
	return best
}

// hashHome returns the usable target to which an object belongs by its hash. A
// grey one is taken only when all are. It is warm when no other one, usable or
// not, comes before it.
func (b *Balancer) hashHome(now time.Time, s *service, want Request, region string, object uint64) candidate {
	var best, last candidate // Among those that are not grey, and among all.
	var bestRank, lastRank, home uint64
	for _, t := range s.targetsByRegion[region] {
		r := mix(object, t.hash)
		home = max(home, r)
		if last.target != nil && r < lastRank && best.target != nil && r < bestRank {
			continue
		}
		if want.ExcludedTargets[t.record.ID] || !b.usable(now, t) {
			continue
		}
		if last.target == nil || r > lastRank {
			last, lastRank = candidate{target: t}, r
		}
		if !b.isGrey(now, s, t) && (best.target == nil || r > bestRank) {
			best, bestRank = candidate{target: t}, r
		}
	}
	if best.target == nil {
		best, bestRank = last, lastRank
	}
	best.warm = bestRank == home
	return best
}

// fastestTarget returns the usable target with the shortest expected time. Equal ones
// are told apart by their hash.
func (b *Balancer) fastestTarget(now time.Time, s *service, want Request, region string, number uint64) (candidate, bool) {
	var best candidate
	var rank uint64
	for _, t := range s.targetsByRegion[region] {
		if want.ExcludedTargets[t.record.ID] || !b.usable(now, t) {
			continue
		}
		c, r := candidate{target: t}, mix(number, t.hash)
		c.expectedWait, c.expectedTime = b.estimate(now, s, t, false, want.Objective)
		c.measured = s.coldSamples >= minSamples
		if best.target == nil || c.expectedTime < best.expectedTime || c.expectedTime == best.expectedTime && r > rank {
			best, rank = c, r
		}
	}
	return best, best.target != nil
}

// grantOrRefuse takes a candidate, or refuses. A request that will be late is worth
// less than one in time, but refusing it costs its caller more than a short
// wait costs the others.
func (b *Balancer) grantOrRefuse(now time.Time, want Request, c candidate) (Grant, *Refusal) {
	inTime := want.Elapsed+c.expectedTime <= time.Duration(objectiveShare*float64(want.Objective))
	short := c.expectedWait <= time.Duration(maxLateWait*float64(want.Objective))
	fits := c.expectedTime < time.Duration(feasibleShare*float64(want.Remaining))
	most := infeasibleShare
	if want.HasFallback {
		most = feasibleShare
	}
	hopeless := c.measured && c.expectedTime > time.Duration(most*float64(want.Remaining))
	if c.expectedWait == 0 && !hopeless || fits && (inTime || short) {
		return b.grant(now, c, want), nil
	}
	after := c.expectedWait + time.Duration(b.options.Random(int64(c.expectedWait)/2+1))
	if c.expectedWait == 0 {
		after = noTargetRetryAfter
	}
	return Grant{}, &Refusal{Reason: Overloaded, Region: c.target.region, ExpectedTime: c.expectedTime, ExpectedWait: c.expectedWait,
		Load: b.load(now, c.target), RetryAfter: min(maxRetryAfter, max(minRetryAfter, after))}
}

// usable reports whether a request may go to a target now.
func (b *Balancer) usable(now time.Time, t *target) bool {
	if now.Before(t.avoidUntil) {
		return false
	}
	if t.down && t.ownInFlight > 0 {
		return false
	}
	return b.coldRequestAllowed(now, t)
}

// estimate returns the expected wait for a slot and the time to the answer. A
// target that is faster than usual does not attract requests by that: it would
// get all of them, and then be the only one whose speed is known.
func (b *Balancer) estimate(now time.Time, s *service, t *target, warm bool, objective time.Duration) (wait, total time.Duration) {
	base := s.coldExecTime
	if warm {
		base = s.warmExecTime
	}
	slots := float64(t.record.Slots)
	load := float64(b.load(now, t))
	speed := max(1, t.slowdown)
	if now.Before(t.coldUntil) {
		speed = max(speed, coldSlowdown)
	}
	work := float64(base) * speed
	if load >= slots {
		wait = time.Duration((load - slots + 1) / slots * float64(s.meanExecTime) * speed)
	}
	total = wait + time.Duration(work) + b.roundTrip(t.region)
	total += time.Duration(min(1, load/slots) * loadPenalty * work)
	total += time.Duration(t.failureRate.value(now) * failurePenalty * float64(objective))
	return wait, total
}

func (b *Balancer) grant(now time.Time, c candidate, want Request) Grant {
	t := c.target
	g := Grant{Target: t.record, Region: t.region, ExpectedTime: c.expectedTime, Load: b.load(now, t), LoadAge: -1,
		object: want.Object, Warm: c.warm, waits: c.expectedWait > 0}
	if !t.loadReportedAt.IsZero() {
		g.LoadAge = now.Sub(t.loadReportedAt)
	}
	t.ownInFlight++
	b.recordColdRequest(now, t)
	return g
}
