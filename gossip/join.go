package gossip

import (
	"net"
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

// Load pattern answered: hundreds of instances start at the same moment, or one
// after the other in a rolling restart, and each of them reads the whole state
// from the store. An instance that starts asks the seeds for the others of its
// domain instead; they know each other after some messages, and one of them
// reads for all.

const (
	// joinTimeout is how long an instance waits for others of its domain before it
	// acts as if it were alone. Seeds may have gone, and answers may be lost.
	joinTimeout = 1200 * time.Millisecond
	// lateJoinTimeout is the same for an instance that starts while others serve.
	lateJoinTimeout = 300 * time.Millisecond
	// peerDiscoveryTime is how long after the first other one was heard an instance waits
	// to hear the rest of those that start with it.
	peerDiscoveryTime = 200 * time.Millisecond
	// maxBootstrapWait is how long after its start an instance leaves the store to the
	// first ones of its domain, although none of them has said that it hears it.
	maxBootstrapWait = 3 * time.Second
	// helloInterval is the pause between two rounds of questions.
	helloInterval = 200 * time.Millisecond
	// introductionTTL is how long an instance that has introduced itself is named to
	// others, unless it registers.
	introductionTTL = 15 * time.Second
	// maxIntroducedPeers bounds the instances that are remembered from introductions.
	maxIntroducedPeers = 10000
	// maxIntroductionMembers bounds the members of an answer; a newcomer needs some, which
	// then tell it of themselves and, by their digests, of the rest.
	maxIntroductionMembers = 64
)

// introducedPeer is an instance that introduced itself, or was introduced.
type introducedPeer struct {
	instance steering.Instance
	expires  time.Time
}

// DefersFirstRead reports whether this instance should leave the first read of the store
// to another one of its domain, or still looks for others.
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

// defersAtBootstrap is for the start of the whole deployment: no caller waits yet,
// and one read for each domain is enough.
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

// defersAtLateStart is for a later start: callers wait, so only others that have the
// records, or may be found at once, are worth a delay.
func (exchange *Exchange) defersAtLateStart(now time.Time, names []string) bool {
	age := now.Sub(exchange.started)
	if len(names) == 1 {
		return (!exchange.seedResponded || len(exchange.introducedPeers) > 0) && age < lateJoinTimeout
	}
	for _, name := range names {
		if m := exchange.peers[name]; m != nil && m.lastMessage.Revision > 0 {
			return age < joinTimeout
		}
	}
	return false
}

// sendHello asks the seeds for the instances of the own domain, until some are heard
// or the time to join is over.
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

// handleHello names the instances of a newcomer's domain to it.
func (exchange *Exchange) handleHello(now time.Time, m *Message, from net.Addr) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	if exchange.options.Regions[m.Domain] == "" {
		return
	}
	exchange.rememberIntroduced(now, steering.Instance{Name: m.Name, Domain: m.Domain, Region: exchange.options.Regions[m.Domain], Address: m.Address,
		PeerAddress: m.PeerAddress, Incarnation: m.Incarnation})
	out := Message{Name: exchange.options.Self.Name, Incarnation: exchange.options.Self.Incarnation, Introduction: true}
	out.Members = exchange.membersOf(now, m.Domain, m.Name) // None tells a newcomer that it is alone.
	// A lost answer is repaired by that to the next question.
	_, _ = exchange.conn.WriteTo(out.Append(nil), from)
}

// membersOf returns what is known of the instances of a domain.
func (exchange *Exchange) membersOf(now time.Time, domain, except string) []Member {
	found := map[string]string{}
	for name, in := range exchange.registered {
		if in.Domain == domain {
			found[name] = in.PeerAddress
		}
	}
	for name, p := range exchange.introducedPeers {
		if p.instance.Domain == domain && now.Before(p.expires) {
			found[name] = p.instance.PeerAddress
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

// handleIntroduction tells the instances that were named of this one.
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

// expireIntroductions drops introductions that are old.
func (exchange *Exchange) expireIntroductions(now time.Time) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	for name, p := range exchange.introducedPeers {
		if now.After(p.expires) {
			delete(exchange.introducedPeers, name)
		}
	}
}

// addIdentity adds the sender's identity to a message.
func (exchange *Exchange) addIdentity(m *Message) {
	self := exchange.options.Self
	m.Domain, m.Address, m.PeerAddress, m.Capacity = self.Domain, self.Address, self.PeerAddress, uint64(self.Capacity*capacityScale)
}

// capacityScale turns a capacity into the hundredths of messages.
const capacityScale = 100
