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

// Operators set alarms on these counters: each response must be counted once,
// by the outcome that the caller was told, and each further attempt as a retry.
func TestRequestsAreCounted(t *testing.T) {
	target := startScriptedTarget(t, func(r *http.Request, body []byte, c net.Conn) bool {
		if r.URL.Path == "/writes/cut" {
			return false
		}
		return write(c, httpResponse("200 OK", "", string(body)))
	})
	inst := startInstance(t, "i", target, freeAddress(t)) // The second target refuses connections.
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{}}
	send := func(path string) string {
		response, err := client.Post("http://"+inst.settings.CallerAddress+path, "text/plain", strings.NewReader("x"))
		require.NoError(t, err)
		_ = response.Body.Close()
		return response.Header.Get(outcome.HeaderExecuted)
	}
	reported := map[string]int64{}
	const each = 20
	for i := range each {
		reported[send(fmt.Sprintf("/reads/%d", i))]++
		reported[send("/none")]++
	}
	reported[send("/writes/cut")]++ // "unknown", or a response of the other target after a refused connection.
	m := inst.metrics
	assert.Equal(t, int64(2*each+1), m.Requests.Count())
	assert.Equal(t, reported["yes"], m.Answered.Count())
	assert.Equal(t, reported["no"], m.Refused.Count())
	assert.Equal(t, reported["unknown"], m.UnknownOutcome.Count())
	assert.Equal(t, int64(each), reported["yes"], "reads are retried at the other target")
	assert.Equal(t, m.QueueWait.Count(), m.Retries.Count()+each+1, "each attempt asks for a slot")
}

// The operators' listener must export the counters of look-ups and platform
// calls, and the version in force.
func TestMetricsOverHTTP(t *testing.T) {
	session := startOperatorSession(t, encodedOperatorKey())
	session.requireVersion(1)
	require.Eventually(t, func() bool {
		status, _ := session.read(http.Get("http://" + session.instance.settings.CallerAddress + pathLookup + "?" + url.Values{"service": {"catalogue"}}.Encode()))
		return status == 200
	}, waitTimeout, 10*time.Millisecond)
	lookups := session.instance.metrics.Lookups.Count()
	require.Positive(t, lookups)
	status, text := session.get("/metrics")
	require.Equal(t, 200, status)
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(text))
	require.NoError(t, err)
	assert.Equal(t, float64(lookups), families["jacinthstall_lookups_total"].GetMetric()[0].GetCounter().GetValue())
	assert.Equal(t, 1.0, families["jacinthstall_config_version"].GetMetric()[0].GetGauge().GetValue())
	assert.Positive(t, families["jacinthstall_platform_calls_total"].GetMetric()[0].GetCounter().GetValue())
}

// Reading the metrics twice must not count the platform calls twice.
func TestPlatformCallsAreCountedOnce(t *testing.T) {
	m := newInstanceMetrics()
	m.addPlatformCalls(kv.CallCounts{Reads: 2, Writes: 1, Watches: 1, Leases: 1, Lists: 1, Failed: 3})
	m.addPlatformCalls(kv.CallCounts{Reads: 2, Writes: 1, Watches: 1, Leases: 1, Lists: 1, Failed: 3})
	assert.Equal(t, int64(6), m.PlatformCalls.Count())
}

// Operators compare the number of heartbeats with the size of the fleet, so
// only heartbeats that were sent may be counted.
func TestHeartbeatsAreCounted(t *testing.T) {
	inst := startInstance(t, "a")
	conn := &heartbeatConn{address: freeAddress(t)}
	require.Error(t, inst.sendHeartbeat(t.Context(), conn, "gone"))
	assert.Zero(t, inst.metrics.Heartbeats.Count(), "a heartbeat that was not sent")
	other := startInstance(t, "b")
	listener := listen(t)
	go func() { _ = other.servePeers(t.Context(), listener) }()
	conn = &heartbeatConn{address: listener.Addr().String()}
	t.Cleanup(conn.disconnect)
	require.NoError(t, inst.sendHeartbeat(t.Context(), conn, "b"))
	assert.Equal(t, int64(1), inst.metrics.Heartbeats.Count())
}
