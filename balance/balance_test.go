package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/steering"
)

var start = time.Unix(1_700_000_000, 0)

// regions has two failure domains in each of two regions.
var regions = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}

func newBalancer(name, domain string) *balance.Balancer {
	return balance.New(balance.Options{Name: name, Domain: domain, Region: regions[domain], Regions: regions, ShiftMost: 0.15}, start)
}

func target(id, domain string, slots int) *steering.Target {
	return &steering.Target{ID: id, Service: "s", Address: id + ":80", Domain: domain, Slots: slots}
}

// world has n targets with slots in each domain.
func world(n, slots int, more ...steering.Fact) *steering.World {
	config := &steering.Config{Version: 1, Services: map[string]steering.Service{"s": {Name: "s", ColdTime: 3 * time.Second, ColdRate: 7}}}
	config.Index()
	facts := []steering.Fact{steering.ConfigIs{Config: config}}
	for domain := range regions {
		for i := range n {
			facts = append(facts, steering.TargetIs{Target: target(fmt.Sprintf("%s-%d", domain, i), domain, slots)})
		}
	}
	return steering.NewWorld().With(1, append(facts, more...))
}

func want(object string) balance.Want {
	return balance.Want{Service: "s", Object: object, Objective: 400 * time.Millisecond, Left: 2500 * time.Millisecond}
}

func pick(t *testing.T, b *balance.Balancer, now time.Time, w balance.Want) balance.Grant {
	t.Helper()
	g, refusal := b.Pick(now, w)
	require.Nil(t, refusal)
	return g
}

// Pattern: every instance of a region gets requests for the same objects. If
// they chose different targets, each target would have to learn each object.
func TestInstancesAgreeOnTheHomeOfAnObject(t *testing.T) {
	one, two := newBalancer("n1", "a1"), newBalancer("n2", "a2")
	for _, b := range []*balance.Balancer{one, two} {
		b.SetWorld(start, world(3, 4))
	}
	homes := map[string]bool{}
	for i := range 60 {
		w := want(fmt.Sprint("object", i))
		home := pick(t, one, start, w)
		other := pick(t, two, start, w)
		assert.Equal(t, home.Target.ID, other.Target.ID)
		two.Done(start, other, balance.Observation{Result: balance.Answered, Took: 100 * time.Millisecond})
		assert.Equal(t, "a", home.Region)
		homes[home.Target.ID] = true
		one.Done(start, home, balance.Observation{Result: balance.Answered, Took: 100 * time.Millisecond})
	}
	assert.Len(t, homes, 6, "objects are spread over all targets of the region")
}

// Guards against an object that stays without a target when its home leaves,
// is evacuated or fails.
func TestObjectMovesWhenItsHomeCannotBeUsed(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetWorld(start, world(3, 4))
	home := pick(t, b, start, want("x")).Target
	for name, facts := range map[string][]steering.Fact{
		"draining":  {steering.TargetIs{Target: &steering.Target{ID: home.ID, Service: "s", Address: home.Address, Domain: home.Domain, Slots: 4, Draining: true}}},
		"gone":      {steering.TargetGone{ID: home.ID}},
		"evacuated": {steering.DomainEvacuated{Domain: home.Domain, On: true}},
	} {
		b := newBalancer("n1", "a1")
		b.SetWorld(start, world(3, 4, facts...))
		assert.NotEqual(t, home.ID, pick(t, b, start, want("x")).Target.ID, name)
	}
	w := want("x")
	w.Excluded = map[string]bool{home.ID: true}
	assert.NotEqual(t, home.ID, pick(t, b, start, w).Target.ID, "tried before")
}

// Guards against requests without an object that all go to the same of several
// equal targets.
func TestRequestsWithoutObjectAreSpread(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetWorld(start, world(2, 8))
	count := map[string]int{}
	for i := range 200 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		g := pick(t, b, now, want(""))
		count[g.Target.ID]++
		b.Done(now.Add(5*time.Millisecond), g, balance.Observation{Result: balance.Answered, Took: 5 * time.Millisecond})
	}
	require.Len(t, count, 4)
	for id, n := range count {
		assert.InDelta(t, 50, n, 30, id)
	}
}

// Pattern: more requests for an object than its home can serve in time. Up to
// a bounded wait they are late, beyond it they are refused with a time to come
// back.
func TestWaitForASlotIsBounded(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetWorld(start, world(1, 4))
	accepted := 0
	var refusal *balance.Refusal
	for range 200 {
		if _, refusal = b.Pick(start, want("x")); refusal != nil {
			break
		}
		accepted++
	}
	require.NotNil(t, refusal)
	assert.Equal(t, balance.Overloaded, refusal.Reason)
	assert.Greater(t, accepted, 4, "some wait")
	assert.LessOrEqual(t, refusal.RetryAfter, 2*time.Second)
	assert.GreaterOrEqual(t, refusal.RetryAfter, 50*time.Millisecond)
	assert.Greater(t, refusal.Wait, 400*time.Millisecond)
}

// Guards against a request that is kept although it cannot be answered before
// its caller gives up.
func TestRequestThatCannotBeAnsweredIsRefusedAtOnce(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetWorld(start, world(1, 2))
	for range 2 {
		pick(t, b, start, want("x"))
	}
	w := want("x")
	w.Left = 100 * time.Millisecond
	_, refusal := b.Pick(start, w)
	require.NotNil(t, refusal)
}

func TestNoTargetIsToldAsSuch(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetWorld(start, world(1, 2))
	w := want("x")
	w.Service = "unknown"
	_, refusal := b.Pick(start, w)
	require.NotNil(t, refusal)
	assert.Equal(t, balance.NoTarget, refusal.Reason)
}

// Guards against requests that leave the home regions of their route, also
// when these have no target.
func TestHomesBind(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetWorld(start, world(1, 2))
	w := want("x")
	w.Homes = []string{"b"}
	for range 4 {
		g, refusal := b.Pick(start, w)
		if refusal == nil {
			assert.Equal(t, "b", g.Region)
		}
	}
	w.Homes = []string{"nowhere"}
	_, refusal := b.Pick(start, w)
	require.NotNil(t, refusal)
	assert.Equal(t, balance.NoTarget, refusal.Reason)
}

// Pattern: other instances have filled a target. Their word counts until they
// fall silent.
func TestLoadOfOtherInstancesCounts(t *testing.T) {
	b, other := newBalancer("n1", "a1"), newBalancer("n2", "a2")
	b.SetWorld(start, world(1, 4))
	other.SetWorld(start, world(1, 4))
	for range 6 {
		pick(t, other, start, want("x"))
	}
	b.Heard(start, "n2", "a", other.Report(start), 1500*time.Millisecond)
	assert.Equal(t, 6, pick(t, b, start, want("x")).Load)
	later := start.Add(2 * time.Second)
	b.Step(later)
	assert.Equal(t, 1, pick(t, b, later, want("x")).Load)
}

// Pattern: an instance that others do not hear fills a target. The target's own
// word shows it within one answer.
func TestTargetsOwnLoadCounts(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetWorld(start, world(1, 4))
	g := pick(t, b, start, want("x"))
	b.Done(start, g, balance.Observation{Result: balance.Answered, Took: 100 * time.Millisecond, Told: true, Executing: 4, Waiting: 3})
	assert.Equal(t, 7, pick(t, b, start.Add(10*time.Millisecond), want("x")).Load)
	assert.Equal(t, 1, pick(t, b, start.Add(time.Second), want("x")).Load, "an old word does not count")
}
