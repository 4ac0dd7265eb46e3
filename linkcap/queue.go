package linkcap

import (
	"fmt"
	"time"
)

// MaxWaitingReservations is the maximum number of reservations that wait for a
// link.
const MaxWaitingReservations = 256

// maxChunkBytes is the largest reservation for a part of a streamed body.
const maxChunkBytes = 64 << 10

// Reason says why a reservation was refused.
type Reason string

// Reasons for refusing a reservation.
const (
	QueueFull   Reason = "queue-full"
	WaitTooLong Reason = "wait-too-long" // It cannot be granted within the caller's maximum wait.
	TooLarge    Reason = "too-large"     // Above the burst; reserve it in chunks.
)

// RefusalError reports a refused reservation. No tokens were taken.
type RefusalError struct {
	Reason Reason
	Bytes  int64
}

func (e *RefusalError) Error() string {
	return fmt.Sprintf("linkcap: reservation of %d bytes refused: %s", e.Bytes, e.Reason)
}

// Ticket is a waiting reservation.
type Ticket struct {
	Number uint64
	Bytes  int64
	// Granted reports whether the bytes may be written now; the caller must then
	// call MarkWritten. Otherwise no tokens were taken and RefusalReason is set.
	Granted       bool
	RefusalReason Reason

	move     *Bucket
	deadline time.Time
}

// Queue grants reservations on a link in order of arrival and refuses those that
// are not granted within their maximum wait.
type Queue struct {
	link       *Link
	waiting    []Ticket
	lastNumber uint64
}

func NewQueue(link *Link) *Queue { return &Queue{link: link} }

// ChunkSize returns the size of the next reservation for a body with remaining
// bytes to send. The argument move may be nil.
func (queue *Queue) ChunkSize(remaining int64, move *Bucket) int64 {
	size := min(remaining, maxChunkBytes, queue.link.Burst())
	if move != nil {
		size = min(size, move.Burst())
	}
	return max(size, 0)
}

// Reserve enqueues a reservation and returns its number; Advance grants or
// refuses it. The argument move is the bucket of the move that the traffic
// belongs to, or nil. Any error is a *RefusalError, which is returned at once if
// the estimated wait exceeds maxWait.
func (queue *Queue) Reserve(now time.Time, bytes int64, move *Bucket, maxWait time.Duration) (uint64, error) {
	if bytes <= 0 || queue.tooLarge(bytes, move) {
		return 0, &RefusalError{Reason: TooLarge, Bytes: bytes}
	}
	if len(queue.waiting) >= MaxWaitingReservations {
		return 0, &RefusalError{Reason: QueueFull, Bytes: bytes}
	}
	queue.link.advance(now)
	wait := queue.link.bucket.estimateWait(now, bytes)
	if move != nil {
		wait = max(wait, move.estimateWait(now, bytes))
	}
	if wait > maxWait {
		return 0, &RefusalError{Reason: WaitTooLong, Bytes: bytes}
	}
	queue.lastNumber++
	ticket := Ticket{Number: queue.lastNumber, Bytes: bytes, move: move, deadline: now.Add(maxWait)}
	queue.waiting = append(queue.waiting, ticket)
	queue.adjustQueued(ticket, 1)
	return ticket.Number, nil
}

func (queue *Queue) tooLarge(bytes int64, move *Bucket) bool {
	return bytes > queue.link.Burst() || move != nil && bytes > move.Burst()
}

// adjustQueued adds (sign 1) or subtracts (sign -1) a reservation in the queued
// bytes of its buckets.
func (queue *Queue) adjustQueued(ticket Ticket, sign int64) {
	queue.link.bucket.queuedBytes += sign * ticket.Bytes
	if ticket.move != nil {
		ticket.move.queuedBytes += sign * ticket.Bytes
	}
}

// Advance grants or refuses the reservations that are due and returns them. A
// reservation that waits for the bucket of its move does not block those behind
// it. A reservation that exceeds the burst after a share was reduced is refused,
// because it would block the queue.
func (queue *Queue) Advance(now time.Time) []Ticket {
	var done []Ticket
	waiting := queue.waiting[:0]
	linkBusy := false
	for _, ticket := range queue.waiting {
		switch {
		case now.After(ticket.deadline):
			ticket.RefusalReason = WaitTooLong
			done = append(done, ticket)
			queue.adjustQueued(ticket, -1)
		case queue.tooLarge(ticket.Bytes, ticket.move):
			ticket.RefusalReason = TooLarge
			done = append(done, ticket)
			queue.adjustQueued(ticket, -1)
		case !linkBusy && queue.takeBoth(now, &ticket, &linkBusy):
			ticket.Granted = true
			done = append(done, ticket)
			queue.adjustQueued(ticket, -1)
		default:
			waiting = append(waiting, ticket)
		}
	}
	queue.waiting = waiting
	return done
}

// takeBoth takes tokens from both the move's bucket, if any, and the link, or
// from neither. It sets linkBusy if the link has too few tokens.
func (queue *Queue) takeBoth(now time.Time, ticket *Ticket, linkBusy *bool) bool {
	if ticket.move != nil && !ticket.move.Take(now, ticket.Bytes) {
		return false
	}
	if queue.link.Take(now, ticket.Bytes) {
		return true
	}
	*linkBusy = true
	if ticket.move != nil {
		ticket.move.undoTake(ticket.Bytes)
	}
	return false
}

// undoTake reverts a Take that was made at the same time.
func (bucket *Bucket) undoTake(bytes int64) {
	bucket.unwritten -= bytes
	bucket.tokens += bytes * tokensPerByte
	bucket.limitTokens()
}

// MarkWritten records that the bytes of a granted reservation have been written,
// or never will be.
func (queue *Queue) MarkWritten(now time.Time, ticket Ticket) {
	queue.link.MarkWritten(now, ticket.Bytes)
	if ticket.move != nil {
		ticket.move.MarkWritten(now, ticket.Bytes)
	}
}

// TimeUntilGrant returns the time until the first waiting reservation can be
// granted. It returns false if none is waiting or the link has no rate.
func (queue *Queue) TimeUntilGrant(now time.Time) (time.Duration, bool) {
	if len(queue.waiting) == 0 {
		return 0, false
	}
	first := queue.waiting[0]
	wait, ok := queue.link.Wait(now, first.Bytes)
	if !ok || first.move == nil {
		return wait, ok
	}
	moveWait, ok := first.move.Wait(now, first.Bytes)
	return max(wait, moveWait), ok
}

// Len returns the number of waiting reservations.
func (queue *Queue) Len() int { return len(queue.waiting) }
