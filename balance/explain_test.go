package balance_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/steering"
)

// explainedDay makes random decisions with the statements and failures that targets
// may have, and calls explain before each.
func explainedDay(state *steering.State, explain func(*balance.Balancer, time.Time, balance.Request) func(balance.Grant, *balance.Refusal)) []string {
	random := rand.New(rand.NewPCG(7, 3))
	clock := time.Duration(0)
	b := balance.New(balance.Options{Name: "n1", Domain: "a1", Region: "a", Regions: testRegions, Random: rand.New(rand.NewPCG(7, 4)).Int64N,
		BootClock: func() time.Duration { return clock }}, start)
	b.SetState(start, state)
	b.SetInstances(start, []steering.Instance{{Name: "n1", Domain: "a1", Region: "a"}, {Name: "n2", Domain: "a2", Region: "a"}}, 0)
	var decisions []string
	var grants []balance.Grant
	for i := range 2000 {
		clock += 25 * time.Millisecond
		if i == 1500 {
			clock += 2 * time.Second // The process was paused.
		}
		now := start.Add(time.Duration(i) * 25 * time.Millisecond)
		request := newRequest([]string{"", fmt.Sprint("o", random.IntN(40))}[random.IntN(2)])
		request.Rank.Route = 2 * random.IntN(2)
		check := explain(b, now, request)
		grant, refusal := b.Pick(now, request)
		check(grant, refusal)
		if refusal == nil {
			grants = append(grants, grant)
			decisions = append(decisions, fmt.Sprint(grant.Target.ID, grant.ExpectedTime, grant.Load, grant.LoadAge, grant.Warm, grant.Limit, grant.Overflow))
		} else {
			decision := *refusal
			decision.ReservedFor = nil // An address.
			decisions = append(decisions, fmt.Sprintf("%+v %v", decision, refusal.ReservedFor != nil))
		}
		for len(grants) > 0 && random.IntN(2) == 0 {
			randomEnd(b, now, random, grants[0])
			grants = grants[1:]
		}
		if i%25 == 0 {
			b.Tick(now)
			table, moves := b.Rebalance(now)
			changes := b.AvailabilityChanges() // Those of one Tick have no defined order.
			slices.SortFunc(changes, func(a, c balance.AvailabilityChange) int { return cmp.Compare(a.Target, c.Target) })
			decisions = append(decisions, fmt.Sprint(table.Objects, moves, b.Report(now).RankDemand, b.Report(now).CallerRates, changes, b.LimitChanges()))
		}
	}
	return decisions
}

// randomEnd ends a grant with a random result and statement.
func randomEnd(b *balance.Balancer, now time.Time, random *rand.Rand, grant balance.Grant) {
	observation := balance.Observation{Result: balance.Succeeded, Duration: time.Duration(random.IntN(900)) * time.Millisecond}
	switch random.IntN(40) {
	case 0:
		observation.Result = balance.Unreachable
	case 1:
		observation.Result = balance.Failed
	case 2:
		observation.ColdFor = time.Second
	case 3:
		b.ObservePause(now, grant.Target, []time.Duration{time.Second, time.Second, 32 * time.Second}[random.IntN(3)], balance.StatementFromResponse)
	case 4:
		b.ObserveRateLimit(now, grant.Target, now, 4, balance.LimitFromResponse)
	case 5:
		observation.Executing, observation.Waiting, observation.LoadReported = 6, 2, true
	}
	b.Done(now, grant, observation)
}

