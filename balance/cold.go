package balance

import (
	"slices"
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// coldOwners is how many instances send requests to a cold target. Each has
	// its share of the rate, so they need no agreement on single requests.
	coldOwners = 2
)

// coldPermits reports whether a request may go to a target that may be cold.
// Only a few instances use a cold target, each within its share of the rate
// that the target tolerates. Views of the live instances may differ for a
// moment; a share is small enough that one instance more does no harm.
func (b *Balancer) coldPermits(now time.Time, t *target) bool {
	if !now.Before(t.cold) {
		return true
	}
	if b.coldInterval(t) == 0 {
		return true
	}
	return !now.Before(t.token) && b.ownsCold(t)
}

// coldInterval is the shortest time between two requests of one instance to a
// cold target; 0 means no bound.
func (b *Balancer) coldInterval(t *target) time.Duration {
	if b.world.Config == nil {
		return time.Second
	}
	perSecond := b.world.Config.Services[t.record.Service].ColdRate
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) * coldOwners / perSecond)
}

// takeCold uses up the share of a cold target for one interval.
func (b *Balancer) takeCold(now time.Time, t *target) {
	if now.Before(t.cold) {
		t.token = now.Add(b.coldInterval(t))
	}
}

// ownsCold reports whether this instance is among those that use the target
// while it is cold.
func (b *Balancer) ownsCold(t *target) bool {
	if t.generation != b.generation {
		t.ownsCold, t.generation = b.findsOwnName(t), b.generation
	}
	return t.ownsCold
}

// findsOwnName reports whether fewer than coldOwners instances come before this
// one for a target: near ones come first, then by rendezvous hashing.
func (b *Balancer) findsOwnName(t *target) bool {
	self := slices.IndexFunc(b.instances, func(in steering.Instance) bool { return in.Name == b.options.Name })
	if self < 0 {
		return false
	}
	near, rank := b.nearness(self, t), mix(t.hash, b.instanceHash[self])
	before := 0
	for i := range b.instances {
		other := b.nearness(i, t)
		if other > near || other == near && mix(t.hash, b.instanceHash[i]) > rank {
			before++
		}
	}
	return before < coldOwners
}

// nearness is 2 for an instance of the target's domain, 1 for one of its region
// and 0 for others.
func (b *Balancer) nearness(i int, t *target) int {
	switch {
	case b.instances[i].Domain == t.record.Domain:
		return 2
	case b.instances[i].Region == t.region:
		return 1
	}
	return 0
}
