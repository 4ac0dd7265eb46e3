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

// testRegions defines two regions with two failure domains each.
var testRegions = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}

func newBalancer(name, domain string) *balance.Balancer {
	return balance.New(balance.Options{Name: name, Domain: domain, Region: testRegions[domain], Regions: testRegions, MaxWeightShift: 0.15}, start)
}

func newTarget(id, domain string, slots int) *steering.Target {
	return &steering.Target{ID: id, Service: "s", Address: id + ":80", Domain: domain, Slots: slots}
}

// newState returns a state with the given number of targets in each domain.
func newState(targetsPerDomain, slots int, updates ...steering.Update) *steering.State {
	config := &steering.Config{Version: 1, Services: map[string]steering.Service{"s": {Name: "s", ColdDuration: 3 * time.Second, MaxColdRate: 7}}}
	config.Index()
	all := []steering.Update{steering.ConfigUpdate{Config: config}}
	for domain := range testRegions {
		for i := range targetsPerDomain {
			all = append(all, steering.TargetUpdate{Target: newTarget(fmt.Sprintf("%s-%d", domain, i), domain, slots)})
		}
	}
	return steering.NewState().Apply(1, append(all, updates...))
}

func newRequest(object string) balance.Request {
	return balance.Request{Service: "s", Object: object, Objective: 400 * time.Millisecond, Remaining: 2500 * time.Millisecond}
}

func mustPick(t *testing.T, b *balance.Balancer, now time.Time, request balance.Request) balance.Grant {
	t.Helper()
	grant, refusal := b.Pick(now, request)
	require.Nil(t, refusal)
	return grant
}

// Every instance of a region receives requests for the same objects. If
// instances chose different targets, each target would have to become warm for
// each object.
func TestInstancesAgreeOnHomeTarget(t *testing.T) {
	first, second := newBalancer("n1", "a1"), newBalancer("n2", "a2")
	for _, b := range []*balance.Balancer{first, second} {
		b.SetState(start, newState(3, 4))
	}
	homes := map[string]bool{}
	for i := range 60 {
		request := newRequest(fmt.Sprint("object", i))
		home := mustPick(t, first, start, request)
		peerGrant := mustPick(t, second, start, request)
		assert.Equal(t, home.Target.ID, peerGrant.Target.ID)
		second.Done(start, peerGrant, balance.Observation{Result: balance.Succeeded, Duration: 100 * time.Millisecond})
		assert.Equal(t, "a", home.Region)
		homes[home.Target.ID] = true
		first.Done(start, home, balance.Observation{Result: balance.Succeeded, Duration: 100 * time.Millisecond})
	}
	assert.Len(t, homes, 6, "objects are distributed over all targets of the region")
}

// Guards against an object without a usable target after its home target
// leaves, is evacuated or fails.
func TestObjectMovesWhenHomeTargetIsUnusable(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(3, 4))
	home := mustPick(t, b, start, newRequest("x")).Target
	for name, updates := range map[string][]steering.Update{
		"draining":  {steering.TargetUpdate{Target: &steering.Target{ID: home.ID, Service: "s", Address: home.Address, Domain: home.Domain, Slots: 4, Draining: true}}},
		"gone":      {steering.TargetRemoval{ID: home.ID}},
		"evacuated": {steering.EvacuationUpdate{Domain: home.Domain, Active: true}},
	} {
		b := newBalancer("n1", "a1")
		b.SetState(start, newState(3, 4, updates...))
		assert.NotEqual(t, home.ID, mustPick(t, b, start, newRequest("x")).Target.ID, name)
	}
	request := newRequest("x")
	request.ExcludedTargets = map[string]bool{home.ID: true}
	assert.NotEqual(t, home.ID, mustPick(t, b, start, request).Target.ID, "excluded after an earlier attempt")
}

