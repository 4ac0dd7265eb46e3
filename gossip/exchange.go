package gossip

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// nearInterval is the pause between messages in a domain, and between
	// digests to domains of the own region. Requests take some hundred
	// milliseconds, so counts that are 100 ms old are still good for choosing a
	// target.
	nearInterval = 100 * time.Millisecond
	// farInterval is the pause between digests to other regions.
	farInterval = 500 * time.Millisecond
	// secondStretch is how much less often the second speaker sends digests. It
	// covers the time until a dead first one is noticed.
	secondStretch = 4
	// fullDomain is the number of instances of a domain up to which nearInterval
	// holds. In larger ones it grows in proportion.
	fullDomain = 5
	// identityEvery is how many messages carry addresses once.
	identityEvery = 8
	// silentAfter is when an instance of the own domain counts as dead, at least.
	// Several messages in a row must be lost for it.
	silentAfter = time.Second
	// silentMessages is the number of missed messages after which it does.
	silentMessages = 5
	// staleAfter is when a domain whose digests no longer arrive counts as
	// unreachable.
	staleAfter = 2 * time.Second
	// speakers is the number of instances of a domain that speak for it, and
	// that watch the store for it.
	speakers = 2
	// maxMessage is the largest datagram that is read.
	maxMessage = 64 << 10
	// forgetAfter is when a silent instance that is not registered is dropped.
	forgetAfter = time.Minute
)

// Options configure an Exchange.
type Options struct {
	Self     steering.Instance
	Regions  map[string]string // Region of each failure domain.
	Events   *events.Log
	Balancer *balance.Balancer
	Suspects *balance.Suspects
	Revision func() uint64
	Ready    func() bool
	Leaving  func() bool
	InTouch  func() bool // The store answers this instance.
	// Changed is called with the live instances, this one included, when they change.
	Changed func([]steering.Instance)
	// Advanced is called when an instance of the domain has read the store farther.
	Advanced func()
}

// Exchange tells other instances about this one and knows what they told.
type Exchange struct {
	options Options
	conn    net.PacketConn
	started time.Time

	mu      sync.Mutex
	known   map[string]steering.Instance // Registered ones, by name.
	mates   map[string]*mate             // Heard ones of the own domain, by name.
	domains map[string]*domain           // Other domains.
	live    []steering.Instance
	sent    uint64
}

// mate is another instance of the own domain.
type mate struct {
	instance steering.Instance
	last     Message
	heard    time.Time
	silent   bool // It was logged that it is silent, or it was never heard.
}

// domain is another failure domain.
type domain struct {
	last    Message // The last digest.
	heard   time.Time
	direct  Message // The last digest that came from the domain itself.
	arrived time.Time
	next    time.Time // When to send to it again.
	tries   int       // Digests sent since it was last heard.
}

// Listen opens the socket of an exchange.
func Listen(o Options) (*Exchange, error) {
	conn, err := net.ListenPacket("udp", o.Self.PeerAddress)
	if err != nil {
		return nil, err
	}
	x := &Exchange{options: o, conn: conn, started: time.Now(), known: map[string]steering.Instance{},
		mates: map[string]*mate{}, domains: map[string]*domain{}}
	for name := range o.Regions {
		if name != o.Self.Domain {
			x.domains[name] = &domain{}
		}
	}
	x.live = []steering.Instance{o.Self}
	return x, nil
}

// Run exchanges messages until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	go x.receive()
	for {
		x.mu.Lock()
		pause := x.interval()
		x.mu.Unlock()
		select {
		case <-time.After(pause):
			now := time.Now()
			x.tell(now)
			x.speak(now, false)
			x.check(now)
		case <-ctx.Done():
			_ = x.conn.Close()
			return
		}
	}
}

// interval is the pause between messages in the own domain.
func (x *Exchange) interval() time.Duration {
	return max(nearInterval, nearInterval*time.Duration(len(x.mates)+1)/fullDomain)
}

func (x *Exchange) silence() time.Duration {
	return max(silentAfter, silentMessages*x.interval())
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

// Announce tells the own domain the state of this instance at once.
func (x *Exchange) Announce() { x.tell(time.Now()) }

// Leave takes this instance out of the live ones and tells all domains at once.
func (x *Exchange) Leave() {
	now := time.Now()
	x.check(now)
	x.tell(now)
	x.speak(now, true)
}

// Watches reports whether this instance watches the store: it is a speaker of
// its domain, or none of the speakers hears the store.
func (x *Exchange) Watches() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	heard := false
	for _, name := range x.speakers(time.Now()) {
		if name == x.options.Self.Name {
			return true
		}
		heard = heard || x.mates[name].last.InTouch
	}
	return !heard
}

