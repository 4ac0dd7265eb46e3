package balance

import (
	"slices"
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// coldSenders is how many instances send requests to a cold target. Each has
	// its share of the rate, so they need no agreement on single requests.
	coldSenders = 2
)

// coldRequestAllowed reports whether a request may go to a target that may be cold.
// Only a few instances use a cold target, each within its share of the rate
// that the target tolerates. Views of the live instances may differ for a
// moment; a share is small enough that one instance more does no harm.
func (b *Balancer) coldRequestAllowed(now time.Time, t *target) bool {
	if !now.Before(t.coldUntil) {
		return true
	}
	if b.coldInterval(t) == 0 {
		return true
	}
	return !now.Before(t.nextColdRequest) && b.isColdSender(t)
}

// coldInterval is the shortest time between two requests of one instance to a
// cold target; 0 means no bound.
func (b *Balancer) coldInterval(t *target) time.Duration {
	if b.state.Config == nil {
		return time.Second
	}
	perSecond := b.state.Config.Services[t.record.Service].MaxColdRate
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) * coldSenders / perSecond)
}

// recordColdRequest uses up the share of a cold target for one interval.
func (b *Balancer) recordColdRequest(now time.Time, t *target) {
	if now.Before(t.coldUntil) {
		t.nextColdRequest = now.Add(b.coldInterval(t))
	}
}

// isColdSender reports whether this instance is among those that use the target
// while it is cold.
func (b *Balancer) isColdSender(t *target) bool {
	if t.coldSenderGeneration != b.instancesGeneration {
		t.coldSender, t.coldSenderGeneration = b.ranksAsColdSender(t), b.instancesGeneration
	}
	return t.coldSender
}

// ranksAsColdSender reports whether fewer than coldOwners instances come before this
// one for a target: near ones come first, then by rendezvous hashing.
func (b *Balancer) ranksAsColdSender(t *target) bool {
	self := slices.IndexFunc(b.liveInstances, func(in steering.Instance) bool { return in.Name == b.options.Name })
	if self < 0 {
		return false
	}
	near, rank := b.proximity(self, t), mix(t.hash, b.instanceHashes[self])
	before := 0
	for i := range b.liveInstances {
		other := b.proximity(i, t)
		if other > near || other == near && mix(t.hash, b.instanceHashes[i]) > rank {
			before++
		}
	}
	return before < coldSenders
}

// proximity is 2 for an instance of the target's domain, 1 for one of its region
// and 0 for others.
func (b *Balancer) proximity(i int, t *target) int {
	switch {
	case b.liveInstances[i].Domain == t.record.Domain:
		return 2
	case b.liveInstances[i].Region == t.region:
		return 1
	}
	return 0
}
