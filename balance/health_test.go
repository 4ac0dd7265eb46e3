package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/balance"
)

func finishWith(b *balance.Balancer, now time.Time, g balance.Grant, r balance.Result) *balance.AvoidedTarget {
	return b.Done(now, g, balance.Observation{Result: r, Duration: 50 * time.Millisecond})
}

// Guards against a dead target that each request for its objects tries first.
func TestUnreachableTargetIsAvoidedWithBackoff(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(1, 4))
	now := start
	home := mustPick(t, b, now, newRequest("x"))
	avoided := finishWith(b, now, home, balance.Unreachable)
	require.NotNil(t, avoided)
	first := avoided.Duration
	assert.NotEqual(t, home.Target.ID, mustPick(t, b, now, newRequest("x")).Target.ID)
	now = now.Add(first)
	again := mustPick(t, b, now, newRequest("x"))
	assert.Equal(t, home.Target.ID, again.Target.ID, "it is tried again")
	assert.NotEqual(t, home.Target.ID, mustPick(t, b, now, newRequest("x")).Target.ID, "by one request at a time")
	avoided = finishWith(b, now, again, balance.Unreachable)
	require.NotNil(t, avoided)
	assert.Greater(t, avoided.Duration, first)
}

// Guards against one lost answer, which any target may have, that takes a
// target's objects away.
func TestSingleLostResponseIsTolerated(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(1, 4))
	home := mustPick(t, b, start, newRequest("x"))
	assert.Nil(t, finishWith(b, start, home, balance.ConnectionBroken))
	again := mustPick(t, b, start, newRequest("x"))
	assert.Equal(t, home.Target.ID, again.Target.ID)
	assert.NotNil(t, finishWith(b, start, again, balance.ConnectionBroken), "two in a row are not")
}

// Guards against a target that was down and gets its whole load at once when it
// is back, while it is cold.
func TestTargetIsColdAfterOutage(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(1, 4))
	b.SetInstances(newInstances("n1"))
	home := mustPick(t, b, start, newRequest("x"))
	avoided := finishWith(b, start, home, balance.Unreachable)
	now := start.Add(avoided.Duration)
	probe := mustPick(t, b, now, newRequest("x"))
	require.Equal(t, home.Target.ID, probe.Target.ID)
	b.Done(now, probe, balance.Observation{Result: balance.Succeeded, Duration: 100 * time.Millisecond})
	assert.Equal(t, home.Target.ID, mustPick(t, b, now, newRequest("x")).Target.ID)
	assert.NotEqual(t, home.Target.ID, mustPick(t, b, now, newRequest("x")).Target.ID, "its rate is bounded")
}

// Guards against an address that now belongs to another target and is tried
// until the store tells.
func TestMisdirectedTargetIsAvoided(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(1, 4))
	home := mustPick(t, b, start, newRequest("x"))
	require.NotNil(t, finishWith(b, start, home, balance.Misdirected))
	assert.NotEqual(t, home.Target.ID, mustPick(t, b, start.Add(time.Second), newRequest("x")).Target.ID)
}

// shedRequests has a target shed a number of requests while one of its slots is taken.
func shedRequests(b *balance.Balancer, now time.Time, g balance.Grant, n int) {
	for range n {
		b.Done(now, g, balance.Observation{Result: balance.Shed, LoadReported: true, Executing: 1})
	}
	b.Tick(now.Add(time.Second))
}

// Pattern: a target sheds although it has slots, and its health looks good. Its
// objects go elsewhere after a few requests, until it has had time to recover.
func TestTargetSheddingWithFreeSlotsIsAvoided(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(2, 4))
	home := mustPick(t, b, start, newRequest("x"))
	for range 20 {
		full := balance.Observation{Result: balance.Shed, LoadReported: true, Executing: 4, Waiting: 12}
		assert.Nil(t, b.Done(start, home, full))
		assert.False(t, full.MayRetry(home.Target))
	}
	b.Tick(start.Add(time.Second))
	now := start.Add(time.Second)
	home = mustPick(t, b, now, newRequest("x"))
	shedRequests(b, now, home, 3)
	assert.NotEqual(t, home.Target.ID, mustPick(t, b, now, newRequest("x")).Target.ID, "a target that is really full keeps its objects; this one has slots")
	now = now.Add(10 * time.Second)
	assert.Equal(t, home.Target.ID, mustPick(t, b, now, newRequest("x")).Target.ID, "it is tried again")
}

// Pattern: all targets of a service shed half of what they get. An object that
// moved would have to be learned elsewhere, and fail there as often.
func TestObjectsKeepHomeWhenAllTargetsShed(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(2, 4))
	homes, grants := map[string]string{}, map[string]balance.Grant{}
	for i := range 24 {
		object := fmt.Sprint(i)
		g, refusal := b.Pick(start, newRequest(object))
		if refusal == nil {
			homes[object], grants[g.Target.ID] = g.Target.ID, g
		}
	}
	require.Len(t, grants, 4, "every target of the region has an object")
	for _, g := range grants {
		shedRequests(b, start, g, 6)
	}
	now := start.Add(time.Second)
	for object, home := range homes {
		g, refusal := b.Pick(now, newRequest(object))
		require.Nil(t, refusal)
		assert.Equal(t, home, g.Target.ID)
		b.Done(now, g, balance.Observation{Result: balance.Abandoned})
	}
}

// Guards against a request that is tried again at a target with no room.
func TestShedRequestIsRetriedOnlyWithFreeSlots(t *testing.T) {
	record := newTarget("t", "a1", 4)
	assert.True(t, balance.Observation{Result: balance.Shed, LoadReported: true, Executing: 3}.MayRetry(record))
	assert.False(t, balance.Observation{Result: balance.Shed, LoadReported: true, Executing: 4}.MayRetry(record))
	assert.False(t, balance.Observation{Result: balance.Shed}.MayRetry(record), "it tells no load")
	assert.False(t, balance.Observation{Result: balance.Misdirected, LoadReported: true}.MayRetry(record))
}

// Pattern: a target loses power while it executes requests. Their connections
// stay open; only that nothing answers new ones shows it.
func TestTargetIsLostAfterUnansweredConnects(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(1, 4))
	one, two, three := mustPick(t, b, start, newRequest("x")), mustPick(t, b, start, newRequest("x")), mustPick(t, b, start, newRequest("x"))
	assert.False(t, finishWith(b, start, one, balance.ConnectTimedOut).Lost)
	assert.True(t, finishWith(b, start, two, balance.ConnectTimedOut).Lost)
	assert.False(t, finishWith(b, start, three, balance.Unreachable).Lost, "a refusal is an answer")
}
