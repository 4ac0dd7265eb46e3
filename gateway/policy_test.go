package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/steering"
)

func TestSplitFollowsWeights(t *testing.T) {
	s := serviceSplitter{credits: map[string][]float64{}}
	r := &steering.Route{Name: "r", Split: []steering.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	count := map[string]int{}
	for range 300 {
		count[s.choose(r)]++
	}
	assert.Equal(t, map[string]int{"a": 270, "b": 30}, count)
	assert.Equal(t, "x", s.choose(&steering.Route{Split: []steering.Share{{Service: "x"}}}))
	assert.Empty(t, s.choose(&steering.Route{}))
}

// Guards against a request that came back after a refusal and is taken for a
// new one: it could not be in time any more and would take a slot from one that
// can.
func TestTimeSinceFirstRequestIsDerivedFromDeadline(t *testing.T) {
	p := deadlineHistory{routes: map[string]*majorityDeadline{}}
	const deadline = 2500 * time.Millisecond
	for range 20 {
		assert.Zero(t, p.sinceFirstRequest("r", deadline))
	}
	assert.Equal(t, 400*time.Millisecond, p.sinceFirstRequest("r", 2100*time.Millisecond))
	assert.Zero(t, p.sinceFirstRequest("r", 9*time.Second), "a more patient caller")
	assert.Zero(t, p.sinceFirstRequest("r", deadline))
	for range 2*maxVotes + 2 {
		p.sinceFirstRequest("r", time.Second)
	}
	assert.Zero(t, p.sinceFirstRequest("r", time.Second), "a change of habit is learnt")
}

// Guards against requests that wait for their deadline at a target that is
// known to have gone.
func TestAttemptsAtLostTargetAreCancelled(t *testing.T) {
	var f inFlightAttempts
	lost, doneLost := f.add(context.Background(), "a")
	other, doneOther := f.add(context.Background(), "b")
	f.cancelTarget("a")
	assert.ErrorIs(t, context.Cause(lost), errTargetLost)
	assert.NoError(t, other.Err())
	doneLost()
	doneOther()
	assert.Empty(t, f.byTarget)
	f.cancelTarget("a")
}
