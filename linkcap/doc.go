// Package linkcap limits the traffic that the instances of a region send to
// another region, so that together they stay within the cap of the link.
//
// Each instance has one token bucket per link, sized by its share of the cap:
// the refill rate is 95% of the share, the burst 5% of what the share allows in
// one second. A bucket therefore permits at most burst plus rate, which is the
// share, in any window of 1 s. Bytes that were taken but not yet written count
// against the burst, so a process that pauses between taking and writing does
// not send more than its share when it resumes.
//
// An instance that needs more than its share borrows rate from a peer in its
// region. The lender reduces its rate for 1 s from the time of the grant. The
// borrower uses the loan until 1 s after it sent the request, which is before
// the grant. The borrower's interval thus always lies within the lender's, even
// when messages are lost or delayed, and loans never increase the sum of the
// rates. Burst is never lent.
//
// A move (traffic redirected to another region) has its own bucket, sized by a
// share of the move's cap. Moved traffic takes tokens from both buckets.
//
// The package opens no sockets. Callers pass the current time, which must not
// decrease. Amounts are in bytes, rates in bytes per second. The types are not
// safe for concurrent use. Limits: rates up to 12.5 GB/s, and per link 8 loans
// in each direction and 256 waiting reservations.
package linkcap
