package gossip

import (
	"net"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/steering"
)

func (x *Exchange) receive() {
	buffer := make([]byte, maxMessageBytes)
	for {
		n, from, err := x.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		m, err := Parse(buffer[:n])
		switch {
		case err != nil || m.Name == x.options.Self.Name:
		case m.Hello:
			x.handleHello(time.Now(), m, from)
		case m.Introduction:
			x.handleIntroduction(time.Now(), m)
		case m.Echo != 0:
			x.handleEcho(time.Now(), m)
		case m.isDigest():
			x.handleDigest(time.Now(), m, from)
		default:
			x.handlePeerMessage(time.Now(), m)
		}
	}
}

// handlePeerMessage takes over a message of an instance of the own domain.
func (x *Exchange) handlePeerMessage(now time.Time, m *Message) {
	x.mu.Lock()
	if m.Domain != "" && m.Domain != x.options.Self.Domain {
		x.mu.Unlock()
		return
	}
	p := x.peers[m.Name]
	if p == nil {
		p = &peerState{timedOut: true}
		x.peers[m.Name] = p
		if x.firstPeerHeard.IsZero() {
			x.firstPeerHeard = now
		}
	}
	if !p.sequence.accept(m) {
		x.mu.Unlock()
		return
	}
	before := p.instance
	if m.Domain != "" {
		p.instance = steering.Instance{Name: m.Name, Domain: m.Domain, Region: x.options.Regions[m.Domain],
			Address: m.Address, PeerAddress: m.PeerAddress, Incarnation: m.Incarnation, Capacity: float64(m.Capacity) / capacityScale}
	} else if known, ok := x.registered[m.Name]; ok && p.instance.Name == "" {
		p.instance = known
	}
	changed := p.timedOut || p.lastMessage.Ready != m.Ready || p.lastMessage.Leaving != m.Leaving || m.Domain != "" && p.instance != before
	p.lastMessage, p.lastHeard = *m, now
	newcomer := p.timedOut && m.PeerAddress != ""
	if p.timedOut {
		p.timedOut = false
		x.options.Events.Emit(events.PeerHeard, log.Fields{"peer": m.Name, "domain": x.options.Self.Domain})
	}
	if newcomer { // It waits for a word of its domain.
		own := x.newMessage(now)
		x.addIdentity(&own)
		x.sendTo(m.PeerAddress, own.Append(nil))
	}
	keep := x.peerTimeout()
	x.mu.Unlock()
	x.options.Balancer.ApplyReport(now, m.Name, x.options.Self.Region, m.Report, keep)
	x.options.Suspects.ApplyReport(now, m.Name, m.Suspects)
	if changed {
		x.updateLive(now)
	}
	if m.Revision > x.options.Revision() {
		x.options.OnPeerAdvanced()
	}
}

// handleDigest takes over a digest of another domain. One that came from there
// is acknowledged and passed on in the own domain.
func (x *Exchange) handleDigest(now time.Time, m *Message, from net.Addr) {
	x.mu.Lock()
	d := x.remoteDomains[m.Domain]
	if d == nil || !d.accept(now, m) {
		x.mu.Unlock()
		return
	}
	back := d.timedOut || d.lastHeard.IsZero()
	if back {
		d.timedOut = false
		x.options.Events.Emit(events.PeerHeard, log.Fields{"peer": m.Name, "domain": m.Domain})
	}
	if len(m.Members) > 0 && m.Members[0].PeerAddress == "" {
		x.fillInAddresses(m, d)
	}
	changed := back || !slices.Equal(d.lastDigest.Members, m.Members)
	d.lastDigest, d.lastHeard, d.unacknowledgedDigests = *m, now, 0
	if !m.Forwarded {
		x.acknowledge(m, from)
		x.forwardDigest(m)
	}
	region, keep := x.options.Regions[m.Domain], x.domainTimeout()
	x.mu.Unlock()
	x.observeRoundTrip(region, time.Duration(m.RoundTrip)*time.Microsecond)
	x.options.Balancer.ApplyReport(now, "domain "+m.Domain, region, m.Report, keep)
	x.options.Suspects.ApplyReport(now, "domain "+m.Domain, m.Suspects)
	if changed {
		x.updateLive(now)
	}
	if m.Revision > x.options.Revision() {
		x.options.OnPeerAdvanced()
	}
}

// acknowledge answers a digest, so that its sender learns the round trip.
func (x *Exchange) acknowledge(m *Message, to net.Addr) {
	out := Message{Name: x.options.Self.Name, Domain: x.options.Self.Domain, Echo: m.Sent}
	// A lost answer is repaired by that to the next digest.
	_, _ = x.conn.WriteTo(out.Append(nil), to)
}

// handleEcho measures the round trip to the domain that answers.
func (x *Exchange) handleEcho(now time.Time, m *Message) {
	trip := time.Duration(x.uptimeMicros(now)-m.Echo) * time.Microsecond
	x.mu.Lock()
	d := x.remoteDomains[m.Domain]
	if d == nil || trip <= 0 || trip >= maxRoundTrip {
		x.mu.Unlock()
		return
	}
	d.roundTrip = trip
	x.mu.Unlock()
	x.observeRoundTrip(x.options.Regions[m.Domain], trip)
}

func (x *Exchange) observeRoundTrip(region string, trip time.Duration) {
	if trip > 0 && trip < maxRoundTrip {
		x.options.Balancer.ObserveRoundTrip(region, trip)
	}
}

// accept reports whether a digest is newer than all that its sender sent before.
func (d *remoteDomain) accept(now time.Time, m *Message) bool {
	if d.senderSequences == nil || now.Sub(d.lastHeard) > minDomainTimeout {
		d.senderSequences = map[string]*sequenceFilter{}
	}
	if d.senderSequences[m.Name] == nil {
		d.senderSequences[m.Name] = &sequenceFilter{}
	}
	return d.senderSequences[m.Name].accept(m)
}

// maxRoundTrip bounds what is believed of a measured round trip.
const maxRoundTrip = time.Second

// fillInAddresses adds the addresses that a short digest leaves out.
func (x *Exchange) fillInAddresses(m *Message, d *remoteDomain) {
	for i := range m.Members {
		member := &m.Members[i]
		for _, old := range d.lastDigest.Members {
			if old.Name == member.Name {
				member.Address, member.PeerAddress = old.Address, old.PeerAddress
			}
		}
		if in, ok := x.registered[member.Name]; ok && member.Address == "" {
			member.Address, member.PeerAddress = in.Address, in.PeerAddress
		}
	}
}

// forwardDigest passes a digest on to the own domain.
func (x *Exchange) forwardDigest(m *Message) {
	out := *m
	out.Forwarded, out.Sent = true, 0
	b := out.Append(nil)
	for _, address := range x.peerAddresses() {
		x.sendTo(address, b)
	}
}
