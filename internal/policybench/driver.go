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
	at    time.Duration
	order uint64
	run   func()
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
	index     int
	member    dispatch.Member
	domain    failureDomain
	scheduler *dispatch.Scheduler
	requests  map[uint64]*request
	killed    bool

	frozenUntil time.Duration
}

// simulation connects schedulers and targets in virtual time.
type simulation struct {
	conditions         Case
	now                time.Duration
	nextEventOrder     uint64
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

func newSimulation(c Case) *simulation {
	d := &simulation{conditions: c, indexByName: map[string]int{}, listedAsLeaving: map[string]bool{}, reportsLeavingFrom: map[string]time.Duration{}, homeInstances: map[string]string{}, initialView: true}
	d.result.Refused, d.result.Messages = map[outcome.Reason]int{}, map[string]int{}
	for i, p := range c.instanceDomains() {
		n := &instance{index: i, domain: p, requests: map[uint64]*request{},
			member: dispatch.Member{Name: fmt.Sprintf("i%02d", i), Region: p.regionName(), Domain: p.name()}}
		n.scheduler = dispatch.New(dispatch.Config{Self: n.member, Incarnation: uint64(i + 1), MaxQueueLength: maxQueueLength,
			GrantTTL: c.Deadline + dispatch.GrantExpiryMargin, LoadInterval: LoadInterval, LoadMaxAge: LoadMaxAge})
		d.instances = append(d.instances, n)
		d.indexByName[n.member.Name] = i
	}
	for i := range targetCount {
		t := &target{name: fmt.Sprintf("t%02d", i), domain: targetDomain(i)}
		d.targets = append(d.targets, t)
		d.indexByName[t.name] = i
	}
	d.partitioned = func(failureDomain, failureDomain) bool { return false }
	d.filterLoadReport = func(l dispatch.ServiceLoad) (dispatch.ServiceLoad, bool) { return l, true }
	return d
}

func (d *simulation) wallTime() time.Time { return epoch.Add(d.now) }

func (d *simulation) schedule(when time.Duration, run func()) {
	d.nextEventOrder++
	heap.Push(&d.events, event{max(when, d.now), d.nextEventOrder, run})
}

// run processes all arrivals and returns the result.
func (d *simulation) run() Result {
	list := d.conditions.arrivals()
	d.updateViews()
	d.initialView = false
	end := list[len(list)-1].at
	d.result.LastArrivalAt = end
	for _, n := range d.instances {
		d.scheduleTick(n, time.Duration(n.index)*dispatch.TickInterval/time.Duration(len(d.instances)), end+drainPeriod)
	}
	if d.scheduleFaults != nil {
		d.scheduleFaults(d)
	}
	d.scheduleArrival(list, 0)
	for len(d.events) > 0 {
		e := heap.Pop(&d.events).(event)
		d.now = e.at
		e.run()
		d.countSlotOverruns()
	}
	return d.result
}

func (d *simulation) countSlotOverruns() {
	for _, t := range d.targets {
		if t.executing > slotsPerTarget {
			d.result.SlotOverruns++
		}
	}
}

func (d *simulation) scheduleArrival(list []arrival, index int) {
	if index == len(list) {
		return
	}
	d.schedule(list[index].at, func() {
		d.scheduleArrival(list, index+1)
		r := &request{arrival: list[index], entryIndex: list[index].instance, measured: index >= int(warmUpFraction*float64(len(list)))}
		d.submit(d.entryInstance(r.entryIndex), r, 0)
	})
}

// entryInstance returns the instance, or the one that its caller fails over to when it
// is dead: another one of the region, else one of any other region in turn.
func (d *simulation) entryInstance(index int) *instance {
	var near, far []*instance
	for _, n := range d.instances {
		switch {
		case n.killed:
		case n.domain.region() == d.instances[index].domain.region():
			near = append(near, n)
		default:
			far = append(far, n)
		}
	}
	d.entrySelections++
	switch {
	case !d.instances[index].killed:
		return d.instances[index]
	case len(near) > 0:
		return near[d.entrySelections%len(near)]
	}
	return far[d.entrySelections%len(far)]
}

func (d *simulation) submit(n *instance, r *request, hops int) {
	if d.now < n.frozenUntil {
		d.schedule(n.frozenUntil, func() { d.submit(n, r, hops) })
		return
	}
	d.lastRequestID++
	n.requests[d.lastRequestID] = r
	d.perform(n, n.scheduler.Submit(d.wallTime(), dispatch.Request{ID: d.lastRequestID, Service: serviceName,
		EnteredAt: epoch.Add(r.at), Deadline: epoch.Add(r.at + d.conditions.Deadline), Hops: hops}))
}

func (d *simulation) scheduleTick(n *instance, when, until time.Duration) {
	if when > until {
		return
	}
	d.schedule(when, func() {
		if n.killed {
			return
		}
		if d.now < n.frozenUntil {
			d.scheduleTick(n, n.frozenUntil, until)
			return
		}
		d.perform(n, n.scheduler.Tick(d.wallTime()))
		d.scheduleTick(n, when+dispatch.TickInterval, until)
	})
}

// sendMessage delivers a message between instances unless the path is cut or the
// receiver is dead; then undelivered runs, when it is not nil.
func (d *simulation) sendMessage(kind string, from *instance, to string, deliver func(*instance) []dispatch.Action, undelivered func()) {
	receiver := d.instanceByName(to)
	d.result.Messages[kind]++
	delay := d.conditions.Network.delay(from.domain, receiver.domain)
	d.schedule(d.now+delay, func() {
		if d.partitioned(from.domain, receiver.domain) {
			return
		}
		if d.now < receiver.frozenUntil {
			d.schedule(receiver.frozenUntil, func() { d.perform(receiver, deliver(receiver)) })
			return
		}
		if receiver.killed {
			if undelivered != nil {
				d.schedule(d.now+delay, undelivered)
			}
			return
		}
		d.perform(receiver, deliver(receiver))
	})
}

func (d *simulation) instanceByName(name string) *instance { return d.instances[d.indexByName[name]] }

func (d *simulation) targetIndex(name string) int { return d.indexByName[name] }

// perform carries out the actions of a scheduler.
func (d *simulation) perform(n *instance, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Start:
			d.start(n, a)
		case dispatch.Forward:
			d.forward(n, a)
		case dispatch.Refuse:
			d.refuse(n, a)
		case dispatch.Probe:
			d.probe(n, a)
		case dispatch.RefreshView:
			d.schedule(d.now, func() { d.perform(n, n.scheduler.SetView(d.wallTime(), d.view(n))) })
		default:
			d.send(n, a)
		}
	}
}

