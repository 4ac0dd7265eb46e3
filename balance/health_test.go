package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/balance"
)

func fail(b *balance.Balancer, now time.Time, g balance.Grant, r balance.Result) *balance.Avoided {
	return b.Done(now, g, balance.Observation{Result: r, Took: 50 * time.Millisecond})
}

// Guards against a dead target that each request for its objects tries first.
func TestUnreachableTargetIsAvoidedLongerEachTime(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetWorld(start, world(1, 4))
	now := start
	home := pick(t, b, now, want("x"))
	avoided := fail(b, now, home, balance.Unreachable)
	require.NotNil(t, avoided)
	first := avoided.For
	assert.NotEqual(t, home.Target.ID, pick(t, b, now, want("x")).Target.ID)
	now = now.Add(first)
	again := pick(t, b, now, want("x"))
	assert.Equal(t, home.Target.ID, again.Target.ID, "it is tried again")
	assert.NotEqual(t, home.Target.ID, pick(t, b, now, want("x")).Target.ID, "by one request at a time")
	avoided = fail(b, now, again, balance.Unreachable)
	require.NotNil(t, avoided)
	assert.Greater(t, avoided.For, first)
}

// Guards against one lost answer, which any target may have, that takes a
// target's objects away.
func TestOneLostAnswerIsForgiven(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetWorld(start, world(1, 4))
	home := pick(t, b, start, want("x"))
	assert.Nil(t, fail(b, start, home, balance.Broken))
	again := pick(t, b, start, want("x"))
	assert.Equal(t, home.Target.ID, again.Target.ID)
	assert.NotNil(t, fail(b, start, again, balance.Broken), "two in a row are not")
}

// Guards against a target that was down and gets its whole load at once when it
// is back, while it is cold.
func TestTargetThatWasDownCountsAsCold(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetWorld(start, world(1, 4))
	b.SetInstances(instances("n1"))
	home := pick(t, b, start, want("x"))
	avoided := fail(b, start, home, balance.Unreachable)
	now := start.Add(avoided.For)
	probe := pick(t, b, now, want("x"))
	require.Equal(t, home.Target.ID, probe.Target.ID)
	b.Done(now, probe, balance.Observation{Result: balance.Answered, Took: 100 * time.Millisecond})
	assert.Equal(t, home.Target.ID, pick(t, b, now, want("x")).Target.ID)
	assert.NotEqual(t, home.Target.ID, pick(t, b, now, want("x")).Target.ID, "its rate is bounded")
}

// Guards against an address that now belongs to another target and is tried
// until the store tells.
func TestMisdirectedTargetIsAvoided(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetWorld(start, world(1, 4))
	home := pick(t, b, start, want("x"))
	require.NotNil(t, fail(b, start, home, balance.Misdirected))
	assert.NotEqual(t, home.Target.ID, pick(t, b, start.Add(time.Second), want("x")).Target.ID)
}

// Pattern: a target sheds although it has slots (its health looks good). It is
// left alone for a moment, and one that is really full is not.
func TestShedsBelowSlotsPauseATarget(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetWorld(start, world(1, 4))
	home := pick(t, b, start, want("x"))
	full := b.Done(start, home, balance.Observation{Result: balance.Shed, Told: true, Executing: 4, Waiting: 12})
	assert.Nil(t, full)
	home = pick(t, b, start.Add(time.Second), want("x"))
	assert.NotNil(t, b.Done(start.Add(time.Second), home, balance.Observation{Result: balance.Shed, Told: true, Executing: 1}))
}

// Pattern: a target loses power while it executes requests. Their connections
// stay open; only that nothing answers new ones shows it.
func TestTargetThatAnswersNoConnectionAttemptsIsLost(t *testing.T) {
	b := newBalancer("n1", "a1")
	b.SetWorld(start, world(1, 4))
	one, two, three := pick(t, b, start, want("x")), pick(t, b, start, want("x")), pick(t, b, start, want("x"))
	assert.False(t, fail(b, start, one, balance.Unresponsive).Lost)
	assert.True(t, fail(b, start, two, balance.Unresponsive).Lost)
	assert.False(t, fail(b, start, three, balance.Unreachable).Lost, "a refusal is an answer")
}
