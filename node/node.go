package node

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"

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

// Platform is what a node needs of the platform's formats. Package platform
// implements it.
type Platform interface {
	mirror.Codec
	InstanceKey(name string) string
	InstanceValue(steering.Instance) ([]byte, error)
	HomesKey(region string) string
	HomesValue(*steering.HomeTable) ([]byte, error)
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
	// Reload reads the settings again.
	Reload func() (settings.Node, error)
	// StoreCalls and DroppedLines count for the metrics; both may be nil.
	StoreCalls   func() uint64
	DroppedLines func() uint64
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
	exchange       *gossip.Exchange
	gateway        *gateway.Gateway
	callerServer   *gateway.Server
	relayServer    *gateway.Server // Of requests that other instances pass on; nil when there is none.
	forwarder      *forward.Forwarder
	relayForwarder *forward.Forwarder
	stateMachine   *lifecycle.Machine
	leaving        atomic.Bool
	lease          atomic.Uint64
}

// maintenanceInterval is the pause between two looks at slow matters: weights of
// regions and peers that fell silent.
const maintenanceInterval = 250 * time.Millisecond

// sweepInterval is the pause between two looks at idle connections to targets.
const sweepInterval = 2 * time.Second

// New opens the listeners of a node.
func New(o Options) (*Node, error) {
	s := o.Settings
	now := time.Now()
	n := &Node{options: o, settings: s, events: events.New(o.Log), forwarder: forward.New(), relayForwarder: forward.NewWithIdleTimeout(gateway.RelayIdleTimeout), suspects: balance.NewSuspects()}
	n.self = steering.Instance{Name: s.Name, Domain: s.Domain, Region: s.Region, Address: s.CallerAddress,
		PeerAddress: s.PeerAddress, Incarnation: rand.Uint64(), Capacity: capacity(s)}
	n.balancer = balance.New(balance.Options{Name: s.Name, Domain: s.Domain, Region: s.Region, Regions: s.RegionByDomain,
		MaxWeightShift: s.Bounds.MaxRegionShift}, now)
	n.balancer.SetInstances([]steering.Instance{n.self})
	n.mirror = mirror.New(mirror.Options{Store: o.Store, Prefix: o.Platform.Prefix(), Codec: o.Platform, Events: n.events,
		WatchesStore: n.watchesStore, DefersFirstRead: n.defersFirstRead, NewerPeer: n.newerPeer, Fetch: fetchSnapshot, OnStateChanged: n.stateChanged})
	chart, err := lifecycle.Load(charts.Files, charts.EntryInstanceFile)
	if err != nil {
		return nil, err
	}
	n.stateMachine = chart.NewMachine(func(_, _, to string) { n.leaving.Store(to != "starting" && to != "serving") })
	n.exchange, err = gossip.Listen(gossip.Options{Self: n.self, Seeds: s.SeedAddresses, Bootstrap: s.Bootstrap, Regions: s.RegionByDomain, Events: n.events,
		Balancer: n.balancer, Suspects: n.suspects, Revision: n.mirror.Revision, Ready: n.ready, Leaving: n.leaving.Load, StoreReachable: n.storeReachable,
		OnLiveChanged: n.instancesChanged, OnPeerAdvanced: n.mirror.Wake})
	if err != nil {
		return nil, fmt.Errorf("listen for messages of instances: %w", err)
	}
	n.gateway = gateway.New(gateway.Options{State: n.mirror.State, Balancer: n.balancer, Suspects: n.suspects, Budget: balance.NewRetryBudget(s.Bounds, now),
		Forwarder: n.forwarder, RelayForwarder: n.relayForwarder, Headers: o.Headers, Events: n.events, LiveInstances: n.instanceCount})
	listener, err := net.Listen("tcp", s.CallerAddress)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	n.callerServer = gateway.NewServer(n.gateway, listener)
	if address := n.relayAddress(n.self); address != "" {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, fmt.Errorf("listen for requests of instances: %w", err)
		}
		n.relayServer = gateway.NewRelayServer(n.gateway, listener)
	}
	return n, nil
}

// relayAddress returns where an instance carries requests for others, or "".
func (n *Node) relayAddress(in steering.Instance) string {
	host, _, err := net.SplitHostPort(in.PeerAddress)
	if err != nil || n.settings.RelayPort == 0 {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(n.settings.RelayPort))
}

const (
	// fullCapacityLinkMbps and largeShare are those of an instance with the capacity 1.
	fullCapacityLinkMbps = 200.0 // Mbit/s.
	fullCapacityCores    = 0.8   // Of a core.
)

