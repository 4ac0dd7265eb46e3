package policybench

import (
	"fmt"
	"strings"
	"time"
)

// Comparison is the p99 of each policy over the same arrivals at 90% load.
type Comparison struct {
	Name                              string
	Ideal, Foresight                  time.Duration // The two references.
	Ours, PerRegion, Random, StaleLow time.Duration
}

// Compare runs all policies with 12 instances and the first seed.
func (s Size) Compare() []Comparison {
	var list []Comparison
	for _, n := range networks {
		for _, by := range arrivalsBy {
			c := Case{Network: n.network, Instances: 12, Load: 0.9, Shares: by.shares, Requests: s.Requests, Seed: s.Seeds[0], Deadline: steadyDeadline}
			list = append(list, Comparison{
				Name:      n.name + ", " + by.name,
				Ideal:     percentile(c.ideal(), 0.99),
				Foresight: percentile(c.foresight(), 0.99),
				Ours:      percentile(c.run(nil).Responses, 0.99),
				PerRegion: percentile(c.perRegion(), 0.99),
				Random:    percentile(c.randomTarget(), 0.99),
				StaleLow:  percentile(c.leastLoadedStale(), 0.99),
			})
		}
	}
	return list
}

// Markdown returns the comparisons as a table of p99 in milliseconds.
func Markdown(list []Comparison) string {
	var b strings.Builder
	b.WriteString("| case | ideal queue | first to end | ours | one queue per region | random target | least loaded, figures 200 ms old |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, c := range list {
		fmt.Fprintf(&b, "| %s |", c.Name)
		for _, p99 := range []time.Duration{c.Ideal, c.Foresight, c.Ours, c.PerRegion, c.Random, c.StaleLow} {
			fmt.Fprintf(&b, " %d |", p99.Milliseconds())
		}
		b.WriteString("\n")
	}
	return b.String()
}
