// Package linkcap keeps the traffic of all instances of a region on a directed
// link to another region within the link's cap.
//
// Each instance has a bucket for each link with its share of the cap: 95% of
// the share as rate and 5% of one second of it as burst. The bytes of a bucket
// in any window of 1 s are at most burst plus rate. Bytes that were taken but
// are not written yet count against the burst, so that a process that pauses
// between the two adds nothing.
//
// An instance that needs more borrows rate from a peer of its region. The lender
// lowers its rate for 1 s from the grant. The borrower uses the loan until 1 s
// after it sent its request, which was before the grant. Its interval is inside
// the lender's whatever messages are lost or late, so the sum of rates does not
// grow. The burst is never lent.
//
// A move of traffic has a bucket of its own with a share of the move's cap, and
// takes from both buckets.
//
// The package opens no sockets and takes the current time as an argument, which
// must not go back. Amounts are in bytes, rates in bytes per second. Types are
// not safe for concurrent use. Limits: rates up to 12.5 GB/s; 8 loans each way
// and 256 waiting reservations a link.
package linkcap
