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

// simulatedMessage is a heartbeat or a response to one.
type simulatedMessage struct {
	from, to   string
	isResponse bool
	self       Update
	updates    []Update
}

// simulatedInstance is an entry instance of a simulation.
type simulatedInstance struct {
	tracker *Tracker
	down    bool // Whether it is killed or frozen and processes nothing.
	sent    int  // Number of heartbeats and responses sent.
}

// simulation passes messages between trackers in virtual time. Messages are
// delivered in the next step, in the order in which they were sent.
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

func newSimulation(seed uint64, regions, domains, perDomain int) *simulation {
	sim := &simulation{now: time.Unix(1_700_000_000, 0), instances: map[string]*simulatedInstance{}, listReadable: true,
		random: rand.New(rand.NewPCG(seed, 1)), dropMessage: func(string, string) bool { return false }}
	for r := range regions {
		for d := range domains {
			for i := range perDomain {
				member := ListedMember{Name: fmt.Sprintf("r%d-d%d-%03d", r, d, i), Domain: fmt.Sprintf("r%d-d%d", r, d), Region: fmt.Sprint("r", r)}
				sim.list = append(sim.list, member)
				sim.start(member, 1)
			}
		}
	}
	sim.run(5 * stepsPerSecond)
	return sim
}

func (sim *simulation) start(member ListedMember, incarnation uint64) {
	if sim.instances[member.Name] == nil {
		sim.names = append(sim.names, member.Name)
	}
	self := Update{Name: member.Name, Domain: member.Domain, Region: member.Region, Incarnation: incarnation}
	sim.instances[member.Name] = &simulatedInstance{tracker: NewTracker(self)}
}

func (sim *simulation) run(steps int) {
	for range steps {
		sim.step()
	}
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(stepDuration)
	queue := sim.queue
	sim.queue = nil
	for _, message := range queue {
		sim.deliver(message)
	}
	for _, i := range sim.random.Perm(len(sim.names)) {
		if instance := sim.instances[sim.names[i]]; !instance.down {
			sim.tick(sim.names[i], instance)
		}
	}
}

func (sim *simulation) deliver(message simulatedMessage) {
	receiver := sim.instances[message.to]
	if receiver.down || sim.dropMessage(message.from, message.to) {
		return
	}
	if message.isResponse {
		receiver.tracker.HandleResponse(sim.now, message.self, message.updates)
		return
	}
	receiver.tracker.HandleHeartbeat(sim.now, message.self, message.updates)
	sim.send(receiver, message.to, message.from, true)
}

func (sim *simulation) send(sender *simulatedInstance, from, to string, isResponse bool) {
	sender.sent++
	sim.queue = append(sim.queue, simulatedMessage{from: from, to: to, isResponse: isResponse, self: sender.tracker.Self(), updates: sender.tracker.UpdatesFor(to)})
}

func (sim *simulation) tick(name string, instance *simulatedInstance) {
	actions := instance.tracker.Tick(sim.now)
	for _, to := range actions.Heartbeats {
		sim.send(instance, name, to.Name, false)
	}
	if actions.ReadList && sim.listReadable {
		instance.tracker.HandlePlatformList(sim.now, sim.list)
	}
}

func (sim *simulation) member(observer, name string) Member {
	for _, member := range sim.instances[observer].tracker.View().Members {
		if member.Name == name {
			return member
		}
	}
	return Member{}
}

// countObservers returns the number of running instances, other than the member
// itself, in whose view the member matches, and the number of all of these
// instances.
func (sim *simulation) countObservers(name string, matches func(Member) bool) (matching, running int) {
	for observer, instance := range sim.instances {
		if instance.down || observer == name {
			continue
		}
		running++
		if matches(sim.member(observer, name)) {
			matching++
		}
	}
	return matching, running
}

// runUntilAll runs until the member matches in the views of all running instances
// and returns the virtual time that this took.
func (sim *simulation) runUntilAll(t *testing.T, name string, limit time.Duration, matches func(Member) bool) time.Duration {
	t.Helper()
	start := sim.now
	for {
		matching, running := sim.countObservers(name, matches)
		if matching == running {
			return sim.now.Sub(start)
		}
		if sim.now.Sub(start) >= limit {
			require.Failf(t, "too slow", "%d of %d see %s after %s", matching, running, name, limit)
		}
		sim.step()
	}
}

func slow(m Member) bool      { return m.State == Slow }
func suspected(m Member) bool { return m.Suspected }
func alive(m Member) bool     { return m.State == Alive }
func leaving(m Member) bool   { return m.State == Leaving }
func gone(m Member) bool      { return m.State == Gone }

