package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// unevenLoad describes targets that differ in speed. Its functions are nil if they
// change nothing.
type unevenLoad struct {
	perSecond float64
	scale     int  // Of the site and the rate; see newScaledSimulation.
	objects   bool // Requests concern objects.
	// slowness returns the execution time of a target relative to the usual one.
	slowness func(sim *simulation, id string, now time.Time) float64
	knee     func(id string) float64 // Share of the slots beyond which executions slow down.
	longWork float64                 // Share of requests that take seven times as long.
	stated   bool                    // Targets state their current slowness.
	// network returns the additional time of an instance's requests to a target.
	network func(instance string) time.Duration
}

// simulateUneven returns the simulation after 32 s, or 16 s of a scaled one.
func simulateUneven(seed uint64, load unevenLoad, fixed bool) *simulation {
	scale := max(1, load.scale)
	sim := newSimulationOf(seed, scale, fixed)
	sim.uneven, sim.scale = &load, scale
	if load.objects {
		sim.every(4*time.Second, sim.rebalance)
	}
	sim.startDuties()
	sim.scheduleRequests(load.perSecond * float64(scale))
	sim.run(32 * time.Second / time.Duration(min(2, scale)))
	return sim
}

// workFactor returns the execution time of a request that starts now, relative to
// the usual one.
func (load *unevenLoad) workFactor(sim *simulation, id string, target *simulatedTarget) float64 {
	if load == nil {
		return 1
	}
	factor := 1.0
	if load.slowness != nil {
		factor = load.slowness(sim, id, sim.now)
	}
	if load.knee != nil {
		excess := max(1, float64(target.running)/(load.knee(id)*float64(target.slots)))
		factor *= excess * excess // Throughput drops beyond the knee.
	}
	if load.longWork > 0 && sim.random.Float64() < load.longWork {
		factor *= 7
	}
	return factor
}

func (load *unevenLoad) networkDelay(instance string) time.Duration {
	if load == nil || load.network == nil {
		return 0
	}
	return load.network(instance)
}

func (load *unevenLoad) statedSlowdown(sim *simulation, id string) float64 {
	if load == nil || !load.stated {
		return 0
	}
	return load.slowness(sim, id, sim.now)
}

func halfOf(id string) bool { return (id[len(id)-1]-'0')%2 == 0 }

// interference makes 15 in 100 targets 2.5 times as slow for 600 ms each.
func interference(sim *simulation, id string, now time.Time) float64 {
	period := uint64(now.Sub(start) / (600 * time.Millisecond))
	h := uint64(14695981039346656037)
	for _, c := range []byte(fmt.Sprint(id, period)) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	if h>>20%100 < 15 {
		return 2.5
	}
	return 1
}

// slowForSixSeconds makes a few targets five times as slow for 6 s of every 16 s.
func slowForSixSeconds(_ *simulation, id string, now time.Time) float64 {
	if id[len(id)-1] == '3' && now.Sub(start)%(16*time.Second) > 10*time.Second {
		return 5
	}
	return 1
}

// halfSpeed makes half of the targets half as fast as the others.
func halfSpeed(_ *simulation, id string, _ time.Time) float64 {
	if halfOf(id) {
		return 1.4
	}
	return 0.7
}

// Compares learned capacities with fixed ones. Guards against learning that costs
// callers more than it gains when targets differ, and against different results
// when they are equal.
func TestLearnedCapacityComparedWithFixed(t *testing.T) {
	knee := func(id string) float64 {
		if halfOf(id) {
			return 0.7
		}
		return 1
	}
	for _, c := range []struct {
		name  string
		load  unevenLoad
		least float64 // Gain of credit.
	}{
		{"equal", unevenLoad{perSecond: 150}, -0.003},
		{"equal, heavy load", unevenLoad{perSecond: 330}, -0.005},
		{"equal, long work", unevenLoad{perSecond: 260, longWork: 0.03}, -0.005},
		{"speeds 1:2", unevenLoad{perSecond: 260, slowness: halfSpeed}, -0.005},
		{"knee", unevenLoad{perSecond: 150, knee: knee}, -0.005},
		{"slow for 6 s", unevenLoad{perSecond: 150, slowness: slowForSixSeconds}, -0.005},
		{"slow for 600 ms", unevenLoad{perSecond: 260, slowness: interference}, -0.005},
		{"slow for 600 ms, stated", unevenLoad{perSecond: 260, slowness: interference, stated: true}, 0},
		{"bad network", unevenLoad{perSecond: 150, network: func(name string) time.Duration {
			if name == "n4" {
				return 400 * time.Millisecond
			}
			return 0
		}}, -0.005},
	} {
		seeds := 4
		if raceEnabled {
			seeds = 2
		}
		var credit [2]float64
		var counts [2]requestCounts
		c.load.objects = true
		for seed := range seeds {
			for i, fixed := range []bool{true, false} {
				sim := simulateUneven(uint64(seed), c.load, fixed)
				credit[i] += sim.counts.credit() / float64(seeds)
				counts[i].late, counts[i].refused = counts[i].late+sim.counts.late, counts[i].refused+sim.counts.refused
			}
		}
		t.Logf("%s: credit %.3f fixed, %.3f learned; late %d, %d; refused %d, %d", c.name, credit[0], credit[1], counts[0].late, counts[1].late, counts[0].refused, counts[1].refused)
		assert.GreaterOrEqual(t, credit[1]-credit[0], c.least, c.name)
	}
}
