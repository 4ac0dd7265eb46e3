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
	LoadLife     = time.Second
)

const (
	serviceName   = "enrolment"
	maxQueued     = 4096
	drainAtTheEnd = 20 * time.Second
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
	Responses   []time.Duration // Of answered requests after the warm-up.
	Answers     []Answer        // Of answered requests after the warm-up, with Responses.
	Answered    int
	Useful      time.Duration // Service time of the requests answered before their deadline.
	Refused     map[outcome.Reason]int
	RefusedAge  []time.Duration // Age of refused requests.
	RefusedLate int             // Refused after a wait in the queue.
	Lost        int             // In an instance that was killed, or on a cut connection.
	TimedOut    int             // Canceled at the deadline while they executed.
	Excess      int             // Events after which a target ran more requests than slots.
	Messages    map[string]int  // Sent between instances.
	Starts      []Started
	Span        time.Duration // Time of the last arrival.
}

// Answer is an answered request.
type Answer struct {
	Arrived, Ended time.Duration // At the entry instance; at the target.
	Service        time.Duration
	InTime         bool // Answered before the deadline.
	Place          place
}

// Started is a start of a request at a target.
type Started struct {
	At, End time.Duration
	Target  int
}

// request is the driver's record of a request.
type request struct {
	arrival
	first  int // Index of the entry instance of the caller.
	path   time.Duration
	counts bool
}

type target struct {
	name    string
	place   place
	running int
	down    bool
}

type node struct {
	index     int
	member    dispatch.Member
	place     place
	scheduler *dispatch.Scheduler
	requests  map[uint64]*request
	dead      bool

	frozenUntil time.Duration
}

// driver connects schedulers and targets in virtual time.
type driver struct {
	c         Case
	now       time.Duration
	order     uint64
	events    eventHeap
	nodes     []*node
	targets   []*target
	index     map[string]int           // Of instances and targets, by name.
	leaving   map[string]bool          // By the document.
	leavingAt map[string]time.Duration // When the target began to say so in its answers.
	home      map[string]string
	fresh     bool
	nextID    uint64
	failovers int
	result    Result

	cut        func(a, b place) bool                                   // Messages between a and b are lost.
	falsify    func(dispatch.ServiceLoad) (dispatch.ServiceLoad, bool) // Changes a load report; false drops it.
	dispatcher func(*driver)                                           // Schedules the disturbances of the case.
}

func newDriver(c Case) *driver {
	d := &driver{c: c, index: map[string]int{}, leaving: map[string]bool{}, leavingAt: map[string]time.Duration{}, home: map[string]string{}, fresh: true}
	d.result.Refused, d.result.Messages = map[outcome.Reason]int{}, map[string]int{}
	for i, p := range c.places() {
		n := &node{index: i, place: p, requests: map[uint64]*request{},
			member: dispatch.Member{Name: fmt.Sprintf("i%02d", i), Region: p.regionName(), Domain: p.name()}}
		n.scheduler = dispatch.New(dispatch.Config{Self: n.member, Incarnation: uint64(i + 1), MaxQueueLength: maxQueued,
			GrantTTL: c.Deadline + dispatch.GrantExpiryMargin, LoadInterval: LoadInterval, LoadMaxAge: LoadLife})
		d.nodes = append(d.nodes, n)
		d.index[n.member.Name] = i
	}
	for i := range targets {
		t := &target{name: fmt.Sprintf("t%02d", i), place: targetPlace(i)}
		d.targets = append(d.targets, t)
		d.index[t.name] = i
	}
	d.cut = func(place, place) bool { return false }
	d.falsify = func(l dispatch.ServiceLoad) (dispatch.ServiceLoad, bool) { return l, true }
	return d
}

func (d *driver) clock() time.Time { return epoch.Add(d.now) }

func (d *driver) at(when time.Duration, run func()) {
	d.order++
	heap.Push(&d.events, event{max(when, d.now), d.order, run})
}

// run processes all arrivals and returns the result.
func (d *driver) run() Result {
	list := d.c.arrivals()
	d.setViews()
	d.fresh = false
	end := list[len(list)-1].at
	d.result.Span = end
	for _, n := range d.nodes {
		d.tick(n, time.Duration(n.index)*dispatch.TickInterval/time.Duration(len(d.nodes)), end+drainAtTheEnd)
	}
	if d.dispatcher != nil {
		d.dispatcher(d)
	}
	d.arrive(list, 0)
	for len(d.events) > 0 {
		e := heap.Pop(&d.events).(event)
		d.now = e.at
		e.run()
		d.checkTargets()
	}
	return d.result
}

func (d *driver) checkTargets() {
	for _, t := range d.targets {
		if t.running > slotsPerTarget {
			d.result.Excess++
		}
	}
}

func (d *driver) arrive(list []arrival, index int) {
	if index == len(list) {
		return
	}
	d.at(list[index].at, func() {
		d.arrive(list, index+1)
		r := &request{arrival: list[index], first: list[index].instance, counts: index >= int(warmUp*float64(len(list)))}
		d.enter(d.live(r.first), r, 0)
	})
}

