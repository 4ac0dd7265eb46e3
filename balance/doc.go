// Package balance decides which target takes a request.
//
// A request first gets a region: its own one as far as that has room, others
// by weights that move slowly (regions.go). Inside the region it goes to the
// target that is expected to answer first (pick.go): the time depends on how
// many requests are in flight there, on the target's speed, and on whether it
// has handled the same object before. Instances tell each other what they have
// in flight (report.go); what a target says of its own load counts more.
//
// Load pattern answered: many instances, few slots per target, and objects
// that are several times cheaper at a target that knows them. A choice by own
// requests alone fills single targets, and a choice by load alone never finds
// a warm one.
//
// The package opens no connections and takes the time as an argument. A
// Balancer is safe for concurrent use.
package balance
