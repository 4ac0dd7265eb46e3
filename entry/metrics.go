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

// instanceMetrics holds the metrics of an instance. Most counters are
// incremented when an event occurs; counts that other components keep are added
// when the metrics are read.
type instanceMetrics struct {
	*metrics.Set
	mu           sync.Mutex // Held while platform calls are added.
	countedCalls uint64     // Platform calls added so far.
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

// recordLatency records the duration of a request, including the transfer of
// the response.
func (m *instanceMetrics) recordLatency(arrived time.Time) {
	m.Latency.Update(time.Since(arrived).Microseconds())
}

// addPlatformCalls adds the calls that the platform client has counted since
// the last time.
func (m *instanceMetrics) addPlatformCalls(c kv.CallCounts) {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := c.Reads + c.Writes + c.Watches + c.Leases + c.Lists
	if total > m.countedCalls {
		m.PlatformCalls.Inc(int64(total - m.countedCalls))
		m.countedCalls = total
	}
}

// handleMetrics serves all metrics in the Prometheus text format.
func (inst *Instance) handleMetrics(_ context.Context, c *app.RequestContext) {
	inst.metrics.InFlight.Update(inst.inFlight.Load())
	inst.metrics.ConfigVersion.Update(int64(inst.configVersion()))
	inst.metrics.addPlatformCalls(inst.platform.Counts())
	var text bytes.Buffer
	if err := inst.metrics.Write(&text, inst.settings.Name); err != nil {
		inst.log.WithError(err).Error("cannot write metrics")
		c.String(500, "metrics cannot be written\n")
		return
	}
	c.Data(200, metricsContentType, text.Bytes())
}
