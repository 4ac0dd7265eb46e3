package linkcap

import (
	"slices"
	"time"
)

const (
	// LoanTerm is the duration of a loan. For the lender it starts with the
	// grant, for the borrower when it sends the request.
	LoanTerm = time.Second
	// MaxLoans is the maximum number of loans per link in each direction.
	MaxLoans = 8
	// minLoanRequestInterval is the minimum time between two loan requests.
	minLoanRequestInterval = 100 * time.Millisecond
	// usageWindow is the interval over which a lender measures its own traffic.
	usageWindow = 250 * time.Millisecond
	// reservedPercent is the part of the base rate that is never lent.
	reservedPercent = 20
)

// loan is rate that is borrowed, or lent if negative, until it expires.
type loan struct {
	rate    int64 // Bytes per second.
	expires time.Time
}

// LoanRequest asks a peer for rate. SentAt is read from the borrower's clock
// before the request is sent.
type LoanRequest struct {
	Number uint64
	Rate   int64 // Bytes per second.
	SentAt time.Time
}

// Link is the bucket of one instance for a link, together with its loans.
type Link struct {
	bucket          *Bucket
	loans           []loan        // Ordered by expiry.
	pendingRequests []LoanRequest // Requests without a response, oldest first.
	lastRequestAt   time.Time
	lastNumber      uint64
	bytesTaken      int64 // Bytes taken since windowStart.
	windowStart     time.Time
	previousBytes   int64 // Bytes taken in the usageWindow before windowStart.
}

// NewLink returns a link for a share in bytes per second.
func NewLink(now time.Time, share int64) *Link {
	return &Link{bucket: NewBucket(now, share), windowStart: now}
}

// advance updates the loans, the usage window, the pending requests and the
// bucket to the time now.
func (link *Link) advance(now time.Time) {
	link.expireLoans(now)
	link.rollUsageWindow(now)
	for len(link.pendingRequests) > 0 && now.Sub(link.pendingRequests[0].SentAt) >= LoanTerm {
		link.pendingRequests = link.pendingRequests[1:]
	}
	link.bucket.refill(now)
}

// expireLoans ends the expired loans in the order of their expiry, each at its
// own expiry time, so that every refill uses the rate that was in force then.
func (link *Link) expireLoans(now time.Time) {
	for len(link.loans) > 0 && !link.loans[0].expires.After(now) {
		end := link.loans[0].expires
		if end.Before(link.bucket.refilledAt) {
			end = link.bucket.refilledAt
		}
		link.bucket.adjustBorrowed(end, -link.loans[0].rate)
		link.loans = link.loans[1:]
	}
}

func (link *Link) addLoan(now time.Time, added loan) {
	link.bucket.adjustBorrowed(now, added.rate)
	link.loans = append(link.loans, added)
	slices.SortStableFunc(link.loans, func(a, b loan) int { return a.expires.Compare(b.expires) })
}

// rollUsageWindow starts a new usage window when the current one is complete.
func (link *Link) rollUsageWindow(now time.Time) {
	elapsed := now.Sub(link.windowStart)
	if elapsed < usageWindow {
		return
	}
	link.previousBytes, link.bytesTaken, link.windowStart = link.bytesTaken, 0, now
	if elapsed >= 2*usageWindow {
		link.previousBytes = 0
	}
}

// lentTotals returns the total rate lent to peers and the number of these loans.
func (link *Link) lentTotals() (rate int64, count int) {
	for _, l := range link.loans {
		if l.rate < 0 {
			rate -= l.rate
			count++
		}
	}
	return rate, count
}

// borrowedCount returns the number of loans borrowed from peers.
func (link *Link) borrowedCount() int {
	_, lentCount := link.lentTotals()
	return len(link.loans) - lentCount
}

// Take takes tokens for bytes that will be written now and reports whether
// enough were available.
func (link *Link) Take(now time.Time, bytes int64) bool {
	link.advance(now)
	if !link.bucket.Take(now, bytes) {
		return false
	}
	link.bytesTaken += bytes
	return true
}

