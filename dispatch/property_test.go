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

// regionModel is a model of three instances of a region and one target, with
// messages that are lost, repeated, delayed without bound and reordered.
type regionModel struct {
	now           time.Time
	schedulers    map[string]*dispatch.Scheduler
	names         []string
	messages      []message
	running       []execution
	nextID        uint64
	homeByVersion []string       // Home by each version of the table; version 1 is the first.
	knownVersion  map[string]int // Newest version that each instance applies.
	neverMoved    bool
	arrived       int
	ended         int
}

type message struct {
	to            string
	deliver       func(*dispatch.Scheduler) []dispatch.Action
	neverRepeated bool // The protocol never repeats it.
}

type execution struct {
	by    string
	id    uint64
	until time.Time
}

const modelSlots = 2

func newRegionModel() *regionModel {
	f := &regionModel{now: epoch, schedulers: map[string]*dispatch.Scheduler{}, names: []string{"a", "b", "c"}, homeByVersion: []string{"a"}, neverMoved: true, knownVersion: map[string]int{"a": 1, "b": 1, "c": 1}}
	for i, name := range f.names {
		f.schedulers[name] = dispatch.New(dispatch.Config{Self: f.member(name), Incarnation: uint64(i + 1), MaxQueueLength: 20,
			GrantTTL: grantTTL, LoadInterval: 50 * ms, LoadMaxAge: 500 * ms})
		f.refresh(name)
	}
	f.neverMoved = false
	return f
}

func (f *regionModel) member(name string) dispatch.Member {
	return dispatch.Member{Name: name, Region: "north", Domain: "d" + name}
}

// refresh applies the newest table at an instance.
func (f *regionModel) refresh(name string) {
	v := dispatch.View{Services: []dispatch.Service{{Name: serviceName}}}
	for _, member := range f.names {
		v.Members = append(v.Members, f.member(member))
	}
	target := dispatch.Target{NeverMoved: f.neverMoved, Target: slots.Target{Name: "t", Service: serviceName, Slots: modelSlots}}
	f.knownVersion[name] = len(f.homeByVersion)
	f.setHome(&target)
	v.Targets, v.TableVersion = []dispatch.Target{target}, uint64(len(f.homeByVersion))
	f.apply(name, f.schedulers[name].SetView(f.now, v))
}

// setHome fills in the home by the newest table. It is known when all versions
// that some instance may still apply name the same one.
func (f *regionModel) setHome(t *dispatch.Target) {
	newest := len(f.homeByVersion)
	t.NextHome, t.Home, t.HomeSince = f.homeByVersion[newest-1], f.homeByVersion[newest-1], uint64(newest)
	for _, version := range f.knownVersion {
		for i := version; i < newest; i++ {
			if f.homeByVersion[i-1] != t.NextHome {
				t.Home = ""
			}
		}
	}
	for i := newest - 1; i > 0; i-- {
		if f.homeByVersion[i-1] != t.NextHome {
			t.PreviousHome = f.homeByVersion[i-1]
			return
		}
		t.HomeSince = uint64(i)
	}
}

func (f *regionModel) send(to string, once bool, deliver func(*dispatch.Scheduler) []dispatch.Action) {
	f.messages = append(f.messages, message{to, deliver, once})
}

func (f *regionModel) apply(name string, actions []dispatch.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Start:
			f.running = append(f.running, execution{name, a.Request.ID, a.EndBy})
		case dispatch.Refuse:
			f.ended++
		case dispatch.RefreshView:
			f.refresh(name)
		case dispatch.SendWant:
			w := dispatch.Want{From: name, Incarnation: 1, Service: serviceName, Sequence: a.Sequence, Ages: a.Ages}
			f.send(a.To, false, func(s *dispatch.Scheduler) []dispatch.Action { return s.ReceiveWant(f.now, w) })
		case dispatch.SendGrant:
			g := dispatch.Grant{Home: name, Service: serviceName, Target: a.Target, ID: a.GrantID, WantSequence: a.WantSequence, TTL: a.TTL}
			f.send(a.To, true, func(s *dispatch.Scheduler) []dispatch.Action { return s.ReceiveGrant(f.now, g) })
		case dispatch.SendHandOff:
			h := dispatch.HandOff{From: name, Target: a.Target, BusySlots: a.BusySlots, TableVersion: a.TableVersion}
			f.send(a.To, false, func(s *dispatch.Scheduler) []dispatch.Action { return s.ReceiveHandOff(f.now, h) })
		case dispatch.SendRelease:
			f.send(a.To, false, func(s *dispatch.Scheduler) []dispatch.Action {
				return s.ReceiveRelease(f.now, a.Target, a.GrantID, a.Cause)
			})
		}
	}
}

