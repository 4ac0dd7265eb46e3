package balance

import (
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

// Result says how an attempt ended.
type Result int

// Results.
const (
	Succeeded        Result = iota // A whole answer, that is not a failure of the target.
	Failed                         // A whole answer that says that the target failed.
	Shed                           // The target did not execute the request.
	Misdirected                    // Another target has the address.
	Unreachable                    // No connection; the target saw nothing.
	ConnectTimedOut                // As Unreachable, and nothing answered the attempt.
	ConnectionBroken               // The connection ended or the answer cannot be used.
	TimedOut                       // No answer until the attempt was given up.
	Abandoned                      // The caller left, or the attempt was cut for another reason.
)

const (
	// ewmaWeight is the weight of one observation in an average.
	ewmaWeight = 0.15
	// Pauses for a target that fails, doubled with each failure in a row.
	minAvoidance = 300 * time.Millisecond
	maxAvoidance = 4 * time.Second
	// Bounds of a target's observed speed.
	minSlowdown = 0.3
	maxSlowdown = 20.0
)

// Observation is what an attempt has shown.
type Observation struct {
	Result   Result
	Duration time.Duration // From the choice to the end of the answer.
	// Executing and Waiting are what the target said of its load; Told says
	// that it did.
	Executing, Waiting int
	LoadReported       bool
	ColdFor            time.Duration // How long the target says that it stays cold.
}

// AvoidedTarget is a target that gets no requests for a while.
type AvoidedTarget struct {
	Target              string
	ConsecutiveFailures int
	Duration            time.Duration
	// Lost says that the target answers no connection attempts: it has lost
	// power or the way to it, and answers to what it was sent will not come.
	Lost bool
}

// lostAfterConnects is the number of connection attempts in a row without any answer
// after which a target counts as lost.
const lostAfterConnects = 2

// Done ends a grant. It returns the target when it is avoided from now on.
func (b *Balancer) Done(now time.Time, g Grant, o Observation) *AvoidedTarget {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[g.Target.ID]
	if t == nil || !t.record.SameIncarnation(g.Target) {
		return nil
	}
	t.ownInFlight = max(0, t.ownInFlight-1)
	if o.LoadReported {
		t.loadReportedAt = now
		t.unreportedLoad = max(0, o.Executing+o.Waiting-t.ownInFlight-b.peerInFlight[shortHash(t.hash)])
	}
	if o.ColdFor > 0 {
		t.coldUntil = now.Add(o.ColdFor)
	}
	switch o.Result {
	case Succeeded:
		b.recordResponse(now, t, g, o.Duration)
	case Failed:
		b.recordAttempt(now, t, true)
		t.consecutiveFailures = 0
	case Shed:
		if !o.reportsFull(t.record) {
			b.recordAttempt(now, t, true)
		}
	case Misdirected:
		// The record changes soon; until then the address is another target's.
		t.avoidUntil = now.Add(maxAvoidance)
		return &AvoidedTarget{Target: t.record.ID, Duration: maxAvoidance}
	case Unreachable, ConnectTimedOut, ConnectionBroken, TimedOut:
		return b.recordConnectionFailure(now, t, o.Result)
	}
	return nil
}

// recordResponse learns from a good answer.
func (b *Balancer) recordResponse(now time.Time, t *target, g Grant, took time.Duration) {
	b.recordAttempt(now, t, false)
	t.consecutiveFailures, t.unansweredConnects = 0, 0
	if t.down {
		t.down = false
		t.coldUntil = now.Add(b.coldDuration(t.record.Service))
	}
	if g.object != "" {
		t.recentObjects.add(g.object)
	}
	s := b.service(t.record.Service)
	work := max(time.Millisecond, took-b.roundTrip(t.region))
	if g.waits || now.Before(t.coldUntil) {
		return
	}
	s.meanExecTime += time.Duration(ewmaWeight * float64(work-s.meanExecTime))
	usual, runs := &s.coldExecTime, &s.coldSamples
	if g.Warm {
		usual, runs = &s.warmExecTime, &s.warmSamples
	}
	*runs++
	ratio := min(maxSlowdown, max(minSlowdown, float64(work)/float64(*usual)))
	t.slowdown += ewmaWeight * (ratio - t.slowdown)
	*usual += time.Duration(ewmaWeight / 2 * float64(work-*usual))
}

// reportsFull reports whether the target says that all its slots are taken. A target
// that sheds although some are free is no worse off for another attempt.
func (o Observation) reportsFull(t *steering.Target) bool {
	return o.LoadReported && o.Executing >= t.Slots
}

// MayRetry reports whether a request that the target shed may go to the same
// target once more at once: it says that slots are free.
func (o Observation) MayRetry(t *steering.Target) bool {
	return o.Result == Shed && o.LoadReported && !o.reportsFull(t)
}

// recordConnectionFailure notes a failure of the connection. One lost answer alone says little;
// a target that cannot be reached is left alone at once.
func (b *Balancer) recordConnectionFailure(now time.Time, t *target, r Result) *AvoidedTarget {
	t.consecutiveFailures++
	b.recordAttempt(now, t, true)
	unreachable := r == Unreachable || r == ConnectTimedOut
	if unreachable {
		t.down = true
	}
	t.unansweredConnects++
	if r != ConnectTimedOut {
		t.unansweredConnects = 0
	}
	if !unreachable && t.consecutiveFailures < 2 {
		return nil
	}
	pause := min(maxAvoidance, minAvoidance<<min(8, t.consecutiveFailures-1))
	t.avoidUntil = now.Add(pause)
	return &AvoidedTarget{Target: t.record.ID, ConsecutiveFailures: t.consecutiveFailures, Duration: pause, Lost: t.unansweredConnects >= lostAfterConnects}
}
