package policybench

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/jacinthstall/jacinthstall/dispatch"
	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/slots"
)

// Times of the load reports. With 12 instances, reports of this interval and
// heartbeats without loads fit the control traffic of an instance.
const (
	LoadInterval = 250 * time.Millisecond
	LoadMaxAge   = time.Second
)

const (
	serviceName    = "enrolment"
	maxQueueLength = 4096
	drainPeriod    = 20 * time.Second
)

var epoch = time.Unix(1_000_000, 0)

type event struct {
	at     time.Duration
	order  uint64
	action func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].order < h[j].order)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// Result counts what callers and targets saw.
type Result struct {
	ResponseTimes        []time.Duration // Of answered requests after the warm-up.
	Responses            []Response      // Of answered requests after the warm-up, with Responses.
	Completed            int
	UsefulTime           time.Duration // Service time of the requests answered before their deadline.
	Refused              map[outcome.Reason]int
	RefusalAges          []time.Duration // Age of refused requests.
	RefusedAfterQueueing int             // Refused after a wait in the queue.
	Lost                 int             // In an instance that was killed, or on a cut connection.
	TimedOut             int             // Canceled at the deadline while they executed.
	SlotOverruns         int             // Events after which a target ran more requests than slots.
	Messages             map[string]int  // Sent between instances.
	Executions           []Execution
	LastArrivalAt        time.Duration // Time of the last arrival.
}

// Response is an answered request.
type Response struct {
	ArrivedAt, ExecutedAt time.Duration // At the entry instance; at the target.
	ServiceTime           time.Duration
	BeforeDeadline        bool // Answered before the deadline.
	Domain                failureDomain
}

// Execution is a start of a request at a target.
type Execution struct {
	Start, End time.Duration
	Target     int
}

// request is the driver's record of a request.
type request struct {
	arrival
	entryIndex   int // Index of the entry instance of the caller.
	forwardDelay time.Duration
	measured     bool
}

type target struct {
	name      string
	domain    failureDomain
	executing int
	down      bool
}

type instance struct {
	index           int
	member          dispatch.Member
	domain          failureDomain
	scheduler       *dispatch.Scheduler
	pendingRequests map[uint64]*request
	killed          bool

	frozenUntil time.Duration
}

// simulation connects schedulers and targets in virtual time.
type simulation struct {
	conditions         Case
	now                time.Duration
	lastEventOrder     uint64
	events             eventHeap
	instances          []*instance
	targets            []*target
	indexByName        map[string]int           // Of instances and targets, by name.
	listedAsLeaving    map[string]bool          // By the document.
	reportsLeavingFrom map[string]time.Duration // When the target began to say so in its answers.
	homeInstances      map[string]string
	initialView        bool
	lastRequestID      uint64
	entrySelections    int
	result             Result

	partitioned      func(a, b failureDomain) bool                           // Messages between a and b are lost.
	filterLoadReport func(dispatch.ServiceLoad) (dispatch.ServiceLoad, bool) // Changes a load report; false drops it.
	scheduleFaults   func(*simulation)                                       // Schedules the disturbances of the case.
}

func newSimulation(conditions Case) *simulation {
	sim := &simulation{conditions: conditions, indexByName: map[string]int{}, listedAsLeaving: map[string]bool{}, reportsLeavingFrom: map[string]time.Duration{}, homeInstances: map[string]string{}, initialView: true}
	sim.result.Refused, sim.result.Messages = map[outcome.Reason]int{}, map[string]int{}
	for i, domain := range conditions.instanceDomains() {
		inst := &instance{index: i, domain: domain, pendingRequests: map[uint64]*request{},
			member: dispatch.Member{Name: fmt.Sprintf("i%02d", i), Region: domain.regionName(), Domain: domain.name()}}
		inst.scheduler = dispatch.New(dispatch.Config{Self: inst.member, Incarnation: uint64(i + 1), MaxQueueLength: maxQueueLength,
			GrantTTL: conditions.Deadline + dispatch.GrantExpiryMargin, LoadInterval: LoadInterval, LoadMaxAge: LoadMaxAge})
		sim.instances = append(sim.instances, inst)
		sim.indexByName[inst.member.Name] = i
	}
	for i := range targetCount {
		t := &target{name: fmt.Sprintf("t%02d", i), domain: targetDomain(i)}
		sim.targets = append(sim.targets, t)
		sim.indexByName[t.name] = i
	}
	sim.partitioned = func(failureDomain, failureDomain) bool { return false }
	sim.filterLoadReport = func(load dispatch.ServiceLoad) (dispatch.ServiceLoad, bool) { return load, true }
	return sim
}

