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

// TestMain fixes the seed, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "2000", "rapid.steps": "80", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// regionModel is a model of three instances of a region with one target.
// Messages between the instances are lost, repeated, delayed without bound and
// reordered.
type regionModel struct {
	now           time.Time
	schedulers    map[string]*dispatch.Scheduler
	names         []string
	messages      []message
	running       []execution
	nextID        uint64
	homeByVersion []string       // Home in each version of the table; the first element is version 1.
	knownVersion  map[string]int // Newest version that each instance has applied.
	neverMoved    bool
	arrived       int
	ended         int
}

type message struct {
	to            string
	deliver       func(*dispatch.Scheduler) []dispatch.Action
	neverRepeated bool // Grants: the protocol sends them once.
}

type execution struct {
	by    string
	id    uint64
	until time.Time
}

const modelSlots = 2

func newRegionModel() *regionModel {
	model := &regionModel{now: epoch, schedulers: map[string]*dispatch.Scheduler{}, names: []string{"a", "b", "c"}, homeByVersion: []string{"a"}, neverMoved: true, knownVersion: map[string]int{"a": 1, "b": 1, "c": 1}}
	for i, name := range model.names {
		model.schedulers[name] = dispatch.New(dispatch.Config{Self: model.member(name), Incarnation: uint64(i + 1), MaxQueueLength: 20,
			GrantTTL: grantTTL, LoadInterval: 50 * ms, LoadMaxAge: 500 * ms})
		model.refresh(name)
	}
	model.neverMoved = false
	return model
}

func (model *regionModel) member(name string) dispatch.Member {
	return dispatch.Member{Name: name, Region: "north", Domain: "d" + name}
}

// refresh makes an instance apply the newest table.
func (model *regionModel) refresh(name string) {
	v := dispatch.View{Services: []dispatch.Service{{Name: serviceName}}}
	for _, member := range model.names {
		v.Members = append(v.Members, model.member(member))
	}
	target := dispatch.Target{NeverMoved: model.neverMoved, Target: slots.Target{Name: "t", Service: serviceName, Slots: modelSlots}}
	model.knownVersion[name] = len(model.homeByVersion)
	model.setHome(&target)
	v.Targets, v.TableVersion = []dispatch.Target{target}, uint64(len(model.homeByVersion))
	model.apply(name, model.schedulers[name].SetView(model.now, v))
}

// setHome sets the home fields of a target from the newest table. The home is
// known if all versions that an instance may still apply have the same one.
func (model *regionModel) setHome(t *dispatch.Target) {
	newest := len(model.homeByVersion)
	t.NextHome, t.Home, t.HomeSince = model.homeByVersion[newest-1], model.homeByVersion[newest-1], uint64(newest)
	for _, version := range model.knownVersion {
		for i := version; i < newest; i++ {
			if model.homeByVersion[i-1] != t.NextHome {
				t.Home = ""
			}
		}
	}
	for i := newest - 1; i > 0; i-- {
		if model.homeByVersion[i-1] != t.NextHome {
			t.PreviousHome = model.homeByVersion[i-1]
			return
		}
		t.HomeSince = uint64(i)
	}
}

func (model *regionModel) send(to string, once bool, deliver func(*dispatch.Scheduler) []dispatch.Action) {
	model.messages = append(model.messages, message{to, deliver, once})
}

func (model *regionModel) apply(name string, actions []dispatch.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Start:
			model.running = append(model.running, execution{name, a.Request.ID, a.EndBy})
		case dispatch.Refuse:
			model.ended++
		case dispatch.RefreshView:
			model.refresh(name)
		case dispatch.SendWant:
			w := dispatch.Want{From: name, Incarnation: 1, Service: serviceName, Sequence: a.Sequence, Ages: a.Ages}
			model.send(a.To, false, func(s *dispatch.Scheduler) []dispatch.Action { return s.ReceiveWant(model.now, w) })
		case dispatch.SendGrant:
			g := dispatch.Grant{Home: name, Service: serviceName, Target: a.Target, ID: a.GrantID, WantSequence: a.WantSequence, TTL: a.TTL}
			model.send(a.To, true, func(s *dispatch.Scheduler) []dispatch.Action { return s.ReceiveGrant(model.now, g) })
		case dispatch.SendHandOff:
			h := dispatch.HandOff{From: name, Target: a.Target, BusySlots: a.BusySlots, TableVersion: a.TableVersion}
			model.send(a.To, false, func(s *dispatch.Scheduler) []dispatch.Action { return s.ReceiveHandOff(model.now, h) })
		case dispatch.SendRelease:
			model.send(a.To, false, func(s *dispatch.Scheduler) []dispatch.Action {
				return s.ReceiveRelease(model.now, a.Target, a.GrantID, a.Cause)
			})
		}
	}
}

