package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/steering"
)

func sumWeights(parts map[string]float64) float64 {
	sum := 0.0
	for _, p := range parts {
		sum += p
	}
	return sum
}

func TestGoalWeights(t *testing.T) {
	slots := map[string]float64{"a": 10, "b": 20, "c": 30}
	for name, c := range map[string]struct {
		load map[string]float64
		own  float64
	}{
		"little load stays":             {map[string]float64{"a": 2, "b": 2, "c": 2}, 1},
		"equal load follows the slots":  {map[string]float64{"a": 20, "b": 20, "c": 20}, 0.5},
		"overload follows them as well": {map[string]float64{"a": 40, "b": 40, "c": 40}, 0.5},
		"no load":                       {map[string]float64{}, 1},
	} {
		parts := goalWeights("a", c.load, slots)
		assert.InDelta(t, c.own, parts["a"], 1e-9, name)
		assert.InDelta(t, 1, sumWeights(parts), 1e-9, name)
	}
	parts := goalWeights("a", map[string]float64{"a": 30, "b": 20, "c": 10}, slots)
	assert.InDelta(t, 1.0/3, parts["a"], 1e-9)
	assert.InDelta(t, 2.0/3, parts["c"], 1e-9, "the rest goes where there is room")
	assert.InDelta(t, 1, goalWeights("a", map[string]float64{"a": 5}, map[string]float64{"a": 0, "b": 0})["a"], 1e-9)
}

// Pattern: a small region with a third of the callers. Its requests must not
// all begin at home: they would find every target full and cold.
func TestInitialWeightsFollowSlots(t *testing.T) {
	regions := map[string]string{"a1": "a", "b1": "b"}
	start := time.Unix(1_700_000_000, 0)
	b := New(Options{Name: "n", Domain: "a1", Region: "a", Regions: regions, MaxWeightShift: 0.15}, start)
	config := &steering.Config{Version: 1, Services: map[string]steering.Service{"s": {}}}
	config.Index()
	b.SetState(start, steering.NewState().Apply(1, []steering.Update{steering.ConfigUpdate{Config: config},
		steering.TargetUpdate{Target: &steering.Target{ID: "x", Service: "s", Domain: "a1", Slots: 2}},
		steering.TargetUpdate{Target: &steering.Target{ID: "y", Service: "s", Domain: "b1", Slots: 8}}}))
	changes := b.Tick(start)
	assert.Len(t, changes, 1)
	assert.InDelta(t, 0.4, changes[0].Weights["a"], 0.01)
}

// Guards against a change of load that moves more of a region's requests in 2 s
// than the deployment permits.
func TestWeightShiftIsLimited(t *testing.T) {
	const bound = 0.15
	part := map[string]float64{"a": 1, "b": 0}
	slots := map[string]float64{"a": 1, "b": 1}
	for range int(2 * time.Second / weightInterval) {
		moveWeights(part, map[string]float64{"a": 0, "b": 1}, slots, bound*stepShiftShare)
	}
	assert.InDelta(t, bound*stepShiftShare*8, part["b"], 1e-9)
	assert.LessOrEqual(t, part["b"], bound)
	assert.InDelta(t, 1, sumWeights(part), 1e-9)
	moveWeights(part, map[string]float64{"a": 0, "b": 1}, map[string]float64{"a": 0, "b": 1}, bound*stepShiftShare)
	assert.Zero(t, part["a"], "a region without slots loses its part at once")
}

func TestEventRateIsAccurateFromStart(t *testing.T) {
	var r eventRate
	now := time.Unix(1_700_000_000, 0)
	assert.Zero(t, r.at(now))
	for i := range 2000 {
		now = now.Add(10 * time.Millisecond)
		r.add(now)
		if i == 150 || i == 1999 {
			assert.InDelta(t, 100, r.at(now), 5, i)
		}
	}
}

// Pattern: the load of regions rises and falls, and their parts with it. Objects
// that change their region have to be learned anew, so no more may change than
// the parts do.
func TestFewObjectsChangeRegionWithWeights(t *testing.T) {
	region := func(parts map[string]float64, object uint64) string {
		b := newThreeRegionBalancer()
		s := b.service("s")
		s.regionWeights.weights = parts
		return b.regionOrder(s, Request{}, object)[0]
	}
	const objects = 4000
	before := map[string]float64{"p": 0.5, "c": 0.3, "a": 0.2}
	after := map[string]float64{"p": 0.4, "c": 0.3, "a": 0.3}
	count, moved := map[string]float64{}, 0.0
	for i := range uint64(objects) {
		object := mix(i, 17)
		from, to := region(before, object), region(after, object)
		count[from]++
		if from != to {
			moved++
			assert.NotEqual(t, "p", to, "a region whose part shrinks gets no object")
		}
	}
	for r, part := range before {
		assert.InDelta(t, part, count[r]/objects, 0.03, r)
	}
	assert.InDelta(t, 0.1, moved/objects, 0.05, "a tenth changes, and few beside it")
}

func newThreeRegionBalancer() *Balancer {
	return New(Options{Name: "n", Domain: "p1", Region: "p", Regions: map[string]string{"p1": "p", "c1": "c", "a1": "a"}},
		time.Unix(1_700_000_000, 0))
}