func (sim *simulation) wallTime() time.Time { return epoch.Add(sim.now) }

func (sim *simulation) schedule(when time.Duration, run func()) {
	sim.lastEventOrder++
	heap.Push(&sim.events, event{max(when, sim.now), sim.lastEventOrder, run})
}

// run processes all arrivals and returns the result.
func (sim *simulation) run() Result {
	arrivals := sim.conditions.arrivals()
	sim.updateViews()
	sim.initialView = false
	lastArrival := arrivals[len(arrivals)-1].at
	sim.result.LastArrivalAt = lastArrival
	for _, inst := range sim.instances {
		sim.scheduleTick(inst, time.Duration(inst.index)*dispatch.TickInterval/time.Duration(len(sim.instances)), lastArrival+drainPeriod)
	}
	if sim.scheduleFaults != nil {
		sim.scheduleFaults(sim)
	}
	sim.scheduleArrival(arrivals, 0)
	for len(sim.events) > 0 {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.action()
		sim.countSlotOverruns()
	}
	return sim.result
}

func (sim *simulation) countSlotOverruns() {
	for _, t := range sim.targets {
		if t.executing > slotsPerTarget {
			sim.result.SlotOverruns++
		}
	}
}

func (sim *simulation) scheduleArrival(arrivals []arrival, index int) {
	if index == len(arrivals) {
		return
	}
	sim.schedule(arrivals[index].at, func() {
		sim.scheduleArrival(arrivals, index+1)
		req := &request{arrival: arrivals[index], entryIndex: arrivals[index].instance, measured: index >= int(warmUpFraction*float64(len(arrivals)))}
		sim.submit(sim.entryInstance(req.entryIndex), req, 0)
	})
}

// entryInstance returns the instance, or the one that its caller fails over to when it
// is dead: another one of the region, else one of any other region in turn.
func (sim *simulation) entryInstance(index int) *instance {
	var sameRegion, otherRegions []*instance
	for _, inst := range sim.instances {
		switch {
		case inst.killed:
		case inst.domain.region() == sim.instances[index].domain.region():
			sameRegion = append(sameRegion, inst)
		default:
			otherRegions = append(otherRegions, inst)
		}
	}
	sim.entrySelections++
	switch {
	case !sim.instances[index].killed:
		return sim.instances[index]
	case len(sameRegion) > 0:
		return sameRegion[sim.entrySelections%len(sameRegion)]
	}
	return otherRegions[sim.entrySelections%len(otherRegions)]
}

func (sim *simulation) submit(inst *instance, req *request, hops int) {
	if sim.now < inst.frozenUntil {
		sim.schedule(inst.frozenUntil, func() { sim.submit(inst, req, hops) })
		return
	}
	sim.lastRequestID++
	inst.pendingRequests[sim.lastRequestID] = req
	sim.perform(inst, inst.scheduler.Submit(sim.wallTime(), dispatch.Request{ID: sim.lastRequestID, Service: serviceName,
		EnteredAt: epoch.Add(req.at), Deadline: epoch.Add(req.at + sim.conditions.Deadline), Hops: hops}))
}

func (sim *simulation) scheduleTick(inst *instance, when, until time.Duration) {
	if when > until {
		return
	}
	sim.schedule(when, func() {
		if inst.killed {
			return
		}
		if sim.now < inst.frozenUntil {
			sim.scheduleTick(inst, inst.frozenUntil, until)
			return
		}
		sim.perform(inst, inst.scheduler.Tick(sim.wallTime()))
		sim.scheduleTick(inst, when+dispatch.TickInterval, until)
	})
}

// sendMessage delivers a message between instances unless the path is cut or the
// receiver is dead; then undelivered runs, when it is not nil.
func (sim *simulation) sendMessage(kind string, from *instance, to string, deliver func(*instance) []dispatch.Action, undelivered func()) {
	receiver := sim.instanceByName(to)
	sim.result.Messages[kind]++
	delay := sim.conditions.Network.delay(from.domain, receiver.domain)
	sim.schedule(sim.now+delay, func() {
		if sim.partitioned(from.domain, receiver.domain) {
			return
		}
		if sim.now < receiver.frozenUntil {
			sim.schedule(receiver.frozenUntil, func() { sim.perform(receiver, deliver(receiver)) })
			return
		}
		if receiver.killed {
			if undelivered != nil {
				sim.schedule(sim.now+delay, undelivered)
			}
			return
		}
		sim.perform(receiver, deliver(receiver))
	})
}

func (sim *simulation) instanceByName(name string) *instance {
	return sim.instances[sim.indexByName[name]]
}

func (sim *simulation) targetIndex(name string) int { return sim.indexByName[name] }

