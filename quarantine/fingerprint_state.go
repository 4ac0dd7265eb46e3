package quarantine

import (
	"slices"
	"time"
)

const (
	// InitialQuarantine is the duration of the first quarantine of a fingerprint.
	InitialQuarantine = time.Minute
	// MaxQuarantine limits the duration, which doubles with each quarantine.
	MaxQuarantine = time.Hour
	// ProvenTTL is the time for which a fingerprint is proven after a success.
	ProvenTTL = 10 * time.Minute

	// crashesToQuarantine is the number of different targets that must crash. A
	// crash of one target can be a coincidence.
	crashesToQuarantine = 2
)

// fingerprintState is what a guard knows about one fingerprint.
type fingerprintState struct {
	fingerprint      Fingerprint
	service          string
	provenUntil      time.Time
	crashedTargets   []string      // Targets that crashed with the fingerprint in flight; at most crashesToQuarantine.
	quarantineLength time.Duration // Of the current or last quarantine.
	quarantinedUntil time.Time

	attemptsInFlight int
	lastTarget       string        // Target of the latest attempt.
	changed          chan struct{} // Closed when an attempt ends; nil while none is in flight.
}

func (state *fingerprintState) isProven(now time.Time) bool { return now.Before(state.provenUntil) }
func (state *fingerprintState) isSuspect() bool             { return len(state.crashedTargets) > 0 }
func (state *fingerprintState) isQuarantined(now time.Time) bool {
	return now.Before(state.quarantinedUntil)
}

func (state *fingerprintState) clearSuspicion() {
	state.crashedTargets, state.quarantineLength, state.quarantinedUntil = nil, 0, time.Time{}
}

// addCrash records the crash of a target, after which the fingerprint is no longer
// proven. It reports whether the target was added to crashedTargets.
func (state *fingerprintState) addCrash(target string) bool {
	state.provenUntil = time.Time{}
	if slices.Contains(state.crashedTargets, target) || len(state.crashedTargets) == crashesToQuarantine {
		return false
	}
	state.crashedTargets = append(state.crashedTargets, target)
	return true
}

// startQuarantineIfDue starts a quarantine if enough targets have crashed and none
// is in force. It lasts twice as long as the last one.
func (state *fingerprintState) startQuarantineIfDue(now time.Time) {
	if len(state.crashedTargets) < crashesToQuarantine || state.isQuarantined(now) {
		return
	}
	state.quarantineLength = min(max(2*state.quarantineLength, InitialQuarantine), MaxQuarantine)
	state.quarantinedUntil = now.Add(state.quarantineLength)
}

// extendQuarantine extends the quarantine to the time remaining at a peer.
func (state *fingerprintState) extendQuarantine(now time.Time, remaining time.Duration) {
	remaining = min(remaining, MaxQuarantine)
	if until := now.Add(remaining); until.After(state.quarantinedUntil) {
		state.quarantinedUntil = until
		state.quarantineLength = max(state.quarantineLength, remaining)
	}
}

// wakeWaiters wakes the requests that wait for the end of an attempt.
func (state *fingerprintState) wakeWaiters() {
	if state.changed != nil {
		close(state.changed)
		state.changed = nil
	}
	if state.attemptsInFlight > 0 {
		state.changed = make(chan struct{})
	}
}
