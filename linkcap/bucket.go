package linkcap

import (
	"math"
	"time"
)

const (
	ratePercent  = 95
	burstPercent = 5
	// maxRefillTime bounds the time that one refill counts. A bucket at its own
	// rate is full after 53 ms.
	maxRefillTime = 100 * time.Millisecond
	// maxRate keeps the arithmetic of a refill within 64 bits.
	maxRate = 12_500_000_000

	bytesPerMegabit = 1_000_000 / 8
)

// BytesPerSecond converts a cap of the policy document.
func BytesPerSecond(megabits int) int64 { return int64(megabits) * bytesPerMegabit }

// Bucket limits the bytes of one holder on one link or move.
type Bucket struct {
	share       int64 // Bytes per second.
	netBorrowed int64 // Rate borrowed less rate lent, in bytes per second.
	tokens      int64 // In bytes times nanoseconds per second.
	unwritten   int64 // Bytes that were taken and are not written yet.
	queuedBytes int64 // Bytes of reservations that wait for the bucket.
	refilledAt  time.Time
}

const tokensPerByte = int64(time.Second)

// NewBucket returns an empty bucket with a share in bytes per second.
func NewBucket(now time.Time, share int64) *Bucket {
	return &Bucket{share: clampShare(share), refilledAt: now}
}

func clampShare(share int64) int64 { return min(max(share, 0), maxRate) }

// Burst returns the most bytes that can be taken at once.
func (b *Bucket) Burst() int64 { return b.share * burstPercent / 100 }

// Rate returns the rate in force.
func (b *Bucket) Rate() int64 { return max(b.baseRate()+b.netBorrowed, 0) }

func (b *Bucket) baseRate() int64 { return b.share * ratePercent / 100 }

// refill adds the tokens of the time since the last refill. It must be called
// before the rate changes.
func (b *Bucket) refill(now time.Time) {
	elapsed := min(max(now.Sub(b.refilledAt), 0), maxRefillTime)
	b.refilledAt = now
	b.tokens += b.Rate() * int64(elapsed)
	b.limitTokens()
}

// limitTokens keeps free tokens and unwritten bytes together within the burst.
func (b *Bucket) limitTokens() {
	b.tokens = min(b.tokens, max(b.Burst()-b.unwritten, 0)*tokensPerByte)
}

// Take takes bytes to write now. It reports whether there were enough; when
// not, it takes nothing.
func (b *Bucket) Take(now time.Time, bytes int64) bool {
	b.refill(now)
	if bytes < 0 || bytes > b.tokens/tokensPerByte {
		return false
	}
	b.tokens -= bytes * tokensPerByte
	b.unwritten += bytes
	return true
}

// MarkWritten reports that bytes that were taken have been written or will not be.
func (b *Bucket) MarkWritten(now time.Time, bytes int64) {
	b.refill(now)
	b.unwritten = max(b.unwritten-bytes, 0)
}

// Wait returns the time until bytes can be taken at the present rate, or false
// when they exceed the burst or the rate is zero.
func (b *Bucket) Wait(now time.Time, bytes int64) (time.Duration, bool) {
	b.refill(now)
	missing := bytes*tokensPerByte - b.tokens
	if missing <= 0 {
		return 0, true
	}
	if bytes > b.Burst() || b.Rate() == 0 {
		return 0, false
	}
	return time.Duration((missing + b.Rate() - 1) / b.Rate()), true
}

// estimateWait returns the expected wait of bytes behind the queued ones.
func (b *Bucket) estimateWait(now time.Time, bytes int64) time.Duration {
	b.refill(now)
	if b.Rate() == 0 {
		return math.MaxInt64
	}
	missing := float64(b.queuedBytes+bytes)*float64(tokensPerByte) - float64(b.tokens)
	return time.Duration(min(max(missing, 0)/float64(b.Rate()), float64(maxWaitEstimate)))
}

// maxWaitEstimate is the longest estimate, above any wait that a caller accepts.
const maxWaitEstimate = 24 * time.Hour

// SetShare changes the share, in bytes per second, from now on.
func (b *Bucket) SetShare(now time.Time, share int64) {
	b.refill(now)
	b.share = clampShare(share)
	b.limitTokens()
}

// adjustBorrowed changes the borrowed or lent rate from now on.
func (b *Bucket) adjustBorrowed(now time.Time, rate int64) {
	b.refill(now)
	b.netBorrowed += rate
}
