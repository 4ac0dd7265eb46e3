package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/steering"
)

// responses lets an instance receive responses of the targets of one region, 50 in
// each second, and returns the time after them. execTime returns the execution time
// at a target with a number of executing requests.
func responses(t *testing.T, b *balance.Balancer, from time.Time, length time.Duration, load int, execTime func(target string, executing int) time.Duration) time.Time {
	random := rand.New(rand.NewPCG(1, 2))
	now := from
	for ; now.Before(from.Add(length)); now = now.Add(20 * time.Millisecond) {
		executing := random.IntN(load + 1)
		var others []balance.Grant
		request := newRequest("")
		request.HomeRegions, request.Remaining = steering.HomeRegions{"a"}, time.Minute
		request.ExcludedTargets = map[string]bool{}
		for _, id := range []string{"a1-0", "a1-1", "a2-0", "a2-1"} {
			request.ExcludedTargets[id] = true
		}
		id := []string{"a1-0", "a1-1", "a2-0", "a2-1"}[random.IntN(4)]
		delete(request.ExcludedTargets, id)
		for range executing {
			others = append(others, mustPick(t, b, now, request))
		}
		grant := mustPick(t, b, now, request)
		b.Done(now, grant, balance.Observation{Result: balance.Succeeded, LoadReported: true, Executing: executing,
			Duration: time.Duration(float64(execTime(id, executing+1))*(0.85+0.3*random.Float64())) + 2*time.Millisecond})
		for _, other := range others {
			b.Done(now, other, balance.Observation{Result: balance.Abandoned})
		}
		b.Tick(now)
	}
	return now
}

func usual(string, int) time.Duration { return 200 * time.Millisecond }

func slowAt(slow string, factor float64) func(string, int) time.Duration {
	return func(target string, _ int) time.Duration {
		if target == slow {
			return time.Duration(200 * factor * float64(time.Millisecond))
		}
		return 200 * time.Millisecond
	}
}

// Guards against an instance that takes seconds to learn what its peers know about
// a slow target, and against knowledge that outlives its evidence.
func TestSlowTargetIsLearnedFromPeersAndForgotten(t *testing.T) {
	const ttl = 1500 * time.Millisecond
	first, second := newBalancer("n1", "a1"), newBalancer("n2", "a2")
	for _, b := range []*balance.Balancer{first, second} {
		b.SetState(start, newState(2, 4))
	}
	now := responses(t, first, start, 20*time.Second, 1, slowAt("a1-1", 5))
	slow, _ := first.CapacityCounts(now)
	assert.Equal(t, 1, slow)
	second.ApplyReport(now, "n1", "a", first.Report(now), ttl)
	second.Tick(now)
	slow, _ = second.CapacityCounts(now)
	assert.Equal(t, 1, slow, "after one report")
	now = now.Add(20 * time.Second)
	second.ApplyReport(now, "n1", "a", first.Report(now), ttl)
	for _, b := range []*balance.Balancer{first, second} {
		b.Tick(now)
		slow, _ = b.CapacityCounts(now)
		assert.Zero(t, slow, "the target is tried again")
	}
}

// Guards against one instance with a bad network to a target, or with false
// evidence, that keeps the other instances away from it.
func TestEvidenceOfOneInstanceIsBounded(t *testing.T) {
	const ttl = 1500 * time.Millisecond
	bad, good, reader := newBalancer("n1", "a1"), newBalancer("n2", "a2"), newBalancer("n3", "a2")
	for _, b := range []*balance.Balancer{bad, good, reader} {
		b.SetState(start, newState(2, 4))
	}
	now := responses(t, bad, start, 20*time.Second, 1, slowAt("a1-1", 9))
	responses(t, good, start, 20*time.Second, 1, usual)
	report := bad.Report(now)
	for hash, evidence := range report.Capacities {
		assert.LessOrEqual(t, evidence.Weight, 3*8, hash)
	}
	for _, peer := range []string{"n2", "n4", "n5", "n6", "n7", "n8", "n9", "n10"} { // Eight of nine see nothing unusual.
		reader.ApplyReport(now, peer, "a", good.Report(now), ttl)
	}
	reader.ApplyReport(now, "n1", "a", report, ttl)
	reader.Tick(now)
	slow, _ := reader.CapacityCounts(now)
	assert.Zero(t, slow)
}

// Guards against equal targets that are treated differently because a few requests
// take long, or because of other load on their machines for a moment.
func TestEqualTargetsKeepTheirSlots(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(2, 4))
	now := start
	for range 60 {
		now = responses(t, b, now, time.Second, 3, func(string, int) time.Duration {
			if random.IntN(100) < 3 {
				return 1400 * time.Millisecond
			}
			return 200 * time.Millisecond
		})
		slow, belowSlots := b.CapacityCounts(now)
		assert.Zero(t, slow)
		assert.Zero(t, belowSlots)
	}
	assert.Empty(t, b.CapacityChanges())
}

