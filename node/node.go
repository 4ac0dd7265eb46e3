package node

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/charts"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/forward"
	"github.com/jacinthstall/jacinthstall/gateway"
	"github.com/jacinthstall/jacinthstall/gossip"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/lifecycle"
	"github.com/jacinthstall/jacinthstall/mirror"
	"github.com/jacinthstall/jacinthstall/settings"
	"github.com/jacinthstall/jacinthstall/steering"
)

// Platform is the part of the platform's formats that a node needs. Package
// platform implements it.
type Platform interface {
	mirror.Codec
	InstanceKey(name string) string
	InstanceValue(steering.Instance) ([]byte, error)
	HomesKey(region string) string
	HomesValue(*steering.HomeTable) ([]byte, error)
	CrashesKey() string
	CrashesValue(*steering.CrashTable) ([]byte, error)
	Resolution(addresses []string, ttl time.Duration) ([]byte, error)
	ReadyPath() string
	ResolvePath() string
	Prefix() string
}

// Options configure a Node.
type Options struct {
	Settings settings.Node
	Platform Platform
	Headers  gateway.Headers
	Store    kv.Store
	Log      log.Interface
	// FixedCapacity and LearnWhereStated limit learning of the targets' speed and
	// limits; see balance.Options.
	FixedCapacity, LearnWhereStated bool
	// Reload reads the settings again.
	Reload func() (settings.Node, error)
	// StoreCalls and DroppedLines return counters for the metrics; both may be
	// nil.
	StoreCalls   func() uint64
	DroppedLines func() uint64
	// OnInvalidEra sets the function that is called with values of the store's era
	// that cannot be read. It may be nil.
	OnInvalidEra func(report func(value string))
}

// Node is one entry instance.
type Node struct {
	options        Options
	settings       settings.Node
	self           steering.Instance
	events         *events.Log
	mirror         *mirror.Mirror
	balancer       *balance.Balancer
	suspects       *balance.Suspects
	quotas         *accountQuotas
	exchange       *gossip.Exchange
	gateway        *gateway.Gateway
	callerServer   *gateway.Server
	relayServer    *gateway.Server // Accepts requests from peers; nil without a relay port.
	forwarder      *forward.Forwarder
	relayForwarder *forward.Forwarder // Sends requests to relays.
	stateMachine   *lifecycle.Machine
	explaining     sync.Mutex // Held by handleExplain.
	leaving        atomic.Bool
	// routing is the state by which requests are routed. It follows the state of the
	// mirror as soon as the balancer knows the targets.
	routing       atomic.Pointer[steering.State]
	lease         atomic.Pointer[kv.LeaseID]    // Nil before the first registration.
	lostHomeTable atomic.Pointer[lostHomeTable] // Nil if there is nothing to write again.
}

// maintenanceInterval is the interval between calls of Balancer.Tick, which
// updates the weights of regions and drops reports of peers that have expired,
// and between checks for pauses of the process.
const maintenanceInterval = 250 * time.Millisecond

// renewalsBeforeLapse is the number of renewals in a row that must fail before the
// record of a target lapses.
const renewalsBeforeLapse = 2

// sweepInterval is the interval between sweeps of idle connections to targets
// and relays.
const sweepInterval = 2 * time.Second

