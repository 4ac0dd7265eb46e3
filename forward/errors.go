package forward

import (
	"errors"
	"strings"
)

// Stage is the point that a failed exchange had reached.
type Stage int

const (
	// StageConnect means that no byte of the request was written.
	StageConnect Stage = iota
	// StageRequestSent means that at least one byte of the request may have been
	// written, and that no complete response head was read.
	StageRequestSent
	// StageBody means that the response head was read but the body was
	// incomplete.
	StageBody
)

var (
	// ErrConnectionLimit means that Target.MaxConnections connections are in use.
	ErrConnectionLimit = errors.New("connection limit of the target reached")
	// ErrRequestBody means that the request body could not be read to its end.
	ErrRequestBody = errors.New("request body truncated")
	// ErrInvalidRequest means that the request cannot be written as HTTP/1.1.
	ErrInvalidRequest = errors.New("invalid request")
	// ErrCloseDelimited means that a response without a declared length ended
	// with the connection, so a truncated body cannot be ruled out.
	ErrCloseDelimited = errors.New("response without a declared length ended with the connection")

	errHeadTooLarge     = errors.New("response head exceeds the size limit")
	errTooManyInterim   = errors.New("too many interim (1xx) responses")
	errLateResponses    = errors.New("connection carries late responses to earlier requests that cannot be skipped")
	errNoRequestID      = errors.New("response on a reused connection has no request ID")
	errAmbiguousHead    = errors.New("response head is not valid HTTP/1")
	errProtocolSwitched = errors.New("target switched protocols")
)

// Error is a failed exchange with a target.
type Error struct {
	Target string // ip:port.
	Stage  Stage
	// TargetClosed is true when the target closed or reset the connection before
	// its response was complete.
	TargetClosed bool
	// StaleConnection is true when a reused connection ended as soon as the
	// request was sent: the target had closed the idle connection, or closed it
	// at that moment. Whether the target executed the request is unknown.
	StaleConnection bool
	Err             error
}

// maxErrorBytes is the length to which the text of an error is cut. Errors of the
// HTTP parser quote what the target has sent.
const maxErrorBytes = 512

func (e *Error) Error() string {
	text := e.Err.Error()
	if len(text) > maxErrorBytes {
		text = strings.ToValidUTF8(text[:maxErrorBytes], "") + "..."
	}
	return "target " + e.Target + ": " + text
}

func (e *Error) Unwrap() error { return e.Err }
