package gossip

import (
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/steering"
)

func (x *Exchange) receive() {
	buffer := make([]byte, maxMessage)
	for {
		n, _, err := x.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		m, err := Parse(buffer[:n])
		switch {
		case err != nil || m.Name == x.options.Self.Name:
		case m.digest():
			x.heardDigest(time.Now(), m)
		default:
			x.heardMate(time.Now(), m)
		}
	}
}

// heardMate takes over a message of an instance of the own domain.
func (x *Exchange) heardMate(now time.Time, m *Message) {
	x.mu.Lock()
	p := x.mates[m.Name]
	if p == nil {
		p = &mate{silent: true}
		x.mates[m.Name] = p
	}
	if !p.order.take(m) {
		x.mu.Unlock()
		return
	}
	if m.Domain != "" {
		p.instance = steering.Instance{Name: m.Name, Domain: m.Domain, Region: x.options.Regions[m.Domain],
			Address: m.Address, PeerAddress: m.PeerAddress, Incarnation: m.Incarnation}
	} else if known, ok := x.known[m.Name]; ok && p.instance.Name == "" {
		p.instance = known
	}
	p.last, p.heard = *m, now
	if p.silent {
		p.silent = false
		x.options.Events.Emit(events.PeerHeard, log.Fields{"peer": m.Name, "domain": x.options.Self.Domain})
	}
	x.mu.Unlock()
	x.options.Balancer.Heard(now, m.Name, x.options.Self.Region, m.Report)
	x.options.Suspects.Heard(now, m.Name, m.Suspects)
	x.check(now)
	if m.Revision > x.options.Revision() {
		x.options.Advanced()
	}
}

// heardDigest takes over a digest of another domain and passes it on when it
// came from there.
func (x *Exchange) heardDigest(now time.Time, m *Message) {
	x.mu.Lock()
	d := x.domains[m.Domain]
	if d == nil || !d.take(now, m) {
		x.mu.Unlock()
		return
	}
	if d.silent || d.heard.IsZero() {
		d.silent = false
		x.options.Events.Emit(events.PeerHeard, log.Fields{"peer": m.Name, "domain": m.Domain})
	}
	if len(m.Members) > 0 && m.Members[0].PeerAddress == "" {
		x.complete(m, d)
	}
	d.last, d.heard, d.tries = *m, now, 0
	region := x.options.Regions[m.Domain]
	trip := time.Duration(m.RoundTrip) * time.Microsecond
	if !m.Relayed {
		d.direct, d.arrived = *m, now
		if m.Echo != 0 {
			trip = time.Duration(x.micros(now)-m.Echo-m.Held) * time.Microsecond
		}
		x.relay(m, trip)
	}
	x.mu.Unlock()
	if trip > 0 && trip < maxRoundTrip {
		x.options.Balancer.ObserveRoundTrip(region, trip)
	}
	x.options.Balancer.Heard(now, "domain "+m.Domain, region, m.Report)
	x.options.Suspects.Heard(now, "domain "+m.Domain, m.Suspects)
	x.check(now)
	if m.Revision > x.options.Revision() {
		x.options.Advanced()
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
func (x *Exchange) relay(m *Message, trip time.Duration) {
	out := *m
	out.Relayed, out.Echo, out.Sent, out.Held = true, 0, 0, 0
	out.RoundTrip = uint64(max(0, trip).Microseconds())
	b := out.Append(nil)
	for _, address := range x.mateAddresses() {
		x.sendTo(address, b)
	}
}