// MarkWritten records that bytes taken earlier have been written, or never will
// be.
func (link *Link) MarkWritten(now time.Time, bytes int64) {
	link.advance(now)
	link.bucket.MarkWritten(now, bytes)
}

// Wait returns the time until bytes can be taken at the current rate. It returns
// false if they exceed the burst or the rate is zero.
func (link *Link) Wait(now time.Time, bytes int64) (time.Duration, bool) {
	link.advance(now)
	return link.bucket.Wait(now, bytes)
}

// Rate returns the rate in bytes per second, including loans.
func (link *Link) Rate(now time.Time) int64 {
	link.advance(now)
	return link.bucket.Rate()
}

// Burst returns the maximum number of bytes that can be taken at once.
func (link *Link) Burst() int64 { return link.bucket.Burst() }

// SetShare changes the share after a change of the cap or of the member table.
// Peers may rely on a reduced share only once WithinShare returns true.
func (link *Link) SetShare(now time.Time, share int64) {
	link.advance(now)
	link.bucket.SetShare(now, share)
}

// WithinShare reports whether the lent rate and the unwritten bytes fit into the
// current share. An instance acknowledges a reduced share only once they do.
func (link *Link) WithinShare(now time.Time) bool {
	link.advance(now)
	lent, _ := link.lentTotals()
	return lent <= link.bucket.baseRate() && link.bucket.unwritten <= link.bucket.Burst()
}

// RequestLoan returns a request for rate that the caller sends to a peer. It
// returns false within minLoanRequestInterval of the previous request, and when
// loans and pending requests together have reached MaxLoans.
func (link *Link) RequestLoan(now time.Time, rate int64) (LoanRequest, bool) {
	link.advance(now)
	atLimit := link.borrowedCount()+len(link.pendingRequests) >= MaxLoans
	if rate <= 0 || atLimit || !link.lastRequestAt.IsZero() && now.Sub(link.lastRequestAt) < minLoanRequestInterval {
		return LoanRequest{}, false
	}
	link.lastRequestAt = now
	link.lastNumber++
	request := LoanRequest{Number: link.lastNumber, Rate: min(rate, maxRate), SentAt: now}
	link.pendingRequests = append(link.pendingRequests, request)
	return request, true
}

// AcceptLoan processes the response to a loan request and reports whether the
// loan is in force. A response that is late, a duplicate, or not to a request of
// this link has no effect.
func (link *Link) AcceptLoan(now time.Time, number uint64, rate int64) bool {
	link.advance(now)
	index := slices.IndexFunc(link.pendingRequests, func(request LoanRequest) bool { return request.Number == number })
	if index < 0 {
		return false
	}
	request := link.pendingRequests[index]
	link.pendingRequests = slices.Delete(link.pendingRequests, index, index+1)
	if rate <= 0 || rate > request.Rate {
		return false
	}
	link.addLoan(now, loan{rate: rate, expires: request.SentAt.Add(LoanTerm)})
	return true
}

// Lend lends unused rate to a peer and returns the rate granted, or 0 if there
// is none to spare. An instance that has borrowed rate does not lend.
func (link *Link) Lend(now time.Time, rate int64) int64 {
	link.advance(now)
	lent, lentCount := link.lentTotals()
	if lentCount >= MaxLoans || link.borrowedCount() > 0 {
		return 0
	}
	used := max(link.bytesTaken, link.previousBytes) * int64(time.Second) / int64(usageWindow)
	reserved := max(link.bucket.baseRate()*reservedPercent/100, used+used/4)
	granted := min(rate, link.bucket.baseRate()-lent-reserved)
	if granted <= 0 {
		return 0
	}
	link.addLoan(now, loan{rate: -granted, expires: now.Add(LoanTerm)})
	return granted
}
