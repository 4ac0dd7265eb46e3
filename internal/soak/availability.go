package soak

import (
	"strings"
	"time"

	"github.com/jacinthstall/jacinthstall/standin/wiresite"
	"github.com/jacinthstall/jacinthstall/standin/wiretarget"
)

const (
	leavingTime = drainBound + 2*time.Second
	// pauseReaction is the time after which an instance that was asked for a pause may
	// send maxPausedRequests until the end of the pause.
	pauseReaction     = 500 * time.Millisecond
	maxPausedRequests = 2
	minPause          = time.Second
)

// leaveTarget makes a target state that it is leaving while its record says that it is
// ready, ends it some time after and starts another in its place.
func (deployment *Deployment) leaveTarget(selector int, downtime time.Duration) {
	seat := deployment.seatAt(selector)
	if !seat.reserve() {
		return
	}
	defer seat.release()
	target, id := seat.current()
	target.SetLeaving(true)
	time.Sleep(leavingTime)
	deployment.recordFault(faultTarget, nil, func() {
		deployment.killTarget(seat)
		deployment.store.Delete(wiresite.TargetKey(id))
		time.Sleep(downtime / 2)
		if err := deployment.startTarget(seat, selector/7%2 == 0); err != nil {
			deployment.addViolation("stand-ins start again", "%s", err)
		}
	})
}

// pauseTarget makes a target reject requests and ask for a pause.
func (deployment *Deployment) pauseTarget(selector int, duration time.Duration) {
	seat := deployment.seatAt(selector)
	if !seat.reserve() {
		return
	}
	defer seat.release()
	target, _ := seat.current()
	target.Pause(minPause + 2*duration)
	time.Sleep(minPause + 2*duration)
}

// checkStatements finds requests that an instance sent to a target although it knew
// that the target was leaving or had asked it for a pause.
func (deployment *Deployment) checkStatements() {
	outcomes := map[string]requestOutcome{}
	for _, outcome := range deployment.recorder.all() {
		outcomes[outcome.id] = outcome
	}
	deployment.mu.Lock()
	targets := append([]*wiretarget.Target(nil), deployment.targets...)
	deployment.mu.Unlock()
	for _, target := range targets {
		arrivals := target.StatedArrivals()
		deployment.checkLeaving(target, arrivals, outcomes)
		deployment.checkPause(target, arrivals, outcomes)
	}
}

// checkLeaving checks that an instance that has passed on a response of a leaving
// target sends it no request later than drainBound after that.
func (deployment *Deployment) checkLeaving(target *wiretarget.Target, arrivals []wiretarget.StatedArrival, outcomes map[string]requestOutcome) {
	passedOn := map[*instance]time.Time{}
	for _, arrival := range arrivals {
		outcome, known := outcomes[arrival.ID]
		if !known || !arrival.PausedUntil.IsZero() {
			continue
		}
		at, told := passedOn[outcome.instance]
		if told && outcome.sentAt.Sub(at) > drainBound && !deployment.interrupted(outcome.instance, at, arrival.At) {
			deployment.addViolation("no new work for targets that say they leave", "%s through %s %s after a response of %s", arrival.ID,
				outcome.instance.name, outcome.sentAt.Sub(at), target.ID())
		}
		if !told && outcome.status != 0 && strings.Contains(outcome.body, " by "+target.ID()) {
			passedOn[outcome.instance] = outcome.doneAt
		}
	}
}

// checkPause checks that an instance that was asked for a pause sends at most
// maxPausedRequests between pauseReaction after that and the end of the pause.
func (deployment *Deployment) checkPause(target *wiretarget.Target, arrivals []wiretarget.StatedArrival, outcomes map[string]requestOutcome) {
	type pause struct {
		inst *instance
		end  time.Time
	}
	asked, later := map[pause]time.Time{}, map[pause]int{}
	for _, arrival := range arrivals {
		outcome, known := outcomes[arrival.ID]
		if !known || arrival.PausedUntil.IsZero() {
			continue
		}
		key := pause{outcome.instance, arrival.PausedUntil}
		at, told := asked[key]
		if !told {
			asked[key] = arrival.At
			continue
		}
		if arrival.At.Sub(at) <= pauseReaction || deployment.interrupted(outcome.instance, at, arrival.At) || deployment.targetDisturbed(at, at.Add(pauseReaction)) {
			continue
		}
		if later[key]++; later[key] == maxPausedRequests+1 {
			deployment.addViolation("pauses of targets are kept", "%s reached %s through %s %s after it had asked for a pause", arrival.ID, target.ID(),
				outcome.instance.name, arrival.At.Sub(at))
		}
	}
}

// interrupted reports whether an instance was restarted or frozen in an interval.
func (deployment *Deployment) interrupted(inst *instance, start, end time.Time) bool {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	return deployment.faultDuring(faultKill, inst, start, end) || deployment.faultDuring(faultFreeze, inst, start, end) || inst.startedBetween(start, end)
}

// targetDisturbed reports whether a fault of targets or of their links, which may lose
// a response, overlaps an interval.
func (deployment *Deployment) targetDisturbed(start, end time.Time) bool {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	return deployment.faultDuring(faultTarget, nil, start, end)
}
