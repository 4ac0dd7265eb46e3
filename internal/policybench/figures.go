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
	boundUseful     = 0.95 // Of the work that the slots in service or the offered load allow.
	boundHeadroom   = 0.95 // Of the load at which the ideal queue meets its bound.
	boundDrainExtra = 1.0  // Seconds after the longest request in flight.
	boundLastStart  = 2.0  // Seconds after a target began to leave.
)

// Size is the amount of work for one set of figures.
type Size struct {
	Requests int // In each case that measures a percentile.
	Seeds    []uint64
	Parallel int // Cases that run at the same time.
}

// Full is the size for the benchmark command.
var Full = Size{Requests: 200_000, Seeds: []uint64{1, 2, 3}, Parallel: 4}

const command = "jacinth-bench -only policy"

// Figures returns the figures of the dispatch policy.
func Figures() []figures.Figure { return Full.Figures() }

// Figures returns the figures for a size.
func (s Size) Figures() []figures.Figure {
	jobs := s.latencyJobs()
	jobs = append(jobs, s.overloadJobs()...)
	jobs = append(jobs, s.headroomJob)
	jobs = append(jobs, s.disturbedJobs()...)
	jobs = append(jobs, s.drainJob)
	return s.runAll(jobs)
}

// job measures some figures.
type job func() []figures.Figure

// runAll runs the jobs and returns their figures in the order of the jobs.
func (s Size) runAll(jobs []job) []figures.Figure {
	results := make([][]figures.Figure, len(jobs))
	slots := make(chan struct{}, max(1, s.Parallel))
	var group sync.WaitGroup
	for i, measure := range jobs {
		slots <- struct{}{}
		group.Go(func() {
			results[i] = measure()
			<-slots
		})
	}
	group.Wait()
	var list []figures.Figure
	for _, result := range results {
		list = append(list, result...)
	}
	return list
}

func atMost(name, unit string, value, bound float64) figures.Figure {
	return figures.Figure{Name: "policy: " + name, Value: value, Unit: unit, Bound: bound, Command: command}
}

func atLeast(name, unit string, value, bound float64) figures.Figure {
	f := atMost(name, unit, value, bound)
	f.AtLeast = true
	return f
}

func excess(name string, count int) figures.Figure {
	return atMost(name+", events with more work than slots", "count", float64(count), 0)
}

// arrivalsBy are the distributions of the arrivals over the regions.
var arrivalsBy = []struct {
	name   string
	shares []float64
}{{"even", nil}, {"60% in one region", skewed}}

// skewed are the shares of the arrivals when one region gets most of them.
var skewed = []float64{0.6, 0.2, 0.2}

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
		for _, by := range arrivalsBy {
			for _, instances := range []int{10, 12} {
				name := fmt.Sprintf("%s, %s, %d instances", n.name, by.name, instances)
				c := Case{Network: n.network, Instances: instances, Load: 0.9, Shares: by.shares, Requests: s.Requests, Deadline: steadyDeadline}
				jobs = append(jobs, func() []figures.Figure { return s.latency(name, c) })
			}
		}
	}
	return jobs
}

func (s Size) latency(name string, c Case) []figures.Figure {
	worst, over := 0.0, 0
	for _, seed := range s.Seeds {
		c.Seed = seed
		r := c.run(nil)
		worst = max(worst, ratio(percentile(r.Responses, 0.99), c.reference()))
		over += r.Excess
	}
	return []figures.Figure{atMost(name+", p99 / ideal", "ratio", worst, boundP99Ratio), excess(name, over)}
}

func ratio(a, b time.Duration) float64 { return a.Seconds() / b.Seconds() }

// overloadJobs measure the useful work at 1.5 times capacity.
func (s Size) overloadJobs() []job {
	var jobs []job
	for _, by := range arrivalsBy {
		c := disturbedCase(1.5, s.Seeds[0])
		c.Shares = by.shares
		name := "1.5 times capacity, " + by.name
		jobs = append(jobs, func() []figures.Figure {
			r := c.run(nil)
			useful := r.usefulShare(5*time.Second, r.Span, capacitySlots)
			return []figures.Figure{atLeast(name+", useful work / capacity", "ratio", useful, boundUseful), excess(name, r.Excess)}
		})
	}
	return jobs
}

// headroomJob finds the load at which the ideal queue just meets its bound,
// which is boundP99Ratio times its p99 at 90% load, and measures the p99 at
// boundHeadroom of that load.
func (s Size) headroomJob() []figures.Figure {
	c := Case{Network: Consorzio, Instances: 12, Load: 0.9, Requests: s.Requests, Seed: s.Seeds[0], Deadline: steadyDeadline}
	bound := time.Duration(boundP99Ratio * float64(c.reference()))
	low, high := 0.9, 1.0
	for range 10 {
		c.Load = (low + high) / 2
		if c.reference() <= bound {
			low = c.Load
		} else {
			high = c.Load
		}
	}
	c.Load = boundHeadroom * low
	r := c.run(nil)
	name := fmt.Sprintf("headroom, load %.3f (ideal %.3f)", c.Load, low)
	return []figures.Figure{atMost(name+", p99 / bound", "ratio", ratio(percentile(r.Responses, 0.99), bound), 1), excess("headroom", r.Excess)}
}

