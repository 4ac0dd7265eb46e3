package balance

import (
	"math/rand/v2"
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// crowding is the part of a request's time that a target's last free slot
	// costs. It spreads requests over targets that are otherwise equal, since
	// what others have in flight is known late.
	crowding = 0.15
	// coldSlowdown is how much longer a cold target takes until it was observed.
	coldSlowdown = 2
	// failureCost is what a failed attempt costs, in objectives.
	failureCost = 1.0
	// objectiveMargin is the part of the objective that the expected time must
	// stay under when a request would have to wait for a slot.
	objectiveMargin = 0.95
	// Retry-After of a refusal stays between these.
	shortestReturn = 50 * time.Millisecond
	longestReturn  = 2 * time.Second
	// noTargetReturn is when to come back when no target can be used.
	noTargetReturn = 500 * time.Millisecond
)

// Want is a request that needs a target.
type Want struct {
	Service   string
	Object    string // Empty when the request names none, or the route is not sticky.
	Homes     []string
	Objective time.Duration // Time within which the answer has its full value.
	Waited    time.Duration // Time since the request arrived.
	Left      time.Duration // Time until it must be answered.
	Excluded  map[string]bool
	Repeat    bool // The request was counted before.
}

// Grant is a choice. It counts as in flight until Done.
type Grant struct {
	Target   *steering.Target
	Region   string
	Expected time.Duration // Until the answer is complete.
	Load     int           // Requests in flight there before this one.
	LoadAge  time.Duration // Since the target last told its load; negative when it never has.
	Warm     bool          // The target is believed to have handled the object.
	object   string
	queued   bool
	chosen   time.Time
}

// Reason says why no target was chosen.
type Reason string

// Reasons.
const (
	NoTarget   Reason = "no-target"  // None can be used.
	Overloaded Reason = "overloaded" // None would answer in time.
)

// Refusal tells when to come back.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	Expected   time.Duration // Of the best target; 0 when there is none.
}

// choice is a candidate with its expected time.
type choice struct {
	target   *target
	expected time.Duration
	wait     time.Duration
	warm     bool
	rank     uint64 // Rendezvous weight; breaks ties.
}

// Pick chooses a target, or says why there is none.
func (b *Balancer) Pick(now time.Time, want Want) (Grant, *Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(want.Service)
	if !want.Repeat {
		s.rate.add(now)
	}
	object := hashOf(want.Object)
	if want.Object == "" {
		s.sequence++
		object = mix(s.sequence, b.hashOfSelf())
	}
	var best choice
	for _, region := range b.regionOrder(s, want, object) {
		if best = b.best(now, s, want, region, object); best.target != nil {
			break
		}
	}
	if best.target == nil {
		return Grant{}, &Refusal{Reason: NoTarget, RetryAfter: noTargetReturn}
	}
	if refusal := b.admit(best, want); refusal != nil {
		return Grant{}, refusal
	}
	return b.grant(now, best, want), nil
}

func (b *Balancer) hashOfSelf() uint64 { return hashOf(b.options.Name) }

// best returns the candidate of a region that is expected to answer first.
func (b *Balancer) best(now time.Time, s *service, want Want, region string, object uint64) choice {
	var first uint64
	for _, record := range b.world.Of(want.Service) {
		if t := b.targets[record.ID]; t != nil && t.region == region && b.world.Usable(record) {
			first = max(first, mix(object, t.hash))
		}
	}
	var best choice
	for _, record := range b.world.Of(want.Service) {
		t := b.targets[record.ID]
		if t == nil || t.region != region || want.Excluded[record.ID] || !b.usable(now, t) {
			continue
		}
		c := choice{target: t, rank: mix(object, t.hash)}
		c.warm = want.Object != "" && (c.rank == first || t.warm.has(want.Object))
		c.wait, c.expected = b.expect(now, s, t, c.warm, want.Objective)
		if best.target == nil || c.expected < best.expected || (c.expected == best.expected && c.rank > best.rank) {
			best = c
		}
	}
	return best
}

// usable reports whether a request may go to a target now.
func (b *Balancer) usable(now time.Time, t *target) bool {
	if !b.world.Usable(t.record) || now.Before(t.avoid) {
		return false
	}
	if t.down && t.own > 0 {
		return false
	}
	return b.coldPermits(now, t)
}

// expect returns the expected wait for a slot and the time to the answer.
func (b *Balancer) expect(now time.Time, s *service, t *target, warm bool, objective time.Duration) (wait, total time.Duration) {
	base := s.coldTime
	if warm {
		base = s.warmTime
	}
	slots := float64(t.record.Slots)
	load := float64(t.load(now))
	speed := t.speed
	if now.Before(t.cold) {
		speed = max(speed, coldSlowdown)
	}
	work := float64(base) * speed
	if load >= slots {
		wait = time.Duration((load - slots + 1) / slots * float64(s.meanTime) * speed)
	}
	total = wait + time.Duration(work) + b.roundTrip(t.region)
	total += time.Duration(min(1, load/slots) * crowding * work)
	total += time.Duration(t.failing * failureCost * float64(objective))
	return wait, total
}

// admit refuses a request that would wait for a slot and come too late. One
// that needs no wait is served, also when it is slow: the slot is free.
func (b *Balancer) admit(c choice, want Want) *Refusal {
	if c.wait == 0 {
		return nil
	}
	total := want.Waited + c.expected
	if total <= time.Duration(objectiveMargin*float64(want.Objective)) && total < want.Left+want.Waited {
		return nil
	}
	after := c.wait + time.Duration(rand.Int64N(int64(c.wait)/2+1))
	return &Refusal{Reason: Overloaded, RetryAfter: min(longestReturn, max(shortestReturn, after)), Expected: c.expected}
}

func (b *Balancer) grant(now time.Time, c choice, want Want) Grant {
	t := c.target
	g := Grant{Target: t.record, Region: t.region, Expected: c.expected, Load: t.load(now), LoadAge: -1,
		object: want.Object, Warm: c.warm, queued: c.wait > 0, chosen: now}
	if !t.heard.IsZero() {
		g.LoadAge = now.Sub(t.heard)
	}
	t.own++
	b.takeCold(now, t)
	return g
}
