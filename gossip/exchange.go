package gossip

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// nearInterval and farInterval are the pauses between messages to peers of
	// the own and of other regions. Requests take some hundred milliseconds, so
	// counts that are 100 ms old are still good for choosing a target.
	nearInterval = 100 * time.Millisecond
	farInterval  = 500 * time.Millisecond
	// fullPeers is the number of peers up to which the intervals hold. With
	// more, they grow in proportion.
	fullPeers = 12
	// identityEvery is how many messages carry the sender's addresses once.
	identityEvery = 8
	// silentAfter is when a peer counts as dead. Several messages in a row must
	// be lost for it.
	silentAfter = 2 * time.Second
	// maxMessage is the largest datagram that is read.
	maxMessage = 16 << 10
)

// Options configure an Exchange.
type Options struct {
	Self     steering.Instance
	Regions  map[string]string // Region of each failure domain.
	Events   *events.Log
	Balancer *balance.Balancer
	Revision func() uint64
	Ready    func() bool
	Leaving  func() bool
	// Changed is called with the live instances, this one included, when they change.
	Changed func([]steering.Instance)
}

// Exchange tells peers about this instance and knows what they told.
type Exchange struct {
	options Options
	conn    net.PacketConn
	started time.Time

	mu    sync.Mutex
	known map[string]steering.Instance // From the store, by name.
	peers map[string]*peer             // Heard ones, by name.
	live  []steering.Instance
	sent  uint64
}

type peer struct {
	instance steering.Instance
	last     Message
	heard    time.Time
	silent   bool // It was logged that it is silent.
	next     time.Time
}

// Listen opens the socket of an exchange.
func Listen(o Options) (*Exchange, error) {
	conn, err := net.ListenPacket("udp", o.Self.PeerAddress)
	if err != nil {
		return nil, err
	}
	x := &Exchange{options: o, conn: conn, started: time.Now(), known: map[string]steering.Instance{}, peers: map[string]*peer{}}
	x.live = []steering.Instance{o.Self}
	return x, nil
}

// Run exchanges messages until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	go x.receive()
	tick := time.NewTicker(nearInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			x.Send(time.Now())
			x.check(time.Now())
		case <-ctx.Done():
			_ = x.conn.Close()
			return
		}
	}
}

// SetKnown takes over the registered instances.
func (x *Exchange) SetKnown(list map[string]steering.Instance) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.known = list
}

// Live returns the instances that take requests, this one included.
func (x *Exchange) Live() []steering.Instance {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.live
}

// Newest returns the live peer that has read the store farthest, if it is
// beyond a revision.
func (x *Exchange) Newest(revision uint64) (steering.Instance, uint64, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	var best *peer
	for _, p := range x.peers {
		if time.Since(p.heard) < silentAfter && p.last.Revision > revision && (best == nil || p.last.Revision > best.last.Revision) {
			best = p
		}
	}
	if best == nil {
		return steering.Instance{}, 0, false
	}
	return best.instance, best.last.Revision, true
}

func (x *Exchange) receive() {
	buffer := make([]byte, maxMessage)
	for {
		n, from, err := x.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		if m, err := Parse(buffer[:n]); err == nil && m.Name != x.options.Self.Name {
			x.heard(time.Now(), m, from)
		}
	}
}

// heard takes over a message. Older ones than the last are ignored.
func (x *Exchange) heard(now time.Time, m *Message, from net.Addr) {
	x.mu.Lock()
	p := x.peers[m.Name]
	if p != nil && (m.Incarnation < p.last.Incarnation || m.Incarnation == p.last.Incarnation && m.Sequence <= p.last.Sequence) {
		x.mu.Unlock()
		return
	}
	if p == nil {
		p = &peer{silent: true}
		x.peers[m.Name] = p
	}
	if m.Domain != "" {
		p.instance = steering.Instance{Name: m.Name, Domain: m.Domain, Region: x.options.Regions[m.Domain],
			Address: m.Address, PeerAddress: m.PeerAddress, Incarnation: m.Incarnation}
	} else if known, ok := x.known[m.Name]; ok && p.instance.Name == "" {
		p.instance = known
	}
	p.last, p.heard = *m, now
	if p.silent && p.instance.Name != "" {
		p.silent = false
		x.options.Events.Emit(events.PeerHeard, log.Fields{"peer": m.Name, "domain": p.instance.Domain})
	}
	region := p.instance.Region
	x.mu.Unlock()
	x.options.Balancer.Heard(now, m.Name, region, m.Report)
	if m.Echo != 0 && region != "" && region != x.options.Self.Region {
		trip := time.Duration(x.micros(now)-m.Echo-m.Held) * time.Microsecond
		if trip > 0 && trip < time.Second {
			x.options.Balancer.ObserveRoundTrip(region, trip)
		}
	}
	x.check(now)
}

