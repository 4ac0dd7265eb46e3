package gateway

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/metrics"
)

// Counters are the metrics of the request path.
type Counters struct {
	Registry gometrics.Registry
	Requests gometrics.Counter
	targets  gometrics.Counter
	own      gometrics.Counter
	results  [balance.Abandoned + 1]gometrics.Counter
	latency  gometrics.Histogram
}

var resultNames = [...]string{balance.Succeeded: "answered", balance.Failed: "failed", balance.Shed: "shed",
	balance.Misdirected: "misdirected", balance.Unreachable: "unreachable",
	balance.ConnectTimedOut: "unresponsive", balance.ConnectionBroken: "broken",
	balance.TimedOut: "silent", balance.Abandoned: "abandoned"}

func newCounters() Counters {
	r := gometrics.NewRegistry()
	c := Counters{Registry: r,
		Requests: gometrics.NewRegisteredCounter("requests_total", r),
		targets:  gometrics.NewRegisteredCounter("requests_answered_total", r),
		own:      gometrics.NewRegisteredCounter("requests_answered_by_system_total", r),
		latency: gometrics.NewRegisteredHistogram("request_microseconds", r,
			gometrics.NewUniformSample(metrics.SampleSize)),
	}
	for i, name := range resultNames {
		c.results[i] = gometrics.NewRegisteredCounter("attempts_"+name+"_total", r)
	}
	return c
}

func (c *Counters) ended(a *answer, took time.Duration) {
	c.latency.Update(took.Microseconds())
	if a.reason == "" {
		c.targets.Inc(1)
	} else {
		c.own.Inc(1)
	}
}

func (c *Counters) attempt(r balance.Result) { c.results[r].Inc(1) }

// Counters returns the metrics of the request path.
func (g *Gateway) Counters() *Counters { return &g.count }
