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
	options  Options
	settings settings.Node
	self     steering.Instance
	events   *events.Log
	mirror   *mirror.Mirror
	balancer *balance.Balancer
	suspects *balance.Suspects
	exchange *gossip.Exchange
	gateway  *gateway.Gateway
	server   *gateway.Server
	relay    *gateway.Server // Of requests that other instances pass on; nil when there is none.
	forward  *forward.Forwarder
	relays   *forward.Forwarder
	life     *lifecycle.Machine
	leaving  atomic.Bool
	lease    atomic.Uint64
}

// stepInterval is the pause between two looks at slow matters: weights of
// regions and peers that fell silent.
const stepInterval = 250 * time.Millisecond

// sweepInterval is the pause between two looks at idle connections to targets.
const sweepInterval = 2 * time.Second

// New opens the listeners of a node.
func New(o Options) (*Node, error) {
	s := o.Settings
	now := time.Now()
	n := &Node{options: o, settings: s, events: events.New(o.Log), forward: forward.New(), relays: forward.NewWithIdleTimeout(gateway.RelayIdleTimeout), suspects: balance.NewSuspects()}
	n.self = steering.Instance{Name: s.Name, Domain: s.Domain, Region: s.Region, Address: s.Callers,
		PeerAddress: s.Peer, Incarnation: rand.Uint64(), Capacity: capacity(s)}
	n.balancer = balance.New(balance.Options{Name: s.Name, Domain: s.Domain, Region: s.Region, Regions: s.Regions,
		ShiftMost: s.Bounds.ShiftMost}, now)
	n.balancer.SetInstances([]steering.Instance{n.self})
	n.mirror = mirror.New(mirror.Options{Store: o.Store, Prefix: o.Platform.Prefix(), Codec: o.Platform, Events: n.events,
		Watches: n.watches, Joining: n.joining, Newer: n.newerPeer, Fetch: fetchSnapshot, Changed: n.worldChanged})
	chart, err := lifecycle.Load(charts.Files, charts.EntryInstance)
	if err != nil {
		return nil, err
	}
	n.life = chart.NewMachine(func(_, _, to string) { n.leaving.Store(to != "starting" && to != "serving") })
	n.exchange, err = gossip.Listen(gossip.Options{Self: n.self, Seeds: s.Seeds, Bootstrap: s.Bootstrap, Regions: s.Regions, Events: n.events,
		Balancer: n.balancer, Suspects: n.suspects, Revision: n.mirror.Revision, Ready: n.ready, Leaving: n.leaving.Load, InTouch: n.inTouch,
		Changed: n.instancesChanged, Advanced: n.mirror.Wake})
	if err != nil {
		return nil, fmt.Errorf("listen for messages of instances: %w", err)
	}
	n.gateway = gateway.New(gateway.Options{State: n.mirror.World, Balancer: n.balancer, Suspects: n.suspects, Budget: balance.NewBudget(s.Bounds, now),
		Forwarder: n.forward, RelayForwarder: n.relays, Headers: o.Headers, Events: n.events, LiveInstances: n.fleetSize})
	listener, err := net.Listen("tcp", s.Callers)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	n.server = gateway.NewServer(n.gateway, listener)
	if address := n.relayAddress(n.self); address != "" {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, fmt.Errorf("listen for requests of instances: %w", err)
		}
		n.relay = gateway.NewRelayServer(n.gateway, listener)
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
	// wideLink and largeShare are those of an instance with the capacity 1.
	wideLink   = 200.0 // Mbit/s.
	largeShare = 0.8   // Of a core.
)

// capacity is what an instance can carry for others; 0 when it is not known.
func capacity(s settings.Node) float64 { return min(1, s.Link/wideLink, s.Cores/largeShare) }

func (n *Node) instancesChanged(list []steering.Instance) {
	n.balancer.SetInstances(list)
	list = slices.Clone(list)
	registered := n.mirror.World().Instances
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
	go n.register(background)
	go n.steps(background)
	go n.assignHomes(background)
	for _, server := range n.servers() {
		go func() { failed <- server.Run(background) }()
	}
	n.fire("opened")
	s := n.settings
	n.events.Emit(events.NodeStarted, log.Fields{"domain": s.Domain, "region": s.Region, "callers": s.Callers,
		"directory": s.Directory, "peer": s.Peer, "store": s.Store})
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
	if err := n.life.Fire(trigger); err != nil {
		n.options.Log.WithError(err).Error("state chart does not permit the trigger")
	}
}

// ready reports whether callers may be sent here.
func (n *Node) ready() bool { return n.mirror.World().Config != nil && !n.leaving.Load() }

// inTouchFor is how long after an answer the store counts as heard. A watch
// answers at least every 2 s.
const inTouchFor = 3500 * time.Millisecond

// inTouch reports whether the store answers this instance.
func (n *Node) inTouch() bool { return n.mirror.Hears(time.Now(), inTouchFor) }

// fleetSize is the number of instances among which the deployment's budgets are
// divided. Instances that are cut off from this one still use their share, so
// registered ones count although they are not heard.
func (n *Node) fleetSize() int { return max(len(n.exchange.Live()), len(n.mirror.World().Instances)) }

func (n *Node) watches() bool { return n.exchange.Watches() }
func (n *Node) joining() bool { return n.exchange.Joining() }

func (n *Node) worldChanged(_, after *steering.World) {
	n.balancer.SetWorld(time.Now(), after)
	n.exchange.SetKnown(after.Instances)
	n.exchange.Announce()
}

func (n *Node) newerPeer(revision uint64) (mirror.Peer, bool) {
	in, at, ok := n.exchange.Newest(revision)
	return mirror.Peer{Name: in.Name, Address: in.PeerAddress, Revision: at}, ok
}

func (n *Node) steps(ctx context.Context) {
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	var swept time.Time
	pauses := newPauseWatch(bootTime())
	for {
		select {
		case now := <-tick.C:
			if paused := pauses.tick(bootTime()); paused > 0 {
				n.resumed(paused)
			}
			for _, c := range n.balancer.Step(now) {
				n.events.Emit(events.RegionWeights, log.Fields{"service": c.Service, "parts": rounded(c.Parts),
					"load": rounded(c.Load), "slots": c.Slots})
			}
			if !now.Before(swept) {
				swept = now.Add(sweepInterval)
				n.forward.PruneIdle()
				n.relays.PruneIdle()
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
	changed := s.Callers != n.settings.Callers || s.Ready != n.settings.Ready || s.Directory != n.settings.Directory ||
		s.Peer != n.settings.Peer || s.Store != n.settings.Store
	n.events.Emit(events.SettingsReloaded, log.Fields{"changed": changed})
}

// rounded returns values with two digits behind the point, for the log.
func rounded(values map[string]float64) map[string]float64 {
	out := make(map[string]float64, len(values))
	for k, v := range values {
		out[k] = math.Round(v*100) / 100
	}
	return out
}
