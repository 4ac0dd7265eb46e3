package kv

import (
	"errors"
	"fmt"
	"time"
)

const (
	// readBufferBytes is the largest part of a response that is read at a time.
	readBufferBytes = 32 << 10
	// maxReadStall is how long a response may stop arriving.
	maxReadStall = 600 * time.Millisecond
	// minReadBytesPerSecond is the rate at which a response has to arrive after
	// Call.Timeout. It is a twentieth of the slowest link of an instance.
	minReadBytesPerSecond = 64 << 10
)

// errTimeLimit is the cause of a read that exceeds its time limits.
var errTimeLimit = errors.New("the response took too long")

// IncompleteError is the cause of the error of a read whose response broke off
// or arrived too slowly.
type IncompleteError struct {
	Received int // Bytes of the body that arrived.
	Cause    error
}

// Error returns the number of received bytes and the cause.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("response incomplete after %d bytes: %v", e.Received, e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.Cause }

// readLimits computes the deadline of a read.
type readLimits struct {
	// first is the deadline of a response that has not begun, and last that of
	// any response.
	first, last time.Time
}

func newReadLimits(call Call, started time.Time) readLimits {
	return readLimits{first: started.Add(call.Timeout), last: started.Add(max(call.Timeout, call.MaxTime))}
}

// deadline returns until when the next part of a response has to arrive, given
// the number of bytes received so far, the last of them now.
func (limits readLimits) deadline(now time.Time, received int) time.Time {
	deadline := limits.first.Add(time.Duration(received) * time.Second / minReadBytesPerSecond)
	if stalled := now.Add(maxReadStall); stalled.Before(deadline) {
		deadline = stalled
	}
	if deadline.Before(limits.first) {
		deadline = limits.first
	}
	if limits.last.Before(deadline) {
		deadline = limits.last
	}
	return deadline
}
