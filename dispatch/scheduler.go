package dispatch

import (
	"slices"
	"sort"
	"time"

	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/slots"
)

// serviceState is the scheduler's state for one service.
type serviceState struct {
	Service
	queue          requestQueue
	meanHoldTime   time.Duration // Mean time that a request holds a slot.
	peerWants      map[string]*peerWant
	slotsByHome    map[string]int          // Slots of the service's targets, by home instance.
	wantReceivers  []string                // Homes other than this instance that receive wants.
	peerLoads      map[string]receivedLoad // Last load reports of peers of the region, by name.
	regionLoads    map[string]receivedLoad // Last load reports of other regions, by region.
	recentForwards map[string][]time.Time  // Times of forwards that no load report includes yet, by region.
	ownWants       wantHistory
}

// execution is a started request and the slot that it uses.
type execution struct {
	request *Request
	target  string
	grantID uint64
	expires time.Time
}

// Scheduler is the state machine that schedules the requests of one instance.
type Scheduler struct {
	config  Config
	view    View
	ledger  *slots.Ledger
	actions []Action

	services     map[string]*serviceState
	serviceNames []string
	homeOf       map[string]string
	running      map[uint64]execution

	pendingReleases map[string][]SendRelease   // Releases for targets whose home is moving.
	handOffs        map[string]receivedHandOff // Hand-offs for targets whose home is not this instance yet.

	leavingTargets map[string]bool // Targets that any source reported as leaving.
	leavingInView  map[string]bool // Leaving targets that the view lists as leaving.

	regionPeers   []string // Peers of the region that receive load reports.
	loadReceivers []string // Instances of other regions that receive this region's load from this instance.
	regionSize    int      // Live instances of the region, including this one.
	remoteRegions []string
	remoteMembers map[string][]string

	roundRobin  int // Selects regions and instances for forwards in turn.
	lastEventAt time.Time
	lastLoadsAt time.Time
	lastProbeAt time.Time
	frozen      bool
}

// New returns a scheduler without a view. It refuses all requests until
// SetView.
func New(config Config) *Scheduler {
	return &Scheduler{
		config:          config,
		ledger:          slots.New(config.Incarnation),
		services:        map[string]*serviceState{},
		homeOf:          map[string]string{},
		running:         map[uint64]execution{},
		pendingReleases: map[string][]SendRelease{},
		handOffs:        map[string]receivedHandOff{},

		leavingTargets: map[string]bool{},
		leavingInView:  map[string]bool{},
	}
}

// beginEvent starts the processing of an event. A gap of more than
// FreezeThreshold since the last event means that the process was frozen.
func (s *Scheduler) beginEvent(now time.Time) {
	gap := now.Sub(s.lastEventAt)
	if !s.lastEventAt.IsZero() && gap > FreezeThreshold && !s.frozen {
		s.suspendAfterFreeze(gap)
	}
	s.lastEventAt = now
}

