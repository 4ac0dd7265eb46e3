package configsync

import (
	"errors"
	"fmt"
)

// FormatError reports a record that cannot be decoded.
type FormatError struct {
	Record string // Kind of record, for example "head".
	Reason string
}

// Error returns the kind of record and the reason.
func (e *FormatError) Error() string { return fmt.Sprintf("configsync: %s: %s", e.Record, e.Reason) }

// SignatureError reports a head record that no operator key signed.
type SignatureError struct {
	Version uint64
}

// Error returns the version that is not signed.
func (e *SignatureError) Error() string {
	return fmt.Sprintf("configsync: version %d: no operator key signed the head record", e.Version)
}

var (
	errNoSigner      = errors.New("the publisher has no signing function")
	errSignatureSize = errors.New("the signature does not have the size of an Ed25519 signature")
)

// SigningError reports that a head record could not be signed. Nothing was
// published.
type SigningError struct {
	Version uint64
	Cause   error
}

// Error returns the version and the cause.
func (e *SigningError) Error() string {
	return fmt.Sprintf("configsync: version %d is not signed: %v", e.Version, e.Cause)
}

// Unwrap returns the cause.
func (e *SigningError) Unwrap() error { return e.Cause }

// HashMismatchError reports content whose hash is not the expected one.
type HashMismatchError struct {
	Want, Got Hash
}

// Error returns both hashes.
func (e *HashMismatchError) Error() string {
	return fmt.Sprintf("configsync: content has hash %s, want %s", e.Got, e.Want)
}

// MissingSegmentsError reports segments that are not available.
type MissingSegmentsError struct {
	Count int
}

// Error returns the number of segments.
func (e *MissingSegmentsError) Error() string {
	return fmt.Sprintf("configsync: %d segments are not available", e.Count)
}

// ConflictError reports that another operator published first. The document
// of the caller was not published.
type ConflictError struct {
	Base     uint64 // Version that the caller's document was based on.
	Version  uint64 // Version that is published.
	Document []byte // Published document.
}

// Error returns both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configsync: based on version %d, but version %d is published", e.Base, e.Version)
}

// StalePlatformError reports that the platform holds an older version than the one in
// force, so that nothing can be published until it has been written back.
type StalePlatformError struct {
	Platform uint64 // Version on the platform.
	InForce  uint64
}

// Error returns both versions.
func (e *StalePlatformError) Error() string {
	return fmt.Sprintf("configsync: platform holds version %d, but version %d is in force", e.Platform, e.InForce)
}

// UncertainOutcomeError reports that a publication may or may not have taken effect,
// because the head record could not be read back.
type UncertainOutcomeError struct {
	Version uint64
	Cause   error
}

// Error returns the version and the cause.
func (e *UncertainOutcomeError) Error() string {
	return fmt.Sprintf("configsync: version %d may or may not be published: %v", e.Version, e.Cause)
}

// Unwrap returns the cause.
func (e *UncertainOutcomeError) Unwrap() error { return e.Cause }

// InvalidDocumentError reports a document that cannot be published.
type InvalidDocumentError struct {
	Cause error
}

// Error returns the cause.
func (e *InvalidDocumentError) Error() string {
	return "configsync: document is not valid: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *InvalidDocumentError) Unwrap() error { return e.Cause }
