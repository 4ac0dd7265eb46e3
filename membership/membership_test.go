package membership

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	stepDuration   = 100 * time.Millisecond
	stepsPerSecond = int(time.Second / stepDuration)
)

// simulatedMessage is a heartbeat or its answer.
type simulatedMessage struct {
	from, to   string
	isResponse bool
	self       Update
	updates    []Update
}

// simulatedInstance is one instance under virtual time.
type simulatedInstance struct {
	tracker *Tracker
	down    bool // Killed or frozen: handles nothing.
	sent    int  // Heartbeats and answers sent.
}

// simulation passes messages between trackers under virtual time. Messages arrive
// in the next step, in the order of sending.
type simulation struct {
	now          time.Time
	names        []string
	instances    map[string]*simulatedInstance
	list         []ListedMember
	listReadable bool // Whether the platform's list can be read.
	queue        []simulatedMessage
	dropMessage  func(from, to string) bool
	random       *rand.Rand
}

func newSimulation(seed uint64, regions, domains, each int) *simulation {
	g := &simulation{now: time.Unix(1_700_000_000, 0), instances: map[string]*simulatedInstance{}, listReadable: true,
		random: rand.New(rand.NewPCG(seed, 1)), dropMessage: func(string, string) bool { return false }}
	for r := range regions {
		for d := range domains {
			for i := range each {
				l := ListedMember{Name: fmt.Sprintf("r%d-d%d-%03d", r, d, i), Domain: fmt.Sprintf("r%d-d%d", r, d), Region: fmt.Sprint("r", r)}
				g.list = append(g.list, l)
				g.start(l, 1)
			}
		}
	}
	g.run(5 * stepsPerSecond)
	return g
}

func (g *simulation) start(l ListedMember, incarnation uint64) {
	if g.instances[l.Name] == nil {
		g.names = append(g.names, l.Name)
	}
	self := Update{Name: l.Name, Domain: l.Domain, Region: l.Region, Incarnation: incarnation}
	g.instances[l.Name] = &simulatedInstance{tracker: NewTracker(self)}
}

func (g *simulation) run(steps int) {
	for range steps {
		g.step()
	}
}

func (g *simulation) step() {
	g.now = g.now.Add(stepDuration)
	queue := g.queue
	g.queue = nil
	for _, m := range queue {
		g.deliver(m)
	}
	for _, i := range g.random.Perm(len(g.names)) {
		if n := g.instances[g.names[i]]; !n.down {
			g.tick(g.names[i], n)
		}
	}
}

func (g *simulation) deliver(m simulatedMessage) {
	n := g.instances[m.to]
	if n.down || g.dropMessage(m.from, m.to) {
		return
	}
	if m.isResponse {
		n.tracker.HandleResponse(g.now, m.self, m.updates)
		return
	}
	n.tracker.HandleHeartbeat(g.now, m.self, m.updates)
	g.send(n, m.to, m.from, true)
}

func (g *simulation) send(n *simulatedInstance, from, to string, answer bool) {
	n.sent++
	g.queue = append(g.queue, simulatedMessage{from: from, to: to, isResponse: answer, self: n.tracker.Self(), updates: n.tracker.UpdatesFor(to)})
}

func (g *simulation) tick(name string, n *simulatedInstance) {
	a := n.tracker.Tick(g.now)
	for _, to := range a.Heartbeats {
		g.send(n, name, to.Name, false)
	}
	if a.ReadList && g.listReadable {
		n.tracker.HandlePlatformList(g.now, g.list)
	}
}

func (g *simulation) member(at, name string) Member {
	for _, m := range g.instances[at].tracker.View().Members {
		if m.Name == name {
			return m
		}
	}
	return Member{}
}

// countObservers returns how many running nodes see a member as wanted.
func (g *simulation) countObservers(name string, wanted func(Member) bool) (seen, of int) {
	for at, n := range g.instances {
		if n.down || at == name {
			continue
		}
		of++
		if wanted(g.member(at, name)) {
			seen++
		}
	}
	return seen, of
}

// runUntilAll runs until all running nodes see a member as wanted and returns the
// time it took.
func (g *simulation) runUntilAll(t *testing.T, name string, limit time.Duration, wanted func(Member) bool) time.Duration {
	t.Helper()
	start := g.now
	for {
		seen, of := g.countObservers(name, wanted)
		if seen == of {
			return g.now.Sub(start)
		}
		if g.now.Sub(start) >= limit {
			require.Failf(t, "too slow", "%d of %d see %s after %s", seen, of, name, limit)
		}
		g.step()
	}
}

