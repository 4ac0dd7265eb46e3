package balance

import (
	"cmp"
	"slices"
	"time"
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
// while it is cold: the first by rendezvous hashing, near ones before others.
func (b *Balancer) ownsCold(t *target) bool {
	type ranked struct {
		name string
		near int
		hash uint64
	}
	list := make([]ranked, 0, len(b.instances))
	for _, in := range b.instances {
		r := ranked{name: in.Name, hash: mix(t.hash, hashOf(in.Name))}
		switch {
		case in.Domain == t.record.Domain:
			r.near = 2
		case in.Region == t.region:
			r.near = 1
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, c ranked) int {
		return cmp.Or(cmp.Compare(c.near, a.near), cmp.Compare(c.hash, a.hash))
	})
	for i, r := range list {
		if i >= coldOwners {
			break
		}
		if r.name == b.options.Name {
			return true
		}
	}
	return false
}
