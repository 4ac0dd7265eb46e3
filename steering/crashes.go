package steering

import (
	"cmp"
	"time"
)

// CrashCount is the number of crashes of a request in a row. Of two counts, the
// one with the higher Clearance holds, else the one with more crashes.
type CrashCount struct {
	// Clearance is the number of times that a complete response has cleared the
	// request.
	Clearance uint32
	Crashes   int
}

// Compare returns a positive number if the count holds against another one, 0 if they
// are equal.
func (count CrashCount) Compare(other CrashCount) int {
	return cmp.Or(cmp.Compare(count.Clearance, other.Clearance), cmp.Compare(count.Crashes, other.Crashes))
}

// Suspicion is a CrashCount as an instance tells it to others.
type Suspicion struct {
	CrashCount
	Age time.Duration // Since the last crash, or since the request was cleared.
}

// CrashTable holds the requests that are refused because they crash targets. It
// outlives the instances.
type CrashTable struct {
	Revision uint64               // Store revision; 0 if there is no table yet.
	Era      uint64               // Era of the revision.
	Requests map[uint64]Suspicion // By short fingerprint; the ages are those at the time of the write.
}

// CrashTableUpdate sets or removes the crash table.
type CrashTableUpdate struct {
	Table *CrashTable // Nil if the table was removed.
}

func (update CrashTableUpdate) apply(builder *stateBuilder) { builder.CrashTable = update.Table }