func slow(m Member) bool      { return m.State == Slow }
func suspected(m Member) bool { return m.Suspected }
func alive(m Member) bool     { return m.State == Alive }
func leaving(m Member) bool   { return m.State == Leaving }
func gone(m Member) bool      { return m.State == Gone }

// countWrongViews counts pairs of running nodes of which one sees the other as not
// alive.
func (g *simulation) countWrongViews() int {
	wrong := 0
	for at := range g.instances {
		for _, m := range g.instances[at].tracker.View().Members {
			if !g.instances[at].down && !g.instances[m.Name].down && m.State != Alive {
				wrong++
			}
		}
	}
	return wrong
}

// Guards against members called slow without a failure.
func TestNoMemberIsSlowWithoutFailure(t *testing.T) {
	for seed := range uint64(3) {
		g := newSimulation(seed, 3, 2, 2)
		for range 60 * stepsPerSecond {
			g.step()
			require.Zero(t, g.countWrongViews(), "seed %d", seed)
		}
	}
}

// Guards against a killed instance that callers are still sent to, and against
// one that is declared gone without the platform's word.
func TestKilledMemberBecomesSlowThenSuspected(t *testing.T) {
	for seed := range uint64(3) {
		g := newSimulation(seed, 3, 2, 2)
		name := g.names[seed]
		g.instances[name].down = true
		toSlow := g.runUntilAll(t, name, 4*time.Second, slow)
		toSuspected := g.runUntilAll(t, name, 6*time.Second, suspected)
		t.Logf("seed %d: slow everywhere after %s, suspected %s later", seed, toSlow, toSuspected)
		g.run(60 * stepsPerSecond)
		seen, of := g.countObservers(name, slow)
		assert.Equal(t, of, seen)
	}
}

// Guards against a frozen instance that blames its peers for its own silence,
// or that goes on without a refreshed view.
func TestFrozenMemberResumes(t *testing.T) {
	for seed := range uint64(3) {
		g := newSimulation(seed, 3, 2, 2)
		name := g.names[3]
		n := g.instances[name]
		n.down = true
		g.run(10 * stepsPerSecond)
		n.down = false
		g.now = g.now.Add(stepDuration)
		a := n.tracker.Tick(g.now)
		assert.True(t, a.WasFrozen)
		assert.False(t, n.tracker.Refreshed())
		for _, m := range n.tracker.View().Members {
			assert.Equal(t, Alive, m.State, m.Name)
		}
		took := g.runUntilAll(t, name, 4*time.Second, alive)
		assert.True(t, n.tracker.Refreshed())
		assert.Zero(t, g.countWrongViews())
		t.Logf("seed %d: alive everywhere after %s", seed, took)
	}
}

func TestTickDetectsFreezeOnlyAboveThreshold(t *testing.T) {
	start := time.Unix(1, 0)
	for _, c := range []struct {
		gap  time.Duration
		want bool
	}{{FrozenAfter, false}, {FrozenAfter + time.Millisecond, true}} {
		tracker := NewTracker(Update{Name: "a"})
		assert.False(t, tracker.Tick(start).WasFrozen)
		assert.Equal(t, c.want, tracker.Tick(start.Add(c.gap)).WasFrozen)
	}
}

// Guards against two sides that stay apart after a partition has healed.
func TestPartitionHeals(t *testing.T) {
	for seed := range uint64(3) {
		g := newSimulation(seed, 3, 2, 2)
		inside := func(name string) bool { return g.instances[name].tracker.Self().Domain == "r0-d0" }
		g.dropMessage = func(from, to string) bool { return inside(from) != inside(to) }
		g.listReadable = false
		g.run(60 * stepsPerSecond)
		for at := range g.instances {
			for _, m := range g.instances[at].tracker.View().Members {
				want := Alive
				if inside(at) != inside(m.Name) {
					want = Slow
				}
				require.Equal(t, want, m.State, "%s at %s", m.Name, at)
			}
		}
		g.dropMessage = func(string, string) bool { return false }
		start := g.now
		for g.countWrongViews() > 0 {
			g.step()
			require.Less(t, g.now.Sub(start), 15*time.Second, "seed %d", seed)
		}
		t.Logf("seed %d: healed after %s", seed, g.now.Sub(start))
	}
}