// Guards against sending a request to a target that its earlier attempts leave no room
// for: to another one than those given, in whatever region, or to an excluded one.
func TestRequestIsOnlySentToGivenTargets(t *testing.T) {
	for _, object := range []string{"", "x"} {
		b := newBalancer("n1", "a1")
		b.SetState(start, newState(3, 4))
		for domain := range testRegions {
			for i := range 3 {
				id := fmt.Sprintf("%s-%d", domain, i)
				request := newRequest(object)
				request.OnlyTargets = map[string]bool{id: true}
				assert.Equal(t, id, mustPick(t, b, start, request).Target.ID)
				request.ExcludedTargets = map[string]bool{id: true}
				_, refusal := b.Pick(start, request)
				require.NotNil(t, refusal)
				assert.Equal(t, balance.NoTarget, refusal.Reason)
			}
		}
	}
}

// Guards against sending all requests without an object to one of several
// equivalent targets.
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

// An object gets more requests than its home target can serve in time.
// Requests are accepted late up to a limited wait and then refused with a
// Retry-After.
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
	assert.Greater(t, accepted, 4, "some requests wait for a slot")
	assert.LessOrEqual(t, refusal.RetryAfter, 2*time.Second)
	assert.GreaterOrEqual(t, refusal.RetryAfter, 50*time.Millisecond)
	assert.Greater(t, refusal.ExpectedWait, 400*time.Millisecond)
}

// Guards against accepting a request that cannot be completed before its
// caller gives up.
func TestRequestWithTooLittleTimeIsRefused(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(1, 2))
	for range 2 {
		mustPick(t, b, start, newRequest("x"))
	}
	request := newRequest("x")
	request.Remaining = 100 * time.Millisecond
	_, refusal := b.Pick(start, request)
	require.NotNil(t, refusal)
}

func TestUnknownServiceIsRefusedWithNoTarget(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(1, 2))
	request := newRequest("x")
	request.Service = "unknown"
	_, refusal := b.Pick(start, request)
	require.NotNil(t, refusal)
	assert.Equal(t, balance.NoTarget, refusal.Reason)
}

// Guards against sending requests outside the home regions of their route,
// even if these have no target.
func TestRequestsStayInHomeRegions(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(1, 2))
	request := newRequest("x")
	request.HomeRegions = []string{"b"}
	for range 4 {
		g, refusal := b.Pick(start, request)
		if refusal == nil {
			assert.Equal(t, "b", g.Region)
		}
	}
	request.HomeRegions = []string{"nowhere"}
	_, refusal := b.Pick(start, request)
	require.NotNil(t, refusal)
	assert.Equal(t, balance.NoTarget, refusal.Reason)
}

// Peers have filled a target. The load they reported counts until their
// reports expire.
func TestLoadReportedByPeersCounts(t *testing.T) {
	b, peer := newBalancer("n1", "a1"), newBalancer("n2", "a2")
	b.SetState(start, newState(1, 4))
	peer.SetState(start, newState(1, 4))
	for range 6 {
		mustPick(t, peer, start, newRequest("x"))
	}
	b.ApplyReport(start, "n2", "a", peer.Report(start), 1500*time.Millisecond)
	assert.Equal(t, 6, mustPick(t, b, start, newRequest("x")).Load)
	later := start.Add(2 * time.Second)
	b.Tick(later)
	assert.Equal(t, 1, mustPick(t, b, later, newRequest("x")).Load)
}

// An instance whose reports do not arrive fills a target. The load reported by
// the target shows this with its next response.
func TestLoadReportedByTargetCounts(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(1, 4))
	g := mustPick(t, b, start, newRequest("x"))
	b.Done(start, g, balance.Observation{Result: balance.Succeeded, Duration: 100 * time.Millisecond, LoadReported: true, Executing: 4, Waiting: 3})
	assert.Equal(t, 7, mustPick(t, b, start.Add(10*time.Millisecond), newRequest("x")).Load)
	assert.Equal(t, 1, mustPick(t, b, start.Add(time.Second), newRequest("x")).Load, "an old load report does not count")
}