// live returns the instance, or the one that its caller fails over to when it
// is dead: another one of the region, else one of any other region in turn.
func (d *driver) live(index int) *node {
	var near, far []*node
	for _, n := range d.nodes {
		switch {
		case n.dead:
		case n.place.region() == d.nodes[index].place.region():
			near = append(near, n)
		default:
			far = append(far, n)
		}
	}
	d.failovers++
	switch {
	case !d.nodes[index].dead:
		return d.nodes[index]
	case len(near) > 0:
		return near[d.failovers%len(near)]
	}
	return far[d.failovers%len(far)]
}

func (d *driver) enter(n *node, r *request, hops int) {
	if d.now < n.frozenUntil {
		d.at(n.frozenUntil, func() { d.enter(n, r, hops) })
		return
	}
	d.nextID++
	n.requests[d.nextID] = r
	d.apply(n, n.scheduler.Submit(d.clock(), dispatch.Request{ID: d.nextID, Service: serviceName,
		EnteredAt: epoch.Add(r.at), Deadline: epoch.Add(r.at + d.c.Deadline), Hops: hops}))
}

func (d *driver) tick(n *node, when, until time.Duration) {
	if when > until {
		return
	}
	d.at(when, func() {
		if n.dead {
			return
		}
		if d.now < n.frozenUntil {
			d.tick(n, n.frozenUntil, until)
			return
		}
		d.apply(n, n.scheduler.Tick(d.clock()))
		d.tick(n, when+dispatch.TickInterval, until)
	})
}

// message delivers a message between instances unless the path is cut or the
// receiver is dead; then undelivered runs, when it is not nil.
func (d *driver) message(kind string, from *node, to string, deliver func(*node) []dispatch.Action, undelivered func()) {
	receiver := d.node(to)
	d.result.Messages[kind]++
	delay := d.c.Network.between(from.place, receiver.place)
	d.at(d.now+delay, func() {
		if d.cut(from.place, receiver.place) {
			return
		}
		if d.now < receiver.frozenUntil {
			d.at(receiver.frozenUntil, func() { d.apply(receiver, deliver(receiver)) })
			return
		}
		if receiver.dead {
			if undelivered != nil {
				d.at(d.now+delay, undelivered)
			}
			return
		}
		d.apply(receiver, deliver(receiver))
	})
}

func (d *driver) node(name string) *node { return d.nodes[d.index[name]] }

func (d *driver) target(name string) int { return d.index[name] }

// apply carries out the actions of a scheduler.
func (d *driver) apply(n *node, actions []dispatch.Action) {
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
			d.at(d.now, func() { d.apply(n, n.scheduler.SetView(d.clock(), d.view(n))) })
		default:
			d.send(n, a)
		}
	}
}

func (d *driver) send(n *node, action dispatch.Action) {
	self := n.member
	switch a := action.(type) {
	case dispatch.SendWant:
		w := dispatch.Want{From: self.Name, Incarnation: 1, Service: a.Service, Sequence: a.Sequence, Ages: a.Ages}
		d.message("want", n, a.To, func(to *node) []dispatch.Action { return to.scheduler.ReceiveWant(d.clock(), w) }, nil)
	case dispatch.SendGrant:
		g := dispatch.Grant{Home: self.Name, Service: a.Service, Target: a.Target, ID: a.GrantID, WantSequence: a.WantSequence, TTL: a.TTL}
		d.message("grant", n, a.To, func(to *node) []dispatch.Action { return to.scheduler.ReceiveGrant(d.clock(), g) }, func() {
			if !n.dead {
				d.apply(n, n.scheduler.PeerUnresponsive(d.clock(), a.To))
				d.apply(n, n.scheduler.ReceiveRelease(d.clock(), a.Target, a.GrantID, slots.Unused))
			}
		})
	case dispatch.SendRelease:
		d.message("release", n, a.To, func(to *node) []dispatch.Action {
			return to.scheduler.ReceiveRelease(d.clock(), a.Target, a.GrantID, a.Cause)
		}, nil)
	case dispatch.SendLoad:
		load, ok := d.falsify(a.Load)
		if !ok {
			return
		}
		d.message("load", n, a.To, func(to *node) []dispatch.Action { return to.scheduler.ReceiveLoad(d.clock(), self, load) }, nil)
	}
}

func (d *driver) forward(n *node, a dispatch.Forward) {
	r := n.requests[a.Request.ID]
	delete(n.requests, a.Request.ID)
	receiver := d.node(a.Instance)
	delay := d.c.Network.between(n.place, receiver.place)
	r.path += delay
	d.result.Messages["forward"]++
	d.at(d.now+delay, func() {
		switch {
		case d.cut(n.place, receiver.place):
			d.result.Lost++
		case receiver.dead:
			r.path += delay
			d.at(d.now+delay, func() { d.enter(d.live(r.first), r, 0) })
		default:
			d.enter(receiver, r, a.Request.Hops)
		}
	})
}

