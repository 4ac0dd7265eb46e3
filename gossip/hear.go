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
	buffer := make([]byte, maxMessage)
	for {
		n, from, err := x.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		m, err := Parse(buffer[:n])
		switch {
		case err != nil || m.Name == x.options.Self.Name:
		case m.Hello:
			x.heardHello(time.Now(), m, from)
		case m.Introduction:
			x.heardIntroduction(time.Now(), m)
		case m.Echo != 0:
			x.heardEcho(time.Now(), m)
		case m.digest():
			x.heardDigest(time.Now(), m, from)
		default:
			x.heardMate(time.Now(), m)
		}
	}
}

// heardMate takes over a message of an instance of the own domain.
func (x *Exchange) heardMate(now time.Time, m *Message) {
	x.mu.Lock()
	if m.Domain != "" && m.Domain != x.options.Self.Domain {
		x.mu.Unlock()
		return
	}
	p := x.mates[m.Name]
	if p == nil {
		p = &mate{silent: true}
		x.mates[m.Name] = p
		if x.firstMate.IsZero() {
			x.firstMate = now
		}
	}
	if !p.order.take(m) {
		x.mu.Unlock()
		return
	}
	before := p.instance
	if m.Domain != "" {
		p.instance = steering.Instance{Name: m.Name, Domain: m.Domain, Region: x.options.Regions[m.Domain],
			Address: m.Address, PeerAddress: m.PeerAddress, Incarnation: m.Incarnation, Capacity: float64(m.Capacity) / hundred}
	} else if known, ok := x.known[m.Name]; ok && p.instance.Name == "" {
		p.instance = known
	}
	changed := p.silent || p.last.Ready != m.Ready || p.last.Leaving != m.Leaving || m.Domain != "" && p.instance != before
	p.last, p.heard = *m, now
	newcomer := p.silent && m.PeerAddress != ""
	if p.silent {
		p.silent = false
		x.options.Events.Emit(events.PeerHeard, log.Fields{"peer": m.Name, "domain": x.options.Self.Domain})
	}
	if newcomer { // It waits for a word of its domain.
		own := x.self(now)
		x.identify(&own)
		x.sendTo(m.PeerAddress, own.Append(nil))
	}
	keep := x.silence()
	x.mu.Unlock()
	x.options.Balancer.ApplyReport(now, m.Name, x.options.Self.Region, m.Report, keep)
	x.options.Suspects.ApplyReport(now, m.Name, m.Suspects)
	if changed {
		x.check(now)
	}
	if m.Revision > x.options.Revision() {
		x.options.Advanced()
	}
}

// heardDigest takes over a digest of another domain. One that came from there
// is acknowledged and passed on in the own domain.
func (x *Exchange) heardDigest(now time.Time, m *Message, from net.Addr) {
	x.mu.Lock()
	d := x.domains[m.Domain]
	if d == nil || !d.take(now, m) {
		x.mu.Unlock()
		return
	}
	back := d.silent || d.heard.IsZero()
	if back {
		d.silent = false
		x.options.Events.Emit(events.PeerHeard, log.Fields{"peer": m.Name, "domain": m.Domain})
	}
	if len(m.Members) > 0 && m.Members[0].PeerAddress == "" {
		x.complete(m, d)
	}
	changed := back || !slices.Equal(d.last.Members, m.Members)
	d.last, d.heard, d.tries = *m, now, 0
	if !m.Relayed {
		x.echo(m, from)
		x.relay(m)
	}
	region, keep := x.options.Regions[m.Domain], x.stale()
	x.mu.Unlock()
	x.observeTrip(region, time.Duration(m.RoundTrip)*time.Microsecond)
	x.options.Balancer.ApplyReport(now, "domain "+m.Domain, region, m.Report, keep)
	x.options.Suspects.ApplyReport(now, "domain "+m.Domain, m.Suspects)
	if changed {
		x.check(now)
	}
	if m.Revision > x.options.Revision() {
		x.options.Advanced()
	}
}

// echo answers a digest, so that its sender learns the round trip.
func (x *Exchange) echo(m *Message, to net.Addr) {
	out := Message{Name: x.options.Self.Name, Domain: x.options.Self.Domain, Echo: m.Sent}
	// A lost answer is repaired by that to the next digest.
	_, _ = x.conn.WriteTo(out.Append(nil), to)
}

// heardEcho measures the round trip to the domain that answers.
func (x *Exchange) heardEcho(now time.Time, m *Message) {
	trip := time.Duration(x.micros(now)-m.Echo) * time.Microsecond
	x.mu.Lock()
	d := x.domains[m.Domain]
	if d == nil || trip <= 0 || trip >= maxRoundTrip {
		x.mu.Unlock()
		return
	}
	d.trip = trip
	x.mu.Unlock()
	x.observeTrip(x.options.Regions[m.Domain], trip)
}

func (x *Exchange) observeTrip(region string, trip time.Duration) {
	if trip > 0 && trip < maxRoundTrip {
		x.options.Balancer.ObserveRoundTrip(region, trip)
	}
}

// take reports whether a digest is newer than all that its sender sent before.
func (d *domain) take(now time.Time, m *Message) bool {
	if d.senders == nil || now.Sub(d.heard) > staleAfter {
		d.senders = map[string]*order{}
	}
	if d.senders[m.Name] == nil {
		d.senders[m.Name] = &order{}
	}
	return d.senders[m.Name].take(m)
}

// maxRoundTrip bounds what is believed of a measured round trip.
const maxRoundTrip = time.Second

// complete adds the addresses that a short digest leaves out.
func (x *Exchange) complete(m *Message, d *domain) {
	for i := range m.Members {
		member := &m.Members[i]
		for _, old := range d.last.Members {
			if old.Name == member.Name {
				member.Address, member.PeerAddress = old.Address, old.PeerAddress
			}
		}
		if in, ok := x.known[member.Name]; ok && member.Address == "" {
			member.Address, member.PeerAddress = in.Address, in.PeerAddress
		}
	}
}

// relay passes a digest on to the own domain.
func (x *Exchange) relay(m *Message) {
	out := *m
	out.Relayed, out.Sent = true, 0
	b := out.Append(nil)
	for _, address := range x.mateAddresses() {
		x.sendTo(address, b)
	}
}
