package gateway_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/events"
)

// Guards against requests that reach the balancer without their rank, and against
// refusals whose log lines do not tell for which rank the capacity is kept.
func TestRefusalNamesRankThatCapacityIsReservedFor(t *testing.T) {
	var logs bytes.Buffer
	lines := events.NewDroppingHandler(&logs)
	s := startSite(t, siteOptions{targets: slowTargets(1, 3*time.Second), timeout: 10 * time.Second, logs: lines, unsafePriority: 2})
	for i := range 8 { // So many that one of them is expected while a request waits.
		s.dial().send("GET", "/safe/x", fmt.Sprint("high", i), "")
	}
	require.Eventually(t, func() bool { return s.gateway.Counters().Requests.Count() == 8 }, 5*time.Second, time.Millisecond)
	for i := range 40 {
		low := s.dial()
		low.send("POST", "/unsafe/x", fmt.Sprint("low", i), "b")
		if i > 10 { // The target has no room for more of them.
			assert.Equal(t, 503, low.receive("POST").StatusCode)
		}
	}
	require.NoError(t, lines.Close())
	assert.Contains(t, logs.String(), `"rank":"0/2"`)
	assert.Contains(t, logs.String(), `"reservedFor":"0/0"`)
	counter := s.gateway.Counters().Registry.Get("requests_refused_rank_2_total").(gometrics.Counter)
	assert.GreaterOrEqual(t, counter.Count(), int64(29))
}