// countWrongViews returns the number of pairs of running instances in which the
// first does not consider the second alive.
func (sim *simulation) countWrongViews() int {
	wrong := 0
	for observer := range sim.instances {
		for _, member := range sim.instances[observer].tracker.View().Members {
			if !sim.instances[observer].down && !sim.instances[member.Name].down && member.State != Alive {
				wrong++
			}
		}
	}
	return wrong
}

// Guards against members that are marked as slow without a failure.
func TestNoMemberIsSlowWithoutFailure(t *testing.T) {
	for seed := range uint64(3) {
		sim := newSimulation(seed, 3, 2, 2)
		for range 60 * stepsPerSecond {
			sim.step()
			require.Zero(t, sim.countWrongViews(), "seed %d", seed)
		}
	}
}

// Guards against a killed instance that stays usable for callers, and against one
// that is marked as gone although the platform's list does not say so.
func TestKilledMemberBecomesSlowThenSuspected(t *testing.T) {
	for seed := range uint64(3) {
		sim := newSimulation(seed, 3, 2, 2)
		name := sim.names[seed]
		sim.instances[name].down = true
		toSlow := sim.runUntilAll(t, name, 4*time.Second, slow)
		toSuspected := sim.runUntilAll(t, name, 6*time.Second, suspected)
		t.Logf("seed %d: slow everywhere after %s, suspected %s later", seed, toSlow, toSuspected)
		sim.run(60 * stepsPerSecond)
		matching, running := sim.countObservers(name, slow)
		assert.Equal(t, running, matching)
	}
}

