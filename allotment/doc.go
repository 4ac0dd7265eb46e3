// Package allotment divides a cap between the members of a region by versioned
// tables, so that the sum of what all members use never exceeds the cap while
// the members learn a new table at different times.
//
// A holder uses the minimum of its shares over all versions from the oldest
// that some member may still have as its newest, up to the newest that the
// holder knows itself. Let c be the lowest newest version of all members that
// are not gone. No member drops c from its range, since a member drops a
// version only after every other member confirmed a higher one, and every
// member knows c. So the sum of all uses is at most the sum of the shares of
// version c, which is at most the cap.
//
// A holder is one incarnation of an instance. A restarted instance is a new
// holder and uses nothing until a table lists it and every other member has
// confirmed that table. Versions that a holder does not know count as a share
// of zero.
//
// The caller must report a holder as gone only when its process has ended or
// is frozen, must call Suspend when it detects a freeze of its own process
// before it uses its share again, and must call Retire when it learns that it
// was reported gone meanwhile.
//
// Shares have the unit of the cap that is divided, for example slots or bytes
// per second. The package has no clock, sockets or goroutines, and is not safe
// for concurrent use.
package allotment