// Guards against a target that slows down at high load and is still used up to all
// of its slots, and against queueing that is taken for slowness.
func TestLimitFollowsExecutionTimeAtHighLoad(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(2, 6))
	now := responses(t, b, start, 40*time.Second, 5, func(target string, executing int) time.Duration {
		if target == "a1-1" {
			return time.Duration(200 * max(1, float64(executing)/3) * float64(time.Millisecond))
		}
		return 200 * time.Millisecond
	})
	_, belowSlots := b.CapacityCounts(now)
	assert.Equal(t, 1, belowSlots)
	changes := b.CapacityChanges()
	if assert.NotEmpty(t, changes) {
		last := changes[len(changes)-1]
		assert.Equal(t, "a1-1", last.Target)
		assert.InDelta(t, 4, last.Limit, 1)
	}
	b.SetState(now, newState(2, 6))
	now = responses(t, b, now, 60*time.Second, 5, usual)
	_, belowSlots = b.CapacityCounts(now)
	assert.Zero(t, belowSlots, "the target no longer slows down")
	now = responses(t, b, now, 20*time.Second, 9, func(_ string, executing int) time.Duration {
		return 200 * time.Millisecond * time.Duration(6+max(0, executing-6)) / 6
	})
	slow, belowSlots := b.CapacityCounts(now)
	assert.Zero(t, slow+belowSlots, "requests wait in the targets' queues")
}

// Guards against an instance that uses or reports evidence although learning is
// turned off.
func TestFixedCapacityReportsNoEvidence(t *testing.T) {
	b := balance.New(balance.Options{Name: "n1", Domain: "a1", Region: "a", Regions: testRegions, FixedCapacity: true}, start)
	b.SetState(start, newState(2, 4))
	now := responses(t, b, start, 10*time.Second, 1, slowAt("a1-1", 5))
	assert.Empty(t, b.Report(now).Capacities)
	slow, belowSlots := b.CapacityCounts(now)
	assert.Zero(t, slow+belowSlots)
}

// Guards against a target's statement about its current slowness that counts after
// the slow period, or without bound.
func TestStatedSlowdownCountsBriefly(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(1, 4))
	request := newRequest("")
	request.HomeRegions = steering.HomeRegions{"a"}
	before := mustPick(t, b, start, request)
	b.Done(start, before, balance.Observation{Result: balance.Abandoned, Slowdown: 1000})
	other := mustPick(t, b, start.Add(10*time.Millisecond), request)
	assert.NotEqual(t, before.Target.ID, other.Target.ID)
	request.ExcludedTargets = map[string]bool{other.Target.ID: true}
	slow := mustPick(t, b, start.Add(10*time.Millisecond), request)
	assert.InDelta(t, 3, slow.ExpectedTime.Seconds()/before.ExpectedTime.Seconds(), 0.2)
	b.Done(start, slow, balance.Observation{Result: balance.Abandoned})
	later := mustPick(t, b, start.Add(700*time.Millisecond), request)
	assert.InDelta(t, before.ExpectedTime.Seconds(), later.ExpectedTime.Seconds(), 0.02)
}

// Guards against requests that queue at a full home while other targets are idle,
// where machines are shared with other load, and against requests that leave their
// home, and meet a target without the object, where machines are not shared, or where
// a statement, which may be false, was the only one for a long time.
func TestRequestLeavesFullHomeWhereMachinesAreShared(t *testing.T) {
	for _, c := range []struct {
		name   string
		stated float64 // Slowdown that one target states.
		age    time.Duration
		leaves bool
	}{{"stated slowdown", 2.5, 10 * time.Second, true}, {"stated long ago", 2.5, time.Minute, false}, {"usual", 1, 10 * time.Second, false}, {"nothing stated", 0, 10 * time.Second, false}} {
		b := newBalancer("n1", "a1")
		b.SetState(start, newState(2, 4))
		request := newRequest("x")
		request.HomeRegions, request.Remaining = steering.HomeRegions{"a"}, time.Minute
		home := mustPick(t, b, start, request)
		b.Done(start, home, balance.Observation{Result: balance.Succeeded, Duration: 200 * time.Millisecond, Slowdown: c.stated})
		now := start.Add(c.age) // The stated slowdown itself has no effect any more.
		for range home.Target.Slots {
			assert.Equal(t, home.Target.ID, mustPick(t, b, now, request).Target.ID, c.name)
		}
		leaves := false
		for range 3 * home.Target.Slots { // The longer the queue, the more a cold target gains.
			grant, refusal := b.Pick(now, request)
			leaves = leaves || refusal == nil && grant.Target.ID != home.Target.ID
		}
		assert.Equal(t, c.leaves, leaves, c.name)
	}
}

// Guards against preference for a target that was faster than the others and has become
// slower, for seconds until the estimate of its speed has followed.
func TestFastTargetThatBecomesSlowIsNotPreferred(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(2, 4))
	now := responses(t, b, start, 30*time.Second, 1, slowAt("a1-1", 0.4))
	request := newRequest("")
	request.HomeRegions, request.Remaining = steering.HomeRegions{"a"}, time.Minute
	assert.Equal(t, "a1-1", mustPick(t, b, now, request).Target.ID, "it is the fastest")
	now = responses(t, b, now, time.Second, 1, slowAt("a1-1", 3))
	assert.NotEqual(t, "a1-1", mustPick(t, b, now, request).Target.ID)
}
