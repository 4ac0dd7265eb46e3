package gossip

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/steering"
)

// messageInterval is the pause between messages in the own domain.
func (x *Exchange) messageInterval() time.Duration {
	return max(minMessageInterval, minMessageInterval*time.Duration(len(x.peers)+1)/maxInstancesAtMinInterval)
}

// domainTimeout is when a domain whose digests no longer arrive counts as unreachable.
// Domains are about as large as this one.
func (x *Exchange) domainTimeout() time.Duration {
	return max(minDomainTimeout, domainTimeoutDigests*x.remoteInterval())
}

// remoteInterval is the pause between digests to other regions.
func (x *Exchange) remoteInterval() time.Duration {
	return max(minRemoteInterval, remoteIntervalFactor*x.messageInterval())
}

func (x *Exchange) peerTimeout() time.Duration {
	return max(minPeerTimeout, peerTimeoutMessages*x.messageInterval())
}

// Live returns the instances that take requests, this one included.
func (x *Exchange) Live() []steering.Instance {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.live
}

// WatchesStore reports whether this instance watches the store. The first instances
// of a domain that hear the store watch for all. When the first ones do not hear
// it, others that do take their place; when none does, a few try at a time, so
// that calls to a store in trouble do not grow with the domain.
func (x *Exchange) WatchesStore() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	names := x.rankedNames(now)
	watchers := x.watcherCount(len(names))
	first := min(len(names), max(watchers, digestSenderCount))
	heard := 0
	for _, name := range names[:first] {
		if name == x.options.Self.Name {
			return true
		}
		if x.reachesStore(name) {
			heard++
		}
		if heard == watchers {
			return false
		}
	}
	if heard > 0 {
		return false
	}
	for _, name := range names[first:] {
		if !x.reachesStore(name) {
			continue
		}
		if name == x.options.Self.Name {
			return true
		}
		if heard++; heard == watchers {
			return false
		}
	}
	return heard == 0 && x.probesStore(now, len(names)-first)
}

// reachesStore reports whether the store answers an instance of the own domain.
func (x *Exchange) reachesStore(name string) bool {
	if name == x.options.Self.Name {
		return x.options.StoreReachable()
	}
	return x.peers[name].lastMessage.StoreReachable
}

// probesStore reports whether this instance is one of those that try to reach the
// store while none of the domain does. Turns are drawn anew every tryTime, so
// all instances get theirs.
func (x *Exchange) probesStore(now time.Time, others int) bool {
	if others <= storeProberCount {
		return true
	}
	turn := strconv.FormatInt(int64(now.Sub(x.started)/storeProbePeriod), 10)
	return xxhash.Sum64String(x.options.Self.Name+" "+turn)%uint64(others) < storeProberCount
}

// watcherCount is how many instances of a domain of a size watch the store. One is
// enough where news that it misses come from those of other domains, but the
// others of a large domain take the changes from several, or from a large one.
func (x *Exchange) watcherCount(size int) int {
	if len(x.remoteDomains)+1 < minDomainsForOneWatcher {
		return digestSenderCount
	}
	followers := followersPerWatcher
	if x.maxCapacity() >= largeWatcherCapacity {
		followers = followersPerLargeWatcher
	}
	return (size + followers) / (followers + 1)
}

// maxCapacity is the capacity of the largest instance of the own domain.
func (x *Exchange) maxCapacity() float64 {
	most := x.options.Self.Capacity
	for name := range x.peers {
		most = max(most, x.peerCapacity(name))
	}
	return most
}

// peerCapacity returns the capacity of a mate by its own word. It is told in
// hundredths, so that all compare the same figures.
func (x *Exchange) peerCapacity(name string) float64 {
	if m := x.peers[name]; m != nil && m.instance.Capacity > 0 {
		return m.instance.Capacity
	}
	return math.Floor(x.registered[name].Capacity*capacityScale) / capacityScale
}

// rankedNames returns the names of the live instances of the own domain that are not
// leaving: large ones first, since the first ones work for all.
func (x *Exchange) rankedNames(now time.Time) []string {
	names := []string{x.options.Self.Name}
	for name, m := range x.peers {
		if now.Sub(m.lastHeard) < x.peerTimeout() && !m.lastMessage.Leaving {
			names = append(names, name)
		}
	}
	capacity := func(name string) float64 {
		if name == x.options.Self.Name {
			return math.Floor(x.options.Self.Capacity*capacityScale) / capacityScale
		}
		return x.peerCapacity(name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(capacity(b), capacity(a)), cmp.Compare(a, b))
	})
	return names
}

