// Package balance selects the target of each request.
//
// Selection begins with the region: requests stay in the local region while it
// has capacity, and are otherwise distributed by weights that change gradually
// (regions.go, split.go). Within a region, a request goes to the home target
// of its object or, if it has no object, to the target with the lowest
// estimated response time (pick.go). Home targets are assigned by rendezvous
// hashing and by a table with which one instance per region moves objects from
// busy to idle targets (homes.go, rebalance.go). Cold targets (cold.go) and
// failing targets (result.go, grey.go) receive few requests or none. The
// requests of all instances to a target that states a rate limit (limit.go) are
// admitted by one of them (admission.go).
// Instances report their requests in flight to each other (report.go); load
// beyond these that a target reports itself is added.
//
// A target is warm for the objects that it has handled recently; such requests
// take a fraction of the time. The design is for many instances, few slots per
// target and objects that are several times cheaper at a warm target.
// Balancing by an instance's own requests alone overloads single targets,
// balancing by load alone never finds a warm target, and hashing alone
// overloads some targets while others are idle.
//
// The package opens no connections and takes the current time as an argument.
// A Balancer is safe for concurrent use.
package balance
