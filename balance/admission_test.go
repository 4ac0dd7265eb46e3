package balance_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/steering"
)

// admissionFixture is an instance and a limited target that it owns when it is the
// only one of the target's failure domain.
type admissionFixture struct {
	*balance.Balancer
	clock  time.Duration // Since boot, with suspensions.
	target *steering.Target
}

func newAdmissionFixture(name, domain string) *admissionFixture {
	f := &admissionFixture{target: newTarget("t", "a1", 4)}
	f.Balancer = balance.New(balance.Options{Name: name, Domain: domain, Region: testRegions[domain], Regions: testRegions,
		BootClock: func() time.Duration { return f.clock }}, start)
	f.SetState(start, newState(0, 4, steering.TargetUpdate{Target: f.target}))
	return f
}

// at advances the boot clock to a time after the start, with regular calls of Tick.
func (f *admissionFixture) at(after time.Duration) time.Time {
	for f.clock < after {
		f.clock = min(after, f.clock+250*time.Millisecond)
		f.Tick(start.Add(f.clock))
	}
	return start.Add(after)
}

func (f *admissionFixture) stateLimit(now, sent time.Time, perSecond float64) {
	f.ObserveRateLimit(now, f.target, sent, perSecond, balance.LimitFromResponse)
}

func (f *admissionFixture) admits(now time.Time) bool {
	return f.AdmitRelayed(now, f.target, nil, false).Granted
}

// admittedBetween counts the admissions while requests arrive every 10 ms.
func (f *admissionFixture) admittedBetween(from, to time.Duration) int {
	n := 0
	for after := from; after < to; after += 10 * time.Millisecond {
		if f.admits(f.at(after)) {
			n++
		}
	}
	return n
}

var (
	farInstance  = steering.Instance{Name: "far", Domain: "b1", Region: "b", PeerAddress: "far:1"}
	nearInstance = steering.Instance{Name: "near", Domain: "a2", Region: "a", PeerAddress: "near:1"}
	homeInstance = steering.Instance{Name: "home", Domain: "a1", Region: "a", PeerAddress: "home:1"}
)

func TestOwnerAdmitsTheStatedRate(t *testing.T) {
	f := newAdmissionFixture("home", "a1")
	f.SetInstances(start, []steering.Instance{farInstance, homeInstance}, 0)
	assert.True(t, f.admits(f.at(0)), "without a limit")
	f.stateLimit(f.at(5*time.Second), start, 10)
	assert.Zero(t, f.admittedBetween(5*time.Second, 6*time.Second), "the target has just received more than it takes")
	assert.InDelta(t, 100, f.admittedBetween(6*time.Second, 16*time.Second), 2)
	f.stateLimit(f.at(16*time.Second), start, 2.5)
	assert.InDelta(t, 25, f.admittedBetween(16*time.Second, 26*time.Second), 4)
	assert.LessOrEqual(t, f.admittedBetween(60*time.Second, 60*time.Second+20*time.Millisecond), 3, "what was not used is not caught up on")
	f.stateLimit(f.at(61*time.Second), start.Add(60*time.Second), math.Inf(1))
	assert.Equal(t, 10, f.admittedBetween(61*time.Second, 61*time.Second+100*time.Millisecond))
}

// A target that takes nothing must get a request now and then, or it could not
// state that its limit has ended.
func TestOwnerAsksTargetThatTakesNothing(t *testing.T) {
	f := newAdmissionFixture("home", "a1")
	f.stateLimit(f.at(0), start, 0)
	admitted := f.admittedBetween(0, 60*time.Second)
	assert.GreaterOrEqual(t, admitted, 8)
	assert.LessOrEqual(t, admitted, 13)
}

// Around a change of the owner, the former one may not have heard of the new one
// yet. Guards against both admitting requests for a moment.
func TestNewOwnerWaitsUntilPeersHaveHeardOfIt(t *testing.T) {
	const settle = 1500 * time.Millisecond
	f := newAdmissionFixture("near", "a2")
	f.SetInstances(start, []steering.Instance{farInstance, homeInstance, nearInstance}, settle)
	f.stateLimit(f.at(5*time.Second), start, 10)
	assert.False(t, f.admits(f.at(8*time.Second)), "another instance is the owner")
	assert.Positive(t, f.AdmitRelayed(f.at(8*time.Second), f.target, nil, false).Wait)
	f.SetInstances(f.at(10*time.Second), []steering.Instance{farInstance, nearInstance}, settle)
	assert.Zero(t, f.admittedBetween(10*time.Second, 10*time.Second+settle))
	assert.InDelta(t, 10, f.admittedBetween(10*time.Second+settle, 11*time.Second+settle), 2)
	f.SetInstances(f.at(13*time.Second), []steering.Instance{farInstance, homeInstance, nearInstance}, settle)
	assert.Zero(t, f.admittedBetween(13*time.Second, 16*time.Second), "the former owner is back")
}

