package dispatch

import (
	"slices"
	"sort"
	"time"

	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/slots"
)

// service is the state of one service.
type service struct {
	Service
	queue     queue
	hold      time.Duration // Mean time that a request holds a slot.
	wants     map[string]*want
	homeSlots map[string]int // Slots of the service's targets by home.
	homes     []string       // Other homes of the region that get wants.
	reports   map[string]report
	regions   map[string]report
	sent      map[string][]time.Time // Forwards by region that no report shows yet.
	announced announcement
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

	services     map[string]*service
	serviceNames []string
	homeOf       map[string]string
	running      map[uint64]execution

	pending  map[string][]SendRelease // Releases for targets whose home moves.
	handOffs map[string]handOff       // Counts for targets that are not adopted yet.

	leaving       map[string]bool // Targets that are leaving by any source.
	leavingByView map[string]bool // Those of them that the view calls leaving.

	peers         []string // Peers of the region that exchange loads.
	partners      []string // Instances of other regions that get the region's load.
	regionSize    int
	remoteRegions []string
	remoteMembers map[string][]string

	turn      int
	last      time.Time
	lastLoads time.Time
	lastProbe time.Time
	frozen    bool
}

// New returns a scheduler without a view; it refuses all requests until SetView.
func New(config Config) *Scheduler {
	return &Scheduler{
		config:   config,
		ledger:   slots.New(config.Incarnation),
		services: map[string]*service{},
		homeOf:   map[string]string{},
		running:  map[uint64]execution{},
		pending:  map[string][]SendRelease{},
		handOffs: map[string]handOff{},

		leaving:       map[string]bool{},
		leavingByView: map[string]bool{},
	}
}

func (s *Scheduler) begin(now time.Time) {
	gap := now.Sub(s.last)
	if !s.last.IsZero() && gap > FreezeAfter && !s.frozen {
		s.freeze(gap)
	}
	s.last = now
}

// freeze gives up the right to grant slots until the next view.
func (s *Scheduler) freeze(gap time.Duration) {
	s.frozen = true
	s.ledger.Suspend()
	for _, v := range s.services {
		clear(v.wants)
		clear(v.reports)
		clear(v.regions)
	}
	s.emit(Refresh{Gap: gap})
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) end() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

// settle grants free slots and announces what still waits.
func (s *Scheduler) settle(now time.Time, v *service) []Action {
	s.match(now, v)
	s.announce(now, v)
	return s.end()
}

// Arrive queues a request or decides at once. A request that was forwarded
// here or that is tried again keeps its Entered time.
func (s *Scheduler) Arrive(now time.Time, request Request) []Action {
	s.begin(now)
	s.admit(now, &request)
	if v := s.services[request.Service]; v != nil {
		return s.settle(now, v)
	}
	return s.end()
}

// Cancel removes a queued request, for example because its caller has left. It
// returns false when the request is not queued.
func (s *Scheduler) Cancel(now time.Time, serviceName string, id uint64) ([]Action, bool) {
	s.begin(now)
	v := s.services[serviceName]
	if v == nil {
		return s.end(), false
	}
	index := slices.IndexFunc(v.queue.items, func(r *Request) bool { return r.ID == id })
	if index < 0 {
		return s.end(), false
	}
	v.queue.remove(index)
	return s.settle(now, v), true
}

