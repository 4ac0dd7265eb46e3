package dispatch_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthstall/jacinthstall/dispatch"
	"github.com/jacinthstall/jacinthstall/slots"
)

// TestMain fixes the seed, so that every run of CI checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "2000", "rapid.steps": "80", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fleet is a model of three instances of a region and one target, with
// messages that are lost, repeated, delayed without bound and reordered.
type fleet struct {
	now        time.Time
	schedulers map[string]*dispatch.Scheduler
	names      []string
	messages   []letter
	running    []execution
	nextID     uint64
	home       string          // Home by the newest table, "" during a change.
	seen       map[string]bool // Instances that apply the newest table.
	fresh      bool
	arrived    int
	ended      int
}

type letter struct {
	to      string
	deliver func(*dispatch.Scheduler) []dispatch.Action
	once    bool // The protocol never repeats it.
}

type execution struct {
	by    string
	id    uint64
	until time.Time
}

const fleetSlots = 2

func newFleet() *fleet {
	f := &fleet{now: epoch, schedulers: map[string]*dispatch.Scheduler{}, names: []string{"a", "b", "c"}, home: "a", fresh: true, seen: map[string]bool{}}
	for i, name := range f.names {
		f.schedulers[name] = dispatch.New(dispatch.Config{Self: f.member(name), Incarnation: uint64(i + 1), MaxQueued: 20,
			GrantLife: life, LoadInterval: 50 * ms, LoadLife: 500 * ms})
		f.refresh(name)
	}
	f.fresh = false
	return f
}

func (f *fleet) member(name string) dispatch.Member {
	return dispatch.Member{Name: name, Region: "north", Domain: "d" + name}
}

// refresh applies the newest table at an instance.
func (f *fleet) refresh(name string) {
	v := dispatch.View{Services: []dispatch.Service{{Name: svc}}}
	for _, member := range f.names {
		v.Members = append(v.Members, f.member(member))
	}
	v.Targets = []dispatch.Target{{Home: f.home, Fresh: f.fresh, Target: slots.Target{Name: "t", Service: svc, Slots: fleetSlots}}}
	f.seen[name] = true
	f.apply(name, f.schedulers[name].SetView(f.now, v))
}

func (f *fleet) send(to string, once bool, deliver func(*dispatch.Scheduler) []dispatch.Action) {
	f.messages = append(f.messages, letter{to, deliver, once})
}

func (f *fleet) apply(name string, actions []dispatch.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Start:
			f.running = append(f.running, execution{name, a.Request.ID, a.Until})
		case dispatch.Refuse:
			f.ended++
		case dispatch.Refresh:
			f.refresh(name)
		case dispatch.SendWant:
			w := dispatch.Want{From: name, Incarnation: 1, Service: svc, Sequence: a.Sequence, Ages: a.Ages}
			f.send(a.To, false, func(s *dispatch.Scheduler) []dispatch.Action { return s.Wanted(f.now, w) })
		case dispatch.SendGrant:
			g := dispatch.Grant{Home: name, Service: svc, Target: a.Target, ID: a.Grant, Want: a.Want, Life: a.Life}
			f.send(a.To, true, func(s *dispatch.Scheduler) []dispatch.Action { return s.Granted(f.now, g) })
		case dispatch.SendRelease:
			f.send(a.To, false, func(s *dispatch.Scheduler) []dispatch.Action { return s.Released(f.now, a.Target, a.Grant, a.Cause) })
		}
	}
}

func (f *fleet) arrive(t *rapid.T) {
	name := rapid.SampledFrom(f.names).Draw(t, "instance")
	f.nextID++
	f.arrived++
	age := time.Duration(rapid.IntRange(0, 100).Draw(t, "age")) * ms
	f.apply(name, f.schedulers[name].Arrive(f.now, dispatch.Request{ID: f.nextID, Service: svc, Entered: f.now.Add(-age), Deadline: f.now.Add(2 * time.Second)}))
}

func (f *fleet) deliver(t *rapid.T) {
	if len(f.messages) == 0 {
		return
	}
	index := rapid.IntRange(0, len(f.messages)-1).Draw(t, "message")
	m := f.messages[index]
	fate := rapid.IntRange(0, 9).Draw(t, "fate") // 0 loses it, 1 repeats it later.
	if fate != 1 || m.once {
		f.messages = append(f.messages[:index], f.messages[index+1:]...)
	}
	if fate != 0 {
		f.apply(m.to, m.deliver(f.schedulers[m.to]))
	}
}

func (f *fleet) finish(t *rapid.T) {
	if len(f.running) == 0 {
		return
	}
	index := rapid.IntRange(0, len(f.running)-1).Draw(t, "running")
	run := f.running[index]
	f.running = append(f.running[:index], f.running[index+1:]...)
	cause := rapid.SampledFrom([]slots.Cause{slots.Answered, slots.Shed, slots.Crashed}).Draw(t, "cause")
	f.end(run, cause)
}

func (f *fleet) end(run execution, cause slots.Cause) {
	retry := cause == slots.Shed
	if !retry {
		f.ended++
	}
	f.apply(run.by, f.schedulers[run.by].Finished(f.now, run.id, cause, retry))
}

// advance moves the time; a jump of more than a second is a freeze of all
// instances. Targets end requests at their deadline in between.
func (f *fleet) advance(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * ms)
	var late []execution
	kept := f.running[:0]
	for _, run := range f.running {
		if f.now.Before(run.until) {
			kept = append(kept, run)
		} else {
			late = append(late, run)
		}
	}
	f.running = kept
	for _, run := range late {
		f.end(run, slots.TimedOut)
	}
	for _, name := range f.names {
		f.apply(name, f.schedulers[name].Tick(f.now))
	}
}

// change moves the home in two steps: no home until all instances apply that
// table, as the allotment's minimum over versions demands, then the new home.
func (f *fleet) change(t *rapid.T) {
	if len(f.seen) < len(f.names) {
		return
	}
	if f.home != "" {
		f.home = ""
	} else {
		f.home = rapid.SampledFrom(f.names).Draw(t, "home")
	}
	f.seen = map[string]bool{}
}

func (f *fleet) learn(t *rapid.T) { f.refresh(rapid.SampledFrom(f.names).Draw(t, "learner")) }

func (f *fleet) probe(*rapid.T) {
	if f.home != "" {
		f.apply(f.home, f.schedulers[f.home].ProbeSucceeded(f.now, "t"))
	}
}

func (f *fleet) check(t *rapid.T) {
	require.LessOrEqual(t, len(f.running), fleetSlots)
	queued := 0
	for _, s := range f.schedulers {
		queued += s.Queued(svc)
	}
	require.Equal(t, f.arrived, f.ended+len(f.running)+queued, "a request was lost or ended twice")
}

// Guards against more work at a target than slots, and against lost requests,
// for any loss, repetition, delay and order of messages and any move of the home.
func TestSlotsAndRequestsAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		t.Repeat(map[string]func(*rapid.T){
			"arrive": f.arrive, "arrive again": f.arrive, "deliver": f.deliver, "deliver 2": f.deliver, "deliver 3": f.deliver,
			"finish": f.finish, "advance": f.advance, "change": f.change, "learn": f.learn, "learn 2": f.learn, "probe": f.probe, "": f.check,
		})
	})
}