func (d *simulation) send(n *instance, action dispatch.Action) {
	self := n.member
	switch a := action.(type) {
	case dispatch.SendWant:
		w := dispatch.Want{From: self.Name, Incarnation: 1, Service: a.Service, Sequence: a.Sequence, Ages: a.Ages}
		d.sendMessage("want", n, a.To, func(to *instance) []dispatch.Action { return to.scheduler.ReceiveWant(d.wallTime(), w) }, nil)
	case dispatch.SendGrant:
		g := dispatch.Grant{Home: self.Name, Service: a.Service, Target: a.Target, ID: a.GrantID, WantSequence: a.WantSequence, TTL: a.TTL}
		d.sendMessage("grant", n, a.To, func(to *instance) []dispatch.Action { return to.scheduler.ReceiveGrant(d.wallTime(), g) }, func() {
			if !n.killed {
				d.perform(n, n.scheduler.PeerUnresponsive(d.wallTime(), a.To))
				d.perform(n, n.scheduler.ReceiveRelease(d.wallTime(), a.Target, a.GrantID, slots.Unused))
			}
		})
	case dispatch.SendRelease:
		d.sendMessage("release", n, a.To, func(to *instance) []dispatch.Action {
			return to.scheduler.ReceiveRelease(d.wallTime(), a.Target, a.GrantID, a.Cause)
		}, nil)
	case dispatch.SendLoad:
		load, ok := d.filterLoadReport(a.Load)
		if !ok {
			return
		}
		d.sendMessage("load", n, a.To, func(to *instance) []dispatch.Action { return to.scheduler.ReceiveLoad(d.wallTime(), self, load) }, nil)
	}
}

func (d *simulation) forward(n *instance, a dispatch.Forward) {
	r := n.requests[a.Request.ID]
	delete(n.requests, a.Request.ID)
	receiver := d.instanceByName(a.Instance)
	delay := d.conditions.Network.delay(n.domain, receiver.domain)
	r.forwardDelay += delay
	d.result.Messages["forward"]++
	d.schedule(d.now+delay, func() {
		switch {
		case d.partitioned(n.domain, receiver.domain):
			d.result.Lost++
		case receiver.killed:
			r.forwardDelay += delay
			d.schedule(d.now+delay, func() { d.submit(d.entryInstance(r.entryIndex), r, 0) })
		default:
			d.submit(receiver, r, a.Request.Hops)
		}
	})
}

func (d *simulation) refuse(n *instance, a dispatch.Refuse) {
	r := n.requests[a.Request.ID]
	delete(n.requests, a.Request.ID)
	d.result.Refused[a.Reason]++
	if a.WasQueued {
		d.result.RefusedAfterQueueing++
	}
	d.result.RefusalAges = append(d.result.RefusalAges, d.now-r.at)
}

func (d *simulation) probe(n *instance, a dispatch.Probe) {
	t := d.targets[d.targetIndex(a.Target)]
	if t.down || d.partitioned(n.domain, t.domain) {
		return
	}
	d.schedule(d.now+6*time.Millisecond, func() { d.perform(n, n.scheduler.ProbeSucceeded(d.wallTime(), t.name)) })
}

