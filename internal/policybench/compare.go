package policybench

import (
	"fmt"
	"strings"
	"time"
)

// Comparison holds the p99 of each policy for the same arrivals at 90% load.
type Comparison struct {
	CaseName                                                  string
	IdealQueue, EarliestFinish                                time.Duration // The references.
	Scheduler, QueuePerRegion, RandomTarget, LeastLoadedStale time.Duration
}

// Compare simulates all policies with 12 instances and the first seed.
func (s Size) Compare() []Comparison {
	var list []Comparison
	for _, n := range networks {
		for _, distribution := range arrivalDistributions {
			c := Case{Network: n.network, Instances: 12, Utilization: 0.9, RegionShares: distribution.shares, Requests: s.Requests, Seed: s.Seeds[0], Deadline: steadyDeadline}
			list = append(list, Comparison{
				CaseName:         n.name + ", " + distribution.name,
				IdealQueue:       percentile(c.idealQueue(), 0.99),
				EarliestFinish:   percentile(c.earliestFinish(), 0.99),
				Scheduler:        percentile(c.runScheduler(nil).ResponseTimes, 0.99),
				QueuePerRegion:   percentile(c.queuePerRegion(), 0.99),
				RandomTarget:     percentile(c.randomTarget(), 0.99),
				LeastLoadedStale: percentile(c.leastLoadedStale(), 0.99),
			})
		}
	}
	return list
}

// Markdown formats the comparisons as a table of p99 in milliseconds.
func Markdown(list []Comparison) string {
	var b strings.Builder
	b.WriteString("| case | ideal queue | first to end | ours | one queue per region | random target | least loaded, figures 200 ms old |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, c := range list {
		fmt.Fprintf(&b, "| %s |", c.CaseName)
		for _, p99 := range []time.Duration{c.IdealQueue, c.EarliestFinish, c.Scheduler, c.QueuePerRegion, c.RandomTarget, c.LeastLoadedStale} {
			fmt.Fprintf(&b, " %d |", p99.Milliseconds())
		}
		b.WriteString("\n")
	}
	return b.String()
}
