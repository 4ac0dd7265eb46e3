package gossip

import (
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/jacinthstall/jacinthstall/balance"
)

// peerAddresses returns the addresses of the known peers of the domain by name.
func (exchange *Exchange) peerAddresses() map[string]string {
	to := map[string]string{}
	for name, peer := range exchange.peers {
		if peer.instance.PeerAddress != "" {
			to[name] = peer.instance.PeerAddress
		}
	}
	for name, in := range exchange.registered {
		if in.Domain == exchange.options.Self.Domain && name != exchange.options.Self.Name {
			to[name] = in.PeerAddress
		}
	}
	for name, introduced := range exchange.introducedPeers {
		if _, known := to[name]; !known && introduced.instance.Domain == exchange.options.Self.Domain && name != exchange.options.Self.Name {
			to[name] = introduced.instance.PeerAddress
		}
	}
	return to
}

// newMessage returns a message with the next sequence number and the state of
// this instance.
func (exchange *Exchange) newMessage(now time.Time) Message {
	exchange.lastSequence++
	revision := exchange.options.Revision()
	m := Message{Name: exchange.options.Self.Name, Incarnation: exchange.options.Self.Incarnation, Sequence: exchange.lastSequence,
		Ready: exchange.options.Ready(), Leaving: exchange.options.Leaving(), StoreReachable: exchange.options.StoreReachable(),
		Revision: revision.Number, Era: revision.Era}
	return m
}

// sendState sends the state of this instance to its peers.
func (exchange *Exchange) sendState(now time.Time) {
	report := exchange.options.Balancer.Report(now)
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	to := exchange.peerAddresses()
	if len(to) == 0 {
		return
	}
	m := exchange.newMessage(now)
	m.Quotas = exchange.quotaReport(now)
	m.Report, m.Suspects = report, exchange.options.Suspects.Report(now, exchange.messageInterval())
	if exchange.lastSequence%messagesPerIdentity == 0 || m.Leaving || now.Sub(exchange.started) < minDomainTimeout {
		exchange.addIdentity(&m)
	}
	b := m.Append(nil)
	for _, address := range to {
		exchange.sendTo(address, b)
	}
}

// sendDigests sends the digest of this domain to the domains for which it is
// due, or to all domains.
func (exchange *Exchange) sendDigests(now time.Time, all bool) {
	report := exchange.options.Balancer.Report(now)
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	rank := slices.Index(exchange.digestSenders(now), exchange.options.Self.Name)
	if rank < 0 && !all {
		return
	}
	rank = max(0, rank)
	base := exchange.newMessage(now)
	base.Domain = exchange.options.Self.Domain
	base.Report, base.Members = exchange.mergePeerReports(now, report), exchange.liveMembers(now)
	base.Quotas = exchange.mergePeerQuotas(now, exchange.quotaReport(now))
	for name, remote := range exchange.remoteDomains {
		if !all && now.Before(remote.nextDigest) {
			continue
		}
		interval := exchange.digestInterval(name, rank)
		remote.nextDigest = now.Add(interval - minMessageInterval/2)
		address := exchange.digestReceiver(now, name, remote, rank)
		if address == "" {
			continue
		}
		digest := base
		digest.Suspects = exchange.options.Suspects.Report(now, interval)
		if region := exchange.options.Regions[name]; region != exchange.options.Self.Region && len(base.Report.InFlight) > maxTargetsInRemoteReport {
			digest.Report = exchange.options.Balancer.ReportForRegion(base.Report, region)
		}
		exchange.sendDigest(now, digest, remote, address)
	}
}

// digestInterval is the interval between digests to a domain from the digest
// sender of a rank, 0 for the first one.
func (exchange *Exchange) digestInterval(name string, rank int) time.Duration {
	interval := exchange.remoteInterval()
	if exchange.options.Regions[name] == exchange.options.Self.Region {
		interval = exchange.messageInterval()
	}
	if rank > 0 {
		interval = max(exchange.remoteInterval(), interval*secondSenderFactor)
	}
	return interval
}

// digestReceiver returns the address of the instance of a domain that receives
// the digests of this domain and forwards them there. Domains select different
// receivers, so that no instance forwards all digests. While no digests arrive
// from the domain, its registered instances are used in turn.
func (exchange *Exchange) digestReceiver(now time.Time, name string, remote *remoteDomain, rank int) string {
	var addresses []string
	if now.Sub(remote.lastHeard) < exchange.domainTimeout() {
		for _, member := range remote.lastDigest.Members {
			if !member.Leaving && member.PeerAddress != "" {
				addresses = append(addresses, member.PeerAddress)
			}
		}
	}
	if len(addresses) > 0 {
		return addresses[(exchange.domainIndex+rank)%len(addresses)]
	}
	for _, in := range exchange.registered {
		if in.Domain == name {
			addresses = append(addresses, in.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	slices.Sort(addresses)
	remote.unacknowledgedDigests++
	return addresses[(rank+remote.unacknowledgedDigests)%len(addresses)]
}

func (exchange *Exchange) sendDigest(now time.Time, m Message, remote *remoteDomain, address string) {
	m.Sent, m.RoundTrip = exchange.uptimeMicros(now), uint64(remote.roundTrip.Microseconds())
	if exchange.lastSequence%messagesPerIdentity != 0 && now.Sub(exchange.started) > minDomainTimeout && !m.Leaving {
		m.Members = slices.Clone(m.Members)
		for i := range m.Members {
			m.Members[i].Address, m.Members[i].PeerAddress = "", ""
		}
	}
	exchange.sendTo(address, m.Append(nil))
}

// liveMembers returns the live instances of this domain sorted by name.
func (exchange *Exchange) liveMembers(now time.Time) []Member {
	self := exchange.options.Self
	list := []Member{{Name: self.Name, Address: self.Address, PeerAddress: self.PeerAddress,
		Ready: exchange.options.Ready(), Leaving: exchange.options.Leaving()}}
	for name, peer := range exchange.peers {
		if now.Sub(peer.lastHeard) < exchange.peerTimeout() {
			list = append(list, Member{Name: name, Address: peer.instance.Address, PeerAddress: peer.instance.PeerAddress,
				Ready: peer.lastMessage.Ready, Leaving: peer.lastMessage.Leaving})
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// mergePeerReports adds the reports of the live peers to that of this instance.
func (exchange *Exchange) mergePeerReports(now time.Time, sum balance.Report) balance.Report {
	for _, peer := range exchange.peers {
		if now.Sub(peer.lastHeard) >= exchange.peerTimeout() {
			continue
		}
		sum.Merge(peer.lastMessage.Report, now.Sub(peer.lastHeard))
	}
	return sum
}

func (exchange *Exchange) sendTo(address string, b []byte) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	// A lost message is made up for by the next one, and an unreachable instance
	// is detected by its timeout.
	_, _ = exchange.conn.WriteTo(b, net.UDPAddrFromAddrPort(to))
}
