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
func (x *Exchange) DefersFirstRead() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.options.Seeds) == 0 {
		return false
	}
	now := time.Now()
	names := x.rankedNames(now)
	if x.options.Bootstrap {
		return x.defersAtBootstrap(now, names)
	}
	return x.defersAtLateStart(now, names)
}

// defersAtBootstrap is for the start of the whole deployment: no caller waits yet,
// and one read for each domain is enough.
func (x *Exchange) defersAtBootstrap(now time.Time, names []string) bool {
	switch age := now.Sub(x.started); {
	case age > maxBootstrapWait:
		return false
	case len(names) == 1:
		return age < joinTimeout
	case now.Sub(x.firstPeerHeard) < peerDiscoveryTime:
		return true
	}
	return names[0] != x.options.Self.Name
}

// defersAtLateStart is for a later start: callers wait, so only others that have the
// records, or may be found at once, are worth a delay.
func (x *Exchange) defersAtLateStart(now time.Time, names []string) bool {
	age := now.Sub(x.started)
	if len(names) == 1 {
		return (!x.seedResponded || len(x.introducedPeers) > 0) && age < lateJoinTimeout
	}
	for _, name := range names {
		if m := x.peers[name]; m != nil && m.lastMessage.Revision > 0 {
			return age < joinTimeout
		}
	}
	return false
}

// sendHello asks the seeds for the instances of the own domain, until some are heard
// or the time to join is over.
func (x *Exchange) sendHello(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.options.Seeds) == 0 || now.Sub(x.started) > 2*joinTimeout || now.Before(x.nextHello) {
		return
	}
	x.nextHello = now.Add(helloInterval)
	m := x.newMessage(now)
	x.addIdentity(&m)
	m.Hello = true
	b := m.Append(nil)
	for _, address := range x.options.Seeds {
		if address != x.options.Self.PeerAddress {
			x.sendTo(address, b)
		}
	}
}

// handleHello names the instances of a newcomer's domain to it.
func (x *Exchange) handleHello(now time.Time, m *Message, from net.Addr) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.options.Regions[m.Domain] == "" {
		return
	}
	x.rememberIntroduced(now, steering.Instance{Name: m.Name, Domain: m.Domain, Region: x.options.Regions[m.Domain], Address: m.Address,
		PeerAddress: m.PeerAddress, Incarnation: m.Incarnation})
	out := Message{Name: x.options.Self.Name, Incarnation: x.options.Self.Incarnation, Introduction: true}
	out.Members = x.membersOf(now, m.Domain, m.Name) // None tells a newcomer that it is alone.
	// A lost answer is repaired by that to the next question.
	_, _ = x.conn.WriteTo(out.Append(nil), from)
}

// membersOf returns what is known of the instances of a domain.
func (x *Exchange) membersOf(now time.Time, domain, except string) []Member {
	found := map[string]string{}
	for name, in := range x.registered {
		if in.Domain == domain {
			found[name] = in.PeerAddress
		}
	}
	for name, p := range x.introducedPeers {
		if p.instance.Domain == domain && now.Before(p.expires) {
			found[name] = p.instance.PeerAddress
		}
	}
	if domain == x.options.Self.Domain {
		found[x.options.Self.Name] = x.options.Self.PeerAddress
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

func (x *Exchange) rememberIntroduced(now time.Time, in steering.Instance) {
	if x.introducedPeers == nil {
		x.introducedPeers = map[string]introducedPeer{}
	}
	if _, known := x.introducedPeers[in.Name]; known || len(x.introducedPeers) < maxIntroducedPeers {
		x.introducedPeers[in.Name] = introducedPeer{in, now.Add(introductionTTL)}
	}
}

// handleIntroduction tells the instances that were named of this one.
func (x *Exchange) handleIntroduction(now time.Time, m *Message) {
	x.mu.Lock()
	x.seedResponded = true
	news := false
	for _, member := range m.Members {
		if _, known := x.introducedPeers[member.Name]; known || member.Name == x.options.Self.Name {
			continue
		}
		news = true
		x.rememberIntroduced(now, steering.Instance{Name: member.Name, Domain: x.options.Self.Domain, Region: x.options.Self.Region, PeerAddress: member.PeerAddress})
	}
	x.mu.Unlock()
	if news {
		x.sendState(now)
	}
}

// expireIntroductions drops introductions that are old.
func (x *Exchange) expireIntroductions(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for name, p := range x.introducedPeers {
		if now.After(p.expires) {
			delete(x.introducedPeers, name)
		}
	}
}

// addIdentity adds the sender's identity to a message.
func (x *Exchange) addIdentity(m *Message) {
	self := x.options.Self
	m.Domain, m.Address, m.PeerAddress, m.Capacity = self.Domain, self.Address, self.PeerAddress, uint64(self.Capacity*capacityScale)
}

// capacityScale turns a capacity into the hundredths of messages.
const capacityScale = 100