func (model *regionModel) arrive(t *rapid.T) {
	name := rapid.SampledFrom(model.names).Draw(t, "instance")
	model.nextID++
	model.arrived++
	age := time.Duration(rapid.IntRange(0, 100).Draw(t, "age")) * ms
	model.apply(name, model.schedulers[name].Submit(model.now, dispatch.Request{ID: model.nextID, Service: serviceName, EnteredAt: model.now.Add(-age), Deadline: model.now.Add(2 * time.Second)}))
}

func (model *regionModel) deliver(t *rapid.T) {
	if len(model.messages) == 0 {
		return
	}
	index := rapid.IntRange(0, len(model.messages)-1).Draw(t, "message")
	received := model.messages[index]
	outcome := rapid.IntRange(0, 9).Draw(t, "fate") // 0: the message is lost; 1: it is delivered again later.
	if outcome != 1 || received.neverRepeated {
		model.messages = append(model.messages[:index], model.messages[index+1:]...)
	}
	if outcome != 0 {
		model.apply(received.to, received.deliver(model.schedulers[received.to]))
	}
}

func (model *regionModel) finish(t *rapid.T) {
	if len(model.running) == 0 {
		return
	}
	index := rapid.IntRange(0, len(model.running)-1).Draw(t, "running")
	run := model.running[index]
	model.running = append(model.running[:index], model.running[index+1:]...)
	cause := rapid.SampledFrom([]slots.ReleaseCause{slots.Answered, slots.Shed, slots.Crashed}).Draw(t, "cause")
	model.finishRequest(run, cause)
}

func (model *regionModel) finishRequest(run execution, cause slots.ReleaseCause) {
	retry := cause == slots.Shed
	if !retry {
		model.ended++
	}
	model.apply(run.by, model.schedulers[run.by].RequestFinished(model.now, run.id, cause, retry))
}

// advance moves the time forward. A step of more than a second is a freeze of
// all instances. Targets end requests at their deadlines during the step.
func (model *regionModel) advance(t *rapid.T) {
	model.now = model.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * ms)
	var late []execution
	kept := model.running[:0]
	for _, run := range model.running {
		if model.now.Before(run.until) {
			kept = append(kept, run)
		} else {
			late = append(late, run)
		}
	}
	model.running = kept
	for _, run := range late {
		model.finishRequest(run, slots.TimedOut)
	}
	for _, name := range model.names {
		model.apply(name, model.schedulers[name].Tick(model.now))
	}
}

// publishTable adds a table with another home, which the instances learn
// later.
func (model *regionModel) publishTable(t *rapid.T) {
	model.homeByVersion = append(model.homeByVersion, rapid.SampledFrom(model.names).Draw(t, "home"))
}

func (model *regionModel) learnTable(t *rapid.T) {
	model.refresh(rapid.SampledFrom(model.names).Draw(t, "learner"))
}

func (model *regionModel) probe(*rapid.T) {
	home := model.homeByVersion[len(model.homeByVersion)-1]
	model.apply(home, model.schedulers[home].ProbeSucceeded(model.now, "t"))
}

func (model *regionModel) check(t *rapid.T) {
	require.LessOrEqual(t, len(model.running), modelSlots)
	queued := 0
	for _, s := range model.schedulers {
		queued += s.Queued(serviceName)
	}
	require.Equal(t, model.arrived, model.ended+len(model.running)+queued, "a request was lost or ended twice")
}

// Guards against more requests at a target than it has slots, and against lost
// requests, for any loss, repetition, delay and order of messages and any move
// of the home.
func TestSlotsAndRequestsAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newRegionModel()
		t.Repeat(map[string]func(*rapid.T){
			"arrive": model.arrive, "arrive again": model.arrive, "deliver": model.deliver, "deliver 2": model.deliver, "deliver 3": model.deliver,
			"finish": model.finish, "advance": model.advance, "change": model.publishTable, "learn": model.learnTable, "learn 2": model.learnTable, "probe": model.probe, "": model.check,
		})
	})
}
