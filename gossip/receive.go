package gossip

import (
	"errors"
	"net"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/steering"
)

// readRetryDelay is the pause after a failed read of a message.
const readRetryDelay = 100 * time.Millisecond

// dropLogInterval is the shortest time between log lines about dropped items.
const dropLogInterval = 10 * time.Second

// receive dispatches incoming messages until the socket is closed.
func (exchange *Exchange) receive() {
	buffer := make([]byte, maxMessageBytes)
	for {
		n, from, err := exchange.conn.ReadFrom(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			exchange.options.Events.Emit(events.PeerReadFailed, log.Fields{"error": err.Error()})
			time.Sleep(readRetryDelay)
			continue
		}
		m, err := Parse(buffer[:n])
		if err == nil && m.Dropped > 0 {
			exchange.logDropped(time.Now(), m)
		}
		switch {
		case err != nil || m.Name == exchange.options.Self.Name:
		case m.Hello:
			exchange.handleHello(time.Now(), m, from)
		case m.Introduction:
			exchange.handleIntroduction(time.Now(), m)
		case m.Echo != 0:
			exchange.handleEcho(time.Now(), m)
		case m.isDigest():
			exchange.handleDigest(time.Now(), m, from)
		default:
			exchange.handlePeerMessage(time.Now(), m)
		}
	}
}

// logDropped logs that items of a message were dropped, at most once per
// dropLogInterval.
func (exchange *Exchange) logDropped(now time.Time, m *Message) {
	if messages, write := exchange.dropLog.Record(now, ""); write {
		exchange.options.Events.Emit(events.PeerItemsDropped, log.Fields{"peer": m.Name, "items": m.Dropped, "messages": messages})
	}
}

// handlePeerMessage records the state that a peer of the same domain has sent.
func (exchange *Exchange) handlePeerMessage(now time.Time, m *Message) {
	exchange.mu.Lock()
	if m.Domain != "" && m.Domain != exchange.options.Self.Domain {
		exchange.mu.Unlock()
		return
	}
	peer := exchange.peers[m.Name]
	if peer == nil {
		peer = &peerState{timedOut: true}
		exchange.peers[m.Name] = peer
		if exchange.firstPeerHeard.IsZero() {
			exchange.firstPeerHeard = now
		}
	}
	if !peer.sequence.accept(m) {
		exchange.mu.Unlock()
		return
	}
	before := peer.instance
	if m.Domain != "" {
		peer.instance = steering.Instance{Name: m.Name, Domain: m.Domain, Region: exchange.options.Regions[m.Domain],
			Address: m.Address, PeerAddress: m.PeerAddress, Incarnation: m.Incarnation, Capacity: float64(m.Capacity) / capacityScale}
	} else if known, ok := exchange.registered[m.Name]; ok && peer.instance.Name == "" {
		peer.instance = known
	}
	changed := peer.timedOut || peer.lastMessage.Ready != m.Ready || peer.lastMessage.Leaving != m.Leaving || m.Domain != "" && peer.instance != before
	peer.lastMessage, peer.lastHeard = *m, now
	isNew := (peer.timedOut || m.Incarnation != before.Incarnation) && m.PeerAddress != ""
	if peer.timedOut {
		peer.timedOut = false
		exchange.options.Events.Emit(events.PeerHeard, log.Fields{"peer": m.Name, "domain": exchange.options.Self.Domain})
	}
	if isNew { // A peer that joins waits for messages of its domain.
		reply := exchange.newMessage(now)
		exchange.addIdentity(&reply)
		reply.Quotas = exchange.quotaReport(now) // It replaces the last report at the peer.
		reply.Suspects = exchange.options.Suspects.ReportAll(now)
		exchange.sendTo(m.PeerAddress, reply.Append(nil))
	}
	timeout, quotaTimeout := exchange.peerTimeout(), exchange.quotaTimeout()
	exchange.mu.Unlock()
	exchange.applyQuotas(now, m.Name, m.Quotas, quotaTimeout)
	exchange.options.Balancer.ApplyReport(now, m.Name, exchange.options.Self.Region, m.Report, timeout)
	exchange.options.Suspects.ApplyReport(now, m.Suspects)
	if changed {
		exchange.updateLive(now)
	}
	if m.position().After(exchange.options.Revision()) {
		exchange.options.OnPeerAdvanced()
	}
}

