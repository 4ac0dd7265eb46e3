package policybench

import (
	"time"

	"github.com/jacinthstall/jacinthstall/dispatch"
)

const (
	// faultAt is when the fault of a case begins.
	faultAt = 8 * time.Second
	// memberRemovalDelay is the time from the failure of an instance until a member
	// table without it is in force: 3 s without heartbeats and a write to the platform.
	memberRemovalDelay = 3500 * time.Millisecond
	// observationPeriod is how long requests arrive after the fault begins.
	observationPeriod = 36 * time.Second
)

// faultConditions returns the conditions that all cases with a fault share.
func faultConditions(utilization float64, seed uint64) Case {
	rate := utilization * totalSlots / meanServiceTime.Seconds()
	return Case{Network: Consorzio, Instances: 12, Utilization: utilization, Seed: seed, Deadline: 2 * time.Second,
		MaxQueueTime: 500 * time.Millisecond, Requests: int(rate * (faultAt + observationPeriod).Seconds())}
}

// kill stops the matching instances for good, with their pending requests, and takes
// the matching targets down.
func (sim *simulation) kill(matchInstance func(*instance) bool, matchTarget func(*target) bool) {
	for _, inst := range sim.instances {
		if matchInstance(inst) {
			inst.killed = true
			sim.result.Lost += len(inst.pendingRequests)
			clear(inst.pendingRequests)
		}
	}
	for _, t := range sim.targets {
		t.down = t.down || matchTarget(t)
	}
	sim.schedule(sim.now+memberRemovalDelay, sim.updateViews)
}

func lossOfInstance(sim *simulation) {
	sim.schedule(faultAt, func() {
		sim.kill(func(inst *instance) bool { return inst.index == 0 }, func(*target) bool { return false })
	})
}

func lossOfDomain(sim *simulation) {
	sim.schedule(faultAt, func() {
		sim.kill(func(inst *instance) bool { return inst.domain == 0 }, func(t *target) bool { return t.domain == 0 })
	})
}

func lossOfRegion(sim *simulation) {
	sim.schedule(faultAt, func() {
		sim.kill(func(inst *instance) bool { return inst.domain.region() == 0 }, func(t *target) bool { return t.domain.region() == 0 })
	})
}

// partitionOfDomain separates one failure domain from all others for 20 s.
func partitionOfDomain(sim *simulation) {
	end := faultAt + 20*time.Second
	sim.partitioned = func(a, b failureDomain) bool {
		return sim.now >= faultAt && sim.now < end && (a == 0) != (b == 0)
	}
}

func loadReportsStopped(sim *simulation) {
	sim.filterLoadReport = func(load dispatch.ServiceLoad) (dispatch.ServiceLoad, bool) { return load, sim.now < faultAt }
}

// loadReportsFalse makes every load report claim zero load.
func loadReportsFalse(sim *simulation) {
	sim.filterLoadReport = func(load dispatch.ServiceLoad) (dispatch.ServiceLoad, bool) {
		if sim.now >= faultAt {
			load.Queued, load.Busy = 0, 0
		}
		return load, true
	}
}

// crashOfTarget takes one target down for 5 s.
func crashOfTarget(sim *simulation) {
	sim.schedule(faultAt, func() { sim.targets[0].down = true })
	sim.schedule(faultAt+5*time.Second, func() { sim.targets[0].down = false })
}

// freezeOfInstance pauses one instance for 2 s; messages to it are delayed.
func freezeOfInstance(sim *simulation) {
	sim.schedule(faultAt, func() { sim.instances[0].frozenUntil = faultAt + 2*time.Second })
}

// usefulUtilization returns the service time of requests that completed in a window
// and before their deadline, relative to the capacity of the slots.
func (r *Result) usefulUtilization(from, to time.Duration, slots float64) float64 {
	useful := time.Duration(0)
	for _, response := range r.Responses {
		if response.BeforeDeadline && response.CompletedAt >= from && response.CompletedAt < to {
			useful += response.ServiceTime
		}
	}
	return useful.Seconds() / ((to - from).Seconds() * slots)
}

// drainResult describes the drain of a target. Times are relative to its start.
type drainResult struct {
	LongestInFlight time.Duration // End of the longest request that was in flight at the start.
	DrainTime       time.Duration // End of the last request.
	LastStart       time.Duration // Start of the last request; 0 if none started.
}

// drain returns the drain of a target that began to leave at leavingAt.
func (r *Result) drain(target int, leavingAt time.Duration) drainResult {
	var drain drainResult
	for _, execution := range r.Executions {
		if execution.Target != target || execution.End <= leavingAt {
			continue
		}
		if execution.Start < leavingAt {
			drain.LongestInFlight = max(drain.LongestInFlight, execution.End-leavingAt)
		} else {
			drain.LastStart = max(drain.LastStart, execution.Start-leavingAt)
		}
		drain.DrainTime = max(drain.DrainTime, execution.End-leavingAt)
	}
	return drain
}

const (
	// instanceListLag is the delay until the platform's list shows a leaving target.
	instanceListLag = 2 * time.Second
)

// plannedDrain makes a target announce in its responses that it is leaving. The
// policy document lists it as leaving only after instanceListLag, and its health
// checks never report it.
func plannedDrain(sim *simulation) {
	sim.schedule(faultAt, func() { sim.reportsLeavingFrom["t00"] = sim.now })
	sim.schedule(faultAt+instanceListLag, func() { sim.listedAsLeaving["t00"] = true; sim.updateViews() })
}

// naiveDrain lists a target as leaving after instanceListLag; its responses do not
// announce it.
func naiveDrain(sim *simulation) {
	sim.schedule(faultAt+instanceListLag, func() { sim.listedAsLeaving["t00"] = true; sim.updateViews() })
}

// runScheduler simulates the case with real schedulers and optional faults.
func (c Case) runScheduler(scheduleFaults func(*simulation)) Result {
	sim := newSimulation(c)
	sim.scheduleFaults = scheduleFaults
	return sim.run()
}
