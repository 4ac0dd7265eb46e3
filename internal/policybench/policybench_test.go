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
			for _, instances := range []int{12} {
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

func TestExploreScenarios(t *testing.T) {
	if os.Getenv("EXPLORE") == "" {
		t.Skip()
	}
	for _, skew := range [][]float64{nil, {0.6, 0.2, 0.2}} {
		c := Case{Network: Consorzio, Instances: 12, Load: 1.5, Requests: 60000, Seed: 1, Shares: skew, Deadline: 2 * time.Second, MaxQueue: 500 * time.Millisecond}
		r := c.run(nil)
		fmt.Println("overload", skew, r.usefulShare(10*time.Second, r.Span, capacitySlots), r.Refused, "late", r.RefusedLate, "timed out", r.TimedOut, r.Messages, "refusal age p50 p99", percentile(r.RefusedAge, 0.5), percentile(r.RefusedAge, 0.99), "p99", percentile(r.Responses, .99), r.Excess)
	}
	if os.Getenv("EXPLORE") == "overload" {
		return
	}
	for _, x := range []struct {
		name  string
		f     func(*driver)
		load  float64
		slots float64
	}{{"instance", lossOfInstance, 0.7, 36 * .7}, {"instance 0.9", lossOfInstance, 0.9, 36 * .9}, {"domain", lossOfDomain, 0.7, 36 * .7}, {"region", lossOfRegion, 0.9, 24}, {"partition", partitionOfDomain, 0.7, 36 * .7},
		{"loads stopped", loadsStopped, 0.9, 36 * .9}, {"loads false", loadsFalse, 0.9, 36 * .9}, {"crash", crashOfTarget, .7, 36 * .7}, {"freeze", freezeOfInstance, .7, 36 * .7}} {
		c := disturbedCase(x.load, 1)
		r := c.run(x.f)
		fmt.Println(x.name, "total", len(c.arrivals()), "answered", r.Answered, "lost", r.Lost, "timeout", r.TimedOut, r.Refused, "excess", r.Excess, "p99", percentile(r.Responses, .99))
		fmt.Print("   ")
		for s := 18; s < 60; s += 2 {
			fmt.Printf(" %.2f", r.usefulShare(time.Duration(s)*time.Second, time.Duration(s+2)*time.Second, x.slots))
		}
		fmt.Println()
	}
	for seed := range uint64(4) {
		c := disturbedCase(0.9, seed+1)
		r, n := c.run(drainOfTarget), c.run(naiveDrain)
		fmt.Println("drain", r.drain(0, disturbAt), "naive", n.drain(0, disturbAt))
	}
}
