package balance

import (
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

// Result classifies the end of an attempt.
type Result int

// Results of an attempt.
const (
	Succeeded        Result = iota // Complete response that is not a failure of the target.
	Failed                         // Complete response that reports a failure of the target.
	Shed                           // The target did not execute the request.
	Misdirected                    // The address belongs to another target.
	Unreachable                    // The connection was not established; the target saw no request.
	ConnectTimedOut                // Like Unreachable, but without any response to the connection attempt.
	ConnectionBroken               // The connection ended or the response was unusable.
	TimedOut                       // No response before the attempt timed out.
	Abandoned                      // The caller left, or the attempt was canceled for another reason.
)

const (
	// ewmaWeight is the weight of one observation in a moving average.
	ewmaWeight = 0.15
	// Range of the time for which a failing target is avoided. It doubles with
	// each consecutive failure.
	minAvoidance = 300 * time.Millisecond
	maxAvoidance = 4 * time.Second
	// Range of the ratio of observed to expected execution time.
	minSlowdown = 0.3
	maxSlowdown = 20.0
)

// Observation is the result of an attempt.
type Observation struct {
	Result   Result
	Duration time.Duration // From the selection of the target to the end of the response.
	// Executing and Waiting are the load that the target reported, if
	// LoadReported is set.
	Executing, Waiting int
	LoadReported       bool
	ColdFor            time.Duration // How long the target stays cold, as it reported.
	AskedForPause      bool          // The target rejected the request and asked for a pause.
	// Slowdown is the current execution time at the target divided by the usual
	// one, as the target reported; 0 if it did not.
	Slowdown float64
}

// UnknownCount is the value of a count that a target has not stated.
const UnknownCount = -1

// TargetLoad is the load that a target states in a response. Each count may be
// UnknownCount.
type TargetLoad struct {
	Executing, Waiting, Slots int
	Slowdown                  float64 // Current execution time divided by the usual one; 0 if not stated.
}

// SetLoad sets the load that the target stated. If the number of executing requests
// is unknown and requests wait, all slots are in use. Without a number of waiting
// requests, none wait.
func (o *Observation) SetLoad(load TargetLoad, t *steering.Target) {
	o.Slowdown = load.Slowdown
	if load.Executing == UnknownCount && load.Waiting > 0 {
		load.Executing = t.Slots
	}
	if load.Executing != UnknownCount {
		o.Executing, o.Waiting, o.LoadReported = load.Executing, max(0, load.Waiting), true
	}
}

// AvoidedTarget is a target that gets no requests for some time.
type AvoidedTarget struct {
	Target              string
	ConsecutiveFailures int
	Duration            time.Duration
	// Lost is set if the target does not respond to connection attempts: it
	// has lost power or its network, and pending responses will not arrive.
	Lost bool
}

// lostAfterConnects is the number of consecutive connection attempts without
// any response after which a target counts as lost.
const lostAfterConnects = 2

// Done ends a grant. It returns the target if the observation causes it to be
// avoided.
func (balancer *Balancer) Done(now time.Time, grant Grant, observation Observation) *AvoidedTarget {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	t := balancer.currentTarget(grant.Target)
	if t == nil {
		if observation.ColdFor > 0 {
			balancer.availabilityOf(now, grant.Target).coldUntil = now.Add(observation.ColdFor)
		}
		return nil
	}
	t.ownInFlight = max(0, t.ownInFlight-1)
	if observation.LoadReported {
		t.loadReportedAt = now
		t.unreportedLoad = max(0, observation.Executing+observation.Waiting-t.ownInFlight-balancer.peerInFlight[shortHash(t.hash)])
	}
	if observation.Slowdown > 0 {
		t.statedSlowness, t.statedAt = observation.Slowdown, now
		svc := balancer.service(t.record.Service)
		svc.slownessStatedAt = now
		if observation.Slowdown > minInterference {
			svc.interferedAt = now
		}
	}
	if observation.ColdFor > 0 {
		t.coldUntil = now.Add(observation.ColdFor)
	}
	switch observation.Result {
	case Succeeded:
		balancer.recordExecution(t, grant.trial)
		balancer.recordResponse(now, t, grant, observation)
	case Failed:
		balancer.recordExecution(t, grant.trial)
		balancer.recordAttempt(now, t, true)
		t.consecutiveFailures = 0
	case Shed:
		if !observation.reportsFull(t.record) && !observation.AskedForPause {
			balancer.recordAttempt(now, t, true)
		}
	case Misdirected:
		// The store will have a new record soon; until then the address
		// belongs to another target.
		t.avoidUntil = now.Add(maxAvoidance)
		return &AvoidedTarget{Target: t.record.ID, Duration: maxAvoidance}
	case Unreachable, ConnectTimedOut, ConnectionBroken, TimedOut:
		return balancer.recordConnectionFailure(now, t, observation.Result)
	}
	return nil
}

// recordResponse updates the state of a target and its service after a
// successful response.
func (balancer *Balancer) recordResponse(now time.Time, t *target, grant Grant, observation Observation) {
	balancer.recordAttempt(now, t, false)
	t.consecutiveFailures, t.unansweredConnects = 0, 0
	if t.down {
		t.down = false
		t.coldUntil = now.Add(balancer.coldDuration(t.record.Service))
	}
	if grant.object != "" {
		t.recentObjects.add(grant.object)
	}
	svc := balancer.service(t.record.Service)
	work := max(time.Millisecond, observation.Duration-balancer.roundTrip(t.region))
	if now.Before(t.coldUntil) {
		return
	}
	balancer.recordCapacity(now, svc, t, grant, work, observation)
	if grant.waits {
		return
	}
	svc.ranks.recordExecTime(grant.rank, work)
	svc.meanExecTime += time.Duration(ewmaWeight * float64(work-svc.meanExecTime))
	execTime, samples := &svc.coldExecTime, &svc.coldSamples
	if grant.Warm {
		execTime, samples = &svc.warmExecTime, &svc.warmSamples
	}
	*samples++
	ratio := min(maxSlowdown, max(minSlowdown, float64(work)/float64(*execTime)))
	t.slowdown += ewmaWeight * (ratio - t.slowdown)
	*execTime += time.Duration(ewmaWeight / 2 * float64(work-*execTime))
}

// reportsFull reports whether all slots of the target are in use according to
// its own report. A target that sheds requests with free slots takes no harm
// from another attempt.
func (o Observation) reportsFull(t *steering.Target) bool {
	return o.LoadReported && o.Executing >= t.Slots
}

// MayRetry reports whether a request that the target shed may be retried at
// once at the same target: the target must have reported free slots.
func (o Observation) MayRetry(t *steering.Target) bool {
	return o.Result == Shed && o.LoadReported && !o.reportsFull(t)
}

// recordConnectionFailure records a failed connection. A single lost response
// is tolerated, but a target that cannot be reached is avoided at once.
func (balancer *Balancer) recordConnectionFailure(now time.Time, t *target, result Result) *AvoidedTarget {
	t.consecutiveFailures++
	balancer.recordAttempt(now, t, true)
	unreachable := result == Unreachable || result == ConnectTimedOut
	if unreachable {
		t.down = true
	}
	t.unansweredConnects++
	if result != ConnectTimedOut {
		t.unansweredConnects = 0
	}
	if !unreachable && t.consecutiveFailures < 2 {
		return nil
	}
	avoidance := min(maxAvoidance, minAvoidance<<min(8, t.consecutiveFailures-1))
	t.avoidUntil = now.Add(avoidance)
	return &AvoidedTarget{Target: t.record.ID, ConsecutiveFailures: t.consecutiveFailures, Duration: avoidance, Lost: t.unansweredConnects >= lostAfterConnects}
}
