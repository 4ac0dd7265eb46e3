package ctl

import (
	"context"
	"fmt"
)

// Publisher reads and replaces the published document.
type Publisher interface {
	// Current returns the published document and its version. Version 0 means
	// that nothing has been published. It fails with *UnavailableError or
	// *StaleError.
	Current(ctx context.Context) (doc []byte, version uint64, err error)
	// Publish replaces the published document if its version is base, and returns
	// the new version. It fails with *RaceError, *StaleError, *UncertainError,
	// *NoKeyError or *UnavailableError. After any of these errors except
	// *UncertainError, nothing was published.
	Publish(ctx context.Context, doc []byte, base uint64) (version uint64, err error)
}

// RaceError reports that another operator published first.
type RaceError struct {
	Document []byte // Document that the other operator published.
	Version  uint64 // Version of that document.
}

func (e *RaceError) Error() string {
	return fmt.Sprintf("another operator has published version %d", e.Version)
}

// StaleError reports that the platform holds an older version than one that is
// known to be published, for example after the platform was restored from a
// backup.
type StaleError struct {
	Platform uint64 // Version that the platform holds.
	InForce  uint64 // Version known to be published.
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("the platform holds version %d, but version %d is in force; nothing was published; instances write the version in force back once they reach the platform", e.Platform, e.InForce)
}

// UncertainError reports a write whose response was lost. The write may have
// taken effect or may still take effect.
type UncertainError struct {
	Cause error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("outcome of the write is unknown: %v", e.Cause)
}

func (e *UncertainError) Unwrap() error { return e.Cause }

// NoKeyError reports that the operator has no key, or none that is accepted.
type NoKeyError struct {
	Reason string
}

func (e *NoKeyError) Error() string {
	return "no operator key: " + e.Reason
}

// UnavailableError reports that a call could not be completed, for example because
// the platform cannot be reached. Nothing was published.
type UnavailableError struct {
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable: %v", e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }
