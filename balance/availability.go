package balance

import (
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

// A target may state in its responses that it is leaving, or ask an instance for a
// pause when it rejects a request. Both statements concern one incarnation of the
// target, also when its record disappears and returns. Each instance acts on the
// responses that it has received or relayed itself: a pause is asked of one
// instance, and an instance with a bad view of a target must not take it from all.

const (
	// maxPause is the longest pause that is kept. A longer one is more likely a
	// mistake than a need, and a target that means it asks again.
	maxPause = 10 * time.Minute
	// trialAfter is the time after which one request may be sent to a target in
	// the middle of a long pause, since nothing else would tell that the target
	// takes requests again.
	trialAfter = 30 * time.Second
	// maxResumeDelay limits the random time that is added to a pause, so that the
	// instances that a target asked at the same time do not return together.
	maxResumeDelay = 500 * time.Millisecond
	// recoveryRetryAfter is the Retry-After while a target that has ended its pause
	// gets single requests.
	recoveryRetryAfter = 200 * time.Millisecond
	// maxAvailabilityChanges limits the changes kept for AvailabilityChanges.
	maxAvailabilityChanges = 256
)

// StatementSource tells how an instance learned of a target's statement.
type StatementSource string

// Sources of statements.
const (
	StatementFromResponse StatementSource = "response" // Response to a request of this instance.
	StatementFromRelay    StatementSource = "relay"    // Response or refusal that passed through a relay.
)

// AvailabilityChange is a change of what an instance believes about a target's
// availability.
type AvailabilityChange struct {
	Target  string
	Leaving bool
	Paused  bool
	For     time.Duration // Length of the pause, as it is kept; valid while Paused.
	Source  StatementSource
}

// availability is what an incarnation of a target has stated about the requests
// that it takes.
type availability struct {
	leaving     bool
	paused      bool      // Until pausedUntil; reset by endPauses or a successful trial.
	pausedUntil time.Time // Includes the random delay.
	trialAt     time.Time // When one request may be sent during the pause; zero for none.
	// recoveryLimit is the largest number of own requests in flight after a pause.
	// It doubles with each response; 0 means no limit.
	recoveryLimit int
	refreshedAt   time.Time // Of the latest statement, or when the record disappeared.
	// limit and coldUntil are valid while the incarnation has no record. Otherwise
	// those of target apply.
	limit     limitStatement
	coldUntil time.Time
}

// ObserveLeaving records that a response of a target states that it is leaving.
// This holds until the target starts again.
func (balancer *Balancer) ObserveLeaving(now time.Time, record *steering.Target, source StatementSource) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	state := balancer.availabilityOf(now, record)
	if state.leaving {
		return
	}
	state.leaving = true
	if t := balancer.currentTarget(record); t != nil {
		balancer.indexTargets(balancer.service(t.record.Service))
	}
	balancer.noteAvailability(record, AvailabilityChange{Leaving: true, Paused: state.paused, Source: source})
}

// ObservePause records that a target has asked this instance for a pause. A shorter
// pause does not end a longer one.
func (balancer *Balancer) ObservePause(now time.Time, record *steering.Target, pause time.Duration, source StatementSource) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	if pause <= 0 {
		return
	}
	pause = min(maxPause, pause)
	state := balancer.availabilityOf(now, record)
	ongoing := state.paused && now.Before(state.pausedUntil)
	if ongoing && !now.Add(pause).After(state.pausedUntil) {
		return
	}
	delay := time.Duration(balancer.options.Random(int64(min(maxResumeDelay, pause/2)) + 1))
	if !ongoing {
		balancer.noteAvailability(record, AvailabilityChange{Leaving: state.leaving, Paused: true, For: pause + delay, Source: source})
		state.trialAt = time.Time{}
		if pause > trialAfter {
			state.trialAt = now.Add(trialAfter)
		}
	}
	state.paused, state.pausedUntil, state.recoveryLimit = true, now.Add(pause+delay), 1
}

// pauseWait returns the time until a request may be sent to a target as far as its
// pause is concerned; 0 means now.
func (balancer *Balancer) pauseWait(now time.Time, t *target) time.Duration {
	state := t.availability
	switch {
	case state == nil:
		return 0
	case now.Before(state.pausedUntil) && state.paused:
		if !state.trialAt.IsZero() && !now.Before(state.trialAt) {
			return 0
		}
		return state.pausedUntil.Sub(now)
	case state.recoveryLimit > 0 && t.ownInFlight >= state.recoveryLimit:
		return recoveryRetryAfter
	}
	return 0
}

// useTrial records that a request is sent to a target. It reports whether the
// request is the trial of a pause.
func (state *availability) useTrial(now time.Time) bool {
	if state == nil || !state.paused || !now.Before(state.pausedUntil) {
		return false
	}
	state.trialAt = time.Time{}
	return true
}

// recordExecution records that a target has executed a request. It ends a pause if
// the request was its trial, and raises the number of requests in flight after a
// pause.
func (balancer *Balancer) recordExecution(t *target, trial bool) {
	state := t.availability
	if state == nil || state.recoveryLimit == 0 || state.paused && !trial {
		return
	}
	if state.paused {
		balancer.endPause(t)
	}
	if state.recoveryLimit *= 2; state.recoveryLimit >= t.record.Slots {
		state.recoveryLimit = 0
	}
}

func (balancer *Balancer) endPause(t *target) {
	t.availability.paused = false
	balancer.noteAvailability(t.record, AvailabilityChange{Leaving: t.availability.leaving})
}

// expirePauses ends the pauses that are over.
func (balancer *Balancer) expirePauses(now time.Time) {
	for key, state := range balancer.availabilities {
		if !state.paused || now.Before(state.pausedUntil) {
			continue
		}
		state.paused = false
		if t := balancer.targets[key.id]; t != nil && t.availability == state {
			balancer.noteAvailability(t.record, AvailabilityChange{Leaving: state.leaving})
		}
	}
}

// takesRequests reports whether a target may get requests as far as its record and
// its statement that it is leaving are concerned.
func (balancer *Balancer) takesRequests(record *steering.Target) bool {
	if t := balancer.targets[record.ID]; t != nil && t.availability != nil && t.availability.leaving && t.record.SameIncarnation(record) {
		return false
	}
	return balancer.state.Usable(record)
}

// noteAvailability keeps a change for AvailabilityChanges, unless it concerns an
// earlier incarnation of the target than the current one.
func (balancer *Balancer) noteAvailability(record *steering.Target, change AvailabilityChange) {
	if t := balancer.targets[record.ID]; t != nil && !t.record.SameIncarnation(record) {
		return
	}
	change.Target = record.ID
	if len(balancer.availabilityChanges) < maxAvailabilityChanges {
		balancer.availabilityChanges = append(balancer.availabilityChanges, change)
	}
}

// AvailabilityChanges returns the changes since the last call.
func (balancer *Balancer) AvailabilityChanges() []AvailabilityChange {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	changes := balancer.availabilityChanges
	balancer.availabilityChanges = nil
	return changes
}

// UnavailableTargets returns the numbers of targets that are leaving or paused,
// according to their statements to this instance.
func (balancer *Balancer) UnavailableTargets() (leaving, paused int) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	for _, t := range balancer.targets {
		switch state := t.availability; {
		case state == nil:
		case state.leaving:
			leaving++
		case state.paused:
			paused++
		}
	}
	return leaving, paused
}
