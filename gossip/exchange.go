package gossip

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// minMessageInterval is the pause between messages in a domain, and between
	// digests to domains of the own region. Requests take some hundred
	// milliseconds, so counts that are 100 ms old are still good for choosing a
	// target.
	minMessageInterval = 100 * time.Millisecond
	// minRemoteInterval is the pause between digests to other regions, at least. In
	// large domains it is farStretch times that between messages in a domain.
	minRemoteInterval    = 500 * time.Millisecond
	remoteIntervalFactor = 2
	// secondSenderFactor is how much less often the second speaker sends digests. It
	// covers the time until a dead first one is noticed.
	secondSenderFactor = 4
	// maxInstancesAtMinInterval is the number of instances of a domain up to which nearInterval
	// holds. In larger ones it grows in proportion.
	maxInstancesAtMinInterval = 8
	// maxTargetsInRemoteReport is the number of targets with requests up to which digests tell
	// other regions of all of them, in about 1.5 KB. Larger ones tell a region
	// only of its own targets.
	maxTargetsInRemoteReport = 256
	// messagesPerIdentity is how many messages carry addresses once.
	messagesPerIdentity = 8
	// minPeerTimeout is when an instance of the own domain counts as dead, at least.
	// Several messages in a row must be lost for it.
	minPeerTimeout = time.Second
	// peerTimeoutMessages is the number of missed messages after which it does.
	peerTimeoutMessages = 5
	// minDomainTimeout is when a domain whose digests no longer arrive counts as
	// unreachable, at least.
	minDomainTimeout = 2 * time.Second
	// domainTimeoutDigests is the number of missed digests after which it does.
	domainTimeoutDigests = 4
	// digestSenderCount is the number of instances of a domain that speak for it.
	digestSenderCount = 2
	// minDomainsForOneWatcher is the number of domains from which on one instance of each
	// may watch the store: news that it misses come from the watchers of the others.
	minDomainsForOneWatcher = 4
	// followersPerWatcher is how many others take the changes from one instance
	// that watches the store. A large configuration has some 100 KB, and the
	// smallest instances send 1 MB/s.
	followersPerWatcher = 15
	// followersPerLargeWatcher is the same for an instance of largeCapacity or more,
	// which sends several times as much.
	followersPerLargeWatcher = 63
	largeWatcherCapacity     = 0.25
	// storeProberCount is about how many instances of a domain try to reach a store
	// that none of them hears, and tryTime how long each of them does.
	storeProberCount = 4
	storeProbePeriod = time.Second
	// maxMessageBytes is the largest datagram that is read.
	maxMessageBytes = 64 << 10
	// unregisteredPeerTTL is when a silent instance that is not registered is dropped.
	unregisteredPeerTTL = time.Minute
)

// Options configure an Exchange.
type Options struct {
	Self     steering.Instance
	Regions  map[string]string // Region of each failure domain.
	Events   *events.Log
	Balancer *balance.Balancer
	Suspects *balance.Suspects
	Seeds    []string // Peer addresses of instances that introduce others.
	// Bootstrap says that the whole deployment starts, for the first time.
	Bootstrap      bool
	Revision       func() uint64
	Ready          func() bool
	Leaving        func() bool
	StoreReachable func() bool // The store answers this instance.
	// OnLiveChanged is called with the live instances, this one included, when they change.
	OnLiveChanged func([]steering.Instance)
	// OnPeerAdvanced is called when an instance of the domain has read the store farther.
	OnPeerAdvanced func()
}

// Exchange tells other instances about this one and knows what they told.
type Exchange struct {
	options     Options
	conn        net.PacketConn
	started     time.Time
	domainIndex int // Of the own domain among all, by name.

	mu              sync.Mutex
	registered      map[string]steering.Instance // Registered ones, by name.
	peers           map[string]*peerState        // Heard ones of the own domain, by name.
	remoteDomains   map[string]*remoteDomain     // Other domains.
	live            []steering.Instance
	introducedPeers map[string]introducedPeer // Introduced ones, by name.
	seedResponded   bool                      // A seed has answered.
	// firstPeerHeard is when the first other instance of the domain was heard.
	firstPeerHeard time.Time
	lastSequence   uint64
	// nextHello is when to ask the seeds again.
	nextHello time.Time
}

// peerState is another instance of the own domain.
type peerState struct {
	instance    steering.Instance
	sequence    sequenceFilter
	lastMessage Message
	lastHeard   time.Time
	timedOut    bool // It was logged that it is silent, or it was never heard.
}

// remoteDomain is another failure domain.
type remoteDomain struct {
	senderSequences       map[string]*sequenceFilter // By name; emptied while the domain is silent.
	timedOut              bool                       // It was logged that it is silent.
	lastDigest            Message                    // The last digest.
	lastHeard             time.Time
	roundTrip             time.Duration // Round trip to it, as measured here; 0 when it is not known.
	nextDigest            time.Time     // When to send to it again.
	unacknowledgedDigests int           // Digests sent since it was last heard.
}

// Listen opens the socket of an exchange.
func Listen(o Options) (*Exchange, error) {
	conn, err := net.ListenPacket("udp", o.Self.PeerAddress)
	if err != nil {
		return nil, err
	}
	x := &Exchange{options: o, conn: conn, started: time.Now(), registered: map[string]steering.Instance{},
		peers: map[string]*peerState{}, remoteDomains: map[string]*remoteDomain{}}
	for name := range o.Regions {
		if name != o.Self.Domain {
			x.remoteDomains[name] = &remoteDomain{}
		}
		if name < o.Self.Domain {
			x.domainIndex++
		}
	}
	x.live = []steering.Instance{o.Self}
	return x, nil
}

// Run exchanges messages until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	go x.receive()
	x.sendHello(time.Now())
	for {
		x.mu.Lock()
		pause := x.messageInterval()
		x.mu.Unlock()
		select {
		case <-time.After(pause):
			now := time.Now()
			x.sendHello(now)
			x.expireIntroductions(now)
			x.sendState(now)
			x.sendDigests(now, false)
			x.updateLive(now)
		case <-ctx.Done():
			_ = x.conn.Close()
			return
		}
	}
}

// SetRegistered takes over the registered instances.
func (x *Exchange) SetRegistered(list map[string]steering.Instance) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.registered = list
}

// Announce tells the own domain the state of this instance at once.
func (x *Exchange) Announce() { x.sendState(time.Now()) }

// Leave takes this instance out of the live ones and tells all domains at once.
func (x *Exchange) Leave() {
	now := time.Now()
	x.updateLive(now)
	x.sendState(now)
	x.sendDigests(now, true)
}

func (x *Exchange) uptimeMicros(now time.Time) uint64 {
	return uint64(now.Sub(x.started).Microseconds()) + 1
}
