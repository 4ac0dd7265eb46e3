package gossip

import (
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/jacinthstall/jacinthstall/balance"
)

// mateAddresses returns the addresses of the other instances of the domain, by
// name.
func (x *Exchange) mateAddresses() map[string]string {
	to := map[string]string{}
	for name, m := range x.mates {
		if m.instance.PeerAddress != "" {
			to[name] = m.instance.PeerAddress
		}
	}
	for name, in := range x.known {
		if in.Domain == x.options.Self.Domain && name != x.options.Self.Name {
			to[name] = in.PeerAddress
		}
	}
	for name, p := range x.met {
		if _, known := to[name]; !known && p.instance.Domain == x.options.Self.Domain && name != x.options.Self.Name {
			to[name] = p.instance.PeerAddress
		}
	}
	return to
}

// self is this instance's message to its domain.
func (x *Exchange) self(now time.Time) Message {
	x.sent++
	m := Message{Name: x.options.Self.Name, Incarnation: x.options.Self.Incarnation, Sequence: x.sent,
		Ready: x.options.Ready(), Leaving: x.options.Leaving(), InTouch: x.options.InTouch(),
		Revision: x.options.Revision()}
	return m
}

// tell sends this instance's state to its domain.
func (x *Exchange) tell(now time.Time) {
	report := x.options.Balancer.Report(now)
	x.mu.Lock()
	defer x.mu.Unlock()
	to := x.mateAddresses()
	if len(to) == 0 {
		return
	}
	m := x.self(now)
	m.Report, m.Suspects = report, x.options.Suspects.Report(now)
	if x.sent%identityEvery == 0 || m.Leaving || now.Sub(x.started) < staleAfter {
		x.identify(&m)
	}
	b := m.Append(nil)
	for _, address := range to {
		x.sendTo(address, b)
	}
}

// speak sends digests of the own domain to the domains whose turn it is, or to
// all.
func (x *Exchange) speak(now time.Time, all bool) {
	report := x.options.Balancer.Report(now)
	x.mu.Lock()
	defer x.mu.Unlock()
	rank := slices.Index(x.speakers(now), x.options.Self.Name)
	if rank < 0 && !all {
		return
	}
	rank = max(0, rank)
	m := x.self(now)
	m.Domain = x.options.Self.Domain
	m.Suspects = x.options.Suspects.Report(now)
	m.Report, m.Members = x.sum(now, report, m.Suspects), x.members(now)
	for name, d := range x.domains {
		if !all && now.Before(d.next) {
			continue
		}
		d.next = now.Add(x.digestInterval(name, rank) - nearInterval/2)
		address := x.receiverOf(now, name, d, rank)
		if address == "" {
			continue
		}
		out := m
		if region := x.options.Regions[name]; region != x.options.Self.Region && len(m.Report.InFlight) > fullReport {
			out.Report = x.options.Balancer.ReportForRegion(m.Report, region)
		}
		x.sendDigest(now, out, d, address)
	}
}

func (x *Exchange) digestInterval(name string, rank int) time.Duration {
	interval := x.farInterval()
	if x.options.Regions[name] == x.options.Self.Region {
		interval = x.interval()
	}
	if rank > 0 {
		interval = max(x.farInterval(), interval*secondStretch)
	}
	return interval
}

// receiverOf returns the address of the instance of a domain that gets this
// one's digests and passes them on there. Each domain sends to another one, so
// that no instance passes on all. While the domain is not heard, its registered
// instances are tried in turn.
func (x *Exchange) receiverOf(now time.Time, name string, d *domain, rank int) string {
	var addresses []string
	if now.Sub(d.heard) < x.stale() {
		for _, m := range d.last.Members {
			if !m.Leaving && m.PeerAddress != "" {
				addresses = append(addresses, m.PeerAddress)
			}
		}
	}
	if len(addresses) > 0 {
		return addresses[(x.number+rank)%len(addresses)]
	}
	for _, in := range x.known {
		if in.Domain == name {
			addresses = append(addresses, in.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	slices.Sort(addresses)
	d.tries++
	return addresses[(rank+d.tries)%len(addresses)]
}

func (x *Exchange) sendDigest(now time.Time, m Message, d *domain, address string) {
	m.Sent, m.RoundTrip = x.micros(now), uint64(d.trip.Microseconds())
	if x.sent%identityEvery != 0 && now.Sub(x.started) > staleAfter && !m.Leaving {
		m.Members = slices.Clone(m.Members)
		for i := range m.Members {
			m.Members[i].Address, m.Members[i].PeerAddress = "", ""
		}
	}
	x.sendTo(address, m.Append(nil))
}

// members returns the live instances of the own domain, in the order of their
// names.
func (x *Exchange) members(now time.Time) []Member {
	self := x.options.Self
	list := []Member{{Name: self.Name, Address: self.Address, PeerAddress: self.PeerAddress,
		Ready: x.options.Ready(), Leaving: x.options.Leaving()}}
	for name, m := range x.mates {
		if now.Sub(m.heard) < x.silence() {
			list = append(list, Member{Name: name, Address: m.instance.Address, PeerAddress: m.instance.PeerAddress,
				Ready: m.last.Ready, Leaving: m.last.Leaving})
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// sum adds the reports of the rest of the own domain to this instance's.
func (x *Exchange) sum(now time.Time, own balance.Report, suspects map[uint64]int) balance.Report {
	for _, m := range x.mates {
		if now.Sub(m.heard) >= x.silence() {
			continue
		}
		own.Merge(m.last.Report)
		for fingerprint, n := range m.last.Suspects {
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
