package metrics_test

import (
	"strings"
	"testing"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/metrics"
)

// A scraper must be able to read every metric with its value and label.
func TestWriteProducesPrometheusText(t *testing.T) {
	s := metrics.New()
	s.Requests.Inc(3)
	s.InFlight.Update(2)
	s.Latency.Update(1500)
	var b strings.Builder
	require.NoError(t, s.Write(&b, "a-1"))

	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(b.String()))
	require.NoError(t, err)
	requests := families["jacinthstall_requests_total"].GetMetric()[0]
	assert.Equal(t, 3.0, requests.GetCounter().GetValue())
	assert.Equal(t, "a-1", requests.GetLabel()[0].GetValue())
	assert.Equal(t, 2.0, families["jacinthstall_requests_in_flight"].GetMetric()[0].GetGauge().GetValue())
	latency := families["jacinthstall_request_microseconds"].GetMetric()[0].GetSummary()
	assert.Equal(t, uint64(1), latency.GetSampleCount())
	assert.Equal(t, 1500.0, latency.GetSampleSum())
}
