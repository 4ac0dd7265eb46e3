package quarantine

import (
	"slices"
	"time"
)

const (
	// FirstQuarantine is the length of the first quarantine of a fingerprint.
	FirstQuarantine = time.Minute
	// MaxQuarantine bounds the doubled lengths.
	MaxQuarantine = time.Hour
	// ProofLifetime is the time that a success counts as recent.
	ProofLifetime = 10 * time.Minute

	// crashesToQuarantine is the number of different targets. One crash can be
	// a coincidence.
	crashesToQuarantine = 2
)

// entry is what a guard knows about one fingerprint.
type entry struct {
	fingerprint Fingerprint
	service     string
	provenUntil time.Time
	crashed     []string // Targets that crashed with the fingerprint in flight; at most 2.
	length      time.Duration
	until       time.Time // End of the quarantine.

	flights int
	target  string        // Target of the last flight.
	changed chan struct{} // Closed when a flight ends; nil when none is in flight.
}

func (e *entry) proven(now time.Time) bool      { return now.Before(e.provenUntil) }
func (e *entry) suspect() bool                  { return len(e.crashed) > 0 }
func (e *entry) quarantined(now time.Time) bool { return now.Before(e.until) }

func (e *entry) clear() {
	e.crashed, e.length, e.until = nil, 0, time.Time{}
}

// note records a crash of a target and reports whether it is a new one.
func (e *entry) note(target string) bool {
	e.provenUntil = time.Time{}
	if slices.Contains(e.crashed, target) || len(e.crashed) == crashesToQuarantine {
		return false
	}
	e.crashed = append(e.crashed, target)
	return true
}

// isolate starts a quarantine after enough crashes, twice as long as the last.
func (e *entry) isolate(now time.Time) {
	if len(e.crashed) < crashesToQuarantine || e.quarantined(now) {
		return
	}
	e.length = min(max(2*e.length, FirstQuarantine), MaxQuarantine)
	e.until = now.Add(e.length)
}

// extend applies the remaining quarantine that a peer reports.
func (e *entry) extend(now time.Time, remaining time.Duration) {
	remaining = min(remaining, MaxQuarantine)
	if until := now.Add(remaining); until.After(e.until) {
		e.until = until
		e.length = max(e.length, remaining)
	}
}

func (e *entry) wake() {
	if e.changed != nil {
		close(e.changed)
		e.changed = nil
	}
	if e.flights > 0 {
		e.changed = make(chan struct{})
	}
}
