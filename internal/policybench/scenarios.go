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
func faultConditions(load float64, seed uint64) Case {
	rate := load * totalSlots / meanServiceTime.Seconds()
	return Case{Network: Consorzio, Instances: 12, Utilization: load, Seed: seed, Deadline: 2 * time.Second,
		MaxQueueTime: 500 * time.Millisecond, Requests: int(rate * (faultAt + observationPeriod).Seconds())}
}

// kill ends the instances and targets of the chosen failure domains.
func (d *simulation) kill(instance func(*instance) bool, target func(*target) bool) {
	for _, n := range d.instances {
		if instance(n) {
			n.killed = true
			d.result.Lost += len(n.requests)
			clear(n.requests)
		}
	}
	for _, t := range d.targets {
		t.down = t.down || target(t)
	}
	d.schedule(d.now+memberRemovalDelay, d.updateViews)
}

func lossOfInstance(d *simulation) {
	d.schedule(faultAt, func() {
		d.kill(func(n *instance) bool { return n.index == 0 }, func(*target) bool { return false })
	})
}

func lossOfDomain(d *simulation) {
	d.schedule(faultAt, func() {
		d.kill(func(n *instance) bool { return n.domain == 0 }, func(t *target) bool { return t.domain == 0 })
	})
}

func lossOfRegion(d *simulation) {
	d.schedule(faultAt, func() {
		d.kill(func(n *instance) bool { return n.domain.region() == 0 }, func(t *target) bool { return t.domain.region() == 0 })
	})
}

// partitionOfDomain cuts one failure domain off all others for 20 s.
func partitionOfDomain(d *simulation) {
	end := faultAt + 20*time.Second
	d.partitioned = func(a, b failureDomain) bool {
		return d.now >= faultAt && d.now < end && (a == 0) != (b == 0)
	}
}

func loadReportsStopped(d *simulation) {
	d.filterLoadReport = func(l dispatch.ServiceLoad) (dispatch.ServiceLoad, bool) { return l, d.now < faultAt }
}

// loadReportsFalse makes every report say that there is no load at all.
func loadReportsFalse(d *simulation) {
	d.filterLoadReport = func(l dispatch.ServiceLoad) (dispatch.ServiceLoad, bool) {
		if d.now >= faultAt {
			l.Queued, l.Busy = 0, 0
		}
		return l, true
	}
}

// crashOfTarget ends one target for 5 s.
func crashOfTarget(d *simulation) {
	d.schedule(faultAt, func() { d.targets[0].down = true })
	d.schedule(faultAt+5*time.Second, func() { d.targets[0].down = false })
}

// freezeOfInstance stops one instance for 2 s; its messages wait.
func freezeOfInstance(d *simulation) {
	d.schedule(faultAt, func() { d.instances[0].frozenUntil = faultAt + 2*time.Second })
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

func (r *Result) drain(target int, begin time.Duration) drainResult {
	var out drainResult
	for _, s := range r.Executions {
		if s.Target != target || s.End <= begin {
			continue
		}
		if s.Start < begin {
			out.LongestInFlight = max(out.LongestInFlight, s.End-begin)
		} else {
			out.LastStart = max(out.LastStart, s.Start-begin)
		}
		out.DrainTime = max(out.DrainTime, s.End-begin)
	}
	return out
}

const (
	// instanceListLag is how late the platform's list reports a leaving target.
	instanceListLag = 2 * time.Second
)

// plannedDrain makes a target say in its answers that it is leaving. The
// document says so only after the platform's lag, and health stays wrong.
func plannedDrain(d *simulation) {
	d.schedule(faultAt, func() { d.reportsLeavingFrom["t00"] = d.now })
	d.schedule(faultAt+instanceListLag, func() { d.listedAsLeaving["t00"] = true; d.updateViews() })
}

// naiveDrain is a drain that stops new work only by the platform's list.
func naiveDrain(d *simulation) {
	d.schedule(faultAt+instanceListLag, func() { d.listedAsLeaving["t00"] = true; d.updateViews() })
}

func (c Case) run(disturb func(*simulation)) Result {
	d := newSimulation(c)
	d.scheduleFaults = disturb
	return d.run()
}
