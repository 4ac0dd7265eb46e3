package dispatch

import (
	"slices"
	"sort"
	"time"

	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/slots"
)

// serviceState is the state of one service.
type serviceState struct {
	Service
	queue          requestQueue
	meanHoldTime   time.Duration // Mean time that a request holds a slot.
	peerWants      map[string]*peerWant
	slotsByHome    map[string]int // Slots of the service's targets by home.
	wantReceivers  []string       // Other homes of the region that get wants.
	peerLoads      map[string]receivedLoad
	regionLoads    map[string]receivedLoad
	recentForwards map[string][]time.Time // Forwards by region that no report shows yet.
	ownWants       wantHistory
}

// execution is a started request with its slot.
type execution struct {
	request *Request
	target  string
	grant   uint64
	expires time.Time
}

// Scheduler is the state machine of one instance.
type Scheduler struct {
	config  Config
	view    View
	ledger  *slots.Ledger
	actions []Action

	services     map[string]*serviceState
	serviceNames []string
	homeOf       map[string]string
	running      map[uint64]execution

	pendingReleases map[string][]SendRelease   // Releases for targets whose home moves.
	handOffs        map[string]receivedHandOff // Counts for targets that are not adopted yet.

	leavingTargets map[string]bool // Targets that are leaving by any source.
	leavingInView  map[string]bool // Those of them that the view calls leaving.

	regionPeers   []string // Peers of the region that exchange loads.
	loadReceivers []string // Instances of other regions that get the region's load.
	regionSize    int
	remoteRegions []string
	remoteMembers map[string][]string

	roundRobin  int
	lastEventAt time.Time
	lastLoadsAt time.Time
	lastProbeAt time.Time
	frozen      bool
}

// New returns a scheduler without a view; it refuses all requests until SetView.
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

func (s *Scheduler) beginEvent(now time.Time) {
	gap := now.Sub(s.lastEventAt)
	if !s.lastEventAt.IsZero() && gap > FreezeThreshold && !s.frozen {
		s.suspendAfterFreeze(gap)
	}
	s.lastEventAt = now
}

// suspendAfterFreeze gives up the right to grant slots until the next view.
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

func (s *Scheduler) takeActions() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

// assignAndAnnounce grants free slots and announces what still waits.
func (s *Scheduler) assignAndAnnounce(now time.Time, svc *serviceState) []Action {
	s.assignFreeSlots(now, svc)
	s.sendWants(now, svc)
	return s.takeActions()
}

// Submit queues a request or decides at once. A request that was forwarded
// here or that is tried again keeps its Entered time.
func (s *Scheduler) Submit(now time.Time, request Request) []Action {
	s.beginEvent(now)
	s.admit(now, &request)
	if svc := s.services[request.Service]; svc != nil {
		return s.assignAndAnnounce(now, svc)
	}
	return s.takeActions()
}

// Cancel removes a queued request, for example because its caller has left. It
// returns false when the request is not queued.
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

// forwardOrRefuse refuses a request that cannot be queued here, unless it may be
// forwarded to a live region whose load is not known.
func (s *Scheduler) forwardOrRefuse(now time.Time, svc *serviceState, request *Request, reason outcome.Reason, inputs Inputs) {
	if request.Hops == 0 {
		if choice, ok := s.remoteRegionWithoutReport(now, svc, inputs.Limit); ok {
			s.forward(now, svc, request, choice, inputs)
			return
		}
	}
	s.emit(Refuse{Request: *request, Reason: reason, Inputs: inputs})
}

// waitLimit returns the longest wait that a request may expect. The deadline must
// leave time to execute the request. A request that was forwarded here gets the
// whole time, since it was weighed against AdmitShare where it entered.
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

// assignFreeSlots grants the free home slots to the oldest known requests.
func (s *Scheduler) assignFreeSlots(now time.Time, svc *serviceState) {
	s.refuseExpired(now, svc)
	for s.assignFreeSlot(now, svc) {
	}
}

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

func (s *Scheduler) startOnHomeSlot(now time.Time, svc *serviceState, index int, target string) {
	grant, err := s.ledger.Acquire(now, target, s.config.Self.Name, now.Add(s.config.GrantTTL))
	if err != nil {
		return
	}
	s.startRequest(now, svc, svc.queue.remove(index), s.config.Self.Name, grant)
}

func (s *Scheduler) startRequest(now time.Time, svc *serviceState, request *Request, home string, grant slots.Grant) {
	endBy := grant.Expires.Add(-GrantExpiryMargin)
	if request.Deadline.Before(endBy) {
		endBy = request.Deadline
	}
	s.running[request.ID] = execution{request: request, target: grant.Target, grant: grant.ID, expires: grant.Expires}
	s.emit(Start{Request: *request, Target: grant.Target, Home: home, GrantID: grant.ID, EndBy: endBy,
		Inputs: Inputs{Age: now.Sub(request.EnteredAt), Queued: svc.queue.len()}})
}

// refuseExpired refuses queued requests that can no longer be answered in time.
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

// RequestFinished reports the end of a started request. With retry, which the caller
// sets only when the request may be executed again, it is queued again with
// its age; it is refused after MaxAttempts targets.
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

// releaseSlot returns a slot to the home that is current now.
func (s *Scheduler) releaseSlot(now time.Time, run execution, cause slots.ReleaseCause) {
	if !now.Before(run.expires) {
		return
	}
	s.releaseAtHome(now, SendRelease{Target: run.target, GrantID: run.grant, Cause: cause})
}

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

// ReceiveRelease takes a release from a peer.
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

// TargetLeaving takes the news that a target is leaving, from any source.
func (s *Scheduler) TargetLeaving(now time.Time, target string) []Action {
	s.beginEvent(now)
	s.leavingTargets[target] = true
	s.ledger.MarkLeaving(target)
	return s.takeActions()
}

// ProbeSucceeded takes the news that a target that was down answers again.
func (s *Scheduler) ProbeSucceeded(now time.Time, target string) []Action {
	s.beginEvent(now)
	s.ledger.ProbeSucceeded(target)
	if svc := s.serviceOf(target); svc != nil {
		return s.assignAndAnnounce(now, svc)
	}
	return s.takeActions()
}

// Tick drives everything that depends on time alone.
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

// Running returns the number of started requests.
func (s *Scheduler) Running() int { return len(s.running) }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
