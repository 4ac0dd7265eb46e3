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
func (exchange *Exchange) messageInterval() time.Duration {
	return max(minMessageInterval, minMessageInterval*time.Duration(len(exchange.peers)+1)/maxInstancesAtMinInterval)
}

// domainTimeout is when a domain whose digests no longer arrive counts as unreachable.
// Domains are about as large as this one.
func (exchange *Exchange) domainTimeout() time.Duration {
	return max(minDomainTimeout, domainTimeoutDigests*exchange.remoteInterval())
}

// remoteInterval is the pause between digests to other regions.
func (exchange *Exchange) remoteInterval() time.Duration {
	return max(minRemoteInterval, remoteIntervalFactor*exchange.messageInterval())
}

func (exchange *Exchange) peerTimeout() time.Duration {
	return max(minPeerTimeout, peerTimeoutMessages*exchange.messageInterval())
}

// Live returns the instances that take requests, this one included.
func (exchange *Exchange) Live() []steering.Instance {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.live
}

// WatchesStore reports whether this instance watches the store. The first instances
// of a domain that hear the store watch for all. When the first ones do not hear
// it, others that do take their place; when none does, a few try at a time, so
// that calls to a store in trouble do not grow with the domain.
func (exchange *Exchange) WatchesStore() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	now := time.Now()
	names := exchange.rankedNames(now)
	watchers := exchange.watcherCount(len(names))
	first := min(len(names), max(watchers, digestSenderCount))
	reaching := 0
	for _, name := range names[:first] {
		if name == exchange.options.Self.Name {
			return true
		}
		if exchange.reachesStore(name) {
			reaching++
		}
		if reaching == watchers {
			return false
		}
	}
	if reaching > 0 {
		return false
	}
	for _, name := range names[first:] {
		if !exchange.reachesStore(name) {
			continue
		}
		if name == exchange.options.Self.Name {
			return true
		}
		if reaching++; reaching == watchers {
			return false
		}
	}
	return reaching == 0 && exchange.probesStore(now, len(names)-first)
}

// reachesStore reports whether the store answers an instance of the own domain.
func (exchange *Exchange) reachesStore(name string) bool {
	if name == exchange.options.Self.Name {
		return exchange.options.StoreReachable()
	}
	return exchange.peers[name].lastMessage.StoreReachable
}

// probesStore reports whether this instance is one of those that try to reach the
// store while none of the domain does. Turns are drawn anew every tryTime, so
// all instances get theirs.
func (exchange *Exchange) probesStore(now time.Time, candidates int) bool {
	if candidates <= storeProberCount {
		return true
	}
	period := strconv.FormatInt(int64(now.Sub(exchange.started)/storeProbePeriod), 10)
	return xxhash.Sum64String(exchange.options.Self.Name+" "+period)%uint64(candidates) < storeProberCount
}

// watcherCount is how many instances of a domain of a size watch the store. One is
// enough where news that it misses come from those of other domains, but the
// others of a large domain take the changes from several, or from a large one.
func (exchange *Exchange) watcherCount(size int) int {
	if len(exchange.remoteDomains)+1 < minDomainsForOneWatcher {
		return digestSenderCount
	}
	followers := followersPerWatcher
	if exchange.maxCapacity() >= largeWatcherCapacity {
		followers = followersPerLargeWatcher
	}
	return (size + followers) / (followers + 1)
}

// maxCapacity is the capacity of the largest instance of the own domain.
func (exchange *Exchange) maxCapacity() float64 {
	most := exchange.options.Self.Capacity
	for name := range exchange.peers {
		most = max(most, exchange.peerCapacity(name))
	}
	return most
}

// peerCapacity returns the capacity of a mate by its own word. It is told in
// hundredths, so that all compare the same figures.
func (exchange *Exchange) peerCapacity(name string) float64 {
	if m := exchange.peers[name]; m != nil && m.instance.Capacity > 0 {
		return m.instance.Capacity
	}
	return math.Floor(exchange.registered[name].Capacity*capacityScale) / capacityScale
}

// rankedNames returns the names of the live instances of the own domain that are not
// leaving: large ones first, since the first ones work for all.
func (exchange *Exchange) rankedNames(now time.Time) []string {
	names := []string{exchange.options.Self.Name}
	for name, m := range exchange.peers {
		if now.Sub(m.lastHeard) < exchange.peerTimeout() && !m.lastMessage.Leaving {
			names = append(names, name)
		}
	}
	capacity := func(name string) float64 {
		if name == exchange.options.Self.Name {
			return math.Floor(exchange.options.Self.Capacity*capacityScale) / capacityScale
		}
		return exchange.peerCapacity(name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(capacity(b), capacity(a)), cmp.Compare(a, b))
	})
	return names
}