func (f *regionModel) arrive(t *rapid.T) {
	name := rapid.SampledFrom(f.names).Draw(t, "instance")
	f.nextID++
	f.arrived++
	age := time.Duration(rapid.IntRange(0, 100).Draw(t, "age")) * ms
	f.apply(name, f.schedulers[name].Submit(f.now, dispatch.Request{ID: f.nextID, Service: serviceName, EnteredAt: f.now.Add(-age), Deadline: f.now.Add(2 * time.Second)}))
}

func (f *regionModel) deliver(t *rapid.T) {
	if len(f.messages) == 0 {
		return
	}
	index := rapid.IntRange(0, len(f.messages)-1).Draw(t, "message")
	m := f.messages[index]
	fate := rapid.IntRange(0, 9).Draw(t, "fate") // 0 loses it, 1 repeats it later.
	if fate != 1 || m.neverRepeated {
		f.messages = append(f.messages[:index], f.messages[index+1:]...)
	}
	if fate != 0 {
		f.apply(m.to, m.deliver(f.schedulers[m.to]))
	}
}

func (f *regionModel) finish(t *rapid.T) {
	if len(f.running) == 0 {
		return
	}
	index := rapid.IntRange(0, len(f.running)-1).Draw(t, "running")
	run := f.running[index]
	f.running = append(f.running[:index], f.running[index+1:]...)
	cause := rapid.SampledFrom([]slots.ReleaseCause{slots.Answered, slots.Shed, slots.Crashed}).Draw(t, "cause")
	f.finishRequest(run, cause)
}

func (f *regionModel) finishRequest(run execution, cause slots.ReleaseCause) {
	retry := cause == slots.Shed
	if !retry {
		f.ended++
	}
	f.apply(run.by, f.schedulers[run.by].RequestFinished(f.now, run.id, cause, retry))
}

// advance moves the time; a jump of more than a second is a freeze of all
// instances. Targets end requests at their deadline in between.
func (f *regionModel) advance(t *rapid.T) {
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
		f.finishRequest(run, slots.TimedOut)
	}
	for _, name := range f.names {
		f.apply(name, f.schedulers[name].Tick(f.now))
	}
}

// publishTable publishes a table with another home; instances learn it later.
func (f *regionModel) publishTable(t *rapid.T) {
	f.homeByVersion = append(f.homeByVersion, rapid.SampledFrom(f.names).Draw(t, "home"))
}

func (f *regionModel) learnTable(t *rapid.T) {
	f.refresh(rapid.SampledFrom(f.names).Draw(t, "learner"))
}

func (f *regionModel) probe(*rapid.T) {
	home := f.homeByVersion[len(f.homeByVersion)-1]
	f.apply(home, f.schedulers[home].ProbeSucceeded(f.now, "t"))
}

func (f *regionModel) check(t *rapid.T) {
	require.LessOrEqual(t, len(f.running), modelSlots)
	queued := 0
	for _, s := range f.schedulers {
		queued += s.Queued(serviceName)
	}
	require.Equal(t, f.arrived, f.ended+len(f.running)+queued, "a request was lost or ended twice")
}

// Guards against more work at a target than slots, and against lost requests,
// for any loss, repetition, delay and order of messages and any move of the home.
func TestSlotsAndRequestsAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newRegionModel()
		t.Repeat(map[string]func(*rapid.T){
			"arrive": f.arrive, "arrive again": f.arrive, "deliver": f.deliver, "deliver 2": f.deliver, "deliver 3": f.deliver,
			"finish": f.finish, "advance": f.advance, "change": f.publishTable, "learn": f.learnTable, "learn 2": f.learnTable, "probe": f.probe, "": f.check,
		})
	})
}
