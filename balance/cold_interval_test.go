package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/steering"
)

// Guards against an interval that exceeds the range of a duration. On some
// processors it would be negative, so that a cold target would have no limit.
func TestTinyColdRateHasABoundedInterval(t *testing.T) {
	for _, rate := range []float64{1e-9, 1e-12, 1e-300, 5e-324} {
		balancer := New(Options{Name: "n1"}, time.Unix(0, 0))
		config := &steering.Config{Version: 1, Services: map[string]steering.Service{"s": {Name: "s", MaxColdRate: rate}}}
		balancer.state = steering.NewState().Apply(1, []steering.Update{steering.ConfigUpdate{Config: config}})
		interval := balancer.coldInterval(&target{record: &steering.Target{ID: "1", Service: "s"}})
		assert.Positive(t, interval, "%g", rate)
		assert.LessOrEqual(t, interval, time.Hour, "%g", rate)
	}
}
