package gossip

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/quota"
	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// minMessageInterval is the shortest interval between messages in a domain
	// and between digests to domains of the same region. Requests take some
	// hundred milliseconds, so counts that are 100 ms old are still accurate
	// enough for choosing a target.
	minMessageInterval = 100 * time.Millisecond
	// minRemoteInterval is the shortest interval between digests to other
	// regions. In large domains the interval is remoteIntervalFactor times that
	// of messages in the domain.
	minRemoteInterval    = 500 * time.Millisecond
	remoteIntervalFactor = 2
	// secondSenderFactor is the factor by which the second digest sender's
	// interval is longer. Its digests cover the time until the failure of the
	// first sender is detected.
	secondSenderFactor = 4
	// maxInstancesAtMinInterval is the size of a domain up to which
	// minMessageInterval applies. In larger domains the interval grows in
	// proportion to the number of instances.
	maxInstancesAtMinInterval = 8
	// maxTargetsInRemoteReport is the number of targets with requests up to
	// which digests to other regions list all of them (about 1.5 KB). Larger
	// reports are cut down to the targets of the receiver's region.
	maxTargetsInRemoteReport = 256
	// messagesPerIdentity is the number of messages of which one carries the
	// addresses.
	messagesPerIdentity = 8
	// minPeerTimeout is the shortest time without messages after which a peer
	// counts as dead. It spans several messages, so that single losses don't
	// matter.
	minPeerTimeout = time.Second
	// peerTimeoutMessages is the number of message intervals in a peer timeout.
	peerTimeoutMessages = 5
	// minDomainTimeout is the shortest time without digests after which a
	// domain counts as unreachable.
	minDomainTimeout = 2 * time.Second
	// domainTimeoutDigests is the number of digest intervals in a domain
	// timeout.
	domainTimeoutDigests = 4
	// digestSenderCount is the number of instances of a domain that send its
	// digests.
	digestSenderCount = 2
	// minDomainsForOneWatcher is the number of domains from which one instance
	// per domain may be enough to watch the store: changes that it misses
	// arrive from the watchers of other domains.
	minDomainsForOneWatcher = 4
	// followersPerWatcher is how many peers fetch changes from one instance
	// that watches the store. A large configuration has some 100 KB, and the
	// smallest instances send 1 MB/s.
	followersPerWatcher = 15
	// followersPerLargeWatcher is the same for a watcher with a capacity of at
	// least largeWatcherCapacity, which sends several times as much.
	followersPerLargeWatcher = 63
	largeWatcherCapacity     = 0.25
	// storeProberCount is the approximate number of instances of a domain that
	// call a store which none of them reaches. They are selected again in every
	// storeProbePeriod.
	storeProberCount = 4
	storeProbePeriod = time.Second
	// maxMessageBytes is the largest datagram that is read.
	maxMessageBytes = 64 << 10
	// unregisteredPeerTTL is how long an unregistered peer is kept after its
	// last message.
	unregisteredPeerTTL = time.Minute
)

// Options configure an Exchange.
type Options struct {
	Self     steering.Instance
	Regions  map[string]string // Region of each failure domain.
	Events   *events.Log
	Balancer *balance.Balancer
	Suspects *balance.Suspects
	Quotas   *quota.Limiter // Nil where requests of accounts are not limited.
	Seeds    []string       // Peer addresses of instances that introduce peers to each other.
	// Bootstrap is set when the whole deployment starts for the first time.
	Bootstrap      bool
	Revision       func() kv.Revision
	Ready          func() bool
	Leaving        func() bool
	StoreReachable func() bool // The store responds to this instance.
	// OnLiveChanged is called with the live instances, this one included,
	// whenever they change.
	OnLiveChanged func([]steering.Instance)
	// OnPeerAdvanced is called when a peer has read a newer store revision than
	// this instance.
	OnPeerAdvanced func()
}

// Exchange sends the state of this instance to other instances and keeps track
// of theirs.
type Exchange struct {
	options     Options
	conn        net.PacketConn
	started     time.Time
	dropLog     *events.RepeatLimit
	domainIndex int // Index of this instance's domain among all domains, sorted by name.

	mu              sync.Mutex
	registered      map[string]steering.Instance // Instances registered in the store, by name.
	peers           map[string]*peerState        // Peers of the same domain that have sent messages, by name.
	remoteDomains   map[string]*remoteDomain     // By name.
	live            []steering.Instance
	introducedPeers map[string]introducedPeer // Instances known from introductions, by name.
	seedResponded   bool
	// firstPeerHeard is when the first message of a peer of the domain arrived.
	firstPeerHeard time.Time
	lastSequence   uint64
	// nextHello is when to send the next hello to the seeds.
	nextHello time.Time
}

// peerState is the state of a peer of the same domain.
type peerState struct {
	instance    steering.Instance
	sequence    sequenceFilter
	lastMessage Message
	lastHeard   time.Time
	timedOut    bool // Its timeout was logged, or no message has arrived yet.
}

// remoteDomain is the state of another failure domain.
type remoteDomain struct {
	senderSequences       map[string]*sequenceFilter // By name; emptied after minDomainTimeout without digests.
	timedOut              bool                       // Its timeout was logged.
	lastDigest            Message
	lastHeard             time.Time
	roundTrip             time.Duration // Round trip time as measured here; 0 when unknown.
	nextDigest            time.Time     // When to send the next digest.
	unacknowledgedDigests int           // Digests sent to registered instances since the last digest was received.
}

// Listen opens the UDP socket of an exchange.
func Listen(options Options) (*Exchange, error) {
	conn, err := net.ListenPacket("udp", options.Self.PeerAddress)
	if err != nil {
		return nil, err
	}
	exchange := &Exchange{options: options, dropLog: events.NewRepeatLimit(dropLogInterval), conn: conn, started: time.Now(), registered: map[string]steering.Instance{},
		peers: map[string]*peerState{}, remoteDomains: map[string]*remoteDomain{}}
	for name := range options.Regions {
		if name != options.Self.Domain {
			exchange.remoteDomains[name] = &remoteDomain{}
		}
		if name < options.Self.Domain {
			exchange.domainIndex++
		}
	}
	exchange.live = []steering.Instance{options.Self}
	return exchange, nil
}

// Run sends and receives messages until ctx ends.
func (exchange *Exchange) Run(ctx context.Context) {
	go exchange.receive()
	exchange.sendHello(time.Now())
	for {
		exchange.mu.Lock()
		pause := exchange.messageInterval()
		exchange.mu.Unlock()
		select {
		case <-time.After(pause):
			now := time.Now()
			exchange.sendHello(now)
			exchange.expireIntroductions(now)
			exchange.sendState(now)
			exchange.sendDigests(now, false)
			exchange.updateLive(now)
		case <-ctx.Done():
			_ = exchange.conn.Close()
			return
		}
	}
}

// SetRegistered replaces the instances that are registered in the store.
func (exchange *Exchange) SetRegistered(list map[string]steering.Instance) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	exchange.registered = list
}

// Announce sends the state of this instance to its peers immediately.
func (exchange *Exchange) Announce() { exchange.sendState(time.Now()) }

// Leave removes this instance from the live ones and sends its state to all
// domains immediately.
func (exchange *Exchange) Leave() {
	now := time.Now()
	exchange.updateLive(now)
	exchange.sendState(now)
	exchange.sendDigests(now, true)
}

// uptimeMicros is the clock of echoed timestamps: microseconds since the start,
// never 0.
func (exchange *Exchange) uptimeMicros(now time.Time) uint64 {
	return uint64(now.Sub(exchange.started).Microseconds()) + 1
}
