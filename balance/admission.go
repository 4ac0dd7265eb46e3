package balance

import (
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

// Load pattern: a target states a rate that it takes from all instances together,
// far below what they send. Equal shares don't work: of 200 instances each would
// be allowed a request in a minute, and the requests are not spread evenly. One
// instance, the owner, therefore admits the requests of all instances and sends
// them to the target; the others use it as a relay. No permission to send is ever
// outstanding, so none can be used late or twice.
//
// Instances may disagree on the owner for a moment, when one joins, ends or is cut
// off. An instance admits nothing until it has been the owner in its own view for
// the time in which connected instances hear of each other, nor while another one
// reports that it is the owner, as happens when messages pass in one direction
// only. In a network partition each part has its own owner, which may use the share
// of the rate that corresponds to its part of the registered instances.

const (
	// minSettleTime is the shortest time from becoming the owner of a target to
	// the first admission.
	minSettleTime = time.Second
	// admissionBurst is the time whose requests may be admitted at once, besides
	// one request. Without it, the rate that irregular arrivals leave unused would
	// be lost.
	admissionBurst = 500 * time.Millisecond
	// onsetPause is the time without admissions when a target begins to state a
	// limit, because it has received more until then.
	onsetPause = time.Second
	// minLimitRate is the lowest rate that is used, in requests per second. A
	// target that gets no requests could not state that its limit has ended.
	minLimitRate = 0.2
	// maxTickGap is the time between two calls of Tick from which the process
	// counts as paused. Others may have become owners meanwhile.
	maxTickGap = time.Second
	// overflowReserve is the time whose requests are kept for those that belong to a
	// target. A request that is refused at its home would be executed at another
	// target that is cold for its object: late, and in place of one that would be in
	// time.
	overflowReserve = admissionBurst / 2
	// overflowDelay is how long an instance does not ask again whether a target has
	// capacity to spare.
	overflowDelay = time.Second
	// disagreementDelay is how long an instance waits after a refusal by an
	// instance that does not consider itself the owner.
	disagreementDelay = 200 * time.Millisecond
)

// tokenBucket limits a rate.
type tokenBucket struct {
	tokens  float64
	updated time.Time // Tokens accrue from then on.
}

// wait returns the time until a request may be admitted at the given rate; 0 means
// now. reserved is the time whose requests remain in the bucket.
func (bucket *tokenBucket) wait(now time.Time, perSecond float64, reserved time.Duration) time.Duration {
	if elapsed := now.Sub(bucket.updated); elapsed > 0 {
		bucket.tokens += perSecond * elapsed.Seconds()
		bucket.updated = now
	}
	bucket.tokens = min(bucket.tokens, 1+perSecond*admissionBurst.Seconds())
	missing := 1 + perSecond*reserved.Seconds() - bucket.tokens
	if missing <= 0 {
		return 0
	}
	return max(time.Millisecond, bucket.updated.Sub(now)+time.Duration(missing/perSecond*float64(time.Second)))
}

// startAdmissions determines the owner of a target that begins to state a limit.
func (balancer *Balancer) startAdmissions(now time.Time, t *target) {
	balancer.updateOwner(balancer.instancesChangedAt, t)
	if t.bucket.updated.Before(now) {
		t.bucket.updated = now
	}
	t.bucket.tokens = -max(minLimitRate, t.limit.PerSecond) * onsetPause.Seconds()
}

// updateOwner determines the owner of a target: the first instance by proximity
// and then by rendezvous hashing. changed is when the owner may have changed last.
func (balancer *Balancer) updateOwner(changed time.Time, t *target) {
	owner := steering.Instance{Name: balancer.options.Name, Domain: balancer.options.Domain, Region: balancer.options.Region}
	if best := balancer.firstInstance(t); best >= 0 {
		owner = balancer.liveInstances[best]
	}
	gained := owner.Name == balancer.options.Name && t.owner.Name != owner.Name
	t.owner = owner
	if gained {
		balancer.awaitSettling(changed, t)
	}
}

// awaitSettling delays admissions to a target until connected instances have heard
// of the live instances since the given time, or since the process was paused.
func (balancer *Balancer) awaitSettling(since time.Time, t *target) {
	if balancer.resumedAt.After(since) {
		since = balancer.resumedAt
	}
	t.bucket = tokenBucket{updated: since.Add(balancer.settleTime)}
}

// updateOwners determines the owners of all limited targets after a change of the
// live instances.
func (balancer *Balancer) updateOwners(now time.Time) {
	for t := range balancer.statedTargets {
		if !t.limit.Active {
			continue
		}
		before := t.owner.Name
		balancer.updateOwner(now, t)
		if t.owner.Name != before {
			t.deferredUntil, t.overflowDeferredUntil = time.Time{}, time.Time{}
			balancer.noteLimitChange(t, LimitFromPeer)
		}
	}
}

// owns reports whether this instance admits the requests to a limited target.
func (balancer *Balancer) owns(t *target) bool { return t.owner.Name == balancer.options.Name }

// partitionShare returns the part of a rate that the owners among the live
// instances may use. Registered instances that are not live may be cut off and
// have owners of their own.
func (balancer *Balancer) partitionShare() float64 {
	live := max(1, len(balancer.liveInstances))
	return float64(live) / float64(max(live, len(balancer.state.Instances)))
}

// admissionWait returns the time until this instance, as the owner of a limited
// target, may admit a request; 0 means now.
func (balancer *Balancer) admissionWait(now time.Time, t *target, overflow bool) time.Duration {
	balancer.detectPause(now)
	reserved := time.Duration(0)
	if overflow {
		reserved = overflowReserve
	}
	return t.bucket.wait(now, max(minLimitRate, t.limit.PerSecond*balancer.partitionShare()), reserved)
}

// detectPause checks whether the process was paused, because Tick is overdue. It
// is also called for each admission, which may precede the first Tick after a
// pause.
func (balancer *Balancer) detectPause(now time.Time) {
	if balancer.options.BootClock == nil {
		return
	}
	clock := balancer.options.BootClock()
	if clock-balancer.lastTick <= maxTickGap {
		return
	}
	balancer.lastTick, balancer.resumedAt = clock, now
	for t := range balancer.statedTargets {
		if t.limit.Active && balancer.owns(t) {
			balancer.awaitSettling(now, t)
		}
	}
}

// limitWait returns the time until a request may be sent to a target as far as
// its limit is concerned; 0 means now.
func (balancer *Balancer) limitWait(now time.Time, t *target, request Request, overflow bool) time.Duration {
	switch {
	case !t.limit.Active:
		return 0
	case balancer.owns(t):
		return balancer.admissionWait(now, t, overflow)
	case request.Unrelayable || !request.HomeRegions.Allows(t.owner.Region) || overflow && request.OverflowRefused:
		return noTargetRetryAfter
	}
	if overflow && t.overflowDeferredUntil.After(t.deferredUntil) {
		return max(0, t.overflowDeferredUntil.Sub(now))
	}
	return max(0, t.deferredUntil.Sub(now))
}

// Admission is the decision on a request of a peer that this instance relays to a
// target.
type Admission struct {
	Granted bool
	Wait    time.Duration  // Time until the peer should try the target again, if not granted.
	Limit   LimitStatement // The target's limit, if not granted.
	Leaving bool           // The target is leaving.
	Pause   time.Duration  // Rest of the pause that the target has asked for.
}

// AdmitRelayed decides whether a request of a peer may be sent to a target.
// stated is the limit as the peer knows it; nil if it knows none. overflow is
// Grant.Overflow at the peer.
func (balancer *Balancer) AdmitRelayed(now time.Time, record *steering.Target, stated *LimitStatement, overflow bool) Admission {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	t := balancer.targets[record.ID]
	if t == nil {
		return Admission{Granted: true}
	}
	if stated != nil {
		balancer.applyStatement(now, t, *stated, LimitFromRelay)
	}
	if t.availability != nil && t.availability.leaving {
		return Admission{Leaving: true}
	}
	if pause := balancer.pauseWait(now, t); pause > 0 {
		return Admission{Pause: pause}
	}
	t.availability.useTrial(now)
	if !t.limit.Active {
		return Admission{Granted: true}
	}
	refused := Admission{Wait: disagreementDelay, Limit: LimitStatement{RateLimit: t.limit.RateLimit, Age: now.Sub(t.limit.at)}}
	if !balancer.owns(t) {
		return refused
	}
	if refused.Wait = balancer.admissionWait(now, t, overflow); refused.Wait > 0 {
		return refused
	}
	t.bucket.tokens--
	return Admission{Granted: true}
}

// DeferTarget records that the owner of a limited target has refused a granted
// request or could not be reached, and that this instance should not ask again for
// some time.
func (balancer *Balancer) DeferTarget(now time.Time, grant Grant, wait time.Duration, limit *LimitStatement) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	t := balancer.targets[grant.Target.ID]
	if t == nil || !t.record.SameIncarnation(grant.Target) {
		return
	}
	if limit != nil {
		balancer.applyStatement(now, t, *limit, LimitFromRelay)
	}
	if grant.Overflow {
		t.overflowDeferredUntil = now.Add(max(overflowDelay, wait))
		return
	}
	t.deferredUntil = now.Add(wait)
}
