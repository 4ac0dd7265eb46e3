// Package balance decides which target takes a request.
//
// A request first gets a region: its own one as far as that has room, others
// by weights that move slowly (regions.go, split.go). Inside the region it goes
// to the home of its object, or, when it names none, to the target that is
// expected to answer first (pick.go). Homes follow from hashing, and from a
// table by which one instance of the region moves objects from busy targets to
// idle ones (homes.go, rebalance.go). Cold targets (cold.go) and targets that
// fail (outcome.go, grey.go) get fewer requests or none. Instances tell each
// other what they have in flight (report.go); what a target says of its own load
// counts more.
//
// Load pattern answered: many instances, few slots per target, and objects
// that are several times cheaper at a target that knows them. A choice by own
// requests alone fills single targets, a choice by load alone never finds a
// warm one, and a choice by hash alone fills some targets while others idle.
//
// The package opens no connections and takes the time as an argument. A
// Balancer is safe for concurrent use.
package balance
