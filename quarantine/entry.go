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

func (e *fingerprintState) isProven(now time.Time) bool      { return now.Before(e.provenUntil) }
func (e *fingerprintState) isSuspect() bool                  { return len(e.crashedTargets) > 0 }
func (e *fingerprintState) isQuarantined(now time.Time) bool { return now.Before(e.quarantinedUntil) }

func (e *fingerprintState) clearSuspicion() {
	e.crashedTargets, e.quarantineLength, e.quarantinedUntil = nil, 0, time.Time{}
}

// addCrash records a crash of a target and reports whether it is a new one.
func (e *fingerprintState) addCrash(target string) bool {
	e.provenUntil = time.Time{}
	if slices.Contains(e.crashedTargets, target) || len(e.crashedTargets) == crashesToQuarantine {
		return false
	}
	e.crashedTargets = append(e.crashedTargets, target)
	return true
}

// startQuarantineIfDue starts a quarantine after enough crashes, twice as long as the last.
func (e *fingerprintState) startQuarantineIfDue(now time.Time) {
	if len(e.crashedTargets) < crashesToQuarantine || e.isQuarantined(now) {
		return
	}
	e.quarantineLength = min(max(2*e.quarantineLength, InitialQuarantine), MaxQuarantine)
	e.quarantinedUntil = now.Add(e.quarantineLength)
}

// extendQuarantine applies the remaining quarantine that a peer reports.
func (e *fingerprintState) extendQuarantine(now time.Time, remaining time.Duration) {
	remaining = min(remaining, MaxQuarantine)
	if until := now.Add(remaining); until.After(e.quarantinedUntil) {
		e.quarantinedUntil = until
		e.quarantineLength = max(e.quarantineLength, remaining)
	}
}

func (e *fingerprintState) wakeWaiters() {
	if e.changed != nil {
		close(e.changed)
		e.changed = nil
	}
	if e.attemptsInFlight > 0 {
		e.changed = make(chan struct{})
	}
}
