// Package membertable keeps the versioned table of the instances of a region,
// from which the homes of target slots and the shares of link caps follow.
//
// The table is one record of the platform's key-value service for each region,
// replaced by compare-and-swap. An instance learns it from the platform or from
// a peer and confirms the version that it knows in its heartbeats. Package
// allotment decides what an instance may use while versions differ.
//
// A member is one incarnation of an instance. It leaves the table when its
// instance announces a planned stop, when the platform's list calls it gone,
// when a newer incarnation of the same instance exists, or when an instance of
// the same failure domain has not heard from it for 3 s. Instances of other
// domains never remove a silent member: it may be cut off and still serving.
//
// The package has no clock, sockets or goroutines, and is not safe for
// concurrent use. Limits: a record keeps MaxTables versions; older ones count
// as a share of zero for holders that still refer to them.
package membertable