// While a process is paused, another instance may have become the owner. Guards
// against admissions before the process has heard of it, also by requests that are
// handled before the first periodic update.
func TestOwnerAdmitsNothingAfterAPause(t *testing.T) {
	f := newAdmissionFixture("home", "a1")
	f.SetInstances(start, []steering.Instance{farInstance, homeInstance}, 0)
	f.stateLimit(f.at(0), start, 10)
	require.True(t, f.admits(f.at(5*time.Second)))
	for _, suspended := range []bool{false, true} {
		resumed := 10 * time.Second
		now := start.Add(resumed)
		if suspended { // The clock of timers does not count the suspension of a machine.
			resumed = 20 * time.Second
			now = start.Add(12 * time.Second)
		}
		f.clock = resumed
		for after := time.Duration(0); after < 900*time.Millisecond; after += 50 * time.Millisecond {
			assert.False(t, f.admits(now.Add(after)), "suspended: %v, %s after the pause", suspended, after)
			f.clock = resumed + after
			f.Tick(now.Add(after))
		}
		f.clock = resumed + 1200*time.Millisecond
		assert.True(t, f.admits(now.Add(1200*time.Millisecond)), "suspended: %v", suspended)
	}
}

// Messages of this instance get lost, so another one has replaced it as the owner.
// Guards against both admitting requests.
func TestOwnerWaitsWhileAnotherOneReportsToBeIt(t *testing.T) {
	f := newAdmissionFixture("home", "a1")
	f.SetInstances(start, []steering.Instance{farInstance, homeInstance, nearInstance}, 0)
	f.stateLimit(f.at(0), start, 10)
	require.Positive(t, f.admittedBetween(3*time.Second, 4*time.Second))
	report := f.Report(f.at(4 * time.Second))
	for hash, statement := range report.Limits {
		assert.True(t, statement.Owned)
		statement.Age = 0
		report.Limits[hash] = statement
	}
	admitted := 0
	for after := 4 * time.Second; after < 8*time.Second; after += 100 * time.Millisecond {
		f.ApplyReport(f.at(after), "near", "a", report, time.Second)
		admitted += f.admittedBetween(after, after+100*time.Millisecond)
	}
	assert.Zero(t, admitted)
	assert.InDelta(t, 20, f.admittedBetween(9*time.Second, 11*time.Second), 3, "the other one has stopped")
}

// Guards against admissions after a pause during which the target began to state a
// limit.
func TestLimitStatedAfterAPauseWaitsForPeers(t *testing.T) {
	f := newAdmissionFixture("home", "a1")
	f.SetInstances(start, []steering.Instance{farInstance, homeInstance}, 3*time.Second)
	f.clock = 10 * time.Second
	f.Tick(start.Add(10 * time.Second))
	f.stateLimit(f.at(10100*time.Millisecond), start, 10)
	assert.Zero(t, f.admittedBetween(10100*time.Millisecond, 13*time.Second))
	assert.Positive(t, f.admittedBetween(14*time.Second, 15*time.Second))
}

// Guards against parts of a partitioned network that each use the whole limit.
func TestOwnerOfAPartUsesItsShare(t *testing.T) {
	f := newAdmissionFixture("home", "a1")
	state := newState(0, 4, steering.TargetUpdate{Target: f.target}, steering.InstanceUpdate{Instance: farInstance},
		steering.InstanceUpdate{Instance: nearInstance}, steering.InstanceUpdate{Instance: homeInstance},
		steering.InstanceUpdate{Instance: steering.Instance{Name: "other", Domain: "b2", Region: "b"}})
	f.SetState(start, state)
	f.SetInstances(start, []steering.Instance{homeInstance}, 0)
	f.stateLimit(f.at(0), start, 10)
	assert.InDelta(t, 50, f.admittedBetween(10*time.Second, 30*time.Second), 3, "a quarter of the registered instances")
}

// Other instances send their requests through the owner, and not again at once
// after a refusal.
func TestRequestsToLimitedTargetGoThroughItsOwner(t *testing.T) {
	f := newAdmissionFixture("near", "a2")
	f.SetInstances(start, []steering.Instance{farInstance, homeInstance, nearInstance}, 0)
	now := f.at(5 * time.Second)
	assert.Empty(t, mustPick(t, f.Balancer, now, newRequest("x")).Owner.Name)
	f.stateLimit(now, start, 4)
	grant := mustPick(t, f.Balancer, now, newRequest("x"))
	assert.Equal(t, "home", grant.Owner.Name)
	assert.Equal(t, balance.RateLimit{Active: true, PerSecond: 4}, grant.Limit.RateLimit)

	unrelayable := newRequest("x")
	unrelayable.Unrelayable = true
	_, refusal := f.Pick(now, unrelayable)
	require.NotNil(t, refusal)
	assert.Equal(t, balance.RateLimited, refusal.Reason)

	f.DeferTarget(now, grant, 300*time.Millisecond, &grant.Limit)
	_, refusal = f.Pick(now.Add(100*time.Millisecond), newRequest("x"))
	require.NotNil(t, refusal)
	assert.Equal(t, balance.RateLimited, refusal.Reason)
	assert.GreaterOrEqual(t, refusal.RetryAfter, 200*time.Millisecond)
	assert.LessOrEqual(t, refusal.RetryAfter, 300*time.Millisecond)
	mustPick(t, f.Balancer, now.Add(300*time.Millisecond), newRequest("x"))
}