// Guards against an explanation that uses up a token, a trial, a caller's place or a
// random number, that counts as demand, or that differs from the decision.
func TestExplainPredictsDecisionsAndChangesNothing(t *testing.T) {
	config := &steering.Config{Version: 2, Services: map[string]steering.Service{"s": {Name: "s", ColdDuration: time.Second, MaxColdRate: 7}}}
	for _, priority := range []int{0, 2} {
		config.Routes = append(config.Routes, steering.Route{Name: fmt.Sprint(priority), Priority: priority, Split: []steering.WeightedService{{Service: "s", Weight: 1}}})
	}
	config.Index()
	state := newState(1, 6, steering.ConfigUpdate{Config: config})
	want := explainedDay(state, func(*balance.Balancer, time.Time, balance.Request) func(balance.Grant, *balance.Refusal) {
		return func(balance.Grant, *balance.Refusal) {}
	})
	refused, byChance := map[balance.RefusalReason]int{}, 0
	reasons := map[balance.TargetReason]bool{}
	got := explainedDay(state, func(b *balance.Balancer, now time.Time, request balance.Request) func(balance.Grant, *balance.Refusal) {
		explanation := b.Explain(now, request)
		for _, target := range explanation.Targets {
			for _, reason := range target.Reasons {
				reasons[reason.Reason] = true
			}
		}
		return func(grant balance.Grant, refusal *balance.Refusal) {
			decision := explanation.Decision
			if decision.ByChance {
				byChance++
				return
			}
			require.Equal(t, refusal == nil, decision.Granted)
			if refusal == nil {
				require.Equal(t, grant.Target.ID, decision.Target)
				require.Equal(t, grant.ExpectedTime.Milliseconds(), decision.ExpectedMs)
				return
			}
			refused[refusal.Reason]++
			require.Equal(t, refusal.Reason, decision.Reason)
			require.LessOrEqual(t, decision.MinRetryAfterMs, refusal.RetryAfter.Milliseconds())
			require.GreaterOrEqual(t, decision.MaxRetryAfterMs, refusal.RetryAfter.Milliseconds())
		}
	})
	require.Len(t, got, len(want))
	for i := range want {
		require.Equal(t, want[i], got[i])
	}
	assert.Positive(t, byChance)
	assert.NotEmpty(t, refused)
	for _, reason := range []balance.TargetReason{balance.TargetAvoided, balance.TargetPaused, balance.TargetCold, balance.TargetLimited, balance.TargetReserved,
		balance.TargetOverloaded, balance.TargetOtherHome, balance.TargetSlower, balance.TargetOtherRegion, balance.TargetHome, balance.TargetSelected} {
		assert.True(t, reasons[reason], reason)
	}
}

// Guards against targets that are missing from an explanation because they get no
// requests, and against weights and regions that are not shown.
func TestExplainNamesExcludedTargets(t *testing.T) {
	draining := newTarget("a1-0", "a1", 4)
	draining.Draining = true
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(2, 4, steering.TargetUpdate{Target: draining}, steering.EvacuationUpdate{Domain: "a2", Active: true}))
	b.Tick(start)
	request := newRequest("x")
	request.HomeRegions = steering.HomeRegions{"a"}
	explanation := b.Explain(start, request)
	require.Len(t, explanation.Targets, 8)
	reasons := map[string]balance.TargetReason{}
	for _, target := range explanation.Targets {
		reasons[target.Target] = target.Reasons[len(target.Reasons)-1].Reason
	}
	assert.Equal(t, map[string]balance.TargetReason{"a1-0": balance.TargetDraining, "a1-1": balance.TargetSelected, "a2-0": balance.TargetEvacuated, "a2-1": balance.TargetEvacuated,
		"b1-0": balance.TargetOutOfRegion, "b1-1": balance.TargetOutOfRegion, "b2-0": balance.TargetOutOfRegion, "b2-1": balance.TargetOutOfRegion}, reasons)
	require.Len(t, explanation.Regions, 2)
	assert.True(t, explanation.Regions[0].Allowed)
	assert.NotNil(t, explanation.Regions[0].Weight)
	assert.False(t, explanation.Regions[1].Allowed)
	assert.Empty(t, b.Explain(start, balance.Request{Service: "unknown"}).Targets)
	assert.Empty(t, b.Report(start).CallerRates)
}

// Guards against explanations that count as demand for an object, and would move it to
// another target.
func TestExplainIsNoDemandForObject(t *testing.T) {
	objects := objectsWithSameHome(t, 4)
	moves := func(explanations int) []balance.HomeMove {
		b, now := newBalancer("n1", "a1"), start
		b.SetState(start, newState(2, 4))
		for _, o := range objects {
			mustPick(t, b, start, newRequest(o))
		}
		for range explanations {
			b.Explain(start, newRequest(objects[0]))
		}
		holdRequests(t, b, &now, nil)
		_, moves := b.Rebalance(now)
		return moves
	}
	require.Len(t, moves(0), 1)
	assert.InDelta(t, moves(0)[0].ObjectUtilization, moves(50)[0].ObjectUtilization, 1e-9)
}
