// Package slots is the ledger of a home instance for the slots of its targets.
//
// A slot is the right to have one request executing at a target. Home names the
// one instance that grants the slots of a target under a member table; the
// caller derives from package allotment whether it holds that role now (the
// share of a target's slots is all of them for its home and zero for all other
// members), and calls Adopt and Drop accordingly.
//
// A grant ends when its holder releases it, or when it expires. The holder must
// have ended the request by the expiry. Grant ids are unique over all homes and
// incarnations, so a duplicate or late release never frees a second slot.
//
// After a change of home the new home cannot know which grants of the old home
// still run. It assumes all slots busy. An assumed slot becomes free when its
// holder releases it at the new home, or when the longest time to live of a
// grant has passed. This is sound under one rule for holders: a grant is
// released at one home only, the one that was current when the request ended,
// and never after the grant's expiry. A holder that has learned the new table
// accepts no grant from the old home any more.
//
// A target that crashed or refused a connection gets no grants until a probe
// succeeds, then starts with one slot; each answered request adds one slot up
// to the target's number. A leaving target gets no grants and never returns to
// service under the same adoption.
//
// The package has no clock, sockets or goroutines, and is not safe for
// concurrent use.
package slots
