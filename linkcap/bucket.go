package linkcap

import (
	"math"
	"time"
)

const (
	ratePercent  = 95
	burstPercent = 5
	// maxRefillTime is the longest interval that one refill accounts for. It
	// exceeds the 53 ms in which an empty bucket fills at its base rate.
	maxRefillTime = 100 * time.Millisecond
	// maxRate, in bytes per second, keeps the refill arithmetic within 64 bits.
	maxRate = 12_500_000_000

	bytesPerMegabit = 1_000_000 / 8
)

// BytesPerSecond converts a cap of the policy document, which is in Mbit/s.
func BytesPerSecond(megabits int) int64 { return int64(megabits) * bytesPerMegabit }

// Bucket is a token bucket that limits the bytes that one instance sends over a
// link, or for a move.
type Bucket struct {
	share       int64 // Bytes per second.
	netBorrowed int64 // Borrowed rate minus lent rate, in bytes per second.
	tokens      int64 // In units of 1/tokensPerByte bytes.
	unwritten   int64 // Bytes taken but not yet written.
	queuedBytes int64 // Bytes of the reservations that wait for this bucket.
	refilledAt  time.Time
}

// tokensPerByte makes a refill exact: rate times elapsed nanoseconds.
const tokensPerByte = int64(time.Second)

// NewBucket returns an empty bucket for a share in bytes per second.
func NewBucket(now time.Time, share int64) *Bucket {
	return &Bucket{share: clampShare(share), refilledAt: now}
}

func clampShare(share int64) int64 { return min(max(share, 0), maxRate) }

// Burst returns the maximum number of bytes that can be taken at once.
func (bucket *Bucket) Burst() int64 { return bucket.share * burstPercent / 100 }

// Rate returns the refill rate in bytes per second, including loans.
func (bucket *Bucket) Rate() int64 { return max(bucket.baseRate()+bucket.netBorrowed, 0) }

// baseRate returns the refill rate without loans.
func (bucket *Bucket) baseRate() int64 { return bucket.share * ratePercent / 100 }

// refill adds the tokens earned since the last refill. It must be called before
// the rate changes.
func (bucket *Bucket) refill(now time.Time) {
	elapsed := min(max(now.Sub(bucket.refilledAt), 0), maxRefillTime)
	bucket.refilledAt = now
	bucket.tokens += bucket.Rate() * int64(elapsed)
	bucket.limitTokens()
}

// limitTokens limits the sum of available tokens and unwritten bytes to the
// burst.
func (bucket *Bucket) limitTokens() {
	bucket.tokens = min(bucket.tokens, max(bucket.Burst()-bucket.unwritten, 0)*tokensPerByte)
}

// Take takes tokens for bytes that will be written now. It reports whether
// enough tokens were available; otherwise it takes none.
func (bucket *Bucket) Take(now time.Time, bytes int64) bool {
	bucket.refill(now)
	if bytes < 0 || bytes > bucket.tokens/tokensPerByte {
		return false
	}
	bucket.tokens -= bytes * tokensPerByte
	bucket.unwritten += bytes
	return true
}

// MarkWritten records that bytes taken earlier have been written, or never will
// be.
func (bucket *Bucket) MarkWritten(now time.Time, bytes int64) {
	bucket.refill(now)
	bucket.unwritten = max(bucket.unwritten-bytes, 0)
}

// Wait returns the time until bytes can be taken at the current rate. It returns
// false if they exceed the burst or the rate is zero.
func (bucket *Bucket) Wait(now time.Time, bytes int64) (time.Duration, bool) {
	bucket.refill(now)
	missing := bytes*tokensPerByte - bucket.tokens
	if missing <= 0 {
		return 0, true
	}
	if bytes > bucket.Burst() || bucket.Rate() == 0 {
		return 0, false
	}
	return time.Duration((missing + bucket.Rate() - 1) / bucket.Rate()), true
}

// estimateWait returns the expected wait of a new reservation behind those that
// are already queued.
func (bucket *Bucket) estimateWait(now time.Time, bytes int64) time.Duration {
	bucket.refill(now)
	if bucket.Rate() == 0 {
		return math.MaxInt64
	}
	missing := float64(bucket.queuedBytes+bytes)*float64(tokensPerByte) - float64(bucket.tokens)
	return time.Duration(min(max(missing, 0)/float64(bucket.Rate()), float64(maxWaitEstimate)))
}

// maxWaitEstimate caps the estimate. It is longer than any wait that a caller
// accepts.
const maxWaitEstimate = 24 * time.Hour

// SetShare changes the share, in bytes per second, with effect from now.
func (bucket *Bucket) SetShare(now time.Time, share int64) {
	bucket.refill(now)
	bucket.share = clampShare(share)
	bucket.limitTokens()
}

// adjustBorrowed adds rate to the net borrowed rate with effect from now.
func (bucket *Bucket) adjustBorrowed(now time.Time, rate int64) {
	bucket.refill(now)
	bucket.netBorrowed += rate
}
