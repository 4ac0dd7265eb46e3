// Package allotment divides a cap between the members of a region by versioned
// tables. The sum of what all members use never exceeds the cap, even while
// members learn a new table at different times.
//
// A holder uses the minimum of its shares over a range of versions: from the
// oldest version that some member may still have as its newest, to the newest
// version that the holder knows. Why this is safe: let c be the lowest newest
// version of all members that are not gone. Every member knows c. No member
// drops c from its range, because a member drops a version only after every
// other member has confirmed a higher one. So each member uses at most its
// share of version c, and the sum of these shares is at most the cap.
//
// A holder is one incarnation of an instance. A restarted instance is a new
// holder, and uses nothing until a table lists it and every other member has
// confirmed that table. A version that a holder does not know counts as a
// share of zero.
//
// The caller has three duties. It must report a holder as gone only if its
// process has ended or is frozen. It must call Suspend when it detects a
// freeze of its own process, before it uses its share again. It must call
// Retire when it learns that it was reported gone during the freeze.
//
// Shares have the unit of the cap, for example slots or bytes per second. The
// package uses no clock, sockets or goroutines, and is not safe for concurrent
// use.
package allotment
