package policybench

import (
	"fmt"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/internal/figures"
)

// Bounds of the design page.
const (
	boundP99Ratio   = 1.2  // Of the ideal queue's p99.
	boundUsefulWork = 0.95 // Of the work that the slots in service or the offered load allow.
	boundHeadroom   = 0.95 // Of the load at which the ideal queue meets its bound.
	boundDrainDelay = 1.0  // Seconds after the longest request in flight.
	boundLastStart  = 2.0  // Seconds after a target began to leave.
)

// Size is the amount of work for one set of figures.
type Size struct {
	Requests int // In each case that measures a percentile.
	Seeds    []uint64
	Parallel int // Cases that run at the same time.
}

// FullSize is the size for the benchmark command.
var FullSize = Size{Requests: 200_000, Seeds: []uint64{1, 2, 3}, Parallel: 4}

const command = "jacinth-bench -only policy"

// Figures returns the figures of the dispatch policy.
func Figures() []figures.Figure { return FullSize.Figures() }

// Figures returns the figures for a size.
func (s Size) Figures() []figures.Figure {
	jobs := s.latencyJobs()
	jobs = append(jobs, s.overloadJobs()...)
	jobs = append(jobs, s.headroomJob)
	jobs = append(jobs, s.faultJobs()...)
	jobs = append(jobs, s.drainJob)
	return s.runAll(jobs)
}

// job measures some figures.
type job func() []figures.Figure

// runAll runs the jobs and returns their figures in the order of the jobs.
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

func slotOverrunFigure(name string, count int) figures.Figure {
	return atMostFigure(name+", events with more work than slots", "count", float64(count), 0)
}

// arrivalDistributions are the distributions of the arrivals over the regions.
var arrivalDistributions = []struct {
	name   string
	shares []float64
}{{"even", nil}, {"60% in one region", skewedShares}}

// skewedShares are the shares of the arrivals when one region gets most of them.
var skewedShares = []float64{0.6, 0.2, 0.2}

var networks = []struct {
	name    string
	network Network
}{{"Consorzio", Consorzio}, {"Reelstep", Reelstep}}

// steadyDeadline is long enough that no request of a steady case reaches it.
const steadyDeadline = 20 * time.Second

// latencyJobs compare the p99 at 90% load with the ideal queue's.
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

// overloadJobs measure the useful work at 1.5 times capacity.
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

// headroomJob finds the load at which the ideal queue just meets its bound,
// which is boundP99Ratio times its p99 at 90% load, and measures the p99 at
// boundHeadroom of that load.
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

// faultCase is a case with a disturbance and the window in which it is judged.
type faultCase struct {
	name                   string
	scheduleFaults         func(*simulation)
	utilization            float64
	regionShares           []float64
	slotsInService         float64 // In service during the window.
	windowStart, windowEnd time.Duration
}

// grantsExpiredAt is when a new member table is in force and the grants of a lost home
// have expired: 3.5 s for the table and 3 s for the grants.
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

// outcomeMismatch returns how far the number of outcomes is from that of requests.
func (c Case) outcomeMismatch(r *Result) int {
	outcomes := r.Completed + r.Lost + r.TimedOut
	for _, count := range r.Refused {
		outcomes += count
	}
	return max(c.Requests-outcomes, outcomes-c.Requests)
}

// usefulWorkRatio returns the service time of the requests that arrived in the
// window and were answered in time, as a part of what was offered or of what
// the slots in service could execute, whichever is less.
func (c Case) usefulWorkRatio(r *Result, fault faultCase) float64 {
	offered, useful := time.Duration(0), time.Duration(0)
	for _, a := range c.arrivals() {
		if a.at >= fault.windowStart && a.at < fault.windowEnd {
			offered += a.serviceTime
		}
	}
	for _, a := range r.Responses {
		if a.BeforeDeadline && a.ArrivedAt >= fault.windowStart && a.ArrivedAt < fault.windowEnd {
			useful += a.ServiceTime
		}
	}
	return useful.Seconds() / min(offered.Seconds(), fault.slotsInService*(fault.windowEnd-fault.windowStart).Seconds())
}

// drainJob measures the planned drain of a target under 90% load.
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
