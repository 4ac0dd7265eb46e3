package soak

import (
	"strings"
	"sync"
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
	deployment.endAndReplace(seat, id, selector, downtime)
}

// endAndReplace ends a target, removes its record and starts another in its place.
func (deployment *Deployment) endAndReplace(seat *targetSeat, id string, selector int, downtime time.Duration) {
	deployment.recordFault(faultTarget, nil, func() {
		deployment.killTarget(seat)
		deployment.store.Delete(wiresite.TargetKey(id))
		time.Sleep(downtime / 2)
		if err := deployment.startTarget(seat, selector/7%2 == 0); err != nil {
			deployment.addViolation("stand-ins start again", "%s", err)
		}
	})
}

const (
	// leaversEvery is the reciprocal of the share of targets that leave together.
	leaversEvery = 3
	// removalLead is the time from the removal of a target's record to its first
	// response that states that it is leaving, in which the instances read of the
	// removal.
	removalLead = 20 * time.Millisecond
	// restoreLead is the time from the statements to the restore, and copyAge the age of
	// the copy, which still has the records.
	restoreLead = drainBound + 500*time.Millisecond
	copyAge     = restoreLead + time.Second
)

// leaveAndRestore makes targets remove their records and then state that they are
// leaving. The store is restored to a copy that still has the records.
func (deployment *Deployment) leaveAndRestore(selector int, downtime time.Duration) {
	if !deployment.restoring.CompareAndSwap(false, true) {
		return
	}
	defer deployment.restoring.Store(false)
	time.Sleep(rewriteTime + time.Second) // Instances keep records that disappear sooner after a restore.
	var leavers sync.WaitGroup
	restored := make(chan struct{})
	for i := selector % leaversEvery; i < len(deployment.seats); i += leaversEvery {
		leavers.Go(func() { deployment.leaveUntil(restored, deployment.seats[i], selector, downtime) })
	}
	time.Sleep(removalLead + restoreLead)
	deployment.restoreCopy(copyAge, selector, downtime)
	close(restored)
	leavers.Wait()
}

// leaveUntil makes a target remove its record and state that it is leaving. Some time
// after the store was restored, the target ends and another one takes its place.
func (deployment *Deployment) leaveUntil(restored <-chan struct{}, seat *targetSeat, selector int, downtime time.Duration) {
	if !seat.reserve() {
		return
	}
	defer seat.release()
	target, id := seat.current()
	deployment.removeTargetRecord(seat)
	time.Sleep(removalLead)
	target.SetLeaving(true)
	<-restored
	time.Sleep(leavingTime - drainBound)
	deployment.endAndReplace(seat, id, selector, downtime)
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
	passedOn := passedOnLeaving(outcomes)
	for _, target := range targets {
		arrivals := target.StatedArrivals()
		deployment.checkLeaving(target, arrivals, outcomes, passedOn[target.ID()])
		deployment.checkPause(target, arrivals, outcomes)
	}
}

// passedOnLeaving returns when each instance has first passed on a response in which a
// target states that it is leaving, by the ID of the target.
func passedOnLeaving(outcomes map[string]requestOutcome) map[string]map[*instance]time.Time {
	first := map[string]map[*instance]time.Time{}
	for _, outcome := range outcomes {
		_, target, executed := strings.Cut(outcome.body, " by ")
		if !outcome.targetLeaving || !executed {
			continue
		}
		if first[target] == nil {
			first[target] = map[*instance]time.Time{}
		}
		if at, known := first[target][outcome.instance]; !known || outcome.doneAt.Before(at) {
			first[target][outcome.instance] = outcome.doneAt
		}
	}
	return first
}

// checkLeaving checks that an instance that has passed on a response of a leaving
// target sends it no request later than drainBound after that.
func (deployment *Deployment) checkLeaving(target *wiretarget.Target, arrivals []wiretarget.StatedArrival, outcomes map[string]requestOutcome, passedOn map[*instance]time.Time) {
	for _, arrival := range arrivals {
		outcome, known := outcomes[arrival.ID]
		if !known || !arrival.PausedUntil.IsZero() || arrival.Misdirected {
			continue
		}
		at, told := passedOn[outcome.instance]
		if told && outcome.sentAt.Sub(at) > drainBound && !deployment.interrupted(outcome.instance, at, arrival.At) {
			deployment.addViolation("no new work for targets that say they leave", "%s through %s %s after a response of %s", arrival.ID,
				outcome.instance.name, outcome.sentAt.Sub(at), target.ID())
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