// suspendAfterFreeze stops granting slots until the next view, and drops wants
// and load reports that are out of date.
func (s *Scheduler) suspendAfterFreeze(gap time.Duration) {
	s.frozen = true
	s.ledger.Suspend()
	for _, svc := range s.services {
		clear(svc.peerWants)
		clear(svc.peerLoads)
		clear(svc.regionLoads)
	}
	s.emit(RefreshView{Gap: gap})
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// takeActions ends the processing of an event and returns the actions that it
// caused.
func (s *Scheduler) takeActions() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

// assignAndAnnounce assigns free slots and announces the requests that remain
// queued.
func (s *Scheduler) assignAndAnnounce(now time.Time, svc *serviceState) []Action {
	s.assignFreeSlots(now, svc)
	s.sendWants(now, svc)
	return s.takeActions()
}

// Submit queues a request or decides on it at once. A request that was
// forwarded here or is retried keeps its EnteredAt time.
func (s *Scheduler) Submit(now time.Time, request Request) []Action {
	s.beginEvent(now)
	s.admit(now, &request)
	if svc := s.services[request.Service]; svc != nil {
		return s.assignAndAnnounce(now, svc)
	}
	return s.takeActions()
}

// Cancel removes a queued request, for example after its caller has
// disconnected. It returns false if the request is not queued.
func (s *Scheduler) Cancel(now time.Time, serviceName string, id uint64) ([]Action, bool) {
	s.beginEvent(now)
	svc := s.services[serviceName]
	if svc == nil {
		return s.takeActions(), false
	}
	index := slices.IndexFunc(svc.queue.items, func(request *Request) bool { return request.ID == id })
	if index < 0 {
		return s.takeActions(), false
	}
	svc.queue.remove(index)
	return s.assignAndAnnounce(now, svc), true
}

// admit queues, forwards or refuses a request.
func (s *Scheduler) admit(now time.Time, request *Request) {
	svc := s.services[request.Service]
	if svc == nil {
		s.emit(Refuse{Request: *request, Reason: outcome.ReasonNoService})
		return
	}
	load := s.regionLoad(now, svc)
	inputs := Inputs{Age: now.Sub(request.EnteredAt), Queued: svc.queue.len(), Limit: svc.waitLimit(now, request)}
	ahead := load.Queued - svc.queue.len() + svc.queue.olderCount(request)
	inputs.ExpectedWait = expectedWait(ahead+load.Busy, load.Slots, load.MeanHoldTime)
	choice, remote := regionEstimate{}, false
	if request.Hops == 0 {
		choice, remote = s.bestRemoteRegion(now, svc)
		inputs.RemoteWait = choice.expectedWait
	}
	noTarget := load.Slots == 0 && len(svc.slotsByHome) == 0
	switch {
	case !now.Before(request.Deadline):
		s.emit(Refuse{Request: *request, Reason: outcome.ReasonDeadline, Inputs: inputs})
	case remote && (noTarget || choice.clearlyShorterThan(inputs.ExpectedWait)) && choice.expectedWait <= inputs.Limit:
		s.forward(now, svc, request, choice, inputs)
	case noTarget:
		s.forwardOrRefuse(now, svc, request, outcome.ReasonNoTarget, inputs)
	case inputs.ExpectedWait > inputs.Limit || svc.queue.len() >= s.config.MaxQueueLength:
		s.forwardOrRefuse(now, svc, request, outcome.ReasonOverloaded, inputs)
	default:
		svc.queue.add(request)
	}
}

// forwardOrRefuse handles a request that cannot be queued here. It is
// forwarded to a live region without load reports if possible, and refused
// otherwise.
func (s *Scheduler) forwardOrRefuse(now time.Time, svc *serviceState, request *Request, reason outcome.Reason, inputs Inputs) {
	if request.Hops == 0 {
		if choice, ok := s.remoteRegionWithoutReport(now, svc, inputs.Limit); ok {
			s.forward(now, svc, request, choice, inputs)
			return
		}
	}
	s.emit(Refuse{Request: *request, Reason: reason, Inputs: inputs})
}

// waitLimit returns the longest expected wait with which a request is
// accepted. It leaves time before the deadline to execute the request.
// AdmissionFraction was already applied to a forwarded request where it
// entered the system, so here it may use the whole remaining time.
func (svc *serviceState) waitLimit(now time.Time, request *Request) time.Duration {
	left := request.Deadline.Sub(now) - 2*svc.meanHoldTime
	if svc.MaxQueueTime > 0 && request.Attempts == 0 {
		left = min(left, svc.MaxQueueTime-now.Sub(request.EnteredAt))
	}
	if request.Hops > 0 {
		return left
	}
	return time.Duration(float64(left) * AdmissionFraction)
}

// assignFreeSlots gives the free home slots to the oldest requests that this
// instance knows, its own or those of peers.
func (s *Scheduler) assignFreeSlots(now time.Time, svc *serviceState) {
	s.refuseExpired(now, svc)
	for s.assignFreeSlot(now, svc) {
	}
}

// assignFreeSlot gives one free slot to the oldest known request that can use
// it, and reports whether it did.
func (s *Scheduler) assignFreeSlot(now time.Time, svc *serviceState) bool {
	peer, wanted := svc.oldestWant(now)
	for i, request := range svc.queue.items {
		if peer != "" && wanted.Before(request.EnteredAt) {
			break
		}
		if target, ok := s.ledger.MostFreeTarget(svc.Name, request.excludes); ok {
			s.startOnHomeSlot(now, svc, i, target)
			return true
		}
	}
	if peer == "" {
		return false
	}
	target, ok := s.ledger.MostFreeTarget(svc.Name, func(string) bool { return false })
	if !ok {
		return false
	}
	s.grantToPeer(now, svc, peer, wanted, target)
	return true
}

// startOnHomeSlot starts a queued request on a slot that this instance grants.
func (s *Scheduler) startOnHomeSlot(now time.Time, svc *serviceState, index int, target string) {
	grant, err := s.ledger.Acquire(now, target, s.config.Self.Name, now.Add(s.config.GrantTTL))
	if err != nil {
		return
	}
	s.startRequest(now, svc, svc.queue.remove(index), s.config.Self.Name, grant)
}

// startRequest starts a request on a granted slot.
func (s *Scheduler) startRequest(now time.Time, svc *serviceState, request *Request, home string, grant slots.Grant) {
	endBy := grant.Expires.Add(-GrantExpiryMargin)
	if request.Deadline.Before(endBy) {
		endBy = request.Deadline
	}
	s.running[request.ID] = execution{request: request, target: grant.Target, grantID: grant.ID, expires: grant.Expires}
	s.emit(Start{Request: *request, Target: grant.Target, Home: home, GrantID: grant.ID, EndBy: endBy,
		Inputs: Inputs{Age: now.Sub(request.EnteredAt), Queued: svc.queue.len()}})
}

// refuseExpired refuses queued requests whose deadline or longest queue time
// has passed.
func (s *Scheduler) refuseExpired(now time.Time, svc *serviceState) {
	svc.queue.items = slices.DeleteFunc(svc.queue.items, func(request *Request) bool {
		age := now.Sub(request.EnteredAt)
		reason := outcome.ReasonDeadline
		if now.Before(request.Deadline) {
			if svc.MaxQueueTime == 0 || age <= svc.MaxQueueTime || request.Attempts > 0 {
				return false
			}
			reason = outcome.ReasonOverloaded
		}
		s.emit(Refuse{Request: *request, Reason: reason, WasQueued: true, Inputs: Inputs{Age: age, Queued: svc.queue.len()}})
		return true
	})
}

// RequestFinished reports the end of a started request. If retry is set, the
// request is submitted again with its age, or refused after MaxAttempts
// attempts. The caller must set retry only if the request may be executed
// again.
func (s *Scheduler) RequestFinished(now time.Time, id uint64, cause slots.ReleaseCause, retry bool) []Action {
	s.beginEvent(now)
	run, ok := s.running[id]
	if !ok {
		return s.takeActions()
	}
	delete(s.running, id)
	if cause == slots.Leaving {
		s.leavingTargets[run.target] = true
	}
	s.releaseSlot(now, run, cause)
	svc := s.services[run.request.Service]
	if retry {
		s.retry(now, run, cause)
	}
	if svc == nil {
		return s.takeActions()
	}
	return s.assignAndAnnounce(now, svc)
}

// retry submits a request again without the targets that were already
// attempted, or refuses it after the last attempt.
func (s *Scheduler) retry(now time.Time, run execution, cause slots.ReleaseCause) {
	request := run.request
	if request.Attempts < MaxAttempts {
		request.attempted[request.Attempts] = run.target
	}
	request.Attempts++
	if request.Attempts < MaxAttempts {
		s.admit(now, request)
		return
	}
	reason := outcome.ReasonTargetFailed
	if cause == slots.Shed {
		reason = outcome.ReasonShed
	}
	s.emit(Refuse{Request: *request, Reason: reason, Inputs: Inputs{Age: now.Sub(request.EnteredAt)}})
}

// releaseSlot returns a slot to the current home of its target. A slot whose
// grant has expired is not released: the home already counts it as free.
func (s *Scheduler) releaseSlot(now time.Time, run execution, cause slots.ReleaseCause) {
	if !now.Before(run.expires) {
		return
	}
	s.releaseAtHome(now, SendRelease{Target: run.target, GrantID: run.grantID, Cause: cause})
}

// releaseHomeSlot frees a slot that this instance grants as home. It returns
// the service of the target, or nil if no slot was freed.
func (s *Scheduler) releaseHomeSlot(now time.Time, target string, id uint64, cause slots.ReleaseCause) *serviceState {
	grant, freed := s.ledger.Release(target, id, cause)
	svc := s.serviceOf(target)
	if !freed || svc == nil {
		return nil
	}
	if cause == slots.Leaving {
		s.leavingTargets[target] = true
	}
	if cause == slots.Answered && !grant.Issued.IsZero() {
		svc.recordHoldTime(now.Sub(grant.Issued))
	}
	if cause == slots.ConnectFailed || cause == slots.Crashed {
		s.emit(Probe{Target: target})
	}
	return svc
}

// recordHoldTime adds a request's hold time to the exponentially weighted
// mean.
func (svc *serviceState) recordHoldTime(hold time.Duration) {
	svc.meanHoldTime += time.Duration(float64(hold-svc.meanHoldTime) * holdTimeWeight)
}

func (s *Scheduler) serviceOf(target string) *serviceState {
	for _, t := range s.view.Targets {
		if t.Name == target {
			return s.services[t.Service]
		}
	}
	return nil
}

// ReceiveRelease handles a release from a peer. If this instance is no longer
// the target's home, it passes the release on to the current one.
func (s *Scheduler) ReceiveRelease(now time.Time, target string, id uint64, cause slots.ReleaseCause) []Action {
	s.beginEvent(now)
	if !s.ledger.IsHome(target) {
		s.releaseAtHome(now, SendRelease{Target: target, GrantID: id, Cause: cause})
		return s.takeActions()
	}
	if svc := s.releaseHomeSlot(now, target, id, cause); svc != nil {
		return s.assignAndAnnounce(now, svc)
	}
	return s.takeActions()
}

// TargetLeaving marks a target as leaving; the report may come from any
// source.
func (s *Scheduler) TargetLeaving(now time.Time, target string) []Action {
	s.beginEvent(now)
	s.leavingTargets[target] = true
	s.ledger.MarkLeaving(target)
	return s.takeActions()
}

// ProbeSucceeded reports that a target that was down responds again.
func (s *Scheduler) ProbeSucceeded(now time.Time, target string) []Action {
	s.beginEvent(now)
	s.ledger.ProbeSucceeded(target)
	if svc := s.serviceOf(target); svc != nil {
		return s.assignAndAnnounce(now, svc)
	}
	return s.takeActions()
}

// Tick performs the work that depends on time only, such as expiries, probes
// and periodic reports.
func (s *Scheduler) Tick(now time.Time) []Action {
	s.beginEvent(now)
	s.ledger.Expire(now)
	s.probeDownTargets(now)
	for _, name := range s.serviceNames {
		svc := s.services[name]
		s.assignFreeSlots(now, svc)
		s.rebalance(now, svc)
		s.sendWants(now, svc)
	}
	s.sendLoads(now)
	return s.takeActions()
}

// probeDownTargets repeats the probes of targets that are down every
// ProbeInterval.
func (s *Scheduler) probeDownTargets(now time.Time) {
	if now.Sub(s.lastProbeAt) < ProbeInterval {
		return
	}
	s.lastProbeAt = now
	for _, target := range s.ledger.DownTargets() {
		s.emit(Probe{Target: target})
	}
}

// Queued returns the number of queued requests of a service.
func (s *Scheduler) Queued(serviceName string) int {
	if svc := s.services[serviceName]; svc != nil {
		return svc.queue.len()
	}
	return 0
}

// Running returns the number of started requests that have not ended.
func (s *Scheduler) Running() int { return len(s.running) }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
