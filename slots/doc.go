// Package slots keeps the ledger in which a home instance counts the slots of
// its targets.
//
// A slot is the right to have one request executing at a target. HomeInstance
// names the one instance that grants the slots of a target under a given
// member table. The caller derives from package allotment whether it is the
// home (the home's share of a target's slots is all of them, every other
// member's share is zero), and calls SetTarget and RemoveTarget accordingly.
//
// A grant ends when its holder releases it or when it expires. The holder must
// have ended the request by the time of expiry. Grant IDs are unique over all
// homes and incarnations, so a duplicate or late release never frees a second
// slot.
//
// After a change of home, the new home cannot know which grants of the
// previous home are still in use, so it assumes that all slots are busy. An
// assumed slot becomes free when its holder releases it at the new home, or
// when the longest time to live of a grant has passed. This is safe if holders
// follow one rule: a grant is released at one home only, the one that was
// current when the request ended, and never after the grant has expired. A
// holder that knows the new table no longer accepts grants from the previous
// home.
//
// A target that crashed or refused a connection gets no grants until a probe
// succeeds. It then starts with one slot, and each request with a response adds
// one slot up to the target's configured number. A leaving target gets no grants
// until ClearLeaving is called.
//
// The package uses no clock, sockets or goroutines, and is not safe for
// concurrent use.
package slots
