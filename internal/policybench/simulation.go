package policybench

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/jacinthstall/jacinthstall/dispatch"
	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/slots"
)

// LoadInterval and LoadMaxAge configure the load reports of the schedulers.
// With 12 instances, the reports at this interval plus heartbeats without loads
// stay within the control traffic allowed for an instance.
const (
	LoadInterval = 250 * time.Millisecond
	LoadMaxAge   = time.Second
)

const (
	serviceName    = "enrolment"
	maxQueueLength = 4096
	// drainPeriod is how long schedulers keep ticking after the last arrival, so
	// that queued requests can finish.
	drainPeriod = 20 * time.Second
)

// epoch is the wall time at virtual time 0.
var epoch = time.Unix(1_000_000, 0)

// event is an action at a virtual time. Events at the same time run in the order
// in which they were scheduled.
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

// Result holds the outcomes of the requests of a simulation, as callers and
// targets see them.
type Result struct {
	ResponseTimes        []time.Duration // Of completed requests after the warm-up, measured at the caller.
	Responses            []Response      // Of the same requests, in the same order.
	Completed            int             // Requests with a response.
	UsefulTime           time.Duration   // Service time of the requests completed before their deadline.
	Refused              map[outcome.Reason]int
	RefusalAges          []time.Duration // Time from arrival to refusal.
	RefusedAfterQueueing int             // Refused after a wait in the queue.
	Lost                 int             // In a killed instance or on a partitioned connection.
	TimedOut             int             // Canceled at the deadline during execution.
	SlotOverruns         int             // Events after which a target executed more requests than it has slots.
	Messages             map[string]int  // Sent between instances, by kind.
	Executions           []Execution
	LastArrivalAt        time.Duration
}

// Response describes a completed request.
type Response struct {
	ArrivedAt, CompletedAt time.Duration // Arrival at the entry instance; arrival of the response at the instance that started it.
	ServiceTime            time.Duration
	BeforeDeadline         bool
	Domain                 failureDomain // Of the instance that received the response.
}

// Execution is one execution of a request at a target.
type Execution struct {
	Start, End time.Duration
	Target     int // Index of the target.
}

// request is a request in the simulation.
type request struct {
	arrival
	entryIndex   int           // Index of the caller's entry instance.
	forwardDelay time.Duration // Sum of the one-way delays of its forwards; added again for the response.
	measured     bool          // Arrived after the warm-up.
}

// target executes requests; down targets refuse connections.
type target struct {
	name      string
	domain    failureDomain
	executing int
	down      bool
}

// instance is an entry instance with its scheduler.
type instance struct {
	index           int
	member          dispatch.Member
	domain          failureDomain
	scheduler       *dispatch.Scheduler
	pendingRequests map[uint64]*request // Queued or executing, by request ID.
	killed          bool
	frozenUntil     time.Duration // Events for the instance are delayed until then.
}

// simulation connects schedulers and targets in virtual time.
type simulation struct {
	conditions         Case
	now                time.Duration
	lastEventOrder     uint64
	events             eventHeap
	instances          []*instance
	targets            []*target
	indexByName        map[string]int           // Index in instances or targets, by name.
	listedAsLeaving    map[string]bool          // Whether the policy document lists it as leaving, by target name.
	reportsLeavingFrom map[string]time.Duration // When its responses begin to announce that it is leaving, by target name.
	homeInstances      map[string]string        // By target name.
	initialView        bool                     // No home has moved yet.
	lastRequestID      uint64
	entrySelections    int // Number of calls of entryInstance; rotates the failover.
	result             Result

	partitioned      func(a, b failureDomain) bool                           // Whether messages and responses between a and b are lost.
	filterLoadReport func(dispatch.ServiceLoad) (dispatch.ServiceLoad, bool) // Returns the load report to send; false drops it.
	scheduleFaults   func(*simulation)                                       // Optional; called before the first event.
}

func newSimulation(conditions Case) *simulation {
	sim := &simulation{conditions: conditions, indexByName: map[string]int{}, listedAsLeaving: map[string]bool{},
		reportsLeavingFrom: map[string]time.Duration{}, homeInstances: map[string]string{}, initialView: true}
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

// wallTime converts the virtual time to the time passed to the schedulers.
func (sim *simulation) wallTime() time.Time { return epoch.Add(sim.now) }

// schedule queues an action for a virtual time, or for now if that has passed.
func (sim *simulation) schedule(when time.Duration, action func()) {
	sim.lastEventOrder++
	heap.Push(&sim.events, event{max(when, sim.now), sim.lastEventOrder, action})
}

// run simulates all arrivals of the case until no events remain.
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

// scheduleArrival schedules the arrival at an index. Each arrival schedules the
// next one, which keeps the event queue small.
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

// entryInstance returns the instance at index or, if it was killed, the one that
// its callers fail over to: a live instance of the same region if there is one,
// otherwise of another region, in rotation.
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

// submit passes a request to an instance's scheduler under a new request ID.
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

// scheduleTick schedules the scheduler's ticks from when to until.
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

// sendMessage delivers a message to an instance after the network delay. A
// partition drops it without notice. If the receiver was killed, the sender
// learns that after another delay, by undelivered unless that is nil.
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

// perform carries out the actions that an instance's scheduler returned.
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

// send transmits a scheduler message to a peer.
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

// forwardRequest forwards a request to a peer. If the peer was killed, the
// request fails back and enters through the caller's entry instance again.
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

// probeTarget lets a probe succeed after 6 ms if the target is reachable.
func (sim *simulation) probeTarget(inst *instance, action dispatch.Probe) {
	t := sim.targets[sim.targetIndex(action.Target)]
	if t.down || sim.partitioned(inst.domain, t.domain) {
		return
	}
	sim.schedule(sim.now+6*time.Millisecond, func() { sim.perform(inst, inst.scheduler.ProbeSucceeded(sim.wallTime(), t.name)) })
}

// startRequest executes a request at its target. The target cancels the request
// at its deadline; the instance times out then if it has no response.
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

// deliverResponse sends a response to the instance that started the request. A
// leaving target says so in the response.
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

// endWithoutResponse ends a request as timed out and increments counter, unless
// the instance was killed: kill has counted its requests as lost.
func (sim *simulation) endWithoutResponse(inst *instance, counter *int, finish func(slots.ReleaseCause, bool)) {
	if !inst.killed {
		*counter++
	}
	finish(slots.TimedOut, false)
}

// recordResponse adds a response to the result. responseTime includes the delay
// to the caller and back, which the deadline does not.
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

// updateViews reassigns the home instances and gives each live instance its new view.
func (sim *simulation) updateViews() {
	sim.assignHomes()
	for _, inst := range sim.instances {
		if !inst.killed {
			sim.perform(inst, inst.scheduler.SetView(sim.wallTime(), sim.view(inst)))
		}
	}
}

// assignHomes assigns each target a home instance of its region.
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

// view returns an instance's view: the live members, the delays to other regions
// and the targets of its own region.
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
