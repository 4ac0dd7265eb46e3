package ctl

import (
	"context"
	"fmt"
)

// Publisher reads and replaces the published document.
type Publisher interface {
	// Current returns the published document and its version; version 0 means
	// that nothing has been published. It fails with *UnavailableError or
	// *StaleError.
	Current(ctx context.Context) (doc []byte, version uint64, err error)
	// Publish replaces the document of version base and returns the new
	// version. It fails with *RaceError, *StaleError, *UncertainError,
	// *NoKeyError or *UnavailableError; except for *UncertainError nothing was
	// published.
	Publish(ctx context.Context, doc []byte, base uint64) (version uint64, err error)
}

// RaceError reports that another operator published first.
type RaceError struct {
	Document []byte // The other operator's document.
	Version  uint64 // Its version.
}

// Error implements error.
func (e *RaceError) Error() string {
	return fmt.Sprintf("another operator has published version %d", e.Version)
}

// StaleError reports that the platform holds an older version than one known
// to be published, for example after recovery from a backup.
type StaleError struct {
	Platform uint64 // Version on the platform.
	InForce  uint64 // Version known to be published.
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("the platform holds version %d, but version %d is in force; nothing was published; instances write the version in force back once they reach the platform", e.Platform, e.InForce)
}

// UncertainError reports a write whose response was lost: it may have taken
// effect, or may still do so.
type UncertainError struct {
	Cause error
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("outcome of the write is unknown: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// NoKeyError reports that the operator has no key, or none that is accepted.
type NoKeyError struct {
	Reason string
}

// Error implements error.
func (e *NoKeyError) Error() string {
	return "no operator key: " + e.Reason
}

// UnavailableError reports that the platform cannot be reached.
type UnavailableError struct {
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