// admit queues, forwards or refuses a request.
func (s *Scheduler) admit(now time.Time, r *Request) {
	v := s.services[r.Service]
	if v == nil {
		s.emit(Refuse{Request: *r, Reason: outcome.ReasonNoService})
		return
	}
	load := s.regionLoad(now, v)
	in := Inputs{Age: now.Sub(r.Entered), Queued: v.queue.len(), Limit: v.limit(now, r)}
	ahead := load.Queued - v.queue.len() + v.queue.older(r)
	in.ExpectedWait = wait(ahead+load.Busy, load.Slots, load.Hold)
	choice, remote := remoteChoice{}, false
	if r.Hops == 0 {
		choice, remote = s.bestRemote(now, v)
		in.RemoteWait = choice.wait
	}
	noTarget := load.Slots == 0 && len(v.homeSlots) == 0
	switch {
	case !now.Before(r.Deadline):
		s.emit(Refuse{Request: *r, Reason: outcome.ReasonDeadline, Inputs: in})
	case remote && (noTarget || choice.shorterThan(in.ExpectedWait)) && choice.wait <= in.Limit:
		s.forward(now, v, r, choice, in)
	case noTarget:
		s.overflow(now, v, r, outcome.ReasonNoTarget, in)
	case in.ExpectedWait > in.Limit || v.queue.len() >= s.config.MaxQueued:
		s.overflow(now, v, r, outcome.ReasonOverloaded, in)
	default:
		v.queue.add(r)
	}
}

// overflow refuses a request that cannot be queued here, unless it may be
// forwarded to a live region whose load is not known.
func (s *Scheduler) overflow(now time.Time, v *service, r *Request, reason outcome.Reason, in Inputs) {
	if r.Hops == 0 {
		if choice, ok := s.unknownRemote(now, v, in.Limit); ok {
			s.forward(now, v, r, choice, in)
			return
		}
	}
	s.emit(Refuse{Request: *r, Reason: reason, Inputs: in})
}

// limit returns the longest wait that a request may expect. The deadline must
// leave time to execute the request. A request that was forwarded here gets the
// whole time, since it was weighed against AdmitShare where it entered.
func (v *service) limit(now time.Time, r *Request) time.Duration {
	left := r.Deadline.Sub(now) - 2*v.hold
	if v.MaxQueue > 0 && r.Attempts == 0 {
		left = min(left, v.MaxQueue-now.Sub(r.Entered))
	}
	if r.Hops > 0 {
		return left
	}
	return time.Duration(float64(left) * AdmitShare)
}

// match grants the free home slots to the oldest known requests.
func (s *Scheduler) match(now time.Time, v *service) {
	s.dropLate(now, v)
	for s.matchOne(now, v) {
	}
}

func (s *Scheduler) matchOne(now time.Time, v *service) bool {
	peer, wanted := v.oldestWant(now)
	for i, r := range v.queue.items {
		if peer != "" && wanted.Before(r.Entered) {
			break
		}
		if target, ok := s.ledger.Best(v.Name, r.excludes); ok {
			s.startHere(now, v, i, target)
			return true
		}
	}
	if peer == "" {
		return false
	}
	target, ok := s.ledger.Best(v.Name, func(string) bool { return false })
	if !ok {
		return false
	}
	s.grant(now, v, peer, wanted, target)
	return true
}

func (s *Scheduler) startHere(now time.Time, v *service, index int, target string) {
	g, err := s.ledger.Acquire(now, target, s.config.Self.Name, now.Add(s.config.GrantLife))
	if err != nil {
		return
	}
	s.start(now, v, v.queue.remove(index), s.config.Self.Name, g)
}

func (s *Scheduler) start(now time.Time, v *service, r *Request, home string, g slots.Grant) {
	until := g.Expires.Add(-GrantMargin)
	if r.Deadline.Before(until) {
		until = r.Deadline
	}
	s.running[r.ID] = execution{request: r, target: g.Target, grant: g.ID, expires: g.Expires}
	s.emit(Start{Request: *r, Target: g.Target, Home: home, Grant: g.ID, Until: until,
		Inputs: Inputs{Age: now.Sub(r.Entered), Queued: v.queue.len()}})
}

// dropLate refuses queued requests that can no longer be answered in time.
func (s *Scheduler) dropLate(now time.Time, v *service) {
	v.queue.items = slices.DeleteFunc(v.queue.items, func(r *Request) bool {
		age := now.Sub(r.Entered)
		reason := outcome.ReasonDeadline
		if now.Before(r.Deadline) {
			if v.MaxQueue == 0 || age <= v.MaxQueue || r.Attempts > 0 {
				return false
			}
			reason = outcome.ReasonOverloaded
		}
		s.emit(Refuse{Request: *r, Reason: reason, Waited: true, Inputs: Inputs{Age: age, Queued: v.queue.len()}})
		return true
	})
}

