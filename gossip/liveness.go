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
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/steering"
)

// messageInterval is the interval between messages in this domain.
func (exchange *Exchange) messageInterval() time.Duration {
	return max(minMessageInterval, minMessageInterval*time.Duration(len(exchange.peers)+1)/maxInstancesAtMinInterval)
}

// domainTimeout is the time without digests after which another domain counts
// as unreachable. It assumes that domains are about as large as this one.
func (exchange *Exchange) domainTimeout() time.Duration {
	return max(minDomainTimeout, domainTimeoutDigests*exchange.remoteInterval())
}

// remoteInterval is the interval between digests to other regions.
func (exchange *Exchange) remoteInterval() time.Duration {
	return max(minRemoteInterval, remoteIntervalFactor*exchange.messageInterval())
}

// peerTimeout is the time without messages after which a peer counts as dead.
func (exchange *Exchange) peerTimeout() time.Duration {
	return max(minPeerTimeout, peerTimeoutMessages*exchange.messageInterval())
}

// PeerTimeout returns the time without messages after which a peer counts as dead.
// Within it, connected instances hear of each other.
func (exchange *Exchange) PeerTimeout() time.Duration {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.peerTimeout()
}

// Live returns the instances that accept requests, this one included, sorted by
// name.
func (exchange *Exchange) Live() []steering.Instance {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.live
}

// WatchesStore reports whether this instance watches the store. The first
// instances of a domain that reach the store watch it for the whole domain. If
// the first ones don't reach it, others that do replace them. If none does, a
// few at a time probe it, so that calls to an overloaded store don't grow with
// the domain.
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

// StoreServes reports whether the store responds to any instance of this domain.
func (exchange *Exchange) StoreServes() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return slices.ContainsFunc(exchange.rankedNames(time.Now()), exchange.reachesStore)
}

// reachesStore reports whether the store responds to an instance of this
// domain.
func (exchange *Exchange) reachesStore(name string) bool {
	if name == exchange.options.Self.Name {
		return exchange.options.StoreReachable()
	}
	return exchange.peers[name].lastMessage.StoreReachable
}

// probesStore reports whether this instance is one of those that call the store
// while it responds to none of the domain. The selection changes with every
// storeProbePeriod, so that every instance is selected eventually.
func (exchange *Exchange) probesStore(now time.Time, candidates int) bool {
	if candidates <= storeProberCount {
		return true
	}
	period := strconv.FormatInt(int64(now.Sub(exchange.started)/storeProbePeriod), 10)
	return xxhash.Sum64String(exchange.options.Self.Name+" "+period)%uint64(candidates) < storeProberCount
}

// watcherCount is the number of instances that watch the store in a domain of a
// given size. One is enough where changes that it misses arrive from other
// domains; in a large domain the followers are divided among several watchers,
// or follow a large one.
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

// maxCapacity is the capacity of the largest instance of this domain.
func (exchange *Exchange) maxCapacity() float64 {
	most := exchange.options.Self.Capacity
	for name := range exchange.peers {
		most = max(most, exchange.peerCapacity(name))
	}
	return most
}

// peerCapacity returns the capacity of a peer as reported by itself, else as
// registered. It is rounded down to hundredths as in messages, so that all
// instances compare the same values.
func (exchange *Exchange) peerCapacity(name string) float64 {
	if peer := exchange.peers[name]; peer != nil && peer.instance.Capacity > 0 {
		return peer.instance.Capacity
	}
	return math.Floor(exchange.registered[name].Capacity*capacityScale) / capacityScale
}

// rankedNames returns the names of the live instances of this domain that are
// not leaving, sorted by descending capacity and then by name. The first ones
// watch the store and send digests for the whole domain.
func (exchange *Exchange) rankedNames(now time.Time) []string {
	names := []string{exchange.options.Self.Name}
	for name, peer := range exchange.peers {
		if now.Sub(peer.lastHeard) < exchange.peerTimeout() && !peer.lastMessage.Leaving {
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

// digestSenders returns the names of the instances that send the digests of
// this domain.
func (exchange *Exchange) digestSenders(now time.Time) []string {
	names := exchange.rankedNames(now)
	return names[:min(digestSenderCount, len(names))]
}

// NewerPeer returns a live instance that has read a newer store revision than
// the given one, and its revision. It prefers peers of the same domain.
func (exchange *Exchange) NewerPeer(revision kv.Revision) (steering.Instance, kv.Revision, bool) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	now := time.Now()
	var found steering.Instance
	newest, candidates := revision, 0
	for _, peer := range exchange.peers {
		if now.Sub(peer.lastHeard) >= exchange.peerTimeout() || !peer.lastMessage.position().After(revision) || peer.instance.PeerAddress == "" {
			continue
		}
		switch at := peer.lastMessage.position(); {
		case at.After(newest):
			found, newest, candidates = peer.instance, at, 1
		case at == newest:
			if candidates++; rand.IntN(candidates) == 0 { // Selects one of them with equal probability.
				found = peer.instance
			}
		}
	}
	if found.Name != "" {
		return found, newest, true
	}
	for _, remote := range exchange.remoteDomains {
		if now.Sub(remote.lastHeard) < exchange.domainTimeout() && remote.lastDigest.position().After(newest) {
			if in, ok := exchange.instanceByName(remote.lastDigest.Name); ok {
				found, newest = in, remote.lastDigest.position()
			}
		}
	}
	return found, newest, found.Name != ""
}

// instanceByName returns the registered instance of a name, else the live one.
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

// updateLive checks peers and domains for timeouts and calls OnLiveChanged when
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
		for _, member := range remote.lastDigest.Members {
			if member.Ready && !member.Leaving && member.Address != "" {
				live = append(live, steering.Instance{Name: member.Name, Domain: name, Region: exchange.options.Regions[name],
					Address: member.Address, PeerAddress: member.PeerAddress})
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

// markDomainTimedOut logs the timeout of a domain once.
func (exchange *Exchange) markDomainTimedOut(now time.Time, name string, remote *remoteDomain) {
	if remote.timedOut || remote.lastHeard.IsZero() {
		return
	}
	remote.timedOut = true
	exchange.options.Events.Emit(events.PeerSilent, log.Fields{"peer": remote.lastDigest.Name, "domain": name,
		"silentMs": now.Sub(remote.lastHeard).Milliseconds()})
}

// livePeers returns the peers that accept requests. It logs timeouts and
// removes unregistered peers that have been silent for unregisteredPeerTTL.
func (exchange *Exchange) livePeers(now time.Time) []steering.Instance {
	var live []steering.Instance
	for name, peer := range exchange.peers {
		alive := now.Sub(peer.lastHeard) < exchange.peerTimeout()
		if !alive && !peer.timedOut {
			peer.timedOut = true
			exchange.options.Events.Emit(events.PeerSilent, log.Fields{"peer": name, "domain": peer.instance.Domain,
				"silentMs": now.Sub(peer.lastHeard).Milliseconds()})
		}
		if alive && peer.lastMessage.Ready && !peer.lastMessage.Leaving && peer.instance.Address != "" {
			live = append(live, peer.instance)
		}
		if !alive && now.Sub(peer.lastHeard) > unregisteredPeerTTL && exchange.registered[name].Name == "" {
			delete(exchange.peers, name)
		}
	}
	return live
}
