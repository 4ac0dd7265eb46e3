package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/steering"
)

var (
	highRank = steering.Rank{Route: 0}
	lowRank  = steering.Rank{Route: 2}
)

// routesState returns a state in which routes with the given priorities use the service.
func routesState(priorities ...int) *steering.State {
	config := &steering.Config{Version: 2, Services: map[string]steering.Service{"s": {Name: "s"}}}
	for i, priority := range priorities {
		config.Routes = append(config.Routes, steering.Route{Name: fmt.Sprint(i), Priority: priority, Split: []steering.WeightedService{{Service: "s", Weight: 1}}})
	}
	config.Index()
	return newState(1, 6, steering.ConfigUpdate{Config: config})
}

// randomDecisions returns the decisions on random requests with a rank, among them
// requests of callers that return and retries, at a load up to twice the capacity.
func randomDecisions(seed uint64, state *steering.State, rank steering.Rank) []string {
	random := rand.New(rand.NewPCG(seed, 3))
	b := balance.New(balance.Options{Name: "n1", Domain: "a1", Region: "a", Regions: simulatedRegions, Random: rand.New(rand.NewPCG(seed, 4)).Int64N}, start)
	b.SetState(start, state)
	var decisions []string
	var grants []balance.Grant
	for i := range 3000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		request := newRequest(fmt.Sprint("o", random.IntN(40)))
		request.Rank, request.Retry, request.Elapsed = rank, random.IntN(10) == 0, time.Duration(random.IntN(400))*time.Millisecond
		request.Remaining -= request.Elapsed
		grant, refusal := b.Pick(now, request)
		if refusal == nil {
			grants = append(grants, grant)
			decisions = append(decisions, fmt.Sprint(grant.Target.ID, grant.ExpectedTime, grant.Load, grant.Warm))
		} else {
			decisions = append(decisions, fmt.Sprintf("%+v", *refusal))
		}
		for len(grants) > 0 && random.IntN(3) == 0 {
			b.Done(now, grants[0], balance.Observation{Result: balance.Succeeded, Duration: time.Duration(random.IntN(900)) * time.Millisecond})
			grants = grants[1:]
		}
		if i%25 == 0 {
			b.Tick(now)
		}
	}
	return decisions
}

// Guards against changed decisions in deployments in which all routes of a service
// have one rank.
func TestOneRankIsDecidedAsWithoutRanks(t *testing.T) {
	for seed := range uint64(5) {
		want := randomDecisions(seed, newState(1, 6), steering.Rank{})
		assert.Equal(t, want, randomDecisions(seed, routesState(2, 2), lowRank), seed)
		assert.NotEqual(t, want, randomDecisions(seed, routesState(0, 2), lowRank), "the requests meet a shortage")
	}
}

// newRankedBalancer returns a balancer that has measured requests of the highest rank,
// by a peer's report.
func newRankedBalancer(perSecond float64) *balance.Balancer {
	b := newBalancer("n1", "a1")
	b.SetState(start, routesState(0, 2))
	pickRank(b, start, highRank, 0)
	report := b.Report(start)
	for key, demand := range report.RankDemand {
		demand.PerSecond = perSecond
		report.RankDemand[key] = demand
	}
	report.InFlight = nil
	b.ApplyReport(start, "peer", "a", report, time.Minute)
	return b
}

// pickRank sends a request for an object; all are for the same.
func pickRank(b *balance.Balancer, now time.Time, rank steering.Rank, elapsed time.Duration) *balance.Refusal {
	request := newRequest("x")
	request.Rank, request.Elapsed = rank, elapsed
	_, refusal := b.Pick(now, request)
	return refusal
}

// Guards against a reserve of fixed size, against capacity that is kept although hardly
// any request of a higher rank would use it, and against refusals that do not name the
// rank that the capacity is kept for.
func TestReserveFollowsDemandOfHigherRanks(t *testing.T) {
	admitted := func(perSecond float64) (n int, refusal *balance.Refusal) {
		b := newRankedBalancer(perSecond)
		for ; n < 100; n++ {
			if refusal = pickRank(b, start.Add(time.Second), lowRank, 0); refusal != nil {
				break
			}
		}
		require.NotNil(t, refusal)
		if refusal.ReservedFor != nil {
			assert.Nil(t, pickRank(b, start.Add(time.Second), highRank, 0), "the higher rank is still served")
		}
		return n, refusal
	}
	little, _ := admitted(1)
	much, refusal := admitted(60)
	assert.Greater(t, little, much)
	assert.Positive(t, much)
	require.NotNil(t, refusal.ReservedFor)
	assert.Equal(t, highRank, *refusal.ReservedFor)
}

// Guards against refusing a caller twice while new callers of its rank are served, and
// against callers that are told to return at the same time.
func TestReturningCallersAreServedFirst(t *testing.T) {
	b := newRankedBalancer(60)
	now := start.Add(time.Second)
	times := map[time.Duration]bool{}
	for range 100 {
		if refusal := pickRank(b, now, lowRank, 0); refusal != nil {
			times[refusal.RetryAfter.Truncate(time.Millisecond)] = true
			if len(times) == 6 {
				break
			}
		}
	}
	require.Len(t, times, 6)
	assert.NotNil(t, pickRank(b, now, lowRank, 0))
	assert.NotNil(t, pickRank(b, now, lowRank, 40*time.Millisecond), "a caller that does not wait")
	assert.Nil(t, pickRank(b, now, lowRank, 300*time.Millisecond))
}