// start executes a request at its target. The target cancels it at its
// deadline; the instance gives up at the same time when no answer has come.
func (d *simulation) start(n *instance, a dispatch.Start) {
	r := n.requests[a.Request.ID]
	index := d.targetIndex(a.Target)
	t := d.targets[index]
	delay := d.conditions.Network.delay(n.domain, t.domain)
	until := a.EndBy.Sub(epoch)
	var finish func(cause slots.ReleaseCause, retry bool)
	finish = func(cause slots.ReleaseCause, retry bool) {
		if n.killed || n.requests[a.Request.ID] == nil {
			return
		}
		if d.now < n.frozenUntil {
			d.schedule(n.frozenUntil, func() { finish(cause, retry) })
			return
		}
		if !retry {
			delete(n.requests, a.Request.ID)
		}
		d.perform(n, n.scheduler.RequestFinished(d.wallTime(), a.Request.ID, cause, retry))
	}
	d.schedule(d.now+delay, func() {
		if d.partitioned(n.domain, t.domain) {
			d.schedule(until, func() { d.endWithoutResponse(n, &d.result.Lost, finish) })
			return
		}
		if t.down {
			d.schedule(d.now+delay, func() { finish(slots.ConnectFailed, true) })
			return
		}
		t.executing++
		begin := d.now
		end := min(begin+r.serviceTime, max(begin, until))
		d.result.Executions = append(d.result.Executions, Execution{d.now, end, index})
		d.schedule(end, func() {
			t.executing--
			if end-begin < r.serviceTime {
				d.schedule(until, func() { d.endWithoutResponse(n, &d.result.TimedOut, finish) })
				return
			}
			d.deliverResponse(n, t, r, delay, until, finish)
		})
	})
}

func (d *simulation) deliverResponse(n *instance, t *target, r *request, delay, until time.Duration, finish func(slots.ReleaseCause, bool)) {
	if d.partitioned(n.domain, t.domain) {
		d.schedule(until, func() { d.endWithoutResponse(n, &d.result.Lost, finish) })
		return
	}
	d.schedule(d.now+delay, func() {
		if n.killed {
			return
		}
		d.result.Completed++
		d.recordResponse(n, r, d.now-r.at+r.forwardDelay+2*d.conditions.Network.ToCallers)
		if d.reportsLeavingFrom[t.name] > 0 && d.reportsLeavingFrom[t.name] <= d.now-delay {
			finish(slots.Leaving, false)
			return
		}
		finish(slots.Answered, false)
	})
}

// endWithoutResponse ends a request without an answer. The requests of a dead instance
// were counted when it died.
func (d *simulation) endWithoutResponse(n *instance, counter *int, finish func(slots.ReleaseCause, bool)) {
	if !n.killed {
		*counter++
	}
	finish(slots.TimedOut, false)
}

func (d *simulation) recordResponse(n *instance, r *request, response time.Duration) {
	inTime := response <= d.conditions.Deadline+2*d.conditions.Network.ToCallers
	if inTime {
		d.result.UsefulTime += r.serviceTime
	}
	if r.measured {
		d.result.ResponseTimes = append(d.result.ResponseTimes, response)
		d.result.Responses = append(d.result.Responses, Response{r.at, d.now, r.serviceTime, inTime, n.domain})
	}
}

// updateViews gives all live instances the view of the current members.
func (d *simulation) updateViews() {
	d.assignHomes()
	for _, n := range d.instances {
		if !n.killed {
			d.perform(n, n.scheduler.SetView(d.wallTime(), d.view(n)))
		}
	}
}

func (d *simulation) assignHomes() {
	for _, t := range d.targets {
		var members []slots.Member
		for _, n := range d.instances {
			if !n.killed && n.domain.region() == t.domain.region() {
				members = append(members, slots.Member{Name: n.member.Name, Domain: n.member.Domain})
			}
		}
		d.homeInstances[t.name] = slots.HomeInstance(t.name, t.domain.name(), members)
	}
}

func (d *simulation) view(n *instance) dispatch.View {
	v := dispatch.View{Services: []dispatch.Service{{Name: serviceName, MaxQueueTime: d.conditions.MaxQueueTime}}, TransportDelay: map[string]time.Duration{}}
	for _, other := range d.instances {
		if !other.killed {
			v.Members = append(v.Members, other.member)
		}
		if other.domain.region() != n.domain.region() {
			v.TransportDelay[other.member.Region] = d.conditions.Network.BetweenRegions
		}
	}
	for _, t := range d.targets {
		if t.domain.region() == n.domain.region() {
			v.Targets = append(v.Targets, dispatch.Target{Home: d.homeInstances[t.name], NeverMoved: d.initialView, Leaving: d.listedAsLeaving[t.name],
				Target: slots.Target{Name: t.name, Service: serviceName, Domain: t.domain.name(), Slots: slotsPerTarget}})
		}
	}
	return v
}