// New returns a node with open listeners for callers and peers.
func New(options Options) (*Node, error) {
	s := options.Settings
	now := time.Now()
	node := &Node{options: options, settings: s, events: events.New(options.Log), forwarder: forward.New(), relayForwarder: forward.NewWithIdleTimeout(gateway.RelayIdleTimeout), suspects: balance.NewSuspects()}
	node.self = steering.Instance{Name: s.Name, Domain: s.Domain, Region: s.Region, Address: s.CallerAddress,
		PeerAddress: s.PeerAddress, Incarnation: rand.Uint64(), Capacity: capacity(s)}
	node.balancer = balance.New(balance.Options{Name: s.Name, Domain: s.Domain, Region: s.Region, Regions: s.RegionByDomain,
		MaxWeightShift: s.Bounds.MaxRegionShift, FixedCapacity: options.FixedCapacity, LearnWhereStated: options.LearnWhereStated, BootClock: bootClock}, now)
	node.balancer.SetInstances(now, []steering.Instance{node.self}, 0)
	node.quotas = newAccountQuotas(s.Bounds, node.events, now)
	node.mirror = mirror.New(mirror.Options{Store: options.Store, Prefix: options.Platform.Prefix(), Codec: options.Platform, Events: node.events,
		WatchesStore: node.watchesStore, DefersFirstRead: node.defersFirstRead, NewerPeer: node.newerPeer, Fetch: fetchSnapshot, OnStateChanged: node.stateChanged,
		StoreServes: node.storeServes, OnEraChanged: node.eraChanged, MinLapseTime: renewalsBeforeLapse * s.HeartbeatInterval})
	node.routing.Store(node.mirror.State())
	if options.OnInvalidEra != nil {
		options.OnInvalidEra(node.invalidEra)
	}
	chart, err := lifecycle.Load(charts.Files, charts.EntryInstanceFile)
	if err != nil {
		return nil, err
	}
	node.stateMachine = chart.NewMachine(func(_, _, to string) { node.leaving.Store(to != "starting" && to != "serving") })
	node.exchange, err = gossip.Listen(gossip.Options{Self: node.self, Seeds: s.SeedAddresses, Bootstrap: s.Bootstrap, Regions: s.RegionByDomain, Events: node.events,
		Balancer: node.balancer, Suspects: node.suspects, Quotas: node.quotas.Limiter, Revision: node.mirror.Position, Ready: node.ready, Leaving: node.leaving.Load, StoreReachable: node.storeReachable,
		OnLiveChanged: node.instancesChanged, OnPeerAdvanced: node.mirror.Wake})
	if err != nil {
		return nil, fmt.Errorf("listen for gossip messages: %w", err)
	}
	node.gateway = gateway.New(gateway.Options{State: node.routing.Load, Balancer: node.balancer, Suspects: node.suspects, Budget: balance.NewRetryBudget(s.Bounds, now),
		Forwarder: node.forwarder, RelayForwarder: node.relayForwarder, Headers: options.Headers, Events: node.events, LiveInstances: node.instanceCount, Quotas: node.quotas, ExplainQuota: node.quotas.Explain,
		MemoryBytes: s.MemoryBytes})
	node.quotas.refused = gometrics.GetOrRegisterCounter("requests_over_quota_total", node.gateway.Counters().Registry)
	listener, err := net.Listen("tcp", s.CallerAddress)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	node.callerServer = gateway.NewServer(node.gateway, listener)
	if address := node.relayAddress(node.self); address != "" {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, fmt.Errorf("listen for relayed requests: %w", err)
		}
		node.relayServer = gateway.NewRelayServer(node.gateway, listener)
	}
	return node, nil
}

// relayAddress returns where an instance accepts requests that it relays for
// others, or "" if it doesn't.
func (node *Node) relayAddress(in steering.Instance) string {
	host, _, err := net.SplitHostPort(in.PeerAddress)
	if err != nil || node.settings.RelayPort == 0 {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(node.settings.RelayPort))
}

const (
	// Link rate and processor cores of an instance with the capacity 1.
	fullCapacityLinkMbps = 200.0
	fullCapacityCores    = 0.8
)

// capacity is the capacity of an instance to work for others, from 0 for
// unknown to 1.
func capacity(s settings.Node) float64 {
	return min(1, s.LinkMbps/fullCapacityLinkMbps, s.CPUShare/fullCapacityCores)
}

func (node *Node) instancesChanged(live []steering.Instance) {
	node.balancer.SetInstances(time.Now(), live, node.exchange.PeerTimeout())
	node.suspects.SetInstances(node.self.Name, live)
	live = slices.Clone(live)
	registered := node.mirror.State().Instances
	for i := range live {
		live[i].Capacity = registered[live[i].Name].Capacity // Digests don't carry it.
	}
	node.gateway.UpdateRelays(node.self, live, node.relayAddress)
}