// disturbed is a case with a disturbance and the window in which it is judged.
type disturbed struct {
	name     string
	disturb  func(*driver)
	load     float64
	shares   []float64
	slots    float64 // In service during the window.
	from, to time.Duration
}

// settled is when a new member table is in force and the grants of a lost home
// have expired: 3.5 s for the table and 3 s for the grants.
const settled = disturbAt + 7*time.Second

var disturbedCases = []disturbed{
	{"loss of an instance", lossOfInstance, 0.9, nil, 36, disturbAt, disturbAt + 30*time.Second},
	{"loss of a domain", lossOfDomain, 0.7, nil, 30, disturbAt, disturbAt + 30*time.Second},
	{"loss of a region", lossOfRegion, 0.9, nil, 24, settled, disturbAt + 35*time.Second},
	{"partition of a domain", partitionOfDomain, 0.7, nil, 36, disturbAt, disturbAt + 20*time.Second},
	{"crash of a target", crashOfTarget, 0.9, nil, 36, disturbAt, disturbAt + 30*time.Second},
	{"freeze of an instance", freezeOfInstance, 0.7, nil, 36, disturbAt, disturbAt + 30*time.Second},
	{"load reports stopped", loadsStopped, 0.9, nil, 36, disturbAt, disturbAt + 30*time.Second},
	{"load reports stopped, 60% in one region", loadsStopped, 0.9, skewed, 36, disturbAt, disturbAt + 30*time.Second},
	{"load reports false, 60% in one region", loadsFalse, 0.9, skewed, 36, disturbAt, disturbAt + 30*time.Second},
	{"load reports false", loadsFalse, 0.9, nil, 36, disturbAt, disturbAt + 30*time.Second},
}

func (x disturbed) conditions(seed uint64) Case {
	c := disturbedCase(x.load, seed)
	c.Shares = x.shares
	return c
}

func (s Size) disturbedJobs() []job {
	var jobs []job
	for _, x := range disturbedCases {
		jobs = append(jobs, func() []figures.Figure { return s.disturbed(x) })
	}
	return jobs
}

func (s Size) disturbed(x disturbed) []figures.Figure {
	worst, over, missing := 1.0, 0, 0
	for _, seed := range s.Seeds {
		c := x.conditions(seed)
		r := c.run(x.disturb)
		worst = min(worst, c.servedShare(&r, x))
		over += r.Excess
		missing += c.unaccounted(&r)
	}
	return []figures.Figure{
		atLeast(x.name+", useful work / possible", "ratio", worst, boundUseful),
		excess(x.name, over),
		atMost(x.name+", requests without an outcome", "count", float64(missing), 0),
	}
}

// unaccounted returns how far the number of outcomes is from that of requests.
func (c Case) unaccounted(r *Result) int {
	outcomes := r.Answered + r.Lost + r.TimedOut
	for _, count := range r.Refused {
		outcomes += count
	}
	return max(c.Requests-outcomes, outcomes-c.Requests)
}

// servedShare returns the service time of the requests that arrived in the
// window and were answered in time, as a part of what was offered or of what
// the slots in service could execute, whichever is less.
func (c Case) servedShare(r *Result, x disturbed) float64 {
	offered, useful := time.Duration(0), time.Duration(0)
	for _, a := range c.arrivals() {
		if a.at >= x.from && a.at < x.to {
			offered += a.service
		}
	}
	for _, a := range r.Answers {
		if a.InTime && a.Arrived >= x.from && a.Arrived < x.to {
			useful += a.Service
		}
	}
	return useful.Seconds() / min(offered.Seconds(), x.slots*(x.to-x.from).Seconds())
}

// drainJob measures the planned drain of a target under 90% load.
func (s Size) drainJob() []figures.Figure {
	var extra, last, relative float64
	over := 0
	for _, seed := range s.Seeds {
		c := disturbedCase(0.9, seed)
		c.Requests = int(float64(c.Requests) * 0.5)
		ours, naive := c.run(drainOfTarget), c.run(naiveDrain)
		d := ours.drain(0, disturbAt)
		extra = max(extra, (d.Drained - d.Longest).Seconds())
		last = max(last, d.LastStart.Seconds())
		relative = max(relative, ratio(d.Drained, naive.drain(0, disturbAt).Drained))
		over += ours.Excess
	}
	return []figures.Figure{
		atMost("drain, time after the longest request in flight", "s", extra, boundDrainExtra),
		atMost("drain, last new work", "s", last, boundLastStart),
		atMost("drain, time / naive drain by the lagging list", "ratio", relative, 1),
		excess("drain", over),
	}
}
