package policybench

import (
	"fmt"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/internal/figures"
)

// Bounds of the figures, as required by the design of the system.
const (
	boundP99Ratio   = 1.2  // p99 / reference p99.
	boundUsefulWork = 0.95 // Useful work / work possible by slots in service and offered load.
	boundHeadroom   = 0.95 // Utilization / utilization at which the reference reaches boundP99Ratio.
	boundDrainDelay = 1.0  // Seconds from the end of the longest request in flight to the end of the drain.
	boundLastStart  = 2.0  // Seconds from the start of the drain to the last start of a request.
)

// Size sets how much is simulated for the figures.
type Size struct {
	Requests int // For each case that measures a percentile.
	Seeds    []uint64
	Parallel int // Number of concurrent jobs.
}

// FullSize is the size that the benchmark command uses.
var FullSize = Size{Requests: 200_000, Seeds: []uint64{1, 2, 3}, Parallel: 4}

const command = "jacinth-bench -only policy"

// Figures measures the dispatch policy at FullSize.
func Figures() []figures.Figure { return FullSize.Figures() }

// Figures measures all cases at this size.
func (s Size) Figures() []figures.Figure {
	jobs := s.latencyJobs()
	jobs = append(jobs, s.overloadJobs()...)
	jobs = append(jobs, s.headroomJob)
	jobs = append(jobs, s.faultJobs()...)
	jobs = append(jobs, s.drainJob)
	return s.runAll(jobs)
}

// job measures the figures of one case.
type job func() []figures.Figure

// runAll runs the jobs concurrently and returns their figures in the order of the jobs.
func (s Size) runAll(jobs []job) []figures.Figure {
	results := make([][]figures.Figure, len(jobs))
	running := make(chan struct{}, max(1, s.Parallel))
	var group sync.WaitGroup
	for i, measure := range jobs {
		running <- struct{}{}
		group.Go(func() {
			results[i] = measure()
			<-running
		})
	}
	group.Wait()
	var list []figures.Figure
	for _, result := range results {
		list = append(list, result...)
	}
	return list
}

func atMostFigure(name, unit string, value, bound float64) figures.Figure {
	return figures.Figure{Name: "policy: " + name, Value: value, Unit: unit, Bound: bound, Command: command}
}

func atLeastFigure(name, unit string, value, bound float64) figures.Figure {
	f := atMostFigure(name, unit, value, bound)
	f.AtLeast = true
	return f
}

// slotOverrunFigure requires that no target executed more requests than it has slots.
func slotOverrunFigure(name string, count int) figures.Figure {
	return atMostFigure(name+", events with more work than slots", "count", float64(count), 0)
}

// arrivalDistributions are the distributions of the arrivals over the regions.
var arrivalDistributions = []struct {
	name   string
	shares []float64
}{{"even", nil}, {"60% in one region", skewedShares}}

// skewedShares sends most of the arrivals to one region.
var skewedShares = []float64{0.6, 0.2, 0.2}

var networks = []struct {
	name    string
	network Network
}{{"Consorzio", Consorzio}, {"Reelstep", Reelstep}}

// steadyDeadline is long enough that no request of a case without faults reaches it.
const steadyDeadline = 20 * time.Second

// latencyJobs compare the p99 at 90% load with the reference p99.
func (s Size) latencyJobs() []job {
	var jobs []job
	for _, n := range networks {
		for _, distribution := range arrivalDistributions {
			for _, instances := range []int{10, 12} {
				name := fmt.Sprintf("%s, %s, %d instances", n.name, distribution.name, instances)
				c := Case{Network: n.network, Instances: instances, Utilization: 0.9, RegionShares: distribution.shares, Requests: s.Requests, Deadline: steadyDeadline}
				jobs = append(jobs, func() []figures.Figure { return s.latencyFigures(name, c) })
			}
		}
	}
	return jobs
}