// perform carries out the actions of a scheduler.
func (sim *simulation) perform(inst *instance, actions []dispatch.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case dispatch.Start:
			sim.startRequest(inst, action)
		case dispatch.Forward:
			sim.forwardRequest(inst, action)
		case dispatch.Refuse:
			sim.refuseRequest(inst, action)
		case dispatch.Probe:
			sim.probeTarget(inst, action)
		case dispatch.RefreshView:
			sim.schedule(sim.now, func() { sim.perform(inst, inst.scheduler.SetView(sim.wallTime(), sim.view(inst))) })
		default:
			sim.send(inst, action)
		}
	}
}

func (sim *simulation) send(sender *instance, action dispatch.Action) {
	self := sender.member
	switch a := action.(type) {
	case dispatch.SendWant:
		want := dispatch.Want{From: self.Name, Incarnation: 1, Service: a.Service, Sequence: a.Sequence, Ages: a.Ages}
		sim.sendMessage("want", sender, a.To, func(to *instance) []dispatch.Action { return to.scheduler.ReceiveWant(sim.wallTime(), want) }, nil)
	case dispatch.SendGrant:
		grant := dispatch.Grant{Home: self.Name, Service: a.Service, Target: a.Target, ID: a.GrantID, WantSequence: a.WantSequence, TTL: a.TTL}
		sim.sendMessage("grant", sender, a.To, func(to *instance) []dispatch.Action { return to.scheduler.ReceiveGrant(sim.wallTime(), grant) }, func() {
			if !sender.killed {
				sim.perform(sender, sender.scheduler.PeerUnresponsive(sim.wallTime(), a.To))
				sim.perform(sender, sender.scheduler.ReceiveRelease(sim.wallTime(), a.Target, a.GrantID, slots.Unused))
			}
		})
	case dispatch.SendRelease:
		sim.sendMessage("release", sender, a.To, func(to *instance) []dispatch.Action {
			return to.scheduler.ReceiveRelease(sim.wallTime(), a.Target, a.GrantID, a.Cause)
		}, nil)
	case dispatch.SendLoad:
		load, ok := sim.filterLoadReport(a.Load)
		if !ok {
			return
		}
		sim.sendMessage("load", sender, a.To, func(to *instance) []dispatch.Action { return to.scheduler.ReceiveLoad(sim.wallTime(), self, load) }, nil)
	}
}

func (sim *simulation) forwardRequest(sender *instance, action dispatch.Forward) {
	req := sender.pendingRequests[action.Request.ID]
	delete(sender.pendingRequests, action.Request.ID)
	receiver := sim.instanceByName(action.Instance)
	delay := sim.conditions.Network.delay(sender.domain, receiver.domain)
	req.forwardDelay += delay
	sim.result.Messages["forward"]++
	sim.schedule(sim.now+delay, func() {
		switch {
		case sim.partitioned(sender.domain, receiver.domain):
			sim.result.Lost++
		case receiver.killed:
			req.forwardDelay += delay
			sim.schedule(sim.now+delay, func() { sim.submit(sim.entryInstance(req.entryIndex), req, 0) })
		default:
			sim.submit(receiver, req, action.Request.Hops)
		}
	})
}

func (sim *simulation) refuseRequest(inst *instance, action dispatch.Refuse) {
	req := inst.pendingRequests[action.Request.ID]
	delete(inst.pendingRequests, action.Request.ID)
	sim.result.Refused[action.Reason]++
	if action.WasQueued {
		sim.result.RefusedAfterQueueing++
	}
	sim.result.RefusalAges = append(sim.result.RefusalAges, sim.now-req.at)
}

func (sim *simulation) probeTarget(inst *instance, action dispatch.Probe) {
	t := sim.targets[sim.targetIndex(action.Target)]
	if t.down || sim.partitioned(inst.domain, t.domain) {
		return
	}
	sim.schedule(sim.now+6*time.Millisecond, func() { sim.perform(inst, inst.scheduler.ProbeSucceeded(sim.wallTime(), t.name)) })
}

