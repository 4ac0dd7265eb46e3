package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/steering"
)

func TestSplitFollowsWeights(t *testing.T) {
	splitter := serviceSplitter{credits: map[string][]float64{}}
	r := &steering.Route{Name: "r", Split: []steering.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	count := map[string]int{}
	for range 300 {
		count[splitter.choose(r)]++
	}
	assert.Equal(t, map[string]int{"a": 270, "b": 30}, count)
	assert.Equal(t, "x", splitter.choose(&steering.Route{Split: []steering.WeightedService{{Service: "x"}}}))
	assert.Empty(t, splitter.choose(&steering.Route{}))
}

// Guards against treating a request that was refused and sent again as new: it
// cannot be completed in time any more and would take a slot from a request that
// can.
func TestTimeSinceFirstRequestIsDerivedFromDeadline(t *testing.T) {
	history := deadlineHistory{routes: map[string]*majorityDeadline{}}
	const deadline = 2500 * time.Millisecond
	for range 20 {
		assert.Zero(t, history.sinceFirstRequest("r", deadline))
	}
	assert.Equal(t, 400*time.Millisecond, history.sinceFirstRequest("r", 2100*time.Millisecond))
	assert.Zero(t, history.sinceFirstRequest("r", 9*time.Second), "a caller with a longer deadline")
	assert.Zero(t, history.sinceFirstRequest("r", deadline))
	for range 2*maxVotes + 2 {
		history.sinceFirstRequest("r", time.Second)
	}
	assert.Zero(t, history.sinceFirstRequest("r", time.Second), "a changed majority deadline is learnt")
}

// Guards against requests that wait until their deadline for a target that is
// known to be lost.
func TestAttemptsAtLostTargetAreCancelled(t *testing.T) {
	var attempts inFlightAttempts
	lost, _, doneLost := attempts.add(context.Background(), "a")
	other, _, doneOther := attempts.add(context.Background(), "b")
	attempts.cancelTarget("a")
	assert.ErrorIs(t, context.Cause(lost), errTargetLost)
	assert.NoError(t, other.Err())
	doneLost()
	doneOther()
	assert.Empty(t, attempts.byTarget)
	attempts.cancelTarget("a")
}
