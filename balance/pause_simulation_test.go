package balance_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/steering"
)

// pauseCounts counts the requests that arrive at paused targets.
type pauseCounts struct {
	shared   bool // See pausesShared.
	rejected int
	told     map[pauseKey]time.Time // When an instance was first asked for the pause of a target.
	late     map[pauseKey]int       // Requests that arrived pauseReaction after that or later.
}

type pauseKey struct{ instance, target string }

const (
	// pauseReaction is the time after which the users allow two requests of an
	// instance until the end of a pause.
	pauseReaction = 500 * time.Millisecond
	// shareDelay is the time in which instances tell each other of pauses, when the
	// simulation lets them.
	shareDelay = 150 * time.Millisecond
	// rejectedRetryAfter is the Retry-After of package gateway for a request that
	// targets have rejected.
	rejectedRetryAfter = 200 * time.Millisecond
)

// reject answers a request that arrives at a paused target. again makes another
// attempt.
func (sim *simulation) reject(instance *simulatedInstance, grant balance.Grant, request balance.Request, sent time.Time, delay time.Duration, again func(balance.Request)) {
	until := sim.targets[grant.Target.ID].pausedUntil
	sim.pauses.rejected++
	key := pauseKey{instance.name, grant.Target.ID}
	if told, ok := sim.pauses.told[key]; ok && sim.now.Sub(told) > pauseReaction {
		sim.pauses.late[key]++
	}
	sim.after(delay, func() {
		if _, ok := sim.pauses.told[key]; !ok {
			sim.pauses.told[key] = sim.now
		}
		instance.ObservePause(sim.now, grant.Target, until.Sub(sim.now), balance.StatementFromResponse)
		instance.Done(sim.now, grant, balance.Observation{Result: balance.Shed, Duration: sim.now.Sub(sent), AskedForPause: true})
		request.ExcludedTargets = maps.Clone(request.ExcludedTargets)
		if request.ExcludedTargets == nil {
			request.ExcludedTargets = map[string]bool{}
		}
		request.ExcludedTargets[grant.Target.ID] = true
		request.Retry = true
		again(request)
	})
	if sim.pauses.shared {
		sim.after(delay+shareDelay, func() {
			for _, other := range sim.instances {
				other.ObservePause(sim.now, grant.Target, until.Sub(sim.now), balance.StatementFromRelay)
			}
		})
	}
}

// pauseKind tells how targets stop taking requests for some time.
type pauseKind int

const (
	pausesAsked     pauseKind = iota // They reject requests and ask for a pause.
	pausesShared                     // The same, and instances tell each other.
	recordsDraining                  // Their records say so to all instances in advance, for comparison.
)

// pauseResult is the outcome of simulatePauses.
type pauseResult struct {
	during, after requestCounts // In the pause, and in the time after it.
	rejected      int           // Requests that arrived at paused targets.
	mostLate      int           // Largest number of late requests of one instance at one target.
	mostWaiting   int           // Longest queue at a target within two seconds of the end.
}

// simulatePauses runs a site under load whose first targets ask for a pause at the
// same time.
func simulatePauses(seed uint64, scale, paused int, perSecond float64, pause time.Duration, kind pauseKind) pauseResult {
	const pausedFrom, rest = 8 * time.Second, 6 * time.Second
	sim := newScaledSimulation(seed, scale)
	sim.pauses = pauseCounts{shared: kind == pausesShared, told: map[pauseKey]time.Time{}, late: map[pauseKey]int{}}
	sim.startDuties()
	sim.scheduleRequests(perSecond)
	sim.run(pausedFrom)
	before := sim.counts
	for _, id := range sim.targetIDs()[:paused] {
		if kind == recordsDraining {
			sim.setDraining(id, true)
		} else {
			sim.targets[id].pausedUntil = start.Add(pausedFrom + pause)
		}
	}
	sim.run(pausedFrom + pause)
	if kind == recordsDraining {
		for _, id := range sim.targetIDs()[:paused] {
			sim.setDraining(id, false)
		}
	}
	result := pauseResult{during: sim.counts.since(before)}
	atEnd := sim.counts
	for end := pausedFrom + pause; end < pausedFrom+pause+2*time.Second; end += 20 * time.Millisecond {
		sim.run(end)
		for _, target := range sim.targets {
			result.mostWaiting = max(result.mostWaiting, len(target.queue))
		}
	}
	sim.run(pausedFrom + pause + rest)
	result.after, result.rejected = sim.counts.since(atEnd), sim.pauses.rejected
	for _, n := range sim.pauses.late {
		result.mostLate = max(result.mostLate, n)
	}
	return result
}