// digestSenders returns the names of the instances that speak for the own domain.
func (exchange *Exchange) digestSenders(now time.Time) []string {
	names := exchange.rankedNames(now)
	return names[:min(digestSenderCount, len(names))]
}

// NewerPeer returns a live instance that has read the store farther than a
// revision, from the own domain if there is one.
func (exchange *Exchange) NewerPeer(revision uint64) (steering.Instance, uint64, bool) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	now := time.Now()
	var peer steering.Instance
	newest, candidates := revision, 0
	for _, m := range exchange.peers {
		if now.Sub(m.lastHeard) >= exchange.peerTimeout() || m.lastMessage.Revision <= revision || m.instance.PeerAddress == "" {
			continue
		}
		switch {
		case m.lastMessage.Revision > newest:
			peer, newest, candidates = m.instance, m.lastMessage.Revision, 1
		case m.lastMessage.Revision == newest:
			if candidates++; rand.IntN(candidates) == 0 { // Each of them with the same chance.
				peer = m.instance
			}
		}
	}
	if peer.Name != "" {
		return peer, newest, true
	}
	for _, remote := range exchange.remoteDomains {
		if now.Sub(remote.lastHeard) < exchange.domainTimeout() && remote.lastDigest.Revision > newest {
			if in, ok := exchange.instanceByName(remote.lastDigest.Name); ok {
				peer, newest = in, remote.lastDigest.Revision
			}
		}
	}
	return peer, newest, peer.Name != ""
}

// instanceByName returns what is known of an instance by its name.
func (exchange *Exchange) instanceByName(name string) (steering.Instance, bool) {
	if in, ok := exchange.registered[name]; ok {
		return in, true
	}
	for _, in := range exchange.live {
		if in.Name == name {
			return in, true
		}
	}
	return steering.Instance{}, false
}

// updateLive finds instances and domains that have fallen silent, and tells when
// the live instances have changed.
func (exchange *Exchange) updateLive(now time.Time) {
	exchange.mu.Lock()
	var live []steering.Instance
	if !exchange.options.Leaving() {
		live = append(live, exchange.options.Self)
	}
	live = append(live, exchange.livePeers(now)...)
	for name, remote := range exchange.remoteDomains {
		if now.Sub(remote.lastHeard) >= exchange.domainTimeout() {
			exchange.markDomainTimedOut(now, name, remote)
			continue
		}
		for _, m := range remote.lastDigest.Members {
			if m.Ready && !m.Leaving && m.Address != "" {
				live = append(live, steering.Instance{Name: m.Name, Domain: name, Region: exchange.options.Regions[name],
					Address: m.Address, PeerAddress: m.PeerAddress})
			}
		}
	}
	slices.SortFunc(live, func(a, b steering.Instance) int { return strings.Compare(a.Name, b.Name) })
	changed := !slices.Equal(live, exchange.live)
	exchange.live = live
	exchange.mu.Unlock()
	if changed {
		exchange.options.OnLiveChanged(live)
	}
}

// markDomainTimedOut logs once that no digests of a domain arrive any more.
func (exchange *Exchange) markDomainTimedOut(now time.Time, name string, remote *remoteDomain) {
	if remote.timedOut || remote.lastHeard.IsZero() {
		return
	}
	remote.timedOut = true
	exchange.options.Events.Emit(events.PeerSilent, log.Fields{"peer": remote.lastDigest.Name, "domain": name,
		"silentMs": now.Sub(remote.lastHeard).Milliseconds()})
}

func (exchange *Exchange) livePeers(now time.Time) []steering.Instance {
	var live []steering.Instance
	for name, m := range exchange.peers {
		alive := now.Sub(m.lastHeard) < exchange.peerTimeout()
		if !alive && !m.timedOut {
			m.timedOut = true
			exchange.options.Events.Emit(events.PeerSilent, log.Fields{"peer": name, "domain": m.instance.Domain,
				"silentMs": now.Sub(m.lastHeard).Milliseconds()})
		}
		if alive && m.lastMessage.Ready && !m.lastMessage.Leaving && m.instance.Address != "" {
			live = append(live, m.instance)
		}
		if !alive && now.Sub(m.lastHeard) > unregisteredPeerTTL && exchange.registered[name].Name == "" {
			delete(exchange.peers, name)
		}
	}
	return live
}
