// Package entry assembles one entry instance: it answers look-ups, takes
// requests, chooses a target and carries the request there and back.
package entry

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/charts"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/forward"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/lifecycle"
	"github.com/jacinthstall/jacinthstall/membership"
	"github.com/jacinthstall/jacinthstall/once"
	"github.com/jacinthstall/jacinthstall/peer"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
	"github.com/jacinthstall/jacinthstall/policy"
	"github.com/jacinthstall/jacinthstall/quarantine"
	"github.com/jacinthstall/jacinthstall/ring"
	"github.com/jacinthstall/jacinthstall/scheduling"
	"github.com/jacinthstall/jacinthstall/settings"
)

// Instance is one entry instance.
type Instance struct {
	settings              settings.Settings
	incarnation           uint64
	platform              *kv.Client
	forwarder             *forward.Forwarder
	document              atomic.Pointer[policy.Document]
	members               *members
	config                *config
	lookupService         *lookupService
	keyRegistry           *once.Registry
	quarantineGuard       *quarantine.Guard
	chooser               Chooser
	runner                *scheduling.Runner
	notifier              *notifier
	prober                *prober
	memberTable           *memberTable
	regionDelays          *regionDelays
	schedulerViewSet      atomic.Bool // The scheduler has a view with homes.
	events                *events.Log
	metrics               *instanceMetrics
	stateMachine          *lifecycle.Machine
	leaving               atomic.Bool    // Set in every state after "serving".
	ignoreIdempotencyKeys bool           // Tests only: executes requests without asking the records.
	skipDrain             bool           // Tests only: stops without draining.
	onAccept              func(net.Conn) // Tests only: sees each connection of a caller.
	inFlight              atomic.Int64
	relaysInFlight        atomic.Int64 // Requests of other instances.
	peers                 *peer.Pool
	linkLimiter           *linkLimiter
	pendingBodies         pendingBodies
	crashReports          *ring.Ring[quarantine.Report]
	log                   log.Interface
}

// New returns an instance that is not running yet.
func New(s settings.Settings, logger log.Interface) (*Instance, error) {
	p, err := kv.NewClient(s.Platform)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	incarnation := uint64(now.UnixNano())
	records, err := once.New(once.Issuer{Instance: s.Name, Incarnation: incarnation}, now)
	if err != nil {
		return nil, err
	}
	chart, err := lifecycle.Load(charts.Files, charts.EntryInstanceFile)
	if err != nil {
		return nil, err
	}
	emitted := events.New(logger)
	in := &Instance{
		settings:        s,
		incarnation:     incarnation,
		keyRegistry:     records,
		quarantineGuard: quarantine.New(),
		peers:           peer.NewPool(),
		crashReports:    ring.New[quarantine.Report](maxQueuedCrashReports),
		prober:          &prober{running: map[string]bool{}},
		regionDelays:    &regionDelays{delays: map[string]time.Duration{}},
		platform:        p,
		forwarder:       forward.New(),
		members:         newMembers(selfUpdate(s, incarnation), emitted),
		lookupService:   newLookupService(s.Domain, emitted),
		events:          emitted,
		metrics:         newInstanceMetrics(),
		log:             logger,
	}
	in.linkLimiter = newLinkLimiter(s.Region, in.document.Load, emitted)
	in.linkLimiter.lenders = regionLenders{in}
	in.linkLimiter.tableVersion = func() uint64 { return in.members.self().TableVersion }
	in.stateMachine = chart.NewMachine(in.onStateChange)
	in.memberTable = newMemberTable(in)
	in.SetLinkShare(in.memberTable.linkShare)
	in.notifier = &notifier{instance: in, loadReports: map[string]*peerpb.LoadReport{}}
	in.runner = in.newRunner(in.notifier)
	in.chooser = &scheduledChooser{runner: in.runner}
	in.prober.probe, in.prober.onSuccess = in.probeTarget, in.runner.ProbeSucceeded
	in.config, err = newConfig(in)
	return in, err
}

func selfUpdate(s settings.Settings, incarnation uint64) membership.Update {
	return membership.Update{
		Name:          s.Name,
		Domain:        s.Domain,
		Region:        s.Region,
		PeerAddress:   s.PeerAddress,
		CallerAddress: s.CallerAddress,
		Incarnation:   incarnation,
	}
}

// Run serves until ctx ends, then stops gracefully: it announces that it is
// leaving, serves until cached look-up answers have expired, finishes the
// requests in flight and returns.
func (in *Instance) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	listener, err := net.Listen("tcp", in.settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	in.SetPeerHooks(PeerHooks{OnFrozen: in.suspendTable})
	operators, err := in.operatorServer()
	if err != nil {
		_ = listener.Close()
		return err
	}
	callerListener, err := listenCallers(in.settings.CallerAddress)
	if err != nil {
		_ = listener.Close()
		return fmt.Errorf("listen for callers: %w", err)
	}
	callers := in.callerServer(callerListener)
	failed := make(chan error, 3)
	go func() { failed <- callers.Run() }()
	go func() { failed <- operators.Run() }()
	go func() { failed <- in.servePeers(background, listener) }()
	go in.watchDocument(background)
	in.notifier.outbox = peer.NewOutbox(background, in.peers, in.members.address)
	go in.runner.Run(background)
	go in.runTable(background)
	go in.runMembers(background)
	go runEvery(background, lookupRefreshInterval, in.refreshLookups)
	go in.sendCrashReports(background)

	in.fireTrigger("opened")
	select {
	case <-ctx.Done():
	case err := <-failed:
		in.fireTrigger("failed")
		return fmt.Errorf("listener ended: %w", err)
	}
	return in.stop(callerListener, callers, operators)
}
