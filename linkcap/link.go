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
	// askInterval is the shortest time between two requests for a loan.
	askInterval = 100 * time.Millisecond
	// usedTerm is the time over which a lender measures its own use.
	usedTerm = 250 * time.Millisecond
	// keepPercent of the own rate is never lent.
	keepPercent = 20
)

// loan is a part of a rate that is borrowed, or lent when it is negative, until
// a time.
type loan struct {
	rate int64
	end  time.Time
}

// Request asks a peer for rate. SentAt is taken from the borrower's clock before
// the request is sent.
type Request struct {
	Number uint64
	Rate   int64 // Bytes per second.
	SentAt time.Time
}

// Link is the bucket of one holder on a directed link, with its loans.
type Link struct {
	bucket   *Bucket
	loans    []loan    // In the order of their ends.
	asked    []Request // Requests without an answer, oldest first.
	lastAsk  time.Time
	numbers  uint64
	used     int64 // Bytes taken since usedFrom.
	usedFrom time.Time
	lastUsed int64 // Bytes taken in the usedTerm before usedFrom.
}

// NewLink returns a link with a share in bytes per second.
func NewLink(now time.Time, share int64) *Link {
	return &Link{bucket: NewBucket(now, share), usedFrom: now}
}

// advance brings loans, refill and use up to now.
func (l *Link) advance(now time.Time) {
	l.endLoans(now)
	l.measureUse(now)
	for len(l.asked) > 0 && now.Sub(l.asked[0].SentAt) >= LoanTerm {
		l.asked = l.asked[1:]
	}
	l.bucket.refill(now)
}

// endLoans ends the loans that are over in the order of their ends, each at its
// own time, so that the refill counts the rate that was in force.
func (l *Link) endLoans(now time.Time) {
	for len(l.loans) > 0 && !l.loans[0].end.After(now) {
		at := l.loans[0].end
		if at.Before(l.bucket.refilled) {
			at = l.bucket.refilled
		}
		l.bucket.addExtra(at, -l.loans[0].rate)
		l.loans = l.loans[1:]
	}
}

func (l *Link) addLoan(now time.Time, x loan) {
	l.bucket.addExtra(now, x.rate)
	l.loans = append(l.loans, x)
	slices.SortStableFunc(l.loans, func(a, b loan) int { return a.end.Compare(b.end) })
}

func (l *Link) measureUse(now time.Time) {
	elapsed := now.Sub(l.usedFrom)
	if elapsed < usedTerm {
		return
	}
	l.lastUsed, l.used, l.usedFrom = l.used, 0, now
	if elapsed >= 2*usedTerm {
		l.lastUsed = 0
	}
}

// lent returns the lent rate and the number of loans given.
func (l *Link) lent() (rate int64, count int) {
	for _, x := range l.loans {
		if x.rate < 0 {
			rate -= x.rate
			count++
		}
	}
	return rate, count
}

// borrowed returns the number of loans taken.
func (l *Link) borrowed() int {
	_, given := l.lent()
	return len(l.loans) - given
}

// Take takes bytes to write now and reports whether there were enough.
func (l *Link) Take(now time.Time, bytes int64) bool {
	l.advance(now)
	if !l.bucket.Take(now, bytes) {
		return false
	}
	l.used += bytes
	return true
}

// Written reports that bytes that were taken have been written or will not be.
func (l *Link) Written(now time.Time, bytes int64) {
	l.advance(now)
	l.bucket.Written(now, bytes)
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

// Settled reports whether the rate with what is lent, and the unwritten bytes,
// are within the present share. A holder acknowledges a smaller share only then.
func (l *Link) Settled(now time.Time) bool {
	l.advance(now)
	lent, _ := l.lent()
	return lent <= l.bucket.ownRate() && l.bucket.unsent <= l.bucket.Burst()
}

// Ask returns a request for rate to send to a peer, or false when one was made a
// short time ago or the loans are at their bound.
func (l *Link) Ask(now time.Time, rate int64) (Request, bool) {
	l.advance(now)
	full := l.borrowed()+len(l.asked) >= MaxLoans
	if rate <= 0 || full || !l.lastAsk.IsZero() && now.Sub(l.lastAsk) < askInterval {
		return Request{}, false
	}
	l.lastAsk = now
	l.numbers++
	r := Request{Number: l.numbers, Rate: min(rate, maxRate), SentAt: now}
	l.asked = append(l.asked, r)
	return r, true
}

// Granted takes the answer to a request. An answer that is late, repeated or
// not to a request of this link has no effect. It reports whether the loan is
// in force.
func (l *Link) Granted(now time.Time, number uint64, rate int64) bool {
	l.advance(now)
	at := slices.IndexFunc(l.asked, func(r Request) bool { return r.Number == number })
	if at < 0 {
		return false
	}
	r := l.asked[at]
	l.asked = slices.Delete(l.asked, at, at+1)
	if rate <= 0 || rate > r.Rate {
		return false
	}
	l.addLoan(now, loan{rate: rate, end: r.SentAt.Add(LoanTerm)})
	return true
}

// Lend grants a part of the unused rate to a peer and returns it; 0 when there
// is none to spare. An instance that borrows does not lend.
func (l *Link) Lend(now time.Time, rate int64) int64 {
	l.advance(now)
	lent, given := l.lent()
	if given >= MaxLoans || l.borrowed() > 0 {
		return 0
	}
	used := max(l.used, l.lastUsed) * int64(time.Second) / int64(usedTerm)
	kept := max(l.bucket.ownRate()*keepPercent/100, used+used/4)
	granted := min(rate, l.bucket.ownRate()-lent-kept)
	if granted <= 0 {
		return 0
	}
	l.addLoan(now, loan{rate: -granted, end: now.Add(LoanTerm)})
	return granted
}
