package linkcap

import (
	"fmt"
	"time"
)

// MaxWaitingReservations bounds the reservations that wait for a link.
const MaxWaitingReservations = 256

// maxChunkBytes is the largest reservation of a streaming body.
const maxChunkBytes = 64 << 10

// Reason is the cause of an Error.
type Reason string

// Reasons for refusing a reservation.
const (
	QueueFull   Reason = "queue-full"
	WaitTooLong Reason = "wait-too-long" // It would not be granted in time.
	TooLarge    Reason = "too-large"     // Above the burst; reserve it in chunks.
)

// RefusalError reports a refused reservation. Nothing was taken.
type RefusalError struct {
	Reason Reason
	Bytes  int64
}

// Error names the reason and the size.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("linkcap: reservation of %d bytes refused: %s", e.Bytes, e.Reason)
}

// Ticket is a waiting reservation.
type Ticket struct {
	Number uint64
	Bytes  int64
	// Granted is true when the bytes may be written now; Written must follow.
	// Otherwise nothing was taken, and Refused says why.
	Granted       bool
	RefusalReason Reason

	move     *Bucket
	deadline time.Time
}

// Queue grants reservations on a link in the order of their arrival, each after
// a bounded wait.
type Queue struct {
	link       *Link
	waiting    []Ticket
	lastNumber uint64
}

// NewQueue returns an empty queue for a link.
func NewQueue(link *Link) *Queue { return &Queue{link: link} }

// ChunkSize returns the size of the next reservation of a body with remaining bytes.
// Move may be nil.
func (q *Queue) ChunkSize(remaining int64, move *Bucket) int64 {
	size := min(remaining, maxChunkBytes, q.link.Burst())
	if move != nil {
		size = min(size, move.Burst())
	}
	return max(size, 0)
}

// Reserve asks for bytes within maxWait; Advance grants them. Move is the bucket
// of the traffic's move, or nil. The error is an *Error.
func (q *Queue) Reserve(now time.Time, bytes int64, move *Bucket, maxWait time.Duration) (uint64, error) {
	if bytes <= 0 || q.tooLarge(bytes, move) {
		return 0, &RefusalError{Reason: TooLarge, Bytes: bytes}
	}
	if len(q.waiting) >= MaxWaitingReservations {
		return 0, &RefusalError{Reason: QueueFull, Bytes: bytes}
	}
	q.link.advance(now)
	wait := q.link.bucket.estimateWait(now, bytes)
	if move != nil {
		wait = max(wait, move.estimateWait(now, bytes))
	}
	if wait > maxWait {
		return 0, &RefusalError{Reason: WaitTooLong, Bytes: bytes}
	}
	q.lastNumber++
	t := Ticket{Number: q.lastNumber, Bytes: bytes, move: move, deadline: now.Add(maxWait)}
	q.waiting = append(q.waiting, t)
	q.adjustQueued(t, 1)
	return t.Number, nil
}

func (q *Queue) tooLarge(bytes int64, move *Bucket) bool {
	return bytes > q.link.Burst() || move != nil && bytes > move.Burst()
}

// adjustQueued changes the queued bytes of the buckets of a reservation.
func (q *Queue) adjustQueued(t Ticket, sign int64) {
	q.link.bucket.queuedBytes += sign * t.Bytes
	if t.move != nil {
		t.move.queuedBytes += sign * t.Bytes
	}
}

// Advance returns the reservations that are granted or refused. A reservation
// that waits for its move's bucket lets others pass. One that exceeds the burst
// since a share became smaller is refused: it would block those behind it.
func (q *Queue) Advance(now time.Time) []Ticket {
	var done []Ticket
	kept := q.waiting[:0]
	linkBusy := false
	for _, t := range q.waiting {
		switch {
		case now.After(t.deadline):
			t.RefusalReason = WaitTooLong
			done = append(done, t)
			q.adjustQueued(t, -1)
		case q.tooLarge(t.Bytes, t.move):
			t.RefusalReason = TooLarge
			done = append(done, t)
			q.adjustQueued(t, -1)
		case !linkBusy && q.takeBoth(now, &t, &linkBusy):
			t.Granted = true
			done = append(done, t)
			q.adjustQueued(t, -1)
		default:
			kept = append(kept, t)
		}
	}
	q.waiting = kept
	return done
}

// takeBoth takes from the move's bucket and from the link, or from neither.
func (q *Queue) takeBoth(now time.Time, t *Ticket, linkBusy *bool) bool {
	if t.move != nil && !t.move.Take(now, t.Bytes) {
		return false
	}
	if q.link.Take(now, t.Bytes) {
		return true
	}
	*linkBusy = true
	if t.move != nil {
		t.move.undoTake(t.Bytes)
	}
	return false
}

// undoTake undoes a Take at the same time.
func (b *Bucket) undoTake(bytes int64) {
	b.unwritten -= bytes
	b.tokens += bytes * tokensPerByte
	b.limitTokens()
}

// MarkWritten reports that the bytes of a granted reservation have been written or
// will not be.
func (q *Queue) MarkWritten(now time.Time, t Ticket) {
	q.link.MarkWritten(now, t.Bytes)
	if t.move != nil {
		t.move.MarkWritten(now, t.Bytes)
	}
}

// TimeUntilGrant returns the time until the first waiting reservation may be granted,
// or false when none waits or the link has no rate.
func (q *Queue) TimeUntilGrant(now time.Time) (time.Duration, bool) {
	if len(q.waiting) == 0 {
		return 0, false
	}
	first := q.waiting[0]
	wait, ok := q.link.Wait(now, first.Bytes)
	if !ok || first.move == nil {
		return wait, ok
	}
	moveWait, ok := first.move.Wait(now, first.Bytes)
	return max(wait, moveWait), ok
}

// Len returns the number of waiting reservations.
func (q *Queue) Len() int { return len(q.waiting) }