// Guards against members that disappear with the list.
func TestIncompleteListsChangeNothing(t *testing.T) {
	g := newSimulation(1, 1, 2, 3)
	revision := g.instances[g.names[0]].tracker.Revision()
	g.list = g.list[:2]
	g.run(5 * stepsPerSecond)
	g.list = nil
	g.run(5 * stepsPerSecond)
	tracker := NewTracker(Update{Name: "a"})
	tracker.Tick(g.now)
	tracker.Tick(g.now.Add(2 * FrozenAfter))
	tracker.HandlePlatformList(g.now, nil)
	assert.False(t, tracker.Refreshed(), "an empty list is no view")
	assert.Equal(t, revision, g.instances[g.names[0]].tracker.Revision())
	assert.Zero(t, g.countWrongViews())
}

// Guards against a restarted instance that is dropped because the list still
// shows its earlier incarnation.
func TestRestartWithLaggingList(t *testing.T) {
	for seed := range uint64(3) {
		g := newSimulation(seed, 3, 2, 2)
		at := 4
		name := g.names[at]
		g.instances[name].down = true
		g.run(4 * stepsPerSecond)
		g.start(g.list[at], 2)
		g.runUntilAll(t, name, 6*time.Second, func(m Member) bool { return m.Incarnation == 2 && m.State == Alive })
		g.list[at].State = Gone
		g.run(10 * stepsPerSecond)
		seen, of := g.countObservers(name, alive)
		assert.Equal(t, of, seen, "seed %d: the list is about incarnation 1", seed)
		g.list[at].State = Alive
		g.run(40 * stepsPerSecond)
		g.instances[name].down = true
		g.list[at].State = Gone
		g.runUntilAll(t, name, 5*time.Second, gone)
	}
}

// Guards against an instance that comes back after the platform called it gone.
func TestGoneIsFinalForAnIncarnation(t *testing.T) {
	g := newSimulation(2, 3, 2, 2)
	name := g.names[5]
	g.list[5].State = Gone
	g.runUntilAll(t, name, 5*time.Second, gone)
	g.run(30 * stepsPerSecond)
	seen, of := g.countObservers(name, gone)
	assert.Equal(t, of, seen)
	g.start(g.list[5], 3)
	g.runUntilAll(t, name, 6*time.Second, alive)
}

// Guards against slow spreading of a planned stop, in a small deployment and
// in a domain of the design's size.
func TestPlannedStopReachesAllMembers(t *testing.T) {
	for _, c := range []struct {
		regions, domains, each int
		limit                  time.Duration
	}{{3, 2, 2, time.Second}, {1, 1, 143, 2 * time.Second}} {
		for seed := range uint64(3) {
			g := newSimulation(seed, c.regions, c.domains, c.each)
			name := g.names[seed]
			g.instances[name].tracker.ChangeSelf(g.now, func(u *Update) { u.State = Leaving })
			took := g.runUntilAll(t, name, c.limit, leaving)
			t.Logf("%d members, seed %d: all know after %s", len(g.names), seed, took)
			require.LessOrEqual(t, took, c.limit)
		}
	}
}

// Guards against lost messages that keep members apart.
func TestViewsConvergeAfterMessageLoss(t *testing.T) {
	g := newSimulation(3, 3, 2, 2)
	losses := rand.New(rand.NewPCG(9, 9))
	g.dropMessage = func(string, string) bool { return losses.IntN(10) == 0 }
	g.run(60 * stepsPerSecond)
	g.dropMessage = func(string, string) bool { return false }
	g.run(15 * stepsPerSecond)
	assert.Zero(t, g.countWrongViews())
}

