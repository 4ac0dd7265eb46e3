// Package entry implements one entry instance. It responds to look-ups of callers,
// receives their requests, chooses a target for each, forwards the request to
// it and returns the response.
package entry

import (
	"cmp"
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
	schedulerViewSet      atomic.Bool // Whether the scheduler has a view with home instances.
	events                *events.Log
	metrics               *instanceMetrics
	stateMachine          *lifecycle.Machine
	leaving               atomic.Bool      // Set in every state after "serving".
	ignoreIdempotencyKeys bool             // Tests only: executes requests with a key without checking the registry.
	skipDrain             bool             // Tests only: stops without draining.
	onAccept              func(net.Conn)   // Tests only: called with each connection of a caller.
	onListen              func(*listeners) // Tests only: called when Run has opened the listeners.
	inFlight              atomic.Int64
	relaysInFlight        atomic.Int64 // Requests relayed by peers that are being served.
	peers                 *peer.Pool
	tasks                 *tasks
	linkLimiter           *linkLimiter
	pendingBodies         pendingBodies
	crashReports          *ring.Ring[quarantine.Report]
	log                   log.Interface
}

// New returns an instance that is not running yet.
func New(s settings.Settings, logger log.Interface) (*Instance, error) {
	platform, err := kv.NewClient(s.Platform)
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
	eventLog := events.New(logger)
	inst := &Instance{
		settings:        s,
		incarnation:     incarnation,
		keyRegistry:     records,
		quarantineGuard: quarantine.New(),
		peers:           peer.NewPool(),
		tasks:           newTasks(),
		crashReports:    ring.New[quarantine.Report](maxQueuedCrashReports),
		prober:          &prober{running: map[string]bool{}},
		regionDelays:    &regionDelays{delays: map[string]time.Duration{}},
		platform:        platform,
		forwarder:       forward.New(),
		members:         newMembers(selfUpdate(s, incarnation), eventLog),
		lookupService:   newLookupService(s.Domain, eventLog),
		events:          eventLog,
		metrics:         newInstanceMetrics(),
		log:             logger,
	}
	inst.linkLimiter = newLinkLimiter(s.Region, inst.document.Load, eventLog)
	inst.linkLimiter.lenders = regionLenders{inst}
	inst.linkLimiter.tableVersion = func() uint64 { return inst.members.self().TableVersion }
	inst.stateMachine = chart.NewMachine(inst.onStateChange)
	inst.memberTable = newMemberTable(inst)
	inst.SetLinkShare(inst.memberTable.linkShare)
	inst.notifier = &notifier{instance: inst, loadReports: map[string]*peerpb.LoadReport{}}
	inst.runner = inst.newRunner(inst.notifier)
	inst.chooser = &scheduledChooser{runner: inst.runner}
	inst.prober.probe, inst.prober.onSuccess = inst.probeTarget, inst.runner.ProbeSucceeded
	inst.config, err = newConfig(inst)
	return inst, err
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

// Run serves until ctx ends and then shuts down gracefully: it announces that
// it is leaving, serves until cached look-up responses have expired, completes
// the requests in flight and returns.
func (inst *Instance) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer inst.tasks.stop()
	inst.SetPeerHooks(PeerHooks{OnFrozen: inst.suspendTable})
	open, err := inst.listen()
	if err != nil {
		return err
	}
	callers := inst.callerServer(open.callers)
	operators, err := inst.operatorServer(open.operators)
	if err != nil {
		open.close()
		return err
	}
	if inst.onListen != nil {
		inst.onListen(open)
	}
	failed := make(chan error, 3)
	go func() { failed <- callers.Run() }()
	go func() { failed <- operators.Run() }()
	go func() { failed <- inst.servePeers(background, open.peers) }()
	go inst.watchDocument(background)
	inst.notifier.outbox = peer.NewOutbox(background, inst.peers, inst.members.address)
	go inst.runner.Run(background)
	go inst.runTable(background)
	go inst.runMembers(background)
	go runEvery(background, lookupRefreshInterval, inst.refreshLookups)
	go inst.sendCrashReports(background)

	inst.fireTrigger("opened")
	select {
	case <-ctx.Done():
	case err := <-failed:
		inst.fireTrigger("failed")
		open.close()
		return fmt.Errorf("listener ended: %w", cmp.Or(err, net.ErrClosed))
	}
	return inst.stop(open.callers, callers, operators)
}
