package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/balance"
)

func finishWith(b *balance.Balancer, now time.Time, grant balance.Grant, result balance.Result) *balance.AvoidedTarget {
	return b.Done(now, grant, balance.Observation{Result: result, Duration: 50 * time.Millisecond})
}

// Guards against every request first trying an unreachable home target.
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
	assert.Equal(t, home.Target.ID, again.Target.ID, "the target is used again")
	assert.NotEqual(t, home.Target.ID, mustPick(t, b, now, newRequest("x")).Target.ID, "only one request at a time goes to a target that was down")
	avoided = finishWith(b, now, again, balance.Unreachable)
	require.NotNil(t, avoided)
	assert.Greater(t, avoided.Duration, first)
}

// Guards against moving the objects of a target because of a single lost
// response, which can happen at any target.
func TestSingleLostResponseIsTolerated(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(1, 4))
	home := mustPick(t, b, start, newRequest("x"))
	assert.Nil(t, finishWith(b, start, home, balance.ConnectionBroken))
	again := mustPick(t, b, start, newRequest("x"))
	assert.Equal(t, home.Target.ID, again.Target.ID)
	assert.NotNil(t, finishWith(b, start, again, balance.ConnectionBroken), "two lost responses in a row are not tolerated")
}

// Guards against sending a target its full load right after an outage, while
// it is cold.
func TestTargetIsColdAfterOutage(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(1, 4))
	b.SetInstances(start, newInstances("n1"), 0)
	home := mustPick(t, b, start, newRequest("x"))
	avoided := finishWith(b, start, home, balance.Unreachable)
	now := start.Add(avoided.Duration)
	probe := mustPick(t, b, now, newRequest("x"))
	require.Equal(t, home.Target.ID, probe.Target.ID)
	b.Done(now, probe, balance.Observation{Result: balance.Succeeded, Duration: 100 * time.Millisecond})
	assert.Equal(t, home.Target.ID, mustPick(t, b, now, newRequest("x")).Target.ID)
	assert.NotEqual(t, home.Target.ID, mustPick(t, b, now, newRequest("x")).Target.ID, "the request rate of a cold target is limited")
}

// Guards against using an address that now belongs to another target until the
// store has the new record.
func TestMisdirectedTargetIsAvoided(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(1, 4))
	home := mustPick(t, b, start, newRequest("x"))
	require.NotNil(t, finishWith(b, start, home, balance.Misdirected))
	assert.NotEqual(t, home.Target.ID, mustPick(t, b, start.Add(time.Second), newRequest("x")).Target.ID)
}

// shedRequests has a target shed n requests while one of its slots is in use.
func shedRequests(b *balance.Balancer, now time.Time, grant balance.Grant, n int) {
	for range n {
		b.Done(now, grant, balance.Observation{Result: balance.Shed, LoadReported: true, Executing: 1})
	}
	b.Tick(now.Add(time.Second))
}

// A target sheds requests although it has free slots and its health check
// succeeds. After a few requests its objects must go to other targets until it
// has had time to recover.
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
	assert.NotEqual(t, home.Target.ID, mustPick(t, b, now, newRequest("x")).Target.ID, "a target that sheds with free slots loses its objects; a full one keeps them")
	now = now.Add(10 * time.Second)
	assert.Equal(t, home.Target.ID, mustPick(t, b, now, newRequest("x")).Target.ID, "the target is used again")
}

// All targets of a service shed half of their requests. Moving an object would
// only add a cold execution, and requests would fail there as often.
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

// Guards against retrying a request at a target without free slots.
func TestShedRequestIsRetriedOnlyWithFreeSlots(t *testing.T) {
	record := newTarget("t", "a1", 4)
	assert.True(t, balance.Observation{Result: balance.Shed, LoadReported: true, Executing: 3}.MayRetry(record))
	assert.False(t, balance.Observation{Result: balance.Shed, LoadReported: true, Executing: 4}.MayRetry(record))
	assert.False(t, balance.Observation{Result: balance.Shed}.MayRetry(record), "the target reported no load")
	assert.False(t, balance.Observation{Result: balance.Misdirected, LoadReported: true}.MayRetry(record))
}

// A target loses power while it executes requests. Their connections stay
// open; only unanswered new connection attempts show the failure.
func TestTargetIsLostAfterUnansweredConnects(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetState(start, newState(1, 4))
	first, second, third := mustPick(t, b, start, newRequest("x")), mustPick(t, b, start, newRequest("x")), mustPick(t, b, start, newRequest("x"))
	assert.False(t, finishWith(b, start, first, balance.ConnectTimedOut).Lost)
	assert.True(t, finishWith(b, start, second, balance.ConnectTimedOut).Lost)
	assert.False(t, finishWith(b, start, third, balance.Unreachable).Lost, "a refused connection is a response")
}

// Guards against a load that is taken for zero because one of its counts is missing.
func TestLoadWithMissingCounts(t *testing.T) {
	target := newTarget("a", "d1", 4)
	for _, c := range []struct {
		load               balance.TargetLoad
		executing, waiting int
		reported           bool
	}{
		{balance.TargetLoad{Executing: 3, Waiting: 1, Slots: 4, Slowdown: 2}, 3, 1, true},
		{balance.TargetLoad{Executing: 3, Waiting: balance.UnknownCount, Slots: 4}, 3, 0, true},
		{balance.TargetLoad{Executing: balance.UnknownCount, Waiting: 2, Slots: balance.UnknownCount, Slowdown: 2}, 4, 2, true},
		{balance.TargetLoad{Executing: balance.UnknownCount, Waiting: 0, Slots: 4, Slowdown: 2}, 0, 0, false},
	} {
		var o balance.Observation
		o.SetLoad(c.load, target)
		assert.Equal(t, balance.Observation{Executing: c.executing, Waiting: c.waiting, LoadReported: c.reported, Slowdown: c.load.Slowdown}, o)
	}
}
