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

// testRegions has two failure domains in each of two regions.
var testRegions = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}

func newBalancer(name, domain string) *balance.Balancer {
	return balance.New(balance.Options{Name: name, Domain: domain, Region: testRegions[domain], Regions: testRegions, MaxWeightShift: 0.15}, start)
}

func newTarget(id, domain string, slots int) *steering.Target {
	return &steering.Target{ID: id, Service: "s", Address: id + ":80", Domain: domain, Slots: slots}
}

// newState has n targets with slots in each domain.
func newState(n, slots int, more ...steering.Update) *steering.State {
	config := &steering.Config{Version: 1, Services: map[string]steering.Service{"s": {Name: "s", ColdDuration: 3 * time.Second, MaxColdRate: 7}}}
	config.Index()
	facts := []steering.Update{steering.ConfigUpdate{Config: config}}
	for domain := range testRegions {
		for i := range n {
			facts = append(facts, steering.TargetUpdate{Target: newTarget(fmt.Sprintf("%s-%d", domain, i), domain, slots)})
		}
	}
	return steering.NewState().Apply(1, append(facts, more...))
}

func newRequest(object string) balance.Request {
	return balance.Request{Service: "s", Object: object, Objective: 400 * time.Millisecond, Remaining: 2500 * time.Millisecond}
}

func mustPick(t *testing.T, b *balance.Balancer, now time.Time, w balance.Request) balance.Grant {
	t.Helper()
	g, refusal := b.Pick(now, w)
	require.Nil(t, refusal)
	return g
}

// Pattern: every instance of a region gets requests for the same objects. If
// they chose different targets, each target would have to learn each object.
func TestInstancesAgreeOnHomeTarget(t *testing.T) {
	one, two := newBalancer("n1", "a1"), newBalancer("n2", "a2")
	for _, b := range []*balance.Balancer{one, two} {
		b.SetState(start, newState(3, 4))
	}
	homes := map[string]bool{}
	for i := range 60 {
		w := newRequest(fmt.Sprint("object", i))
		home := mustPick(t, one, start, w)
		other := mustPick(t, two, start, w)
		assert.Equal(t, home.Target.ID, other.Target.ID)
		two.Done(start, other, balance.Observation{Result: balance.Succeeded, Duration: 100 * time.Millisecond})
		assert.Equal(t, "a", home.Region)
		homes[home.Target.ID] = true
		one.Done(start, home, balance.Observation{Result: balance.Succeeded, Duration: 100 * time.Millisecond})
	}
	assert.Len(t, homes, 6, "objects are spread over all targets of the region")
}

// Guards against an object that stays without a target when its home leaves,
// is evacuated or fails.
func TestObjectMovesWhenHomeTargetIsUnusable(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(3, 4))
	home := mustPick(t, b, start, newRequest("x")).Target
	for name, facts := range map[string][]steering.Update{
		"draining":  {steering.TargetUpdate{Target: &steering.Target{ID: home.ID, Service: "s", Address: home.Address, Domain: home.Domain, Slots: 4, Draining: true}}},
		"gone":      {steering.TargetRemoval{ID: home.ID}},
		"evacuated": {steering.EvacuationUpdate{Domain: home.Domain, Active: true}},
	} {
		b := newBalancer("n1", "a1")
		b.SetState(start, newState(3, 4, facts...))
		assert.NotEqual(t, home.ID, mustPick(t, b, start, newRequest("x")).Target.ID, name)
	}
	w := newRequest("x")
	w.ExcludedTargets = map[string]bool{home.ID: true}
	assert.NotEqual(t, home.ID, mustPick(t, b, start, w).Target.ID, "tried before")
}

// Guards against requests without an object that all go to the same of several
// equal targets.
func TestRequestsWithoutObjectAreSpreadOverTargets(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(2, 8))
	count := map[string]int{}
	for i := range 200 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		g := mustPick(t, b, now, newRequest(""))
		count[g.Target.ID]++
		b.Done(now.Add(5*time.Millisecond), g, balance.Observation{Result: balance.Succeeded, Duration: 5 * time.Millisecond})
	}
	require.Len(t, count, 4)
	for id, n := range count {
		assert.InDelta(t, 50, n, 30, id)
	}
}

// Pattern: more requests for an object than its home can serve in time. Up to
// a bounded wait they are late, beyond it they are refused with a time to come
// back.
func TestWaitForSlotIsLimited(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(1, 4))
	accepted := 0
	var refusal *balance.Refusal
	for range 200 {
		if _, refusal = b.Pick(start, newRequest("x")); refusal != nil {
			break
		}
		accepted++
	}
	require.NotNil(t, refusal)
	assert.Equal(t, balance.Overloaded, refusal.Reason)
	assert.Greater(t, accepted, 4, "some wait")
	assert.LessOrEqual(t, refusal.RetryAfter, 2*time.Second)
	assert.GreaterOrEqual(t, refusal.RetryAfter, 50*time.Millisecond)
	assert.Greater(t, refusal.ExpectedWait, 400*time.Millisecond)
}

// Guards against a request that is kept although it cannot be answered before
// its caller gives up.
func TestRequestWithTooLittleTimeIsRefused(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(1, 2))
	for range 2 {
		mustPick(t, b, start, newRequest("x"))
	}
	w := newRequest("x")
	w.Remaining = 100 * time.Millisecond
	_, refusal := b.Pick(start, w)
	require.NotNil(t, refusal)
}

func TestUnknownServiceIsRefusedWithNoTarget(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(1, 2))
	w := newRequest("x")
	w.Service = "unknown"
	_, refusal := b.Pick(start, w)
	require.NotNil(t, refusal)
	assert.Equal(t, balance.NoTarget, refusal.Reason)
}

// Guards against requests that leave the home regions of their route, also
// when these have no target.
func TestRequestsStayInHomeRegions(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(1, 2))
	w := newRequest("x")
	w.HomeRegions = []string{"b"}
	for range 4 {
		g, refusal := b.Pick(start, w)
		if refusal == nil {
			assert.Equal(t, "b", g.Region)
		}
	}
	w.HomeRegions = []string{"nowhere"}
	_, refusal := b.Pick(start, w)
	require.NotNil(t, refusal)
	assert.Equal(t, balance.NoTarget, refusal.Reason)
}

// Pattern: other instances have filled a target. Their word counts until they
// fall silent.
func TestLoadReportedByPeersCounts(t *testing.T) {
	b, other := newBalancer("n1", "a1"), newBalancer("n2", "a2")
	b.SetState(start, newState(1, 4))
	other.SetState(start, newState(1, 4))
	for range 6 {
		mustPick(t, other, start, newRequest("x"))
	}
	b.ApplyReport(start, "n2", "a", other.Report(start), 1500*time.Millisecond)
	assert.Equal(t, 6, mustPick(t, b, start, newRequest("x")).Load)
	later := start.Add(2 * time.Second)
	b.Tick(later)
	assert.Equal(t, 1, mustPick(t, b, later, newRequest("x")).Load)
}

// Pattern: an instance that others do not hear fills a target. The target's own
// word shows it within one answer.
func TestLoadReportedByTargetCounts(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(1, 4))
	g := mustPick(t, b, start, newRequest("x"))
	b.Done(start, g, balance.Observation{Result: balance.Succeeded, Duration: 100 * time.Millisecond, LoadReported: true, Executing: 4, Waiting: 3})
	assert.Equal(t, 7, mustPick(t, b, start.Add(10*time.Millisecond), newRequest("x")).Load)
	assert.Equal(t, 1, mustPick(t, b, start.Add(time.Second), newRequest("x")).Load, "an old word does not count")
}
