package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/steering"
)

// withoutDelay returns a balancer whose random numbers are 0.
func withoutDelay() *balance.Balancer {
	b := balance.New(balance.Options{Name: "n1", Domain: "a1", Region: "a", Regions: testRegions, Random: func(int64) int64 { return 0 }}, start)
	b.SetState(start, newState(1, 4))
	return b
}

func succeed(b *balance.Balancer, now time.Time, grant balance.Grant) {
	b.Done(now, grant, balance.Observation{Result: balance.Succeeded, Duration: 100 * time.Millisecond})
}

// Guards against requests to a target that states that it is leaving while its
// record still says that it is ready, also after the record was away for a while.
func TestLeavingTargetIsNotUsedUntilItStartsAgain(t *testing.T) {
	b := withoutDelay()
	home := mustPick(t, b, start, newRequest("x"))
	succeed(b, start, home)
	b.ObserveLeaving(start, home.Target, balance.StatementFromResponse)
	assert.NotEqual(t, home.Target.ID, mustPick(t, b, start, newRequest("x")).Target.ID)
	assert.Equal(t, []balance.AvailabilityChange{{Target: home.Target.ID, Leaving: true, Source: balance.StatementFromResponse}}, b.AvailabilityChanges())

	state := newState(1, 4)
	now := start.Add(time.Second)
	gone := state.Apply(2, []steering.Update{steering.TargetRemoval{ID: home.Target.ID}})
	b.SetState(now, gone)
	same := *home.Target
	back := gone.Apply(3, []steering.Update{steering.TargetUpdate{Target: &same}})
	b.SetState(now, back)
	assert.NotEqual(t, home.Target.ID, mustPick(t, b, now, newRequest("x")).Target.ID, "the same incarnation is leaving still")

	restarted := same
	restarted.StartedMs++
	b.SetState(now, back.Apply(4, []steering.Update{steering.TargetUpdate{Target: &restarted}}))
	assert.Equal(t, home.Target.ID, mustPick(t, b, now, newRequest("x")).Target.ID, "the next incarnation is used")
	b.ObserveLeaving(now, home.Target, balance.StatementFromResponse)
	assert.Equal(t, home.Target.ID, mustPick(t, b, now, newRequest("x")).Target.ID, "a late response of the previous incarnation says nothing about it")
}

// Guards against requests during a pause, and against a rush at its end.
func TestPausedTargetReturnsWithSingleRequests(t *testing.T) {
	b := withoutDelay()
	home := mustPick(t, b, start, newRequest("x"))
	b.Done(start, home, balance.Observation{Result: balance.Shed, AskedForPause: true})
	b.ObservePause(start, home.Target, 2*time.Second, balance.StatementFromResponse)
	b.ObservePause(start, home.Target, time.Second, balance.StatementFromResponse)
	for _, after := range []time.Duration{0, time.Second, 1999 * time.Millisecond} {
		assert.NotEqual(t, home.Target.ID, mustPick(t, b, start.Add(after), newRequest("x")).Target.ID, after)
	}
	now := start.Add(2 * time.Second)
	first := mustPick(t, b, now, newRequest("x"))
	assert.Equal(t, home.Target.ID, first.Target.ID)
	assert.NotEqual(t, home.Target.ID, mustPick(t, b, now, newRequest("x")).Target.ID, "one request at first")
	b.Tick(now)
	succeed(b, now, first)
	atHome := 0
	for range 4 {
		if mustPick(t, b, now, newRequest("x")).Target.ID == home.Target.ID {
			atHome++
		}
	}
	assert.Equal(t, 2, atHome, "two requests after the first response")
}

// Guards against a target that is lost for as long as it once has said, although
// it takes requests again, and against more than one request to find out.
func TestLongPauseHasOneTrial(t *testing.T) {
	b := withoutDelay()
	home := mustPick(t, b, start, newRequest("x"))
	b.Done(start, home, balance.Observation{Result: balance.Shed, AskedForPause: true})
	b.ObservePause(start, home.Target, time.Hour, balance.StatementFromResponse)
	usedAt := func(now time.Time) (balance.Grant, bool) {
		grant := mustPick(t, b, now, newRequest("x"))
		used := grant.Target.ID == home.Target.ID
		if !used {
			succeed(b, now, grant)
		}
		return grant, used
	}
	_, used := usedAt(start.Add(29 * time.Second))
	assert.False(t, used)
	trial, used := usedAt(start.Add(30 * time.Second))
	require.True(t, used, "one request after a while")
	_, used = usedAt(start.Add(31 * time.Second))
	assert.False(t, used, "one request only")
	b.Done(start.Add(32*time.Second), trial, balance.Observation{Result: balance.Shed, AskedForPause: true})
	b.ObservePause(start.Add(32*time.Second), home.Target, time.Hour, balance.StatementFromResponse)
	for minute := 1; minute < 10; minute++ {
		_, used = usedAt(start.Add(time.Duration(minute) * time.Minute))
		assert.False(t, used, "no second trial in the same pause")
	}
	_, used = usedAt(start.Add(32*time.Second + 10*time.Minute))
	assert.True(t, used, "a pause is kept for ten minutes at most")

	b = withoutDelay()
	home = mustPick(t, b, start, newRequest("x"))
	b.Done(start, home, balance.Observation{Result: balance.Shed, AskedForPause: true})
	b.ObservePause(start, home.Target, time.Hour, balance.StatementFromResponse)
	trial, used = usedAt(start.Add(30 * time.Second))
	require.True(t, used)
	succeed(b, start.Add(30*time.Second), trial)
	_, used = usedAt(start.Add(31 * time.Second))
	assert.True(t, used, "a successful trial ends the pause")
}

// Guards against callers that are told to come back before any target takes
// requests.
func TestRefusalNamesEndOfPauses(t *testing.T) {
	b := withoutDelay()
	for _, target := range newState(1, 4).Targets {
		b.ObservePause(start, target, 7*time.Second, balance.StatementFromResponse)
	}
	_, refusal := b.Pick(start.Add(time.Second), newRequest("x"))
	require.NotNil(t, refusal)
	assert.Equal(t, balance.Paused, refusal.Reason)
	assert.Equal(t, 6*time.Second, refusal.RetryAfter)
	leaving, paused := b.UnavailableTargets()
	assert.Equal(t, []int{0, 4}, []int{leaving, paused})
}

// Guards against a relay that sends requests of peers to a target that has asked it
// for a pause or is leaving.
func TestRelayRefusesRequestsToUnavailableTargets(t *testing.T) {
	b := withoutDelay()
	target := newState(1, 4).Targets["a1-0"]
	assert.True(t, b.AdmitRelayed(start, target, nil, false).Granted)
	b.ObservePause(start, target, 2*time.Second, balance.StatementFromRelay)
	assert.Equal(t, balance.Admission{Pause: time.Second}, b.AdmitRelayed(start.Add(time.Second), target, nil, false))
	assert.True(t, b.AdmitRelayed(start.Add(2*time.Second), target, nil, false).Granted)
	b.ObserveLeaving(start, target, balance.StatementFromRelay)
	assert.Equal(t, balance.Admission{Leaving: true}, b.AdmitRelayed(start.Add(2*time.Second), target, nil, false))
}