// latencyFigures returns the worst p99 ratio over all seeds.
func (s Size) latencyFigures(name string, c Case) []figures.Figure {
	worst, overruns := 0.0, 0
	for _, seed := range s.Seeds {
		c.Seed = seed
		r := c.runScheduler(nil)
		worst = max(worst, ratio(percentile(r.ResponseTimes, 0.99), c.referenceP99()))
		overruns += r.SlotOverruns
	}
	return []figures.Figure{atMostFigure(name+", p99 / ideal", "ratio", worst, boundP99Ratio), slotOverrunFigure(name, overruns)}
}

func ratio(a, b time.Duration) float64 { return a.Seconds() / b.Seconds() }

// overloadJobs measure the useful work at an offered load of 1.5 times the capacity.
func (s Size) overloadJobs() []job {
	var jobs []job
	for _, distribution := range arrivalDistributions {
		c := faultConditions(1.5, s.Seeds[0])
		c.RegionShares = distribution.shares
		name := "1.5 times capacity, " + distribution.name
		jobs = append(jobs, func() []figures.Figure {
			r := c.runScheduler(nil)
			useful := r.usefulUtilization(5*time.Second, r.LastArrivalAt, totalSlots)
			return []figures.Figure{atLeastFigure(name+", useful work / capacity", "ratio", useful, boundUsefulWork), slotOverrunFigure(name, r.SlotOverruns)}
		})
	}
	return jobs
}

// headroomJob measures how much load the scheduler sustains. By bisection it finds
// the load at which the reference p99 is boundP99Ratio times that at 90% load. At
// boundHeadroom of that load, the scheduler's p99 must not be higher.
func (s Size) headroomJob() []figures.Figure {
	c := Case{Network: Consorzio, Instances: 12, Utilization: 0.9, Requests: s.Requests, Seed: s.Seeds[0], Deadline: steadyDeadline}
	bound := time.Duration(boundP99Ratio * float64(c.referenceP99()))
	low, high := 0.9, 1.0
	for range 10 {
		c.Utilization = (low + high) / 2
		if c.referenceP99() <= bound {
			low = c.Utilization
		} else {
			high = c.Utilization
		}
	}
	c.Utilization = boundHeadroom * low
	r := c.runScheduler(nil)
	name := fmt.Sprintf("headroom, load %.3f (ideal %.3f)", c.Utilization, low)
	return []figures.Figure{atMostFigure(name+", p99 / bound", "ratio", ratio(percentile(r.ResponseTimes, 0.99), bound), 1), slotOverrunFigure("headroom", r.SlotOverruns)}
}

// faultCase is a case with faults and the window in which useful work is measured.
type faultCase struct {
	name                   string
	scheduleFaults         func(*simulation)
	utilization            float64
	regionShares           []float64
	slotsInService         float64 // During the window.
	windowStart, windowEnd time.Duration
}

// grantsExpiredAt is when the new member table is in force after a fault (3.5 s) and
// the grants of a lost home instance have expired (another 3 s).
const grantsExpiredAt = faultAt + 7*time.Second

var faultCases = []faultCase{
	{"loss of an instance", lossOfInstance, 0.9, nil, 36, faultAt, faultAt + 30*time.Second},
	{"loss of a domain", lossOfDomain, 0.7, nil, 30, faultAt, faultAt + 30*time.Second},
	{"loss of a region", lossOfRegion, 0.9, nil, 24, grantsExpiredAt, faultAt + 35*time.Second},
	{"partition of a domain", partitionOfDomain, 0.7, nil, 36, faultAt, faultAt + 20*time.Second},
	{"crash of a target", crashOfTarget, 0.9, nil, 36, faultAt, faultAt + 30*time.Second},
	{"freeze of an instance", freezeOfInstance, 0.7, nil, 36, faultAt, faultAt + 30*time.Second},
	{"load reports stopped", loadReportsStopped, 0.9, nil, 36, faultAt, faultAt + 30*time.Second},
	{"load reports stopped, 60% in one region", loadReportsStopped, 0.9, skewedShares, 36, faultAt, faultAt + 30*time.Second},
	{"load reports false, 60% in one region", loadReportsFalse, 0.9, skewedShares, 36, faultAt, faultAt + 30*time.Second},
	{"load reports false", loadReportsFalse, 0.9, nil, 36, faultAt, faultAt + 30*time.Second},
}

