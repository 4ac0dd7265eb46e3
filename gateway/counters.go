package gateway

import (
	"strconv"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/metrics"
	"github.com/jacinthstall/jacinthstall/steering"
)

// Counters are the metrics of request handling.
type Counters struct {
	Registry       gometrics.Registry
	Requests       gometrics.Counter
	byTarget       gometrics.Counter                        // Responses of targets.
	bySystem       gometrics.Counter                        // Responses that this system generated.
	attemptResults [balance.Abandoned + 1]gometrics.Counter // Indexed by balance.Result.
	refusedByRank  [countedRanks + 1]gometrics.Counter      // Requests for which no target was selected, by the rank of the route; the last one for all others.
	latency        gometrics.Histogram
	// refusals counts the requests that are refused because of their account or for
	// lack of memory, by reason.
	refusals map[string]gometrics.Counter
}

// countedRanks is the number of ranks of routes whose refusals have a counter of their
// own.
const countedRanks = 4

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
	c.refusals = map[string]gometrics.Counter{}
	for _, reason := range []string{reasonNoKey, reasonUnknownKey, reasonAccountsUnknown, reasonNoHomeRegion, reasonRequestsFull, reasonMemoryFull} {
		c.refusals[reason] = gometrics.NewRegisteredCounter("requests_refused_"+strings.ReplaceAll(reason, "-", "_")+"_total", r)
	}
	for i, name := range attemptResultNames {
		c.attemptResults[i] = gometrics.NewRegisteredCounter("attempts_"+name+"_total", r)
	}
	for rank := range countedRanks {
		c.refusedByRank[rank] = gometrics.NewRegisteredCounter("requests_refused_rank_"+strconv.Itoa(rank)+"_total", r)
	}
	c.refusedByRank[countedRanks] = gometrics.NewRegisteredCounter("requests_refused_rank_other_total", r)
	return c
}

func (c *Counters) recordResponse(resp *response, took time.Duration) {
	c.latency.Update(took.Microseconds())
	if resp.reason == "" {
		c.byTarget.Inc(1)
	} else {
		c.bySystem.Inc(1)
	}
}

// recordNotPlaced counts a request for which no target was selected.
func (c *Counters) recordNotPlaced(rank steering.Rank) {
	counter := c.refusedByRank[countedRanks]
	if rank.Route >= 0 && rank.Route < countedRanks {
		counter = c.refusedByRank[rank.Route]
	}
	counter.Inc(1)
}

// recordRefusal counts a request that is refused because of its account or for lack of
// memory.
func (c *Counters) recordRefusal(reason string) {
	if counter := c.refusals[reason]; counter != nil {
		counter.Inc(1)
	}
}

func (c *Counters) recordAttempt(result balance.Result) { c.attemptResults[result].Inc(1) }

// Counters returns the metrics of request handling.
func (g *Gateway) Counters() *Counters { return &g.counters }
