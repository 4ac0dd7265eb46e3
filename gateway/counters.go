package gateway

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/metrics"
)

// Counters are the metrics of the request path.
type Counters struct {
	Registry       gometrics.Registry
	Requests       gometrics.Counter
	byTarget       gometrics.Counter
	bySystem       gometrics.Counter
	attemptResults [balance.Abandoned + 1]gometrics.Counter
	latency        gometrics.Histogram
}

var attemptResultNames = [...]string{balance.Succeeded: "answered", balance.Failed: "failed", balance.Shed: "shed",
	balance.Misdirected: "misdirected", balance.Unreachable: "unreachable",
	balance.ConnectTimedOut: "unresponsive", balance.ConnectionBroken: "broken",
	balance.TimedOut: "silent", balance.Abandoned: "abandoned"}

func newCounters() Counters {
	r := gometrics.NewRegistry()
	c := Counters{Registry: r,
		Requests: gometrics.NewRegisteredCounter("requests_total", r),
		byTarget: gometrics.NewRegisteredCounter("requests_answered_total", r),
		bySystem: gometrics.NewRegisteredCounter("requests_answered_by_system_total", r),
		latency: gometrics.NewRegisteredHistogram("request_microseconds", r,
			gometrics.NewUniformSample(metrics.SampleSize)),
	}
	for i, name := range attemptResultNames {
		c.attemptResults[i] = gometrics.NewRegisteredCounter("attempts_"+name+"_total", r)
	}
	return c
}

func (c *Counters) recordResponse(a *response, took time.Duration) {
	c.latency.Update(took.Microseconds())
	if a.reason == "" {
		c.byTarget.Inc(1)
	} else {
		c.bySystem.Inc(1)
	}
}

func (c *Counters) recordAttempt(r balance.Result) { c.attemptResults[r].Inc(1) }

// Counters returns the metrics of the request path.
func (g *Gateway) Counters() *Counters { return &g.counters }