// conditions returns the case to simulate with a seed.
func (fault faultCase) conditions(seed uint64) Case {
	c := faultConditions(fault.utilization, seed)
	c.RegionShares = fault.regionShares
	return c
}

func (s Size) faultJobs() []job {
	var jobs []job
	for _, fault := range faultCases {
		jobs = append(jobs, func() []figures.Figure { return s.faultFigures(fault) })
	}
	return jobs
}

// faultFigures returns the worst useful-work ratio over all seeds, and the totals
// of slot overruns and of requests without exactly one outcome.
func (s Size) faultFigures(fault faultCase) []figures.Figure {
	worst, overruns, mismatches := 1.0, 0, 0
	for _, seed := range s.Seeds {
		c := fault.conditions(seed)
		r := c.runScheduler(fault.scheduleFaults)
		worst = min(worst, c.usefulWorkRatio(&r, fault))
		overruns += r.SlotOverruns
		mismatches += c.outcomeMismatch(&r)
	}
	return []figures.Figure{
		atLeastFigure(fault.name+", useful work / possible", "ratio", worst, boundUsefulWork),
		slotOverrunFigure(fault.name, overruns),
		atMostFigure(fault.name+", requests without an outcome", "count", float64(mismatches), 0),
	}
}

// outcomeMismatch returns the difference between the numbers of outcomes and requests.
func (c Case) outcomeMismatch(r *Result) int {
	outcomes := r.Completed + r.Lost + r.TimedOut
	for _, count := range r.Refused {
		outcomes += count
	}
	return max(c.Requests-outcomes, outcomes-c.Requests)
}

// usefulWorkRatio returns the service time of the requests that arrived in the
// window and completed before their deadline, relative to the lower of the
// offered service time and the capacity of the slots in service.
func (c Case) usefulWorkRatio(r *Result, fault faultCase) float64 {
	offered, useful := time.Duration(0), time.Duration(0)
	for _, a := range c.arrivals() {
		if a.at >= fault.windowStart && a.at < fault.windowEnd {
			offered += a.serviceTime
		}
	}
	for _, response := range r.Responses {
		if response.BeforeDeadline && response.ArrivedAt >= fault.windowStart && response.ArrivedAt < fault.windowEnd {
			useful += response.ServiceTime
		}
	}
	return useful.Seconds() / min(offered.Seconds(), fault.slotsInService*(fault.windowEnd-fault.windowStart).Seconds())
}

// drainJob compares the planned drain of a target at 90% load with a naive drain.
func (s Size) drainJob() []figures.Figure {
	var drainDelay, lastStart, relative float64
	overruns := 0
	for _, seed := range s.Seeds {
		c := faultConditions(0.9, seed)
		c.Requests = int(float64(c.Requests) * 0.5)
		planned, naive := c.runScheduler(plannedDrain), c.runScheduler(naiveDrain)
		d := planned.drain(0, faultAt)
		drainDelay = max(drainDelay, (d.DrainTime - d.LongestInFlight).Seconds())
		lastStart = max(lastStart, d.LastStart.Seconds())
		relative = max(relative, ratio(d.DrainTime, naive.drain(0, faultAt).DrainTime))
		overruns += planned.SlotOverruns
	}
	return []figures.Figure{
		atMostFigure("drain, time after the longest request in flight", "s", drainDelay, boundDrainDelay),
		atMostFigure("drain, last new work", "s", lastStart, boundLastStart),
		atMostFigure("drain, time / naive drain by the lagging list", "ratio", relative, 1),
		slotOverrunFigure("drain", overruns),
	}
}
