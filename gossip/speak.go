package gossip

import (
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/jacinthstall/jacinthstall/balance"
)

// peerAddresses returns the addresses of the other instances of the domain, by
// name.
func (x *Exchange) peerAddresses() map[string]string {
	to := map[string]string{}
	for name, m := range x.peers {
		if m.instance.PeerAddress != "" {
			to[name] = m.instance.PeerAddress
		}
	}
	for name, in := range x.registered {
		if in.Domain == x.options.Self.Domain && name != x.options.Self.Name {
			to[name] = in.PeerAddress
		}
	}
	for name, p := range x.introducedPeers {
		if _, known := to[name]; !known && p.instance.Domain == x.options.Self.Domain && name != x.options.Self.Name {
			to[name] = p.instance.PeerAddress
		}
	}
	return to
}

// newMessage is this instance's message to its domain.
func (x *Exchange) newMessage(now time.Time) Message {
	x.lastSequence++
	m := Message{Name: x.options.Self.Name, Incarnation: x.options.Self.Incarnation, Sequence: x.lastSequence,
		Ready: x.options.Ready(), Leaving: x.options.Leaving(), StoreReachable: x.options.StoreReachable(),
		Revision: x.options.Revision()}
	return m
}

// sendState sends this instance's state to its domain.
func (x *Exchange) sendState(now time.Time) {
	report := x.options.Balancer.Report(now)
	x.mu.Lock()
	defer x.mu.Unlock()
	to := x.peerAddresses()
	if len(to) == 0 {
		return
	}
	m := x.newMessage(now)
	m.Report, m.Suspects = report, x.options.Suspects.Report(now)
	if x.lastSequence%messagesPerIdentity == 0 || m.Leaving || now.Sub(x.started) < minDomainTimeout {
		x.addIdentity(&m)
	}
	b := m.Append(nil)
	for _, address := range to {
		x.sendTo(address, b)
	}
}

// sendDigests sends digests of the own domain to the domains whose turn it is, or to
// all.
func (x *Exchange) sendDigests(now time.Time, all bool) {
	report := x.options.Balancer.Report(now)
	x.mu.Lock()
	defer x.mu.Unlock()
	rank := slices.Index(x.digestSenders(now), x.options.Self.Name)
	if rank < 0 && !all {
		return
	}
	rank = max(0, rank)
	m := x.newMessage(now)
	m.Domain = x.options.Self.Domain
	m.Suspects = x.options.Suspects.Report(now)
	m.Report, m.Members = x.mergePeerReports(now, report, m.Suspects), x.liveMembers(now)
	for name, d := range x.remoteDomains {
		if !all && now.Before(d.nextDigest) {
			continue
		}
		d.nextDigest = now.Add(x.digestInterval(name, rank) - minMessageInterval/2)
		address := x.digestReceiver(now, name, d, rank)
		if address == "" {
			continue
		}
		out := m
		if region := x.options.Regions[name]; region != x.options.Self.Region && len(m.Report.InFlight) > maxTargetsInRemoteReport {
			out.Report = x.options.Balancer.ReportForRegion(m.Report, region)
		}
		x.sendDigest(now, out, d, address)
	}
}

func (x *Exchange) digestInterval(name string, rank int) time.Duration {
	interval := x.remoteInterval()
	if x.options.Regions[name] == x.options.Self.Region {
		interval = x.messageInterval()
	}
	if rank > 0 {
		interval = max(x.remoteInterval(), interval*secondSenderFactor)
	}
	return interval
}

// digestReceiver returns the address of the instance of a domain that gets this
// one's digests and passes them on there. Each domain sends to another one, so
// that no instance passes on all. While the domain is not heard, its registered
// instances are tried in turn.
func (x *Exchange) digestReceiver(now time.Time, name string, d *remoteDomain, rank int) string {
	var addresses []string
	if now.Sub(d.lastHeard) < x.domainTimeout() {
		for _, m := range d.lastDigest.Members {
			if !m.Leaving && m.PeerAddress != "" {
				addresses = append(addresses, m.PeerAddress)
			}
		}
	}
	if len(addresses) > 0 {
		return addresses[(x.domainIndex+rank)%len(addresses)]
	}
	for _, in := range x.registered {
		if in.Domain == name {
			addresses = append(addresses, in.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	slices.Sort(addresses)
	d.unacknowledgedDigests++
	return addresses[(rank+d.unacknowledgedDigests)%len(addresses)]
}

func (x *Exchange) sendDigest(now time.Time, m Message, d *remoteDomain, address string) {
	m.Sent, m.RoundTrip = x.uptimeMicros(now), uint64(d.roundTrip.Microseconds())
	if x.lastSequence%messagesPerIdentity != 0 && now.Sub(x.started) > minDomainTimeout && !m.Leaving {
		m.Members = slices.Clone(m.Members)
		for i := range m.Members {
			m.Members[i].Address, m.Members[i].PeerAddress = "", ""
		}
	}
	x.sendTo(address, m.Append(nil))
}

// liveMembers returns the live instances of the own domain, in the order of their
// names.
func (x *Exchange) liveMembers(now time.Time) []Member {
	self := x.options.Self
	list := []Member{{Name: self.Name, Address: self.Address, PeerAddress: self.PeerAddress,
		Ready: x.options.Ready(), Leaving: x.options.Leaving()}}
	for name, m := range x.peers {
		if now.Sub(m.lastHeard) < x.peerTimeout() {
			list = append(list, Member{Name: name, Address: m.instance.Address, PeerAddress: m.instance.PeerAddress,
				Ready: m.lastMessage.Ready, Leaving: m.lastMessage.Leaving})
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// mergePeerReports adds the reports of the rest of the own domain to this instance's.
func (x *Exchange) mergePeerReports(now time.Time, own balance.Report, suspects map[uint64]int) balance.Report {
	for _, m := range x.peers {
		if now.Sub(m.lastHeard) >= x.peerTimeout() {
			continue
		}
		own.Merge(m.lastMessage.Report)
		for fingerprint, n := range m.lastMessage.Suspects {
			suspects[fingerprint] += n
		}
	}
	return own
}

func (x *Exchange) sendTo(address string, b []byte) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	// A lost message is repaired by the next one; an instance that cannot be
	// reached shows by its silence.
	_, _ = x.conn.WriteTo(b, net.UDPAddrFromAddrPort(to))
}