// Run serves until ctx ends and then shuts down gracefully.
func (node *Node) Run(ctx context.Context, reload <-chan struct{}) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 8)
	if err := node.startListeners(background, failed); err != nil {
		return err
	}
	go node.mirror.Run(background)
	go node.exchange.Run(background)
	go node.keepRegistered(background)
	go node.runMaintenance(background)
	go node.runRebalancing(background)
	go node.runQuotas(background)
	go node.keepCrashTable(background)
	for _, server := range node.requestServers() {
		go func() { failed <- server.Run(background) }()
	}
	node.fire("opened")
	s := node.settings
	node.events.Emit(events.NodeStarted, log.Fields{"domain": s.Domain, "region": s.Region, "callers": s.CallerAddress,
		"directory": s.LookupAddress, "peer": s.PeerAddress, "store": s.StoreAddress})
	for {
		select {
		case <-reload:
			node.reload()
		case err := <-failed:
			node.fire("failed")
			return fmt.Errorf("listener failed: %w", err)
		case <-ctx.Done():
			node.stop(background)
			return nil
		}
	}
}

func (node *Node) fire(trigger string) {
	if err := node.stateMachine.Fire(trigger); err != nil {
		node.options.Log.WithError(err).Error("trigger is not permitted by the state chart")
	}
}

// ready reports whether callers may be sent to this instance.
func (node *Node) ready() bool { return node.routing.Load().Config != nil && !node.leaving.Load() }

// maxStoreResponseAge is how long after its last response the store counts as
// reachable. A watch returns at least every 2 s.
const maxStoreResponseAge = 3500 * time.Millisecond

// storeReachable reports whether the store responds to this instance.
func (node *Node) storeReachable() bool {
	return node.mirror.StoreReachable(time.Now(), maxStoreResponseAge)
}

// instanceCount is the number of instances among which the deployment's retry
// budget and connections to targets are divided. Registered instances count
// even if they are unreachable from here, because they still use their share.
func (node *Node) instanceCount() int {
	return max(len(node.exchange.Live()), len(node.mirror.State().Instances))
}

func (node *Node) watchesStore() bool    { return node.exchange.WatchesStore() }
func (node *Node) defersFirstRead() bool { return node.exchange.DefersFirstRead() }

func (node *Node) stateChanged(before, after *steering.State) {
	node.applyCrashTable(before.CrashTable, after.CrashTable)
	if before.Config == nil {
		// Later, runQuotas does so: after a stall it waits for messages to be read.
		node.updateQuotaShare(time.Now(), after)
	}
	node.quotas.configChanged(time.Now(), before.Config, after.Config)
	node.balancer.SetState(time.Now(), after)
	node.routing.Store(after)
	node.exchange.SetRegistered(after.Instances)
	node.exchange.Announce()
}

func (node *Node) newerPeer(revision kv.Revision) (mirror.Peer, bool) {
	in, at, ok := node.exchange.NewerPeer(revision)
	return mirror.Peer{Name: in.Name, Address: in.PeerAddress, Revision: at}, ok
}

func (node *Node) runMaintenance(ctx context.Context) {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	var nextSweep time.Time
	detector := newPauseDetector(bootClock())
	for {
		select {
		case now := <-tick.C:
			if paused := detector.tick(bootClock()); paused > 0 {
				node.handlePause(paused)
			}
			for _, c := range node.balancer.Tick(now) {
				node.events.Emit(events.RegionWeights, log.Fields{"service": c.Service, "parts": roundToHundredths(c.Weights),
					"load": roundToHundredths(c.Load), "slots": c.Slots})
			}
			node.gateway.LogLimitChanges()
			node.gateway.LogCapacityChanges()
			node.gateway.LogAvailabilityChanges()
			if !now.Before(nextSweep) {
				nextSweep = now.Add(sweepInterval)
				node.forwarder.PruneIdle()
				node.relayForwarder.PruneIdle()
				node.gateway.PreconnectRelays(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (node *Node) reload() {
	s, err := node.options.Reload()
	if err != nil {
		node.events.Emit(events.SettingsRejected, log.Fields{"error": err.Error()})
		return
	}
	changed := s.CallerAddress != node.settings.CallerAddress || s.ReadinessAddress != node.settings.ReadinessAddress || s.LookupAddress != node.settings.LookupAddress ||
		s.PeerAddress != node.settings.PeerAddress || s.StoreAddress != node.settings.StoreAddress
	node.events.Emit(events.SettingsReloaded, log.Fields{"changed": changed})
}

// roundToHundredths rounds values for the log.
func roundToHundredths(values map[string]float64) map[string]float64 {
	out := make(map[string]float64, len(values))
	for k, v := range values {
		out[k] = math.Round(v*100) / 100
	}
	return out
}