// startRequest executes a request at its target. The target cancels it at its
// deadline; the instance gives up at the same time when no answer has come.
func (sim *simulation) startRequest(inst *instance, action dispatch.Start) {
	req := inst.pendingRequests[action.Request.ID]
	index := sim.targetIndex(action.Target)
	t := sim.targets[index]
	delay := sim.conditions.Network.delay(inst.domain, t.domain)
	deadline := action.EndBy.Sub(epoch)
	var finish func(cause slots.ReleaseCause, retry bool)
	finish = func(cause slots.ReleaseCause, retry bool) {
		if inst.killed || inst.pendingRequests[action.Request.ID] == nil {
			return
		}
		if sim.now < inst.frozenUntil {
			sim.schedule(inst.frozenUntil, func() { finish(cause, retry) })
			return
		}
		if !retry {
			delete(inst.pendingRequests, action.Request.ID)
		}
		sim.perform(inst, inst.scheduler.RequestFinished(sim.wallTime(), action.Request.ID, cause, retry))
	}
	sim.schedule(sim.now+delay, func() {
		if sim.partitioned(inst.domain, t.domain) {
			sim.schedule(deadline, func() { sim.endWithoutResponse(inst, &sim.result.Lost, finish) })
			return
		}
		if t.down {
			sim.schedule(sim.now+delay, func() { finish(slots.ConnectFailed, true) })
			return
		}
		t.executing++
		startedAt := sim.now
		endsAt := min(startedAt+req.serviceTime, max(startedAt, deadline))
		sim.result.Executions = append(sim.result.Executions, Execution{sim.now, endsAt, index})
		sim.schedule(endsAt, func() {
			t.executing--
			if endsAt-startedAt < req.serviceTime {
				sim.schedule(deadline, func() { sim.endWithoutResponse(inst, &sim.result.TimedOut, finish) })
				return
			}
			sim.deliverResponse(inst, t, req, delay, deadline, finish)
		})
	})
}

func (sim *simulation) deliverResponse(inst *instance, t *target, req *request, delay, deadline time.Duration, finish func(slots.ReleaseCause, bool)) {
	if sim.partitioned(inst.domain, t.domain) {
		sim.schedule(deadline, func() { sim.endWithoutResponse(inst, &sim.result.Lost, finish) })
		return
	}
	sim.schedule(sim.now+delay, func() {
		if inst.killed {
			return
		}
		sim.result.Completed++
		sim.recordResponse(inst, req, sim.now-req.at+req.forwardDelay+2*sim.conditions.Network.ToCallers)
		if sim.reportsLeavingFrom[t.name] > 0 && sim.reportsLeavingFrom[t.name] <= sim.now-delay {
			finish(slots.Leaving, false)
			return
		}
		finish(slots.Answered, false)
	})
}

// endWithoutResponse ends a request without an answer. The requests of a dead instance
// were counted when it died.
func (sim *simulation) endWithoutResponse(inst *instance, counter *int, finish func(slots.ReleaseCause, bool)) {
	if !inst.killed {
		*counter++
	}
	finish(slots.TimedOut, false)
}

func (sim *simulation) recordResponse(inst *instance, req *request, responseTime time.Duration) {
	beforeDeadline := responseTime <= sim.conditions.Deadline+2*sim.conditions.Network.ToCallers
	if beforeDeadline {
		sim.result.UsefulTime += req.serviceTime
	}
	if req.measured {
		sim.result.ResponseTimes = append(sim.result.ResponseTimes, responseTime)
		sim.result.Responses = append(sim.result.Responses, Response{req.at, sim.now, req.serviceTime, beforeDeadline, inst.domain})
	}
}

// updateViews gives all live instances the view of the current members.
func (sim *simulation) updateViews() {
	sim.assignHomes()
	for _, inst := range sim.instances {
		if !inst.killed {
			sim.perform(inst, inst.scheduler.SetView(sim.wallTime(), sim.view(inst)))
		}
	}
}

func (sim *simulation) assignHomes() {
	for _, t := range sim.targets {
		var members []slots.Member
		for _, inst := range sim.instances {
			if !inst.killed && inst.domain.region() == t.domain.region() {
				members = append(members, slots.Member{Name: inst.member.Name, Domain: inst.member.Domain})
			}
		}
		sim.homeInstances[t.name] = slots.HomeInstance(t.name, t.domain.name(), members)
	}
}

func (sim *simulation) view(inst *instance) dispatch.View {
	view := dispatch.View{Services: []dispatch.Service{{Name: serviceName, MaxQueueTime: sim.conditions.MaxQueueTime}}, TransportDelay: map[string]time.Duration{}}
	for _, peer := range sim.instances {
		if !peer.killed {
			view.Members = append(view.Members, peer.member)
		}
		if peer.domain.region() != inst.domain.region() {
			view.TransportDelay[peer.member.Region] = sim.conditions.Network.BetweenRegions
		}
	}
	for _, t := range sim.targets {
		if t.domain.region() == inst.domain.region() {
			view.Targets = append(view.Targets, dispatch.Target{Home: sim.homeInstances[t.name], NeverMoved: sim.initialView, Leaving: sim.listedAsLeaving[t.name],
				Target: slots.Target{Name: t.name, Service: serviceName, Domain: t.domain.name(), Slots: slotsPerTarget}})
		}
	}
	return view
}