// capacity is what an instance can carry for others; 0 when it is not known.
func capacity(s settings.Node) float64 {
	return min(1, s.LinkMbps/fullCapacityLinkMbps, s.CPUShare/fullCapacityCores)
}

func (n *Node) instancesChanged(list []steering.Instance) {
	n.balancer.SetInstances(list)
	list = slices.Clone(list)
	registered := n.mirror.State().Instances
	for i := range list {
		list[i].Capacity = registered[list[i].Name].Capacity // Messages do not carry it.
	}
	n.gateway.UpdateRelays(n.self, list, n.relayAddress)
}

// Run serves until ctx ends, then stops gracefully.
func (n *Node) Run(ctx context.Context, reload <-chan struct{}) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 8)
	if err := n.startListeners(background, failed); err != nil {
		return err
	}
	go n.mirror.Run(background)
	go n.exchange.Run(background)
	go n.keepRegistered(background)
	go n.runMaintenance(background)
	go n.runRebalancing(background)
	for _, server := range n.requestServers() {
		go func() { failed <- server.Run(background) }()
	}
	n.fire("opened")
	s := n.settings
	n.events.Emit(events.NodeStarted, log.Fields{"domain": s.Domain, "region": s.Region, "callers": s.CallerAddress,
		"directory": s.LookupAddress, "peer": s.PeerAddress, "store": s.StoreAddress})
	for {
		select {
		case <-reload:
			n.reload()
		case err := <-failed:
			n.fire("failed")
			return fmt.Errorf("listener ended: %w", err)
		case <-ctx.Done():
			n.stop(background)
			return nil
		}
	}
}

func (n *Node) fire(trigger string) {
	if err := n.stateMachine.Fire(trigger); err != nil {
		n.options.Log.WithError(err).Error("state chart does not permit the trigger")
	}
}

// ready reports whether callers may be sent here.
func (n *Node) ready() bool { return n.mirror.State().Config != nil && !n.leaving.Load() }

// maxStoreResponseAge is how long after an answer the store counts as heard. A watch
// answers at least every 2 s.
const maxStoreResponseAge = 3500 * time.Millisecond

// storeReachable reports whether the store answers this instance.
func (n *Node) storeReachable() bool { return n.mirror.StoreReachable(time.Now(), maxStoreResponseAge) }

// instanceCount is the number of instances among which the deployment's budgets are
// divided. Instances that are cut off from this one still use their share, so
// registered ones count although they are not heard.
func (n *Node) instanceCount() int {
	return max(len(n.exchange.Live()), len(n.mirror.State().Instances))
}

func (n *Node) watchesStore() bool    { return n.exchange.WatchesStore() }
func (n *Node) defersFirstRead() bool { return n.exchange.DefersFirstRead() }

func (n *Node) stateChanged(_, after *steering.State) {
	n.balancer.SetState(time.Now(), after)
	n.exchange.SetRegistered(after.Instances)
	n.exchange.Announce()
}

func (n *Node) newerPeer(revision uint64) (mirror.Peer, bool) {
	in, at, ok := n.exchange.NewerPeer(revision)
	return mirror.Peer{Name: in.Name, Address: in.PeerAddress, Revision: at}, ok
}

func (n *Node) runMaintenance(ctx context.Context) {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	var swept time.Time
	pauses := newPauseDetector(bootClock())
	for {
		select {
		case now := <-tick.C:
			if paused := pauses.tick(bootClock()); paused > 0 {
				n.handlePause(paused)
			}
			for _, c := range n.balancer.Tick(now) {
				n.events.Emit(events.RegionWeights, log.Fields{"service": c.Service, "parts": roundToHundredths(c.Weights),
					"load": roundToHundredths(c.Load), "slots": c.Slots})
			}
			if !now.Before(swept) {
				swept = now.Add(sweepInterval)
				n.forwarder.PruneIdle()
				n.relayForwarder.PruneIdle()
				n.gateway.PreconnectRelays(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) reload() {
	s, err := n.options.Reload()
	if err != nil {
		n.events.Emit(events.SettingsRejected, log.Fields{"error": err.Error()})
		return
	}
	changed := s.CallerAddress != n.settings.CallerAddress || s.ReadinessAddress != n.settings.ReadinessAddress || s.LookupAddress != n.settings.LookupAddress ||
		s.PeerAddress != n.settings.PeerAddress || s.StoreAddress != n.settings.StoreAddress
	n.events.Emit(events.SettingsReloaded, log.Fields{"changed": changed})
}

// roundToHundredths returns values with two digits behind the point, for the log.
func roundToHundredths(values map[string]float64) map[string]float64 {
	out := make(map[string]float64, len(values))
	for k, v := range values {
		out[k] = math.Round(v*100) / 100
	}
	return out
}