// Guards against control traffic that grows with the fleet.
func TestMessagesOfAnInstanceAreBounded(t *testing.T) {
	const rounds = 60
	var counts []int
	for _, members := range []int{100, 1000, 8000} {
		tracker := NewTracker(Update{Name: "self", Domain: "d0", Region: "r0", Incarnation: 1})
		now := time.Unix(1, 0)
		tracker.Tick(now)
		var list []ListedMember
		for i := range members {
			list = append(list, ListedMember{Name: fmt.Sprint("m", i), Domain: fmt.Sprint("d", i%56), Region: fmt.Sprint("r", i%17)})
		}
		tracker.HandlePlatformList(now, list)
		sent := 0
		for range rounds * stepsPerSecond {
			now = now.Add(stepDuration)
			for _, to := range tracker.Tick(now).Heartbeats {
				sent++
				updates := tracker.UpdatesFor(to.Name)
				require.LessOrEqual(t, len(updates), MaxUpdates)
				to.Incarnation = 1
				tracker.HandleResponse(now, to, nil)
			}
		}
		counts = append(counts, sent)
	}
	assert.LessOrEqual(t, counts[0], MaxPeers*(rounds+1))
	assert.Equal(t, counts[0], counts[1])
	assert.Equal(t, counts[0], counts[2])
}

// Guards against an update that is sent for ever.
func TestEachUpdateIsSentABoundedNumberOfTimes(t *testing.T) {
	tracker := NewTracker(Update{Name: "self", Incarnation: 1})
	now := time.Unix(1, 0)
	for i := range 100 {
		tracker.HandleHeartbeat(now, Update{Name: fmt.Sprint("m", i), Incarnation: 1}, nil)
	}
	sent := 0
	for range 1000 {
		sent += len(tracker.UpdatesFor("other"))
	}
	assert.LessOrEqual(t, sent, 100*sendsPerMemberBit*7)
	assert.Empty(t, tracker.UpdatesFor("other"))
}

// Guards against updates that are lost, sent in another order than freshest
// first or sent another number of times: the tracker must agree with a model
// that sorts all updates for each message.
func TestUpdatesAreSentFreshestFirst(t *testing.T) {
	type queued struct{ sends, fresh int }
	random := rand.New(rand.NewPCG(7, 1))
	tracker := NewTracker(Update{Name: "self", Incarnation: 1})
	now, model, known := time.Unix(1, 0), map[string]*queued{}, map[string]uint64{}
	for step := range 20_000 {
		name := fmt.Sprint("m", random.IntN(300))
		if random.IntN(12) == 0 {
			known[name]++
			tracker.HandleHeartbeat(now, Update{Name: name, Incarnation: 1, Counter: known[name]}, nil)
			model[name] = &queued{sends: sendsPerMemberBit * bits.Len(uint(len(known)+1)), fresh: step}
		}
		var want []string
		for other := range model {
			if other != name {
				want = append(want, other)
			}
		}
		slices.SortFunc(want, func(a, b string) int { return model[b].fresh - model[a].fresh })
		want = want[:min(len(want), MaxUpdates)]
		var got []string
		for _, u := range tracker.UpdatesFor(name) {
			got = append(got, u.Name)
			assert.Equal(t, known[u.Name], u.Counter)
		}
		require.Equal(t, want, got, "step %d", step)
		for _, other := range want {
			if model[other].sends--; model[other].sends == 0 {
				delete(model, other)
			}
		}
	}
}

// Guards against memory that peers can fill.
func TestMembersAreBounded(t *testing.T) {
	tracker := NewTracker(Update{Name: "self", Incarnation: 1})
	for i := range MaxMembers + 100 {
		tracker.HandleHeartbeat(time.Unix(1, 0), Update{Name: fmt.Sprint("m", i), Incarnation: 1}, nil)
	}
	assert.Len(t, tracker.View().Members, MaxMembers)
}

func TestUpdateOrder(t *testing.T) {
	older := Update{Incarnation: 2, Counter: 3, State: Slow}
	for _, c := range []struct {
		name string
		u    Update
		want bool
	}{
		{"older incarnation", Update{Incarnation: 1, Counter: 9, State: Gone}, false},
		{"newer incarnation", Update{Incarnation: 3}, true},
		{"older counter", Update{Incarnation: 2, Counter: 2, State: Gone}, false},
		{"newer counter", Update{Incarnation: 2, Counter: 4}, true},
		{"earlier state", Update{Incarnation: 2, Counter: 3}, false},
		{"later state", Update{Incarnation: 2, Counter: 3, State: Leaving}, true},
	} {
		assert.Equal(t, c.want, c.u.supersedes(older), c.name)
	}
	assert.False(t, Update{Incarnation: 2, Counter: 9}.supersedes(Update{Incarnation: 2, State: Gone}))
}
