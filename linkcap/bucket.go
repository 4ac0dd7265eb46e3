package linkcap

import (
	"math"
	"time"
)

const (
	ratePercent  = 95
	burstPercent = 5
	// refillLimit bounds the time that one refill counts. A bucket at its own
	// rate is full after 53 ms.
	refillLimit = 100 * time.Millisecond
	// maxRate keeps the arithmetic of a refill within 64 bits.
	maxRate = 12_500_000_000

	bytesPerMegabit = 1_000_000 / 8
)

// BytesPerSecond converts a cap of the policy document.
func BytesPerSecond(megabits int) int64 { return int64(megabits) * bytesPerMegabit }

// Bucket limits the bytes of one holder on one link or move.
type Bucket struct {
	share    int64 // Bytes per second.
	extra    int64 // Rate borrowed less rate lent, in bytes per second.
	tokens   int64 // In bytes times nanoseconds per second.
	unsent   int64 // Bytes that were taken and are not written yet.
	queued   int64 // Bytes of reservations that wait for the bucket.
	refilled time.Time
}

const tokenUnit = int64(time.Second)

// NewBucket returns an empty bucket with a share in bytes per second.
func NewBucket(now time.Time, share int64) *Bucket {
	return &Bucket{share: bounded(share), refilled: now}
}

func bounded(share int64) int64 { return min(max(share, 0), maxRate) }

// Burst returns the most bytes that can be taken at once.
func (b *Bucket) Burst() int64 { return b.share * burstPercent / 100 }

// Rate returns the rate in force.
func (b *Bucket) Rate() int64 { return max(b.ownRate()+b.extra, 0) }

func (b *Bucket) ownRate() int64 { return b.share * ratePercent / 100 }

// refill adds the tokens of the time since the last refill. It must be called
// before the rate changes.
func (b *Bucket) refill(now time.Time) {
	elapsed := min(max(now.Sub(b.refilled), 0), refillLimit)
	b.refilled = now
	b.tokens += b.Rate() * int64(elapsed)
	b.clip()
}

// clip keeps free tokens and unwritten bytes together within the burst.
func (b *Bucket) clip() {
	b.tokens = min(b.tokens, max(b.Burst()-b.unsent, 0)*tokenUnit)
}

// Take takes bytes to write now. It reports whether there were enough; when
// not, it takes nothing.
func (b *Bucket) Take(now time.Time, bytes int64) bool {
	b.refill(now)
	if bytes < 0 || bytes > b.tokens/tokenUnit {
		return false
	}
	b.tokens -= bytes * tokenUnit
	b.unsent += bytes
	return true
}

// Written reports that bytes that were taken have been written or will not be.
func (b *Bucket) Written(now time.Time, bytes int64) {
	b.refill(now)
	b.unsent = max(b.unsent-bytes, 0)
}

// Wait returns the time until bytes can be taken at the present rate, or false
// when they exceed the burst or the rate is zero.
func (b *Bucket) Wait(now time.Time, bytes int64) (time.Duration, bool) {
	b.refill(now)
	missing := bytes*tokenUnit - b.tokens
	if missing <= 0 {
		return 0, true
	}
	if bytes > b.Burst() || b.Rate() == 0 {
		return 0, false
	}
	return time.Duration((missing + b.Rate() - 1) / b.Rate()), true
}

// estimate returns the expected wait of bytes behind the queued ones.
func (b *Bucket) estimate(now time.Time, bytes int64) time.Duration {
	b.refill(now)
	if b.Rate() == 0 {
		return math.MaxInt64
	}
	missing := float64(b.queued+bytes)*float64(tokenUnit) - float64(b.tokens)
	return time.Duration(min(max(missing, 0)/float64(b.Rate()), float64(refusedWait)))
}

// refusedWait is the longest estimate, above any wait that a caller accepts.
const refusedWait = 24 * time.Hour

// SetShare changes the share, in bytes per second, from now on.
func (b *Bucket) SetShare(now time.Time, share int64) {
	b.refill(now)
	b.share = bounded(share)
	b.clip()
}

// addExtra changes the borrowed or lent rate from now on.
func (b *Bucket) addExtra(now time.Time, rate int64) {
	b.refill(now)
	b.extra += rate
}
