package quarantine

import (
	"slices"
	"time"
)

const (
	// InitialQuarantine is the length of the first quarantine of a fingerprint.
	InitialQuarantine = time.Minute
	// MaxQuarantine bounds the doubled lengths.
	MaxQuarantine = time.Hour
	// ProvenTTL is the time that a success counts as recent.
	ProvenTTL = 10 * time.Minute

	// crashesToQuarantine is the number of different targets. One crash can be
	// a coincidence.
	crashesToQuarantine = 2
)

// fingerprintState is what a guard knows about one fingerprint.
type fingerprintState struct {
	fingerprint      Fingerprint
	service          string
	provenUntil      time.Time
	crashedTargets   []string // Targets that crashed with the fingerprint in flight; at most 2.
	quarantineLength time.Duration
	quarantinedUntil time.Time // End of the quarantine.

	attemptsInFlight int
	lastTarget       string        // Target of the last flight.
	changed          chan struct{} // Closed when a flight ends; nil when none is in flight.
}

func (state *fingerprintState) isProven(now time.Time) bool { return now.Before(state.provenUntil) }
func (state *fingerprintState) isSuspect() bool             { return len(state.crashedTargets) > 0 }
func (state *fingerprintState) isQuarantined(now time.Time) bool {
	return now.Before(state.quarantinedUntil)
}

func (state *fingerprintState) clearSuspicion() {
	state.crashedTargets, state.quarantineLength, state.quarantinedUntil = nil, 0, time.Time{}
}

// addCrash records a crash of a target and reports whether it is a new one.
func (state *fingerprintState) addCrash(target string) bool {
	state.provenUntil = time.Time{}
	if slices.Contains(state.crashedTargets, target) || len(state.crashedTargets) == crashesToQuarantine {
		return false
	}
	state.crashedTargets = append(state.crashedTargets, target)
	return true
}

// startQuarantineIfDue starts a quarantine after enough crashes, twice as long as the last.
func (state *fingerprintState) startQuarantineIfDue(now time.Time) {
	if len(state.crashedTargets) < crashesToQuarantine || state.isQuarantined(now) {
		return
	}
	state.quarantineLength = min(max(2*state.quarantineLength, InitialQuarantine), MaxQuarantine)
	state.quarantinedUntil = now.Add(state.quarantineLength)
}

// extendQuarantine applies the remaining quarantine that a peer reports.
func (state *fingerprintState) extendQuarantine(now time.Time, remaining time.Duration) {
	remaining = min(remaining, MaxQuarantine)
	if until := now.Add(remaining); until.After(state.quarantinedUntil) {
		state.quarantinedUntil = until
		state.quarantineLength = max(state.quarantineLength, remaining)
	}
}

func (state *fingerprintState) wakeWaiters() {
	if state.changed != nil {
		close(state.changed)
		state.changed = nil
	}
	if state.attemptsInFlight > 0 {
		state.changed = make(chan struct{})
	}
}
