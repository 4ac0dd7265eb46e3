package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const smallestInstance = 184 << 20

// Guards against a limit that refuses requests of ordinary load at the smallest
// instance, and against requests behind others that leave no room for other callers.
func TestRequestsAtATime(t *testing.T) {
	now := time.Now()
	budget := newMemoryBudget(smallestInstance)
	accept := func(pipelined bool) (n int) {
		for accepted := true; accepted; n++ {
			accepted, _ = budget.acceptRequest(now, pipelined)
		}
		return n - 1
	}
	behind := accept(true)
	first := accept(false)
	assert.Greater(t, behind, 600)
	assert.Greater(t, first, 200)
	budget.endRequest(time.Second)
	assert.Equal(t, 0, accept(true))
	assert.Equal(t, 1, accept(false))
	unlimited := newMemoryBudget(0)
	for range 10000 {
		accepted, _ := unlimited.acceptRequest(now, true)
		assert.True(t, accepted && unlimited.reserve(1<<30))
	}
}

// Guards against more bytes than the budget, and against bytes that are not released.
func TestReservedBytes(t *testing.T) {
	budget := newMemoryBudget(smallestInstance)
	held := heldMemory{budget: budget}
	n := 0
	for held.reserve(streamedRequestBytes) {
		n++
	}
	assert.GreaterOrEqual(t, n, 2*160, "slow callers in each direction")
	assert.False(t, held.reserve(streamedRequestBytes))
	held.release(streamedRequestBytes)
	assert.True(t, held.reserve(streamedRequestBytes))
	held.end(time.Now())
	held.end(time.Now())
	_, bytes := budget.used()
	assert.Zero(t, bytes)
}

// Guards against a Retry-After at which no request in progress has ended, and against
// callers that return at the same time.
func TestRetryAfterFollowsTheTimeThatRequestsTake(t *testing.T) {
	now := time.Now()
	budget := newMemoryBudget(smallestInstance)
	for range 500 {
		_, _ = budget.acceptRequest(now, false)
		budget.endRequest(200 * time.Millisecond)
	}
	assert.InDelta(t, 0.1, budget.refuse(now, 0).Seconds(), 0.01)
	assert.InDelta(t, 0.3, budget.refuse(now.Add(time.Second), 1).Seconds(), 0.01)
	_, restored := budget.acceptRequest(now.Add(1500*time.Millisecond), false)
	assert.Zero(t, restored, "a refusal was less than a second ago")
	_, restored = budget.acceptRequest(now.Add(2*time.Second), false)
	assert.Equal(t, time.Second, restored)
	_, restored = budget.acceptRequest(now.Add(3*time.Second), false)
	assert.Zero(t, restored)
	for range 1000 {
		_, _ = budget.acceptRequest(now, false)
		budget.endRequest(time.Minute)
	}
	assert.Equal(t, maxMemoryRetryAfter, budget.refuse(now, 0))
}
