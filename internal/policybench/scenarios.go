package policybench

import (
	"time"

	"github.com/jacinthstall/jacinthstall/dispatch"
)

const (
	// disturbAt is when the disturbance of a case begins.
	disturbAt = 8 * time.Second
	// replaceAfter is the time after which a new member table without a dead
	// instance is in force: 3 s of silence and a write to the platform.
	replaceAfter = 3500 * time.Millisecond
	// observeFor is how long a case is observed after its disturbance.
	observeFor = 36 * time.Second
)

// disturbedCase returns the conditions of the cases with a disturbance.
func disturbedCase(load float64, seed uint64) Case {
	rate := load * capacitySlots / meanService.Seconds()
	return Case{Network: Consorzio, Instances: 12, Load: load, Seed: seed, Deadline: 2 * time.Second,
		MaxQueue: 500 * time.Millisecond, Requests: int(rate * (disturbAt + observeFor).Seconds())}
}

// kill ends the instances and targets of the chosen failure domains.
func (d *driver) kill(instance func(*node) bool, target func(*target) bool) {
	for _, n := range d.nodes {
		if instance(n) {
			n.dead = true
			d.result.Lost += len(n.requests)
			clear(n.requests)
		}
	}
	for _, t := range d.targets {
		t.down = t.down || target(t)
	}
	d.at(d.now+replaceAfter, d.setViews)
}

func lossOfInstance(d *driver) {
	d.at(disturbAt, func() {
		d.kill(func(n *node) bool { return n.index == 0 }, func(*target) bool { return false })
	})
}

func lossOfDomain(d *driver) {
	d.at(disturbAt, func() {
		d.kill(func(n *node) bool { return n.place == 0 }, func(t *target) bool { return t.place == 0 })
	})
}

func lossOfRegion(d *driver) {
	d.at(disturbAt, func() {
		d.kill(func(n *node) bool { return n.place.region() == 0 }, func(t *target) bool { return t.place.region() == 0 })
	})
}

// partitionOfDomain cuts one failure domain off all others for 20 s.
func partitionOfDomain(d *driver) {
	end := disturbAt + 20*time.Second
	d.cut = func(a, b place) bool {
		return d.now >= disturbAt && d.now < end && (a == 0) != (b == 0)
	}
}

func loadsStopped(d *driver) {
	d.falsify = func(l dispatch.ServiceLoad) (dispatch.ServiceLoad, bool) { return l, d.now < disturbAt }
}

// loadsFalse makes every report say that there is no load at all.
func loadsFalse(d *driver) {
	d.falsify = func(l dispatch.ServiceLoad) (dispatch.ServiceLoad, bool) {
		if d.now >= disturbAt {
			l.Queued, l.Busy = 0, 0
		}
		return l, true
	}
}

// crashOfTarget ends one target for 5 s.
func crashOfTarget(d *driver) {
	d.at(disturbAt, func() { d.targets[0].down = true })
	d.at(disturbAt+5*time.Second, func() { d.targets[0].down = false })
}

// freezeOfInstance stops one instance for 2 s; its messages wait.
func freezeOfInstance(d *driver) {
	d.at(disturbAt, func() { d.nodes[0].frozenUntil = disturbAt + 2*time.Second })
}

// usefulShare returns the service time of requests that ended in a window and
// were answered in time, as a part of what the slots could execute in it.
func (r *Result) usefulShare(from, to time.Duration, slots float64) float64 {
	useful := time.Duration(0)
	for _, a := range r.Answers {
		if a.InTime && a.Ended >= from && a.Ended < to {
			useful += a.Service
		}
	}
	return useful.Seconds() / ((to - from).Seconds() * slots)
}

// drainResult is what happened to a target after it began to leave.
type drainResult struct {
	Longest   time.Duration // Remaining time of the longest request in flight at the beginning.
	Drained   time.Duration // From the beginning to the last end of a request.
	LastStart time.Duration // From the beginning to the last start of a request; 0 when none.
}

func (r *Result) drain(target int, begin time.Duration) drainResult {
	var out drainResult
	for _, s := range r.Starts {
		if s.Target != target || s.End <= begin {
			continue
		}
		if s.At < begin {
			out.Longest = max(out.Longest, s.End-begin)
		} else {
			out.LastStart = max(out.LastStart, s.At-begin)
		}
		out.Drained = max(out.Drained, s.End-begin)
	}
	return out
}

const (
	// listLag is how late the platform's list reports a leaving target.
	listLag = 2 * time.Second
)

// drainOfTarget makes a target say in its answers that it is leaving. The
// document says so only after the platform's lag, and health stays wrong.
func drainOfTarget(d *driver) {
	d.at(disturbAt, func() { d.leavingAt["t00"] = d.now })
	d.at(disturbAt+listLag, func() { d.leaving["t00"] = true; d.setViews() })
}

// naiveDrain is a drain that stops new work only by the platform's list.
func naiveDrain(d *driver) {
	d.at(disturbAt+listLag, func() { d.leaving["t00"] = true; d.setViews() })
}

func (c Case) run(disturb func(*driver)) Result {
	d := newDriver(c)
	d.dispatcher = disturb
	return d.run()
}