// Guards against a request that waits for the refusals of several owners, in
// other regions too, before its caller is refused.
func TestOneOwnerRefusesOverflowOfARequest(t *testing.T) {
	f := newAdmissionFixture("near", "a2")
	f.SetState(start, newState(1, 4, steering.TargetRemoval{ID: "a2-0"}))
	f.SetInstances(start, []steering.Instance{farInstance, homeInstance, nearInstance}, 0)
	now := f.at(5 * time.Second)
	for _, record := range newState(1, 4).Targets {
		f.ObserveRateLimit(now, record, start, 4, balance.LimitFromResponse)
	}
	request := newRequest("x")
	request.ExcludedTargets = map[string]bool{}
	home := mustPick(t, f.Balancer, now, request)
	assert.False(t, home.Overflow)
	request.ExcludedTargets[home.Target.ID] = true
	f.DeferTarget(now, home, 200*time.Millisecond, nil)
	other := mustPick(t, f.Balancer, now, request)
	assert.True(t, other.Overflow)
	request.OverflowRefused = true
	f.DeferTarget(now, other, 200*time.Millisecond, nil)
	_, refusal := f.Pick(now, request)
	require.NotNil(t, refusal)
	assert.Equal(t, balance.RateLimited, refusal.Reason)
}

// Guards against sending a request to an instance outside the home regions of its
// route because that instance owns the target.
func TestOwnerOutsideHomeRegionsIsNotUsed(t *testing.T) {
	f := newAdmissionFixture("near", "a2")
	f.SetInstances(start, []steering.Instance{farInstance}, 0) // This instance is shutting down.
	f.stateLimit(f.at(5*time.Second), start, 4)
	request := newRequest("x")
	assert.Equal(t, "far", mustPick(t, f.Balancer, f.at(6*time.Second), request).Owner.Name)
	request.HomeRegions = []string{"a"}
	_, refusal := f.Pick(f.at(6*time.Second), request)
	require.NotNil(t, refusal)
	assert.Equal(t, balance.RateLimited, refusal.Reason)
}

// Responses overtake each other. Guards against a limit that ends by a response
// from before it was stated, and against one of a former incarnation.
func TestLimitEndsOnlyByLaterResponse(t *testing.T) {
	f := newAdmissionFixture("home", "a1")
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	f.stateLimit(at(100), at(0), 5)
	f.stateLimit(at(120), at(50), math.Inf(1))
	assert.Equal(t, 1, f.LimitedTargets(), "the response may have been sent before the other one")
	f.stateLimit(at(300), at(200), math.Inf(1))
	assert.Zero(t, f.LimitedTargets())
	changes := f.LimitChanges()
	require.Len(t, changes, 2)
	assert.Equal(t, balance.LimitChange{Target: "t", RateLimit: balance.RateLimit{Active: true, PerSecond: 5}, Source: balance.LimitFromResponse, Owner: "home"}, changes[0])
	assert.False(t, changes[1].Active)

	f.stateLimit(at(400), at(350), 5)
	report := f.Report(at(400))
	restarted := *f.target
	restarted.StartedMs++
	f.SetState(at(500), newState(0, 4, steering.TargetUpdate{Target: &restarted}))
	assert.Zero(t, f.LimitedTargets())
	for hash, statement := range report.Limits {
		statement.Age += 200 * time.Millisecond
		report.Limits[hash] = statement
	}
	f.ApplyReport(at(600), "peer", "a", report, time.Second)
	assert.Zero(t, f.LimitedTargets(), "the statement is older than the incarnation")
}

// Guards against reports that bring back a limit that has ended, and against
// instances that learn of a limit only from responses of their own.
func TestReportsCarryLatestStatement(t *testing.T) {
	owner, other := newAdmissionFixture("home", "a1"), newAdmissionFixture("near", "a2")
	for _, f := range []*admissionFixture{owner, other} {
		f.SetInstances(start, []steering.Instance{homeInstance, nearInstance}, 0)
	}
	owner.stateLimit(start, start, 5)
	first := owner.Report(start)
	other.ApplyReport(start.Add(10*time.Millisecond), "home", "a", first, time.Second)
	assert.Equal(t, 1, other.LimitedTargets())
	assert.Empty(t, other.Report(start.Add(20*time.Millisecond)).Limits, "only the owner and those who heard the target report it")
	owner.stateLimit(start.Add(time.Second), start.Add(500*time.Millisecond), math.Inf(1))
	ended := owner.Report(start.Add(time.Second))
	other.ApplyReport(start.Add(1010*time.Millisecond), "home", "a", ended, time.Second)
	assert.Zero(t, other.LimitedTargets())

	merged := balance.Report{InFlight: map[uint32]int{}, CallerRates: map[uint32]float64{}, FailureEvidence: map[uint32]int{}, Limits: map[uint32]balance.LimitStatement{}}
	merged.Merge(ended, 0)
	merged.Merge(first, 1010*time.Millisecond)
	assert.Equal(t, ended.Limits, merged.Limits)
}
