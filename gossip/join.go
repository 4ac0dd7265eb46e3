package gossip

import (
	"net"
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

// This file limits full reads of the store when hundreds of instances start at
// once or are restarted one after another. An instance that starts sends hellos
// to the seeds, which respond with the members of its domain. The members get to
// know each other, and one of them reads the records for the whole domain.

const (
	// joinTimeout is how long a starting instance waits for peers of its domain
	// before it continues alone. Seeds may have stopped, and responses may be
	// lost.
	joinTimeout = 1200 * time.Millisecond
	// lateJoinTimeout is the same for an instance that starts while other
	// instances already serve.
	lateJoinTimeout = 300 * time.Millisecond
	// peerDiscoveryTime is how long after the first message of a peer an
	// instance waits for the other peers that start at the same time.
	peerDiscoveryTime = 200 * time.Millisecond
	// maxBootstrapWait is how long after its start an instance leaves the read
	// of the store to the first instances of its domain, although none of them
	// has reported that it reaches the store.
	maxBootstrapWait = 3 * time.Second
	// helloInterval is the interval between hellos to the seeds.
	helloInterval = 200 * time.Millisecond
	// introductionTTL is how long an introduced instance that has not
	// registered is listed in introductions.
	introductionTTL = 15 * time.Second
	// maxIntroducedPeers bounds the instances known from introductions.
	maxIntroducedPeers = 10000
	// maxIntroductionMembers bounds the members in an introduction. A starting
	// instance needs only some of them: they send it their own state and
	// forward digests of the other domains.
	maxIntroductionMembers = 64
)

// introducedPeer is an instance that has sent a hello or was listed in an
// introduction.
type introducedPeer struct {
	instance steering.Instance
	expires  time.Time
}

// DefersFirstRead reports whether this instance should leave the first read of
// the store to a peer of its domain, or is still looking for peers.
func (exchange *Exchange) DefersFirstRead() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	if len(exchange.options.Seeds) == 0 {
		return false
	}
	now := time.Now()
	names := exchange.rankedNames(now)
	if exchange.options.Bootstrap {
		return exchange.defersAtBootstrap(now, names)
	}
	return exchange.defersAtLateStart(now, names)
}

// defersAtBootstrap applies to the first start of the whole deployment: no
// callers are waiting yet, and one read per domain is enough.
func (exchange *Exchange) defersAtBootstrap(now time.Time, names []string) bool {
	switch age := now.Sub(exchange.started); {
	case age > maxBootstrapWait:
		return false
	case len(names) == 1:
		return age < joinTimeout
	case now.Sub(exchange.firstPeerHeard) < peerDiscoveryTime:
		return true
	}
	return names[0] != exchange.options.Self.Name
}

// defersAtLateStart applies to later starts: callers are waiting, so a delay
// pays off only if peers already have the records or may be found at once.
func (exchange *Exchange) defersAtLateStart(now time.Time, names []string) bool {
	age := now.Sub(exchange.started)
	if len(names) == 1 {
		return (!exchange.seedResponded || len(exchange.introducedPeers) > 0) && age < lateJoinTimeout
	}
	for _, name := range names {
		if peer := exchange.peers[name]; peer != nil && peer.lastMessage.Revision > 0 {
			return age < joinTimeout
		}
	}
	return false
}

// sendHello asks the seeds for the instances of this domain. It stops after
// twice the joinTimeout.
func (exchange *Exchange) sendHello(now time.Time) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	if len(exchange.options.Seeds) == 0 || now.Sub(exchange.started) > 2*joinTimeout || now.Before(exchange.nextHello) {
		return
	}
	exchange.nextHello = now.Add(helloInterval)
	m := exchange.newMessage(now)
	exchange.addIdentity(&m)
	m.Hello = true
	b := m.Append(nil)
	for _, address := range exchange.options.Seeds {
		if address != exchange.options.Self.PeerAddress {
			exchange.sendTo(address, b)
		}
	}
}

// handleHello responds to a starting instance with the members of its domain.
func (exchange *Exchange) handleHello(now time.Time, m *Message, from net.Addr) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	if exchange.options.Regions[m.Domain] == "" {
		return
	}
	exchange.rememberIntroduced(now, steering.Instance{Name: m.Name, Domain: m.Domain, Region: exchange.options.Regions[m.Domain], Address: m.Address,
		PeerAddress: m.PeerAddress, Incarnation: m.Incarnation})
	out := Message{Name: exchange.options.Self.Name, Incarnation: exchange.options.Self.Incarnation, Introduction: true}
	out.Members = exchange.membersOf(now, m.Domain, m.Name) // An empty list tells the instance that it is alone in its domain.
	// A lost response is made up for by that to the next hello.
	_, _ = exchange.conn.WriteTo(out.Append(nil), from)
}

// membersOf returns the known instances of a domain except one, limited to
// maxIntroductionMembers.
func (exchange *Exchange) membersOf(now time.Time, domain, except string) []Member {
	found := map[string]string{}
	for name, in := range exchange.registered {
		if in.Domain == domain {
			found[name] = in.PeerAddress
		}
	}
	for name, introduced := range exchange.introducedPeers {
		if introduced.instance.Domain == domain && now.Before(introduced.expires) {
			found[name] = introduced.instance.PeerAddress
		}
	}
	if domain == exchange.options.Self.Domain {
		found[exchange.options.Self.Name] = exchange.options.Self.PeerAddress
	}
	delete(found, except)
	var members []Member
	for name, address := range found {
		if members = append(members, Member{Name: name, PeerAddress: address}); len(members) == maxIntroductionMembers {
			break
		}
	}
	return members
}

func (exchange *Exchange) rememberIntroduced(now time.Time, in steering.Instance) {
	if exchange.introducedPeers == nil {
		exchange.introducedPeers = map[string]introducedPeer{}
	}
	if _, known := exchange.introducedPeers[in.Name]; known || len(exchange.introducedPeers) < maxIntroducedPeers {
		exchange.introducedPeers[in.Name] = introducedPeer{in, now.Add(introductionTTL)}
	}
}

// handleIntroduction adds the listed members and, if any is new, sends them the
// state of this instance.
func (exchange *Exchange) handleIntroduction(now time.Time, m *Message) {
	exchange.mu.Lock()
	exchange.seedResponded = true
	foundNew := false
	for _, member := range m.Members {
		if _, known := exchange.introducedPeers[member.Name]; known || member.Name == exchange.options.Self.Name {
			continue
		}
		foundNew = true
		exchange.rememberIntroduced(now, steering.Instance{Name: member.Name, Domain: exchange.options.Self.Domain, Region: exchange.options.Self.Region, PeerAddress: member.PeerAddress})
	}
	exchange.mu.Unlock()
	if foundNew {
		exchange.sendState(now)
	}
}

// expireIntroductions removes instances whose introduction has expired.
func (exchange *Exchange) expireIntroductions(now time.Time) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	for name, introduced := range exchange.introducedPeers {
		if now.After(introduced.expires) {
			delete(exchange.introducedPeers, name)
		}
	}
}

// addIdentity adds the domain, addresses and capacity of this instance to a
// message.
func (exchange *Exchange) addIdentity(m *Message) {
	self := exchange.options.Self
	m.Domain, m.Address, m.PeerAddress, m.Capacity = self.Domain, self.Address, self.PeerAddress, uint64(self.Capacity*capacityScale)
}

// capacityScale converts a capacity to the hundredths used in messages.
const capacityScale = 100
