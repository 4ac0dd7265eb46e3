package entry

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/metrics"
	"github.com/jacinthstall/jacinthstall/outcome"
)

const metricsContentType = "text/plain; version=0.0.4; charset=utf-8"

// instanceMetrics are the metrics of an instance. Counters rise where things
// happen; what other parts count themselves is taken over when it is read.
type instanceMetrics struct {
	*metrics.Set
	mu           sync.Mutex // Held while the calls to the platform are taken over.
	countedCalls uint64     // Calls to the platform taken over so far.
}

func newInstanceMetrics() *instanceMetrics { return &instanceMetrics{Set: metrics.New()} }

// countOutcome counts a response to a caller. Every request has exactly one.
func (m *instanceMetrics) countOutcome(o outcome.Outcome) {
	switch o.Executed {
	case outcome.Yes:
		m.Answered.Inc(1)
	case outcome.No:
		m.Refused.Inc(1)
	default:
		m.UnknownOutcome.Inc(1)
	}
}

// recordLatency records the time that a request took, the passing on of its answer
// included.
func (m *instanceMetrics) recordLatency(arrived time.Time) {
	m.Latency.Update(time.Since(arrived).Microseconds())
}

// addPlatformCalls takes over the calls that the platform client has counted.
func (m *instanceMetrics) addPlatformCalls(c kv.CallCounts) {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := c.Reads + c.Writes + c.Watches + c.Leases + c.Lists
	if total > m.countedCalls {
		m.PlatformCalls.Inc(int64(total - m.countedCalls))
		m.countedCalls = total
	}
}

// handleMetrics answers with all metrics in the Prometheus text format.
func (in *Instance) handleMetrics(_ context.Context, c *app.RequestContext) {
	in.metrics.InFlight.Update(in.inFlight.Load())
	in.metrics.ConfigVersion.Update(int64(in.configVersion()))
	in.metrics.addPlatformCalls(in.platform.Counts())
	var text bytes.Buffer
	if err := in.metrics.Write(&text, in.settings.Name); err != nil {
		in.log.WithError(err).Error("metrics")
		c.String(500, "metrics cannot be written\n")
		return
	}
	c.Data(200, metricsContentType, text.Bytes())
}