func (d *driver) refuse(n *node, a dispatch.Refuse) {
	r := n.requests[a.Request.ID]
	delete(n.requests, a.Request.ID)
	d.result.Refused[a.Reason]++
	if a.WasQueued {
		d.result.RefusedLate++
	}
	d.result.RefusedAge = append(d.result.RefusedAge, d.now-r.at)
}

func (d *driver) probe(n *node, a dispatch.Probe) {
	t := d.targets[d.target(a.Target)]
	if t.down || d.cut(n.place, t.place) {
		return
	}
	d.at(d.now+6*time.Millisecond, func() { d.apply(n, n.scheduler.ProbeSucceeded(d.clock(), t.name)) })
}

// start executes a request at its target. The target cancels it at its
// deadline; the instance gives up at the same time when no answer has come.
func (d *driver) start(n *node, a dispatch.Start) {
	r := n.requests[a.Request.ID]
	index := d.target(a.Target)
	t := d.targets[index]
	delay := d.c.Network.between(n.place, t.place)
	until := a.EndBy.Sub(epoch)
	var finish func(cause slots.ReleaseCause, retry bool)
	finish = func(cause slots.ReleaseCause, retry bool) {
		if n.dead || n.requests[a.Request.ID] == nil {
			return
		}
		if d.now < n.frozenUntil {
			d.at(n.frozenUntil, func() { finish(cause, retry) })
			return
		}
		if !retry {
			delete(n.requests, a.Request.ID)
		}
		d.apply(n, n.scheduler.RequestFinished(d.clock(), a.Request.ID, cause, retry))
	}
	d.at(d.now+delay, func() {
		if d.cut(n.place, t.place) {
			d.at(until, func() { d.giveUp(n, &d.result.Lost, finish) })
			return
		}
		if t.down {
			d.at(d.now+delay, func() { finish(slots.ConnectFailed, true) })
			return
		}
		t.running++
		begin := d.now
		end := min(begin+r.service, max(begin, until))
		d.result.Starts = append(d.result.Starts, Started{d.now, end, index})
		d.at(end, func() {
			t.running--
			if end-begin < r.service {
				d.at(until, func() { d.giveUp(n, &d.result.TimedOut, finish) })
				return
			}
			d.answer(n, t, r, delay, until, finish)
		})
	})
}

func (d *driver) answer(n *node, t *target, r *request, delay, until time.Duration, finish func(slots.ReleaseCause, bool)) {
	if d.cut(n.place, t.place) {
		d.at(until, func() { d.giveUp(n, &d.result.Lost, finish) })
		return
	}
	d.at(d.now+delay, func() {
		if n.dead {
			return
		}
		d.result.Answered++
		d.count(n, r, d.now-r.at+r.path+2*d.c.Network.Clients)
		if d.leavingAt[t.name] > 0 && d.leavingAt[t.name] <= d.now-delay {
			finish(slots.Leaving, false)
			return
		}
		finish(slots.Answered, false)
	})
}

// giveUp ends a request without an answer. The requests of a dead instance
// were counted when it died.
func (d *driver) giveUp(n *node, counter *int, finish func(slots.ReleaseCause, bool)) {
	if !n.dead {
		*counter++
	}
	finish(slots.TimedOut, false)
}

func (d *driver) count(n *node, r *request, response time.Duration) {
	inTime := response <= d.c.Deadline+2*d.c.Network.Clients
	if inTime {
		d.result.Useful += r.service
	}
	if r.counts {
		d.result.Responses = append(d.result.Responses, response)
		d.result.Answers = append(d.result.Answers, Answer{r.at, d.now, r.service, inTime, n.place})
	}
}

// setViews gives all live instances the view of the current members.
func (d *driver) setViews() {
	d.assignHomes()
	for _, n := range d.nodes {
		if !n.dead {
			d.apply(n, n.scheduler.SetView(d.clock(), d.view(n)))
		}
	}
}

func (d *driver) assignHomes() {
	for _, t := range d.targets {
		var members []slots.Member
		for _, n := range d.nodes {
			if !n.dead && n.place.region() == t.place.region() {
				members = append(members, slots.Member{Name: n.member.Name, Domain: n.member.Domain})
			}
		}
		d.home[t.name] = slots.HomeInstance(t.name, t.place.name(), members)
	}
}

func (d *driver) view(n *node) dispatch.View {
	v := dispatch.View{Services: []dispatch.Service{{Name: serviceName, MaxQueueTime: d.c.MaxQueue}}, TransportDelay: map[string]time.Duration{}}
	for _, other := range d.nodes {
		if !other.dead {
			v.Members = append(v.Members, other.member)
		}
		if other.place.region() != n.place.region() {
			v.TransportDelay[other.member.Region] = d.c.Network.Regions
		}
	}
	for _, t := range d.targets {
		if t.place.region() == n.place.region() {
			v.Targets = append(v.Targets, dispatch.Target{Home: d.home[t.name], NeverMoved: d.fresh, Leaving: d.leaving[t.name],
				Target: slots.Target{Name: t.name, Service: serviceName, Domain: t.place.name(), Slots: slotsPerTarget}})
		}
	}
	return v
}