// setDraining changes the record of a target.
func (sim *simulation) setDraining(id string, draining bool) {
	record := *sim.state.Targets[id]
	record.Draining = draining
	sim.state = sim.state.Apply(sim.state.Revision+1, []steering.Update{steering.TargetUpdate{Target: &record}})
	for _, instance := range sim.instances {
		instance.SetState(sim.now, sim.state)
	}
}

func (counts requestCounts) since(before requestCounts) requestCounts {
	return requestCounts{counts.requests - before.requests, counts.inTime - before.inTime, counts.late - before.late,
		counts.refused - before.refused, counts.asked - before.asked}
}

// targetIDs returns the IDs of the targets, those of different failure domains next
// to each other.
func (sim *simulation) targetIDs() []string {
	const stride = 5 // Has no common divisor with the number of targets.
	sorted := slices.Sorted(maps.Keys(sim.targets))
	ids := make([]string, len(sorted))
	for i := range ids {
		ids[i] = sorted[i*stride%len(sorted)]
	}
	return ids
}

// Load pattern: half of the targets of a service ask for a pause at the same time.
// Guards against instances that go on asking them, callers that are served worse
// than if the instances had known of the pause in advance, and a rush at its end.
func TestPausesOfHalfOfTheTargetsCostCallersLittle(t *testing.T) {
	const seeds, maxCost = 10, 0.05
	asked, known := 0.0, 0.0
	for seed := range uint64(seeds) {
		result := simulatePauses(seed, 1, 6, 125, 4*time.Second, pausesAsked)
		ideal := simulatePauses(seed, 1, 6, 125, 4*time.Second, recordsDraining)
		t.Logf("seed %d: %+v, credit %.3f and %.3f, known in advance %.3f and %.3f", seed, result, result.during.credit(), result.after.credit(), ideal.during.credit(), ideal.after.credit())
		assert.LessOrEqual(t, result.mostLate, 2, "seed %d", seed)
		assert.LessOrEqual(t, result.mostWaiting, 10, "seed %d: two requests wait for each slot at most", seed)
		asked += (result.during.credit() + result.after.credit()) / 2 / seeds
		known += (ideal.during.credit() + ideal.after.credit()) / 2 / seeds
	}
	assert.GreaterOrEqual(t, asked, known-maxCost)
}

// Load pattern: all targets of a service ask for a pause that callers can wait for.
// Guards against callers that come back before there is room, and against a rush
// at the end of the pause.
func TestCallersReturnAfterPauseOfAllTargets(t *testing.T) {
	const pause = 600 * time.Millisecond
	for seed := range uint64(10) {
		result := simulatePauses(seed, 1, 12, 125, pause, pausesAsked)
		t.Logf("seed %d: %+v, credit %.3f after", seed, result, result.after.credit())
		assert.LessOrEqual(t, result.mostLate, 2, "seed %d", seed)
		assert.LessOrEqual(t, float64(result.after.refused), 0.05*float64(result.after.requests), "seed %d", seed)
		assert.LessOrEqual(t, result.mostWaiting, 10, "seed %d: two requests wait for each slot at most", seed)
	}
}

// Load pattern: a twelfth, half and all of the targets ask for a pause, with 8 and
// with 192 instances. Compares instances that act on what they were told themselves
// with instances that tell each other, and with targets whose records say so.
func TestPausesAtBothSizes(t *testing.T) {
	for _, scale := range []int{1, 24} {
		if scale > 1 && raceEnabled {
			continue // Takes minutes, and ten times as long with the race detector.
		}
		for _, part := range []int{1, 6, 12} {
			for _, kind := range []pauseKind{pausesAsked, pausesShared, recordsDraining} {
				result := simulatePauses(1, scale, part*scale, 125*float64(scale), 4*time.Second, kind)
				assert.LessOrEqual(t, result.mostLate, 2)
				t.Logf("%d instances, %d of 12 targets, kind %d: %d requests at paused targets, credit %.3f during, %.3f after, refused %.3f and %.3f, %d waiting",
					8*scale, part, kind, result.rejected, result.during.credit(), result.after.credit(),
					float64(result.during.refused)/float64(result.during.requests), float64(result.after.refused)/float64(result.after.requests), result.mostWaiting)
			}
		}
	}
}
