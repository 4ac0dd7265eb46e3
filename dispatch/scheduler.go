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
	grantID uint64
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
	for _, v := range s.services {
		clear(v.peerWants)
		clear(v.peerLoads)
		clear(v.regionLoads)
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
func (s *Scheduler) assignAndAnnounce(now time.Time, v *serviceState) []Action {
	s.assignFreeSlots(now, v)
	s.sendWants(now, v)
	return s.takeActions()
}

// Submit queues a request or decides at once. A request that was forwarded
// here or that is tried again keeps its Entered time.
func (s *Scheduler) Submit(now time.Time, request Request) []Action {
	s.beginEvent(now)
	s.admit(now, &request)
	if v := s.services[request.Service]; v != nil {
		return s.assignAndAnnounce(now, v)
	}
	return s.takeActions()
}

// Cancel removes a queued request, for example because its caller has left. It
// returns false when the request is not queued.
func (s *Scheduler) Cancel(now time.Time, serviceName string, id uint64) ([]Action, bool) {
	s.beginEvent(now)
	v := s.services[serviceName]
	if v == nil {
		return s.takeActions(), false
	}
	index := slices.IndexFunc(v.queue.items, func(r *Request) bool { return r.ID == id })
	if index < 0 {
		return s.takeActions(), false
	}
	v.queue.remove(index)
	return s.assignAndAnnounce(now, v), true
}

// admit queues, forwards or refuses a request.
func (s *Scheduler) admit(now time.Time, r *Request) {
	v := s.services[r.Service]
	if v == nil {
		s.emit(Refuse{Request: *r, Reason: outcome.ReasonNoService})
		return
	}
	load := s.regionLoad(now, v)
	in := Inputs{Age: now.Sub(r.EnteredAt), Queued: v.queue.len(), Limit: v.waitLimit(now, r)}
	ahead := load.Queued - v.queue.len() + v.queue.olderCount(r)
	in.ExpectedWait = expectedWait(ahead+load.Busy, load.Slots, load.MeanHoldTime)
	choice, remote := regionEstimate{}, false
	if r.Hops == 0 {
		choice, remote = s.bestRemoteRegion(now, v)
		in.RemoteWait = choice.expectedWait
	}
	noTarget := load.Slots == 0 && len(v.slotsByHome) == 0
	switch {
	case !now.Before(r.Deadline):
		s.emit(Refuse{Request: *r, Reason: outcome.ReasonDeadline, Inputs: in})
	case remote && (noTarget || choice.clearlyShorterThan(in.ExpectedWait)) && choice.expectedWait <= in.Limit:
		s.forward(now, v, r, choice, in)
	case noTarget:
		s.forwardOrRefuse(now, v, r, outcome.ReasonNoTarget, in)
	case in.ExpectedWait > in.Limit || v.queue.len() >= s.config.MaxQueueLength:
		s.forwardOrRefuse(now, v, r, outcome.ReasonOverloaded, in)
	default:
		v.queue.add(r)
	}
}

// forwardOrRefuse refuses a request that cannot be queued here, unless it may be
// forwarded to a live region whose load is not known.
func (s *Scheduler) forwardOrRefuse(now time.Time, v *serviceState, r *Request, reason outcome.Reason, in Inputs) {
	if r.Hops == 0 {
		if choice, ok := s.remoteRegionWithoutReport(now, v, in.Limit); ok {
			s.forward(now, v, r, choice, in)
			return
		}
	}
	s.emit(Refuse{Request: *r, Reason: reason, Inputs: in})
}

// waitLimit returns the longest wait that a request may expect. The deadline must
// leave time to execute the request. A request that was forwarded here gets the
// whole time, since it was weighed against AdmitShare where it entered.
func (v *serviceState) waitLimit(now time.Time, r *Request) time.Duration {
	left := r.Deadline.Sub(now) - 2*v.meanHoldTime
	if v.MaxQueueTime > 0 && r.Attempts == 0 {
		left = min(left, v.MaxQueueTime-now.Sub(r.EnteredAt))
	}
	if r.Hops > 0 {
		return left
	}
	return time.Duration(float64(left) * AdmissionFraction)
}

// assignFreeSlots grants the free home slots to the oldest known requests.
func (s *Scheduler) assignFreeSlots(now time.Time, v *serviceState) {
	s.refuseExpired(now, v)
	for s.assignFreeSlot(now, v) {
	}
}

func (s *Scheduler) assignFreeSlot(now time.Time, v *serviceState) bool {
	peer, wanted := v.oldestWant(now)
	for i, r := range v.queue.items {
		if peer != "" && wanted.Before(r.EnteredAt) {
			break
		}
		if target, ok := s.ledger.MostFreeTarget(v.Name, r.excludes); ok {
			s.startOnHomeSlot(now, v, i, target)
			return true
		}
	}
	if peer == "" {
		return false
	}
	target, ok := s.ledger.MostFreeTarget(v.Name, func(string) bool { return false })
	if !ok {
		return false
	}
	s.grantToPeer(now, v, peer, wanted, target)
	return true
}

func (s *Scheduler) startOnHomeSlot(now time.Time, v *serviceState, index int, target string) {
	g, err := s.ledger.Acquire(now, target, s.config.Self.Name, now.Add(s.config.GrantTTL))
	if err != nil {
		return
	}
	s.startRequest(now, v, v.queue.remove(index), s.config.Self.Name, g)
}

func (s *Scheduler) startRequest(now time.Time, v *serviceState, r *Request, home string, g slots.Grant) {
	until := g.Expires.Add(-GrantExpiryMargin)
	if r.Deadline.Before(until) {
		until = r.Deadline
	}
	s.running[r.ID] = execution{request: r, target: g.Target, grantID: g.ID, expires: g.Expires}
	s.emit(Start{Request: *r, Target: g.Target, Home: home, GrantID: g.ID, EndBy: until,
		Inputs: Inputs{Age: now.Sub(r.EnteredAt), Queued: v.queue.len()}})
}

// refuseExpired refuses queued requests that can no longer be answered in time.
func (s *Scheduler) refuseExpired(now time.Time, v *serviceState) {
	v.queue.items = slices.DeleteFunc(v.queue.items, func(r *Request) bool {
		age := now.Sub(r.EnteredAt)
		reason := outcome.ReasonDeadline
		if now.Before(r.Deadline) {
			if v.MaxQueueTime == 0 || age <= v.MaxQueueTime || r.Attempts > 0 {
				return false
			}
			reason = outcome.ReasonOverloaded
		}
		s.emit(Refuse{Request: *r, Reason: reason, WasQueued: true, Inputs: Inputs{Age: age, Queued: v.queue.len()}})
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
	v := s.services[run.request.Service]
	if retry {
		s.retry(now, run, cause)
	}
	if v == nil {
		return s.takeActions()
	}
	return s.assignAndAnnounce(now, v)
}

func (s *Scheduler) retry(now time.Time, run execution, cause slots.ReleaseCause) {
	r := run.request
	if r.Attempts < MaxAttempts {
		r.attempted[r.Attempts] = run.target
	}
	r.Attempts++
	if r.Attempts < MaxAttempts {
		s.admit(now, r)
		return
	}
	reason := outcome.ReasonTargetFailed
	if cause == slots.Shed {
		reason = outcome.ReasonShed
	}
	s.emit(Refuse{Request: *r, Reason: reason, Inputs: Inputs{Age: now.Sub(r.EnteredAt)}})
}

// releaseSlot returns a slot to the home that is current now.
func (s *Scheduler) releaseSlot(now time.Time, run execution, cause slots.ReleaseCause) {
	if !now.Before(run.expires) {
		return
	}
	s.releaseAtHome(now, SendRelease{Target: run.target, GrantID: run.grantID, Cause: cause})
}

func (s *Scheduler) releaseHomeSlot(now time.Time, target string, id uint64, cause slots.ReleaseCause) *serviceState {
	g, freed := s.ledger.Release(target, id, cause)
	v := s.serviceOf(target)
	if !freed || v == nil {
		return nil
	}
	if cause == slots.Leaving {
		s.leavingTargets[target] = true
	}
	if cause == slots.Answered && !g.Issued.IsZero() {
		v.recordHoldTime(now.Sub(g.Issued))
	}
	if cause == slots.ConnectFailed || cause == slots.Crashed {
		s.emit(Probe{Target: target})
	}
	return v
}

func (v *serviceState) recordHoldTime(hold time.Duration) {
	v.meanHoldTime += time.Duration(float64(hold-v.meanHoldTime) * holdTimeWeight)
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
	if v := s.releaseHomeSlot(now, target, id, cause); v != nil {
		return s.assignAndAnnounce(now, v)
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
	if v := s.serviceOf(target); v != nil {
		return s.assignAndAnnounce(now, v)
	}
	return s.takeActions()
}

// Tick drives everything that depends on time alone.
func (s *Scheduler) Tick(now time.Time) []Action {
	s.beginEvent(now)
	s.ledger.Expire(now)
	s.probeDownTargets(now)
	for _, name := range s.serviceNames {
		v := s.services[name]
		s.assignFreeSlots(now, v)
		s.rebalance(now, v)
		s.sendWants(now, v)
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
	if v := s.services[serviceName]; v != nil {
		return v.queue.len()
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