// handleDigest records a digest of another domain. A digest that comes directly
// from the other domain is acknowledged and forwarded to the peers.
func (exchange *Exchange) handleDigest(now time.Time, m *Message, from net.Addr) {
	exchange.mu.Lock()
	remote := exchange.remoteDomains[m.Domain]
	if remote == nil || !remote.accept(now, m) {
		exchange.mu.Unlock()
		return
	}
	returned := remote.timedOut || remote.lastHeard.IsZero()
	if returned {
		remote.timedOut = false
		exchange.options.Events.Emit(events.PeerHeard, log.Fields{"peer": m.Name, "domain": m.Domain})
	}
	if len(m.Members) > 0 && m.Members[0].PeerAddress == "" {
		exchange.fillInAddresses(m, remote)
	}
	changed := returned || !slices.Equal(remote.lastDigest.Members, m.Members)
	remote.lastDigest, remote.lastHeard, remote.unacknowledgedDigests = *m, now, 0
	if !m.Forwarded {
		exchange.acknowledge(m, from)
		exchange.forwardDigest(m)
	}
	region, timeout, quotaTimeout := exchange.options.Regions[m.Domain], exchange.domainTimeout(), exchange.domainQuotaTimeout(m.Domain)
	exchange.mu.Unlock()
	exchange.applyQuotas(now, "domain "+m.Domain, m.Quotas, quotaTimeout)
	exchange.observeRoundTrip(region, time.Duration(m.RoundTrip)*time.Microsecond)
	exchange.options.Balancer.ApplyReport(now, "domain "+m.Domain, region, m.Report, timeout)
	exchange.options.Suspects.ApplyReport(now, m.Suspects)
	if changed {
		exchange.updateLive(now)
	}
	if m.position().After(exchange.options.Revision()) {
		exchange.options.OnPeerAdvanced()
	}
}

// acknowledge echoes the timestamp of a digest, so that its sender can measure
// the round trip time.
func (exchange *Exchange) acknowledge(m *Message, to net.Addr) {
	out := Message{Name: exchange.options.Self.Name, Domain: exchange.options.Self.Domain, Echo: m.Sent}
	// A lost acknowledgement is made up for by that of the next digest.
	_, _ = exchange.conn.WriteTo(out.Append(nil), to)
}

// handleEcho measures the round trip time to the domain that acknowledges a
// digest.
func (exchange *Exchange) handleEcho(now time.Time, m *Message) {
	roundTrip := time.Duration(exchange.uptimeMicros(now)-m.Echo) * time.Microsecond
	exchange.mu.Lock()
	remote := exchange.remoteDomains[m.Domain]
	if remote == nil || roundTrip <= 0 || roundTrip >= maxRoundTrip {
		exchange.mu.Unlock()
		return
	}
	remote.roundTrip = roundTrip
	exchange.mu.Unlock()
	exchange.observeRoundTrip(exchange.options.Regions[m.Domain], roundTrip)
}

func (exchange *Exchange) observeRoundTrip(region string, roundTrip time.Duration) {
	if roundTrip > 0 && roundTrip < maxRoundTrip {
		exchange.options.Balancer.ObserveRoundTrip(region, roundTrip)
	}
}

// accept reports whether a digest is newer than all earlier ones of its sender.
// After minDomainTimeout without digests of the domain, the earlier ones are
// forgotten.
func (remote *remoteDomain) accept(now time.Time, m *Message) bool {
	if remote.senderSequences == nil || now.Sub(remote.lastHeard) > minDomainTimeout {
		remote.senderSequences = map[string]*sequenceFilter{}
	}
	if remote.senderSequences[m.Name] == nil {
		remote.senderSequences[m.Name] = &sequenceFilter{}
	}
	return remote.senderSequences[m.Name].accept(m)
}

// maxRoundTrip is the bound at which round trip times are discarded as
// implausible.
const maxRoundTrip = time.Second

// fillInAddresses adds the addresses that a short digest omits, from the last
// digest or the registrations.
func (exchange *Exchange) fillInAddresses(m *Message, remote *remoteDomain) {
	for i := range m.Members {
		member := &m.Members[i]
		for _, old := range remote.lastDigest.Members {
			if old.Name == member.Name {
				member.Address, member.PeerAddress = old.Address, old.PeerAddress
			}
		}
		if in, ok := exchange.registered[member.Name]; ok && member.Address == "" {
			member.Address, member.PeerAddress = in.Address, in.PeerAddress
		}
	}
}

// forwardDigest sends a digest of another domain to the peers of this one.
func (exchange *Exchange) forwardDigest(m *Message) {
	out := *m
	out.Forwarded, out.Sent = true, 0
	b := out.Append(nil)
	for _, address := range exchange.peerAddresses() {
		exchange.sendTo(address, b)
	}
}