// Guards against an instance that, after it was frozen, marks its peers as slow or
// considers its outdated view current.
func TestFrozenMemberResumes(t *testing.T) {
	for seed := range uint64(3) {
		sim := newSimulation(seed, 3, 2, 2)
		name := sim.names[3]
		instance := sim.instances[name]
		instance.down = true
		sim.run(10 * stepsPerSecond)
		instance.down = false
		sim.now = sim.now.Add(stepDuration)
		actions := instance.tracker.Tick(sim.now)
		assert.True(t, actions.WasFrozen)
		assert.False(t, instance.tracker.Refreshed())
		for _, member := range instance.tracker.View().Members {
			assert.Equal(t, Alive, member.State, member.Name)
		}
		took := sim.runUntilAll(t, name, 4*time.Second, alive)
		assert.True(t, instance.tracker.Refreshed())
		assert.Zero(t, sim.countWrongViews())
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

// Guards against members that do not find each other after a network partition
// has healed.
func TestPartitionHeals(t *testing.T) {
	for seed := range uint64(3) {
		sim := newSimulation(seed, 3, 2, 2)
		inside := func(name string) bool { return sim.instances[name].tracker.Self().Domain == "r0-d0" }
		sim.dropMessage = func(from, to string) bool { return inside(from) != inside(to) }
		sim.listReadable = false
		sim.run(60 * stepsPerSecond)
		for observer := range sim.instances {
			for _, member := range sim.instances[observer].tracker.View().Members {
				want := Alive
				if inside(observer) != inside(member.Name) {
					want = Slow
				}
				require.Equal(t, want, member.State, "%s at %s", member.Name, observer)
			}
		}
		sim.dropMessage = func(string, string) bool { return false }
		start := sim.now
		for sim.countWrongViews() > 0 {
			sim.step()
			require.Less(t, sim.now.Sub(start), 15*time.Second, "seed %d", seed)
		}
		t.Logf("seed %d: healed after %s", seed, sim.now.Sub(start))
	}
}

// Guards against members that are removed because the platform's list is
// truncated or empty.
func TestIncompleteListsChangeNothing(t *testing.T) {
	sim := newSimulation(1, 1, 2, 3)
	revision := sim.instances[sim.names[0]].tracker.Revision()
	sim.list = sim.list[:2]
	sim.run(5 * stepsPerSecond)
	sim.list = nil
	sim.run(5 * stepsPerSecond)
	tracker := NewTracker(Update{Name: "a"})
	tracker.Tick(sim.now)
	tracker.Tick(sim.now.Add(2 * FrozenAfter))
	tracker.HandlePlatformList(sim.now, nil)
	assert.False(t, tracker.Refreshed(), "an empty list does not refresh the view")
	assert.Equal(t, revision, sim.instances[sim.names[0]].tracker.Revision())
	assert.Zero(t, sim.countWrongViews())
}

// Guards against a restarted instance that is marked as gone because the
// platform's list still shows its previous incarnation.
func TestRestartWithLaggingList(t *testing.T) {
	for seed := range uint64(3) {
		sim := newSimulation(seed, 3, 2, 2)
		index := 4
		name := sim.names[index]
		sim.instances[name].down = true
		sim.run(4 * stepsPerSecond)
		sim.start(sim.list[index], 2)
		sim.runUntilAll(t, name, 6*time.Second, func(m Member) bool { return m.Incarnation == 2 && m.State == Alive })
		sim.list[index].State = Gone
		sim.run(10 * stepsPerSecond)
		matching, running := sim.countObservers(name, alive)
		assert.Equal(t, running, matching, "seed %d: the list refers to incarnation 1", seed)
		sim.list[index].State = Alive
		sim.run(40 * stepsPerSecond)
		sim.instances[name].down = true
		sim.list[index].State = Gone
		sim.runUntilAll(t, name, 5*time.Second, gone)
	}
}

// Guards against an instance that becomes alive again in the same incarnation
// after the platform listed it as gone.
func TestGoneIsFinalForAnIncarnation(t *testing.T) {
	sim := newSimulation(2, 3, 2, 2)
	name := sim.names[5]
	sim.list[5].State = Gone
	sim.runUntilAll(t, name, 5*time.Second, gone)
	sim.run(30 * stepsPerSecond)
	matching, running := sim.countObservers(name, gone)
	assert.Equal(t, running, matching)
	sim.start(sim.list[5], 3)
	sim.runUntilAll(t, name, 6*time.Second, alive)
}

// Guards against a planned stop that reaches the members too late, in a small
// deployment and in a failure domain of the design size (143 instances).
func TestPlannedStopReachesAllMembers(t *testing.T) {
	for _, c := range []struct {
		regions, domains, perDomain int
		limit                       time.Duration
	}{{3, 2, 2, time.Second}, {1, 1, 143, 2 * time.Second}} {
		for seed := range uint64(3) {
			sim := newSimulation(seed, c.regions, c.domains, c.perDomain)
			name := sim.names[seed]
			sim.instances[name].tracker.ChangeSelf(sim.now, func(u *Update) { u.State = Leaving })
			took := sim.runUntilAll(t, name, c.limit, leaving)
			t.Logf("%d members, seed %d: received by all after %s", len(sim.names), seed, took)
			require.LessOrEqual(t, took, c.limit)
		}
	}
}

// Guards against views that stay wrong after messages were lost.
func TestViewsConvergeAfterMessageLoss(t *testing.T) {
	sim := newSimulation(3, 3, 2, 2)
	losses := rand.New(rand.NewPCG(9, 9))
	sim.dropMessage = func(string, string) bool { return losses.IntN(10) == 0 }
	sim.run(60 * stepsPerSecond)
	sim.dropMessage = func(string, string) bool { return false }
	sim.run(15 * stepsPerSecond)
	assert.Zero(t, sim.countWrongViews())
}

// Guards against control traffic that grows with the number of members.
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

// Guards against an update that is sent without end.
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

// Guards against updates that are lost, sent in the wrong order or sent the wrong
// number of times. The tracker must agree with a model that sorts all updates by
// their latest change for each message.
func TestUpdatesAreSentFreshestFirst(t *testing.T) {
	type queued struct{ sends, fresh int }
	random := rand.New(rand.NewPCG(7, 1))
	tracker := NewTracker(Update{Name: "self", Incarnation: 1})
	now, model, counters := time.Unix(1, 0), map[string]*queued{}, map[string]uint64{}
	for step := range 20_000 {
		name := fmt.Sprint("m", random.IntN(300))
		if random.IntN(12) == 0 {
			counters[name]++
			tracker.HandleHeartbeat(now, Update{Name: name, Incarnation: 1, Counter: counters[name]}, nil)
			model[name] = &queued{sends: sendsPerMemberBit * bits.Len(uint(len(counters)+1)), fresh: step}
		}
		var want []string
		for pending := range model {
			if pending != name {
				want = append(want, pending)
			}
		}
		slices.SortFunc(want, func(a, b string) int { return model[b].fresh - model[a].fresh })
		want = want[:min(len(want), MaxUpdates)]
		var got []string
		for _, u := range tracker.UpdatesFor(name) {
			got = append(got, u.Name)
			assert.Equal(t, counters[u.Name], u.Counter)
		}
		require.Equal(t, want, got, "step %d", step)
		for _, pending := range want {
			if model[pending].sends--; model[pending].sends == 0 {
				delete(model, pending)
			}
		}
	}
}

// Guards against peers that make an instance allocate unlimited memory.
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