// speakers returns the names of the instances that speak for the own domain.
func (x *Exchange) speakers(now time.Time) []string {
	names := []string{x.options.Self.Name}
	for name, m := range x.mates {
		if now.Sub(m.heard) < x.silence() && !m.last.Leaving {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[:min(speakers, len(names))]
}

// Newest returns a live instance that has read the store farther than a
// revision, from the own domain if there is one.
func (x *Exchange) Newest(revision uint64) (steering.Instance, uint64, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	var best steering.Instance
	top := revision
	for _, m := range x.mates {
		if now.Sub(m.heard) < x.silence() && m.last.Revision > top && m.instance.PeerAddress != "" {
			best, top = m.instance, m.last.Revision
		}
	}
	if best.Name != "" {
		return best, top, true
	}
	for _, d := range x.domains {
		if now.Sub(d.heard) < staleAfter && d.last.Revision > top {
			if in, ok := x.identity(d.last.Name); ok {
				best, top = in, d.last.Revision
			}
		}
	}
	return best, top, best.Name != ""
}

// identity returns what is known of an instance by its name.
func (x *Exchange) identity(name string) (steering.Instance, bool) {
	if in, ok := x.known[name]; ok {
		return in, true
	}
	for _, in := range x.live {
		if in.Name == name {
			return in, true
		}
	}
	return steering.Instance{}, false
}

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

// older reports whether a message was sent before another one of its sender.
func (m *Message) older(last *Message) bool {
	return m.Name == last.Name &&
		(m.Incarnation < last.Incarnation || m.Incarnation == last.Incarnation && m.Sequence <= last.Sequence)
}

// heardMate takes over a message of an instance of the own domain.
func (x *Exchange) heardMate(now time.Time, m *Message) {
	x.mu.Lock()
	p := x.mates[m.Name]
	if p == nil {
		p = &mate{silent: true}
		x.mates[m.Name] = p
	}
	if m.older(&p.last) {
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
	if d == nil || m.older(&d.last) {
		x.mu.Unlock()
		return
	}
	if now.Sub(d.heard) > staleAfter {
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

func (x *Exchange) micros(now time.Time) uint64 { return uint64(now.Sub(x.started).Microseconds()) + 1 }

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
		m.Domain, m.Address, m.PeerAddress = x.options.Self.Domain, x.options.Self.Address, x.options.Self.PeerAddress
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
		if address := x.speakerOf(now, name, d, rank); address != "" {
			x.sendDigest(now, m, d, address)
		}
	}
}

func (x *Exchange) digestInterval(name string, rank int) time.Duration {
	interval := farInterval
	if x.options.Regions[name] == x.options.Self.Region {
		interval = nearInterval
	}
	if rank > 0 {
		interval = max(farInterval, interval*secondStretch)
	}
	return interval
}

// speakerOf returns the address of the instance of a domain that gets this
// one's digests. While the domain is not heard, its registered instances are
// tried in turn.
func (x *Exchange) speakerOf(now time.Time, name string, d *domain, rank int) string {
	var addresses []string
	if now.Sub(d.heard) < staleAfter {
		for _, m := range d.last.Members {
			if !m.Leaving && m.PeerAddress != "" {
				addresses = append(addresses, m.PeerAddress)
			}
		}
	}
	if len(addresses) > 0 {
		return addresses[rank%len(addresses)]
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
	m.Sent = x.micros(now)
	if d.direct.Sent != 0 {
		m.Echo, m.Held = d.direct.Sent, uint64(now.Sub(d.arrived).Microseconds())
	}
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
		for hash, n := range m.last.Report.InFlight {
			own.InFlight[hash] += n
		}
		for hash, r := range m.last.Report.Rates {
			own.Rates[hash] += r
		}
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

// check finds instances and domains that have fallen silent, and tells when
// the live instances have changed.
func (x *Exchange) check(now time.Time) {
	x.mu.Lock()
	var live []steering.Instance
	if !x.options.Leaving() {
		live = append(live, x.options.Self)
	}
	live = append(live, x.liveMates(now)...)
	for name, d := range x.domains {
		if now.Sub(d.heard) >= staleAfter {
			continue
		}
		for _, m := range d.last.Members {
			if m.Ready && !m.Leaving && m.Address != "" {
				live = append(live, steering.Instance{Name: m.Name, Domain: name, Region: x.options.Regions[name],
					Address: m.Address, PeerAddress: m.PeerAddress})
			}
		}
	}
	slices.SortFunc(live, func(a, b steering.Instance) int { return strings.Compare(a.Name, b.Name) })
	changed := !slices.Equal(live, x.live)
	x.live = live
	x.mu.Unlock()
	if changed {
		x.options.Changed(live)
	}
}

func (x *Exchange) liveMates(now time.Time) []steering.Instance {
	var live []steering.Instance
	for name, m := range x.mates {
		alive := now.Sub(m.heard) < x.silence()
		if !alive && !m.silent {
			m.silent = true
			x.options.Events.Emit(events.PeerSilent, log.Fields{"peer": name, "domain": m.instance.Domain,
				"silentMs": now.Sub(m.heard).Milliseconds()})
		}
		if alive && m.last.Ready && !m.last.Leaving && m.instance.Address != "" {
			live = append(live, m.instance)
		}
		if !alive && now.Sub(m.heard) > forgetAfter && x.known[name].Name == "" {
			delete(x.mates, name)
		}
	}
	return live
}
