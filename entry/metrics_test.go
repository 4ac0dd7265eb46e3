package entry

import (
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/outcome"
)

// Operators alarm on these counters: each response must be counted once, by
// what the caller was told, and a second attempt as a retry.
func TestRequestsAreCounted(t *testing.T) {
	target := startScriptedTarget(t, func(r *http.Request, body []byte, c net.Conn) bool {
		if r.URL.Path == "/writes/cut" {
			return false
		}
		return write(c, httpResponse("200 OK", "", string(body)))
	})
	in := startInstance(t, "i", target, freeAddress(t)) // The second target refuses connections.
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{}}
	send := func(path string) string {
		answer, err := client.Post("http://"+in.settings.CallerAddress+path, "text/plain", strings.NewReader("x"))
		require.NoError(t, err)
		_ = answer.Body.Close()
		return answer.Header.Get(outcome.HeaderExecuted)
	}
	told := map[string]int64{}
	const each = 20
	for i := range each {
		told[send(fmt.Sprintf("/reads/%d", i))]++
		told[send("/none")]++
	}
	told[send("/writes/cut")]++ // Unknown, or another target after a refused connection.
	m := in.metrics
	assert.Equal(t, int64(2*each+1), m.Requests.Count())
	assert.Equal(t, told["yes"], m.Answered.Count())
	assert.Equal(t, told["no"], m.Refused.Count())
	assert.Equal(t, told["unknown"], m.UnknownOutcome.Count())
	assert.Equal(t, int64(each), told["yes"], "reads are retried at the other target")
	assert.Equal(t, m.QueueWait.Count(), m.Retries.Count()+each+1, "each attempt asks for a slot")
}

// A scraper must get the counters of look-ups and platform calls, and the
// version in force, from the operators' listener.
func TestMetricsOverHTTP(t *testing.T) {
	o := startOperatorSession(t, encodedOperatorKey())
	o.requireVersion(1)
	require.Eventually(t, func() bool {
		status, _ := o.read(http.Get("http://" + o.instance.settings.CallerAddress + pathLookup + "?" + url.Values{"service": {"catalogue"}}.Encode()))
		return status == 200
	}, waitTimeout, 10*time.Millisecond)
	lookups := o.instance.metrics.Lookups.Count()
	require.Positive(t, lookups)
	status, text := o.get("/metrics")
	require.Equal(t, 200, status)
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(text))
	require.NoError(t, err)
	assert.Equal(t, float64(lookups), families["jacinthstall_lookups_total"].GetMetric()[0].GetCounter().GetValue())
	assert.Equal(t, 1.0, families["jacinthstall_config_version"].GetMetric()[0].GetGauge().GetValue())
	assert.Positive(t, families["jacinthstall_platform_calls_total"].GetMetric()[0].GetCounter().GetValue())
}

// Reading the metrics twice must not count the platform's calls twice.
func TestPlatformCallsAreCountedOnce(t *testing.T) {
	m := newInstanceMetrics()
	m.addPlatformCalls(kv.CallCounts{Reads: 2, Writes: 1, Watches: 1, Leases: 1, Lists: 1, Failed: 3})
	m.addPlatformCalls(kv.CallCounts{Reads: 2, Writes: 1, Watches: 1, Leases: 1, Lists: 1, Failed: 3})
	assert.Equal(t, int64(6), m.PlatformCalls.Count())
}

// Operators compare heartbeats with the size of the fleet: only those that were
// sent must be counted.
func TestHeartbeatsAreCounted(t *testing.T) {
	in := startInstance(t, "a")
	link := &heartbeatConn{address: freeAddress(t)}
	require.Error(t, in.sendHeartbeat(t.Context(), link, "gone"))
	assert.Zero(t, in.metrics.Heartbeats.Count(), "a heartbeat that was not sent")
	other := startInstance(t, "b")
	listener := listen(t)
	go func() { _ = other.servePeers(t.Context(), listener) }()
	link = &heartbeatConn{address: listener.Addr().String()}
	t.Cleanup(link.disconnect)
	require.NoError(t, in.sendHeartbeat(t.Context(), link, "b"))
	assert.Equal(t, int64(1), in.metrics.Heartbeats.Count())
}
