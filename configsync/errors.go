package configsync

import (
	"errors"
	"fmt"
)

// FormatError reports malformed data: a record, block, key or request.
type FormatError struct {
	Record string // Kind of data, for example "head".
	Reason string
}

// Error returns the kind of data and the reason.
func (e *FormatError) Error() string { return fmt.Sprintf("configsync: %s: %s", e.Record, e.Reason) }

// SignatureError reports a head record without a valid signature by any of the
// operator keys.
type SignatureError struct {
	Version uint64
}

// Error returns the version without a valid signature.
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

// HashMismatchError reports content whose hash differs from the expected one.
type HashMismatchError struct {
	Want, Got Hash
}

// Error returns both hashes.
func (e *HashMismatchError) Error() string {
	return fmt.Sprintf("configsync: content has hash %s, want %s", e.Got, e.Want)
}

// MissingSegmentsError reports that segments, a manifest or a patch could not
// be obtained from the source they were requested from.
type MissingSegmentsError struct {
	Count int
}

// Error returns the number of missing segments.
func (e *MissingSegmentsError) Error() string {
	return fmt.Sprintf("configsync: %d segments are not available", e.Count)
}

// ConflictError reports that the published version is not the one that the
// caller's document is based on, usually because another operator published
// first. The caller's document was not published.
type ConflictError struct {
	Base     uint64 // Version that the caller's document is based on.
	Version  uint64 // Published version, 0 if there is none.
	Document []byte // Published document as JSON.
}

// Error returns the base version and the published version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configsync: based on version %d, but version %d is published", e.Base, e.Version)
}

// StalePlatformError reports that the platform holds an older version than the
// version in force, for example after a restore. Nothing can be published until
// an instance has written the version in force back.
type StalePlatformError struct {
	Platform uint64 // Version on the platform.
	InForce  uint64 // Version in force at the instance.
}

// Error returns the version on the platform and the version in force.
func (e *StalePlatformError) Error() string {
	return fmt.Sprintf("configsync: platform holds version %d, but version %d is in force", e.Platform, e.InForce)
}

// UncertainOutcomeError reports that it is unknown whether a publication took
// effect: the response to the write of the head record was lost, and the record
// could not be read back or did not decide the question.
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

// InvalidDocumentError reports a document that fails validation and cannot be
// published.
type InvalidDocumentError struct {
	Cause error
}

// Error returns the cause.
func (e *InvalidDocumentError) Error() string {
	return "configsync: document is not valid: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *InvalidDocumentError) Unwrap() error { return e.Cause }
