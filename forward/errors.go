package forward

import (
	"errors"
	"fmt"
)

// Stage says how far a failed exchange came.
type Stage int

const (
	// StageConnect means that no byte was written.
	StageConnect Stage = iota
	// StageRequestSent means that at least one byte may have been written and that
	// no complete answer head was read.
	StageRequestSent
	// StageBody means that the answer's head was read and its body was not
	// complete.
	StageBody
)

var (
	// ErrConnectionLimit means that the target's bound of connections is reached.
	ErrConnectionLimit = errors.New("connection limit of the target is reached")
	// ErrRequestBody means that the body of the request could not be read.
	ErrRequestBody = errors.New("request body ended early")
	// ErrInvalidRequest means that the request cannot be written as HTTP/1.1.
	ErrInvalidRequest = errors.New("request is not valid")
	// ErrCloseDelimited means that an answer without a declared length ended.
	ErrCloseDelimited = errors.New("answer without a declared length ended with the connection")

	errHeadTooLarge     = errors.New("answer head is too large")
	errTooManyInterim   = errors.New("too many interim answers")
	errLateResponses    = errors.New("only late answers to earlier requests arrived")
	errNoRequestID      = errors.New("answer on a kept connection does not name its request")
	errProtocolSwitched = errors.New("target switched protocols")
)

// Error is a failed exchange with a target.
type Error struct {
	Target string // ip:port.
	Stage  Stage
	// TargetClosed is true when the target closed or reset the connection before
	// its answer was complete.
	TargetClosed bool
	// StaleConnection is true when a connection that was idle before ended as soon as it
	// was used: the target had dropped it, or dropped it just then. Whether it
	// has executed the request is not known.
	StaleConnection bool
	Err             error
}

// Error describes the failure.
func (e *Error) Error() string {
	return fmt.Sprintf("target %s: %v", e.Target, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
