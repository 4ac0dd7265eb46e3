package linkcap

import (
	"slices"
	"time"
)

const (
	// LoanTerm is the time that a loan lasts: for the lender from its grant,
	// for the borrower from the sending of its request.
	LoanTerm = time.Second
	// MaxLoans bounds the loans of a link in each direction.
	MaxLoans = 8
	// minLoanRequestInterval is the shortest time between two requests for a loan.
	minLoanRequestInterval = 100 * time.Millisecond
	// usageWindow is the time over which a lender measures its own use.
	usageWindow = 250 * time.Millisecond
	// reservedPercent of the own rate is never lent.
	reservedPercent = 20
)

// loan is a part of a rate that is borrowed, or lent when it is negative, until
// a time.
type loan struct {
	rate    int64
	expires time.Time
}

// LoanRequest asks a peer for rate. SentAt is taken from the borrower's clock before
// the request is sent.
type LoanRequest struct {
	Number uint64
	Rate   int64 // Bytes per second.
	SentAt time.Time
}

// Link is the bucket of one holder on a directed link, with its loans.
type Link struct {
	bucket          *Bucket
	loans           []loan        // In the order of their ends.
	pendingRequests []LoanRequest // Requests without an answer, oldest first.
	lastRequestAt   time.Time
	lastNumber      uint64
	bytesTaken      int64 // Bytes taken since usedFrom.
	windowStart     time.Time
	previousBytes   int64 // Bytes taken in the usedTerm before usedFrom.
}

// NewLink returns a link with a share in bytes per second.
func NewLink(now time.Time, share int64) *Link {
	return &Link{bucket: NewBucket(now, share), windowStart: now}
}

// advance brings loans, refill and use up to now.
func (l *Link) advance(now time.Time) {
	l.expireLoans(now)
	l.rollUsageWindow(now)
	for len(l.pendingRequests) > 0 && now.Sub(l.pendingRequests[0].SentAt) >= LoanTerm {
		l.pendingRequests = l.pendingRequests[1:]
	}
	l.bucket.refill(now)
}

// expireLoans ends the loans that are over in the order of their ends, each at its
// own time, so that the refill counts the rate that was in force.
func (l *Link) expireLoans(now time.Time) {
	for len(l.loans) > 0 && !l.loans[0].expires.After(now) {
		at := l.loans[0].expires
		if at.Before(l.bucket.refilledAt) {
			at = l.bucket.refilledAt
		}
		l.bucket.adjustBorrowed(at, -l.loans[0].rate)
		l.loans = l.loans[1:]
	}
}

func (l *Link) addLoan(now time.Time, x loan) {
	l.bucket.adjustBorrowed(now, x.rate)
	l.loans = append(l.loans, x)
	slices.SortStableFunc(l.loans, func(a, b loan) int { return a.expires.Compare(b.expires) })
}

func (l *Link) rollUsageWindow(now time.Time) {
	elapsed := now.Sub(l.windowStart)
	if elapsed < usageWindow {
		return
	}
	l.previousBytes, l.bytesTaken, l.windowStart = l.bytesTaken, 0, now
	if elapsed >= 2*usageWindow {
		l.previousBytes = 0
	}
}

// lentTotals returns the lent rate and the number of loans given.
func (l *Link) lentTotals() (rate int64, count int) {
	for _, x := range l.loans {
		if x.rate < 0 {
			rate -= x.rate
			count++
		}
	}
	return rate, count
}

// borrowedCount returns the number of loans taken.
func (l *Link) borrowedCount() int {
	_, given := l.lentTotals()
	return len(l.loans) - given
}

// Take takes bytes to write now and reports whether there were enough.
func (l *Link) Take(now time.Time, bytes int64) bool {
	l.advance(now)
	if !l.bucket.Take(now, bytes) {
		return false
	}
	l.bytesTaken += bytes
	return true
}

// MarkWritten reports that bytes that were taken have been written or will not be.
func (l *Link) MarkWritten(now time.Time, bytes int64) {
	l.advance(now)
	l.bucket.MarkWritten(now, bytes)
}

// Wait returns the time until bytes can be taken at the present rate, or false
// when they cannot.
func (l *Link) Wait(now time.Time, bytes int64) (time.Duration, bool) {
	l.advance(now)
	return l.bucket.Wait(now, bytes)
}

// Rate returns the rate in force with all loans.
func (l *Link) Rate(now time.Time) int64 {
	l.advance(now)
	return l.bucket.Rate()
}

// Burst returns the most bytes that can be taken at once.
func (l *Link) Burst() int64 { return l.bucket.Burst() }

// SetShare changes the share, after a change of the cap or of the members. When
// the share shrinks, it is in force for others only once Settled.
func (l *Link) SetShare(now time.Time, share int64) {
	l.advance(now)
	l.bucket.SetShare(now, share)
}

// WithinShare reports whether the rate with what is lent, and the unwritten bytes,
// are within the present share. A holder acknowledges a smaller share only then.
func (l *Link) WithinShare(now time.Time) bool {
	l.advance(now)
	lent, _ := l.lentTotals()
	return lent <= l.bucket.baseRate() && l.bucket.unwritten <= l.bucket.Burst()
}

// RequestLoan returns a request for rate to send to a peer, or false when one was made a
// short time ago or the loans are at their bound.
func (l *Link) RequestLoan(now time.Time, rate int64) (LoanRequest, bool) {
	l.advance(now)
	full := l.borrowedCount()+len(l.pendingRequests) >= MaxLoans
	if rate <= 0 || full || !l.lastRequestAt.IsZero() && now.Sub(l.lastRequestAt) < minLoanRequestInterval {
		return LoanRequest{}, false
	}
	l.lastRequestAt = now
	l.lastNumber++
	r := LoanRequest{Number: l.lastNumber, Rate: min(rate, maxRate), SentAt: now}
	l.pendingRequests = append(l.pendingRequests, r)
	return r, true
}

// AcceptLoan takes the answer to a request. An answer that is late, repeated or
// not to a request of this link has no effect. It reports whether the loan is
// in force.
func (l *Link) AcceptLoan(now time.Time, number uint64, rate int64) bool {
	l.advance(now)
	at := slices.IndexFunc(l.pendingRequests, func(r LoanRequest) bool { return r.Number == number })
	if at < 0 {
		return false
	}
	r := l.pendingRequests[at]
	l.pendingRequests = slices.Delete(l.pendingRequests, at, at+1)
	if rate <= 0 || rate > r.Rate {
		return false
	}
	l.addLoan(now, loan{rate: rate, expires: r.SentAt.Add(LoanTerm)})
	return true
}

// Lend grants a part of the unused rate to a peer and returns it; 0 when there
// is none to spare. An instance that borrows does not lend.
func (l *Link) Lend(now time.Time, rate int64) int64 {
	l.advance(now)
	lent, given := l.lentTotals()
	if given >= MaxLoans || l.borrowedCount() > 0 {
		return 0
	}
	used := max(l.bytesTaken, l.previousBytes) * int64(time.Second) / int64(usageWindow)
	kept := max(l.bucket.baseRate()*reservedPercent/100, used+used/4)
	granted := min(rate, l.bucket.baseRate()-lent-kept)
	if granted <= 0 {
		return 0
	}
	l.addLoan(now, loan{rate: -granted, expires: now.Add(LoanTerm)})
	return granted
}
