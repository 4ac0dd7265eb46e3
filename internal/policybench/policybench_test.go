package policybench

import (
	"fmt"
	"os"
	"testing"
	"time"
)

func TestExplore(t *testing.T) {
	if os.Getenv("EXPLORE") == "" {
		t.Skip()
	}
	for _, network := range []Network{Consorzio, Reelstep} {
		for _, shares := range [][]float64{nil, {0.6, 0.2, 0.2}} {
			for _, instances := range []int{10, 12} {
				c := Case{Network: network, Instances: instances, Load: 0.9, Shares: shares, Requests: 200000, Seed: 1, Deadline: 20 * time.Second}
				ideal := percentile(c.ideal(), 0.99)
				began := time.Now()
				r := newDriver(c).run()
				p := percentile(r.Responses, 0.99)
				per := percentile(c.perRegion(), 0.99)
				rnd := percentile(c.randomTarget(), 0.99)
				st := percentile(c.leastLoadedStale(), 0.99)
				fmt.Println(network.Regions, shares, instances, "ideal", ideal, "ours", p, float64(p)/float64(ideal), "region", float64(per)/float64(ideal), "random", float64(rnd)/float64(ideal), "stale", float64(st)/float64(ideal), "p50", percentile(r.Responses, 0.5), percentile(c.ideal(), .5), r.Messages, "refused", r.Refused, "lost", r.Lost, "excess", r.Excess, time.Since(began))
			}
		}
	}
}