// digestSenders returns the names of the instances that speak for the own domain.
func (x *Exchange) digestSenders(now time.Time) []string {
	names := x.rankedNames(now)
	return names[:min(digestSenderCount, len(names))]
}

// NewerPeer returns a live instance that has read the store farther than a
// revision, from the own domain if there is one.
func (x *Exchange) NewerPeer(revision uint64) (steering.Instance, uint64, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	var best steering.Instance
	top, equal := revision, 0
	for _, m := range x.peers {
		if now.Sub(m.lastHeard) >= x.peerTimeout() || m.lastMessage.Revision <= revision || m.instance.PeerAddress == "" {
			continue
		}
		switch {
		case m.lastMessage.Revision > top:
			best, top, equal = m.instance, m.lastMessage.Revision, 1
		case m.lastMessage.Revision == top:
			if equal++; rand.IntN(equal) == 0 { // Each of them with the same chance.
				best = m.instance
			}
		}
	}
	if best.Name != "" {
		return best, top, true
	}
	for _, d := range x.remoteDomains {
		if now.Sub(d.lastHeard) < x.domainTimeout() && d.lastDigest.Revision > top {
			if in, ok := x.instanceByName(d.lastDigest.Name); ok {
				best, top = in, d.lastDigest.Revision
			}
		}
	}
	return best, top, best.Name != ""
}

// instanceByName returns what is known of an instance by its name.
func (x *Exchange) instanceByName(name string) (steering.Instance, bool) {
	if in, ok := x.registered[name]; ok {
		return in, true
	}
	for _, in := range x.live {
		if in.Name == name {
			return in, true
		}
	}
	return steering.Instance{}, false
}

// updateLive finds instances and domains that have fallen silent, and tells when
// the live instances have changed.
func (x *Exchange) updateLive(now time.Time) {
	x.mu.Lock()
	var live []steering.Instance
	if !x.options.Leaving() {
		live = append(live, x.options.Self)
	}
	live = append(live, x.livePeers(now)...)
	for name, d := range x.remoteDomains {
		if now.Sub(d.lastHeard) >= x.domainTimeout() {
			x.markDomainTimedOut(now, name, d)
			continue
		}
		for _, m := range d.lastDigest.Members {
			if m.Ready && !m.Leaving && m.Address != "" {
				live = append(live, steering.Instance{Name: m.Name, Domain: name, Region: x.options.Regions[name],
					Address: m.Address, PeerAddress: m.PeerAddress})
			}
		}
	}
	slices.SortFunc(live, func(a, b steering.Instance) int { return strings.Compare(a.Name, b.Name) })
	changed := !slices.Equal(live, x.live)
	x.live = live
	x.mu.Unlock()
	if changed {
		x.options.OnLiveChanged(live)
	}
}

// markDomainTimedOut logs once that no digests of a domain arrive any more.
func (x *Exchange) markDomainTimedOut(now time.Time, name string, d *remoteDomain) {
	if d.timedOut || d.lastHeard.IsZero() {
		return
	}
	d.timedOut = true
	x.options.Events.Emit(events.PeerSilent, log.Fields{"peer": d.lastDigest.Name, "domain": name,
		"silentMs": now.Sub(d.lastHeard).Milliseconds()})
}

func (x *Exchange) livePeers(now time.Time) []steering.Instance {
	var live []steering.Instance
	for name, m := range x.peers {
		alive := now.Sub(m.lastHeard) < x.peerTimeout()
		if !alive && !m.timedOut {
			m.timedOut = true
			x.options.Events.Emit(events.PeerSilent, log.Fields{"peer": name, "domain": m.instance.Domain,
				"silentMs": now.Sub(m.lastHeard).Milliseconds()})
		}
		if alive && m.lastMessage.Ready && !m.lastMessage.Leaving && m.instance.Address != "" {
			live = append(live, m.instance)
		}
		if !alive && now.Sub(m.lastHeard) > unregisteredPeerTTL && x.registered[name].Name == "" {
			delete(x.peers, name)
		}
	}
	return live
}
