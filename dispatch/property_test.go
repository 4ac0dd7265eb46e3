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
	tables     []string       // Home by each version of the table; version 1 is the first.
	known      map[string]int // Newest version that each instance applies.
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
	f := &fleet{now: epoch, schedulers: map[string]*dispatch.Scheduler{}, names: []string{"a", "b", "c"}, tables: []string{"a"}, fresh: true, known: map[string]int{"a": 1, "b": 1, "c": 1}}
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
	target := dispatch.Target{Fresh: f.fresh, Target: slots.Target{Name: "t", Service: svc, Slots: fleetSlots}}
	f.known[name] = len(f.tables)
	f.locate(&target)
	v.Targets, v.TableVersion = []dispatch.Target{target}, uint64(len(f.tables))
	f.apply(name, f.schedulers[name].SetView(f.now, v))
}

// locate fills in the home by the newest table. It is known when all versions
// that some instance may still apply name the same one.
func (f *fleet) locate(t *dispatch.Target) {
	newest := len(f.tables)
	t.Next, t.Home, t.Since = f.tables[newest-1], f.tables[newest-1], uint64(newest)
	for _, version := range f.known {
		for i := version; i < newest; i++ {
			if f.tables[i-1] != t.Next {
				t.Home = ""
			}
		}
	}
	for i := newest - 1; i > 0; i-- {
		if f.tables[i-1] != t.Next {
			t.Previous = f.tables[i-1]
			return
		}
		t.Since = uint64(i)
	}
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
		case dispatch.SendHandOff:
			h := dispatch.HandOff{From: name, Target: a.Target, Busy: a.Busy, Version: a.Version}
			f.send(a.To, false, func(s *dispatch.Scheduler) []dispatch.Action { return s.HandedOff(f.now, h) })
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

// change publishes a table with another home; instances learn it later.
func (f *fleet) change(t *rapid.T) {
	f.tables = append(f.tables, rapid.SampledFrom(f.names).Draw(t, "home"))
}

func (f *fleet) learn(t *rapid.T) { f.refresh(rapid.SampledFrom(f.names).Draw(t, "learner")) }

func (f *fleet) probe(*rapid.T) {
	home := f.tables[len(f.tables)-1]
	f.apply(home, f.schedulers[home].ProbeSucceeded(f.now, "t"))
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