// Finished reports the end of a started request. With retry, which the caller
// sets only when the request may be executed again, it is queued again with
// its age; it is refused after MaxAttempts targets.
func (s *Scheduler) Finished(now time.Time, id uint64, cause slots.Cause, retry bool) []Action {
	s.begin(now)
	run, ok := s.running[id]
	if !ok {
		return s.end()
	}
	delete(s.running, id)
	if cause == slots.Leaving {
		s.leaving[run.target] = true
	}
	s.release(now, run, cause)
	v := s.services[run.request.Service]
	if retry {
		s.retry(now, run, cause)
	}
	if v == nil {
		return s.end()
	}
	return s.settle(now, v)
}

func (s *Scheduler) retry(now time.Time, run execution, cause slots.Cause) {
	r := run.request
	if r.Attempts < MaxAttempts {
		r.tried[r.Attempts] = run.target
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
	s.emit(Refuse{Request: *r, Reason: reason, Inputs: Inputs{Age: now.Sub(r.Entered)}})
}

// release returns a slot to the home that is current now.
func (s *Scheduler) release(now time.Time, run execution, cause slots.Cause) {
	if !now.Before(run.expires) {
		return
	}
	s.releaseAtHome(now, SendRelease{Target: run.target, Grant: run.grant, Cause: cause})
}

func (s *Scheduler) releaseHere(now time.Time, target string, id uint64, cause slots.Cause) *service {
	g, freed := s.ledger.Release(target, id, cause)
	v := s.serviceOf(target)
	if !freed || v == nil {
		return nil
	}
	if cause == slots.Leaving {
		s.leaving[target] = true
	}
	if cause == slots.Answered && !g.Issued.IsZero() {
		v.observe(now.Sub(g.Issued))
	}
	if cause == slots.ConnectFailed || cause == slots.Crashed {
		s.emit(Probe{Target: target})
	}
	return v
}

func (v *service) observe(hold time.Duration) {
	v.hold += time.Duration(float64(hold-v.hold) * holdWeight)
}

func (s *Scheduler) serviceOf(target string) *service {
	for _, t := range s.view.Targets {
		if t.Name == target {
			return s.services[t.Service]
		}
	}
	return nil
}

// Released takes a release from a peer.
func (s *Scheduler) Released(now time.Time, target string, id uint64, cause slots.Cause) []Action {
	s.begin(now)
	if !s.ledger.Has(target) {
		s.releaseAtHome(now, SendRelease{Target: target, Grant: id, Cause: cause})
		return s.end()
	}
	if v := s.releaseHere(now, target, id, cause); v != nil {
		return s.settle(now, v)
	}
	return s.end()
}

// TargetLeaving takes the news that a target is leaving, from any source.
func (s *Scheduler) TargetLeaving(now time.Time, target string) []Action {
	s.begin(now)
	s.leaving[target] = true
	s.ledger.Leave(target)
	return s.end()
}

// ProbeSucceeded takes the news that a target that was down answers again.
func (s *Scheduler) ProbeSucceeded(now time.Time, target string) []Action {
	s.begin(now)
	s.ledger.ProbeSucceeded(target)
	if v := s.serviceOf(target); v != nil {
		return s.settle(now, v)
	}
	return s.end()
}

// Tick drives everything that depends on time alone.
func (s *Scheduler) Tick(now time.Time) []Action {
	s.begin(now)
	s.ledger.Expire(now)
	s.probe(now)
	for _, name := range s.serviceNames {
		v := s.services[name]
		s.match(now, v)
		s.rebalance(now, v)
		s.announce(now, v)
	}
	s.sendLoads(now)
	return s.end()
}

func (s *Scheduler) probe(now time.Time) {
	if now.Sub(s.lastProbe) < ProbeInterval {
		return
	}
	s.lastProbe = now
	for _, target := range s.ledger.Down() {
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
