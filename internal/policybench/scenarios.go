package policybench

import (
	"time"

	"github.com/jacinthstall/jacinthstall/dispatch"
)

const (
	// faultAt is when the disturbance of a case begins.
	faultAt = 8 * time.Second
	// memberRemovalDelay is the time after which a new member table without a dead
	// instance is in force: 3 s of silence and a write to the platform.
	memberRemovalDelay = 3500 * time.Millisecond
	// observationPeriod is how long a case is observed after its disturbance.
	observationPeriod = 36 * time.Second
)

// faultConditions returns the conditions of the cases with a disturbance.
func faultConditions(utilization float64, seed uint64) Case {
	rate := utilization * totalSlots / meanServiceTime.Seconds()
	return Case{Network: Consorzio, Instances: 12, Utilization: utilization, Seed: seed, Deadline: 2 * time.Second,
		MaxQueueTime: 500 * time.Millisecond, Requests: int(rate * (faultAt + observationPeriod).Seconds())}
}

// kill ends the instances and targets of the chosen failure domains.
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

// partitionOfDomain cuts one failure domain off all others for 20 s.
func partitionOfDomain(sim *simulation) {
	end := faultAt + 20*time.Second
	sim.partitioned = func(a, b failureDomain) bool {
		return sim.now >= faultAt && sim.now < end && (a == 0) != (b == 0)
	}
}

func loadReportsStopped(sim *simulation) {
	sim.filterLoadReport = func(load dispatch.ServiceLoad) (dispatch.ServiceLoad, bool) { return load, sim.now < faultAt }
}

// loadReportsFalse makes every report say that there is no load at all.
func loadReportsFalse(sim *simulation) {
	sim.filterLoadReport = func(load dispatch.ServiceLoad) (dispatch.ServiceLoad, bool) {
		if sim.now >= faultAt {
			load.Queued, load.Busy = 0, 0
		}
		return load, true
	}
}

// crashOfTarget ends one target for 5 s.
func crashOfTarget(sim *simulation) {
	sim.schedule(faultAt, func() { sim.targets[0].down = true })
	sim.schedule(faultAt+5*time.Second, func() { sim.targets[0].down = false })
}

// freezeOfInstance stops one instance for 2 s; its messages wait.
func freezeOfInstance(sim *simulation) {
	sim.schedule(faultAt, func() { sim.instances[0].frozenUntil = faultAt + 2*time.Second })
}

// usefulUtilization returns the service time of requests that ended in a window and
// were answered in time, as a part of what the slots could execute in it.
func (r *Result) usefulUtilization(from, to time.Duration, slots float64) float64 {
	useful := time.Duration(0)
	for _, a := range r.Responses {
		if a.BeforeDeadline && a.ExecutedAt >= from && a.ExecutedAt < to {
			useful += a.ServiceTime
		}
	}
	return useful.Seconds() / ((to - from).Seconds() * slots)
}

// drainResult is what happened to a target after it began to leave.
type drainResult struct {
	LongestInFlight time.Duration // Remaining time of the longest request in flight at the beginning.
	DrainTime       time.Duration // From the beginning to the last end of a request.
	LastStart       time.Duration // From the beginning to the last start of a request; 0 when none.
}

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
	// instanceListLag is how late the platform's list reports a leaving target.
	instanceListLag = 2 * time.Second
)

// plannedDrain makes a target say in its answers that it is leaving. The
// document says so only after the platform's lag, and health stays wrong.
func plannedDrain(sim *simulation) {
	sim.schedule(faultAt, func() { sim.reportsLeavingFrom["t00"] = sim.now })
	sim.schedule(faultAt+instanceListLag, func() { sim.listedAsLeaving["t00"] = true; sim.updateViews() })
}

// naiveDrain is a drain that stops new work only by the platform's list.
func naiveDrain(sim *simulation) {
	sim.schedule(faultAt+instanceListLag, func() { sim.listedAsLeaving["t00"] = true; sim.updateViews() })
}

func (c Case) runScheduler(scheduleFaults func(*simulation)) Result {
	sim := newSimulation(c)
	sim.scheduleFaults = scheduleFaults
	return sim.run()
}
