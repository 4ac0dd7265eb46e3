package policybench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testSize has the cases of FullSize with fewer requests and seeds.
var testSize = Size{Requests: 10_000, Seeds: []uint64{1}, Parallel: 2}

// Guards against changes of the dispatch policy that make a figure miss its bound.
func TestFiguresMeetTheirBounds(t *testing.T) {
	list := testSize.Figures()
	require.NotEmpty(t, list)
	for _, f := range list {
		assert.True(t, f.Met(), "%s: %.4f %s, bound %.4f", f.Name, f.Value, f.Unit, f.Bound)
	}
}

// Guards against nondeterminism, which would let CI results change without a code
// change.
func TestRunsAreDeterministic(t *testing.T) {
	c := Case{Network: Consorzio, Instances: 10, Utilization: 0.9, RegionShares: []float64{0.6, 0.2, 0.2}, Requests: 3000, Seed: 5, Deadline: steadyDeadline}
	first, second := c.runScheduler(nil), c.runScheduler(nil)
	assert.Equal(t, first.ResponseTimes, second.ResponseTimes)
	assert.Equal(t, first.Messages, second.Messages)
}

// Checks the queue model against theory: the mean wait of an M/M/36 queue at 90%
// load is C/(36 - 32.4) x 100 ms, where C is Erlang's probability of waiting.
func TestIdealQueueAgreesWithErlang(t *testing.T) {
	c := Case{Network: Network{}, Instances: 12, Utilization: 0.9, Requests: 400_000, Seed: 1}
	sum := 0.0
	responses := c.idealQueue()
	for _, response := range responses {
		sum += response.Seconds()
	}
	want := 0.1 + erlangC(totalSlots, 0.9*totalSlots)*0.1/(0.1*totalSlots)
	assert.InDelta(t, want, sum/float64(len(responses)), 0.003)
}

// erlangC returns the probability that a request has to wait in an M/M/n queue.
func erlangC(servers int, load float64) float64 {
	blocking := 1.0
	for n := 1; n <= servers; n++ {
		blocking = load * blocking / (float64(n) + load*blocking)
	}
	utilization := load / float64(servers)
	return blocking / (1 - utilization*(1-blocking))
}

func TestPercentile(t *testing.T) {
	values := make([]time.Duration, 100)
	for i := range values {
		values[i] = time.Duration(100 - i)
	}
	assert.EqualValues(t, 100, percentile(values, 0.99))
	assert.EqualValues(t, 51, percentile(values, 0.5))
	assert.Zero(t, percentile(nil, 0.5))
}

// Guards against a simulation or a reference that favors every policy: the
// baselines must show their known weaknesses, and the scheduler must not beat the
// reference by more than the noise of the p99.
func TestBaselinesAreWorse(t *testing.T) {
	for _, c := range (Size{Requests: 10_000, Seeds: []uint64{3}}).Compare() {
		reference := min(c.IdealQueue, c.EarliestFinish)
		assert.Less(t, c.Scheduler, c.QueuePerRegion, c.CaseName)
		assert.Greater(t, ratio(c.RandomTarget, reference), 2.0, c.CaseName)
		assert.Greater(t, ratio(c.LeastLoadedStale, reference), 3.0, c.CaseName)
		assert.Greater(t, ratio(c.Scheduler, reference), 0.97, c.CaseName)
	}
}
