package gateway

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/forward"
	"github.com/jacinthstall/jacinthstall/steering"
)

// relaySet holds the relays for targets in other regions. Its maps are keyed by
// relay address.
type relaySet struct {
	mu           sync.Mutex
	list         []relay
	addresses    map[string]string    // Relay addresses of all live instances, by name.
	pausedUntil  map[string]time.Time // When a relay may be used again after a failure.
	lastResponse map[string]time.Time // When a relay last responded.
	rotation     int                  // Varies the first relay considered, so that equal ones share requests.
}

type relay struct{ address, domain, region string }

// UpdateRelays chooses the relays from the live instances. The address function
// returns the address at which an instance acts as a relay, or "" if it does not.
func (g *Gateway) UpdateRelays(self steering.Instance, live []steering.Instance, address func(steering.Instance) string) {
	byDomain := map[string][]steering.Instance{}
	addresses := map[string]string{}
	for _, instance := range live {
		addresses[instance.Name] = address(instance)
		if instance.Region != self.Region && address(instance) != "" {
			byDomain[instance.Domain] = append(byDomain[instance.Domain], instance)
		}
	}
	var list []relay
	for domain, instances := range byDomain {
		// Weighted rendezvous hashing: an instance with a faster link and
		// processor is a relay for more peers.
		score := func(instance steering.Instance) float64 {
			return balance.WeightedScore(max(minCapacity, instance.Capacity), xxhash.Sum64String(self.Name+" "+instance.Name))
		}
		slices.SortFunc(instances, func(a, b steering.Instance) int { return cmp.Compare(score(b), score(a)) })
		for _, instance := range instances[:min(relaysPerDomain, len(instances))] {
			list = append(list, relay{address(instance), domain, instance.Region})
		}
	}
	g.relays.update(list, addresses)
}

func (set *relaySet) update(list []relay, addresses map[string]string) {
	set.mu.Lock()
	defer set.mu.Unlock()
	set.list, set.addresses = list, addresses
	pausedUntil, lastResponse := set.pausedUntil, set.lastResponse
	set.pausedUntil, set.lastResponse = map[string]time.Time{}, map[string]time.Time{}
	for _, address := range addresses {
		if t, ok := pausedUntil[address]; ok {
			set.pausedUntil[address] = t
		}
		if t, ok := lastResponse[address]; ok {
			set.lastResponse[address] = t
		}
	}
}

// ownerAddress returns the address of the instance that admits requests to a
// limited target.
func (set *relaySet) ownerAddress(now time.Time, name string) (string, error) {
	set.mu.Lock()
	defer set.mu.Unlock()
	address := set.addresses[name]
	if address == "" || now.Before(set.pausedUntil[address]) {
		return address, errOwnerUnavailable
	}
	return address, nil
}

// choose returns the address of a relay for a target. In order of preference this
// is a relay in the target's failure domain with an open connection, one in its
// region with an open connection, or one in its failure domain.
func (set *relaySet) choose(now time.Time, domain, region string, hasConnection func(address string) bool) (string, bool) {
	set.mu.Lock()
	defer set.mu.Unlock()
	set.rotation++
	best, bestScore := "", 0
	for i := range set.list {
		candidate := set.list[(set.rotation+i)%len(set.list)]
		if candidate.region != region || now.Before(set.pausedUntil[candidate.address]) {
			continue
		}
		score := 0
		switch sameDomain := candidate.domain == domain; {
		case sameDomain && hasConnection(candidate.address):
			score = 3
		case hasConnection(candidate.address):
			score = 2
		case sameDomain:
			score = 1
		}
		if score > bestScore {
			best, bestScore = candidate.address, score
		}
	}
	return best, best != ""
}

// PreconnectRelays opens a connection to each relay whose round trip makes it
// worthwhile for some route and that has no idle connection.
func (g *Gateway) PreconnectRelays(ctx context.Context) {
	config := g.State().Config
	if config == nil {
		return
	}
	objective := time.Duration(math.MaxInt64)
	for _, r := range config.Routes {
		if r.Objective > 0 {
			objective = min(objective, r.Objective)
		}
	}
	g.relays.mu.Lock()
	list := slices.Clone(g.relays.list)
	g.relays.mu.Unlock()
	for _, r := range list {
		roundTrip := g.Balancer.RoundTrip(r.region)
		if !relayWorthwhile(roundTrip, objective) || g.RelayForwarder.HasIdle(r.address) {
			continue
		}
		go func() {
			destination := forward.Target{Address: r.address, DialTimeout: g.dialTimeout + timeoutRoundTrips*roundTrip, AckTimeout: baseAckTimeout + timeoutRoundTrips*roundTrip}
			if err := g.RelayForwarder.Preconnect(ctx, destination); err != nil && ctx.Err() == nil {
				g.relays.recordFailure(time.Now(), r.address, time.Now(), false)
				g.events.Emit(events.RelayUnreachable, log.Fields{"relay": r.address, "error": err.Error()})
			}
		}()
	}
}

// relayWorthwhile reports whether the round trip to a region is long enough,
// compared with the objective, to use a relay.
func relayWorthwhile(roundTrip, objective time.Duration) bool {
	return roundTrip > time.Duration(minRelayTripFraction*float64(objective))
}

// recordSuccess records that a relay has responded.
func (set *relaySet) recordSuccess(now time.Time, address string) {
	set.mu.Lock()
	defer set.mu.Unlock()
	set.lastResponse[address] = now
}

// recordFailure stops using a relay for relayBackoff, and reports whether the relay
// has failed. A timeout is ignored if the relay has responded to another request
// since the attempt started: then the target may be the slow one.
func (set *relaySet) recordFailure(now time.Time, address string, started time.Time, timeout bool) bool {
	set.mu.Lock()
	defer set.mu.Unlock()
	if timeout && set.lastResponse[address].After(started) {
		return false
	}
	set.pausedUntil[address] = now.Add(relayBackoff)
	return true
}