func (x *Exchange) micros(now time.Time) uint64 { return uint64(now.Sub(x.started).Microseconds()) + 1 }

// Send sends a message to each peer whose turn it is.
func (x *Exchange) Send(now time.Time) { x.send(now, false) }

// SendAll sends a message to every peer at once.
func (x *Exchange) SendAll(now time.Time) { x.send(now, true) }

func (x *Exchange) send(now time.Time, all bool) {
	report := x.options.Balancer.Report(now)
	x.mu.Lock()
	defer x.mu.Unlock()
	to := x.addresses()
	stretch := time.Duration(max(1, len(to)/fullPeers))
	for name, address := range to {
		p := x.peers[name]
		if p == nil {
			p = &peer{silent: true, instance: x.known[name]}
			x.peers[name] = p
		}
		if !all && now.Before(p.next) {
			continue
		}
		interval := farInterval
		if p.instance.Region == x.options.Self.Region {
			interval = nearInterval
		}
		p.next = now.Add(interval*stretch - nearInterval/2)
		x.sendTo(now, p, address, report)
	}
}

// addresses returns the peer addresses to send to, by name.
func (x *Exchange) addresses() map[string]string {
	to := map[string]string{}
	for name, p := range x.peers {
		if p.instance.PeerAddress != "" {
			to[name] = p.instance.PeerAddress
		}
	}
	for name, in := range x.known {
		to[name] = in.PeerAddress
	}
	delete(to, x.options.Self.Name)
	return to
}

func (x *Exchange) sendTo(now time.Time, p *peer, address string, report balance.Report) {
	x.sent++
	m := Message{Name: x.options.Self.Name, Incarnation: x.options.Self.Incarnation, Sequence: x.sent,
		Ready: x.options.Ready(), Leaving: x.options.Leaving(), Revision: x.options.Revision(), Report: report}
	if x.sent%identityEvery == 0 || p.heard.IsZero() || m.Leaving {
		m.Domain, m.Address, m.PeerAddress = x.options.Self.Domain, x.options.Self.Address, x.options.Self.PeerAddress
	}
	if p.instance.Region != x.options.Self.Region {
		m.Sent = x.micros(now)
		if p.last.Sent != 0 {
			m.Echo, m.Held = p.last.Sent, uint64(now.Sub(p.heard).Microseconds())
		}
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	// A lost message is repaired by the next one; a peer that cannot be
	// reached shows by its silence.
	_, _ = x.conn.WriteTo(m.Append(nil), net.UDPAddrFromAddrPort(to))
}

// check finds peers that have fallen silent, and tells when the live instances
// have changed.
func (x *Exchange) check(now time.Time) {
	x.mu.Lock()
	live := []steering.Instance{}
	if !x.options.Leaving() {
		live = append(live, x.options.Self)
	}
	for name, p := range x.peers {
		alive := now.Sub(p.heard) < silentAfter
		if !alive && !p.silent {
			p.silent = true
			x.options.Events.Emit(events.PeerSilent, log.Fields{"peer": name, "domain": p.instance.Domain,
				"silentMs": now.Sub(p.heard).Milliseconds()})
		}
		if alive && p.last.Ready && !p.last.Leaving && p.instance.Address != "" {
			live = append(live, p.instance)
		}
		if !alive && now.Sub(p.heard) > forgetAfter && x.known[name].Name == "" {
			delete(x.peers, name)
		}
	}
	slices.SortFunc(live, func(a, b steering.Instance) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	changed := !slices.Equal(live, x.live)
	x.live = live
	x.mu.Unlock()
	if changed {
		x.options.Changed(live)
	}
}

// forgetAfter is when a silent peer that is not registered is dropped.
const forgetAfter = time.Minute
