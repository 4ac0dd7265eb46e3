// Package membertable maintains the versioned table of the instances of a
// region. The home instance of each target and each member's share of the link
// caps are derived from it.
//
// The platform's key-value store holds one record with the table for each
// region, which is replaced by compare-and-swap. An instance reads the record
// from the store or from a peer, and confirms the version that it knows in its
// heartbeats. Package allotment decides what an instance may use while
// instances know different versions.
//
// A member is one incarnation of an instance. It is removed from the table
// when its instance announces a graceful shutdown, when it is gone according
// to the platform's list, when a newer incarnation of the same instance
// exists, or when an instance in the same failure domain has received nothing
// from it for 3 s. Instances of other domains never remove an unresponsive
// member, because it may be cut off from them and still serve requests.
//
// A record keeps the newest MaxTables versions. Older versions count as a
// share of zero for holders that still refer to them.
//
// The package uses no clock, sockets or goroutines, and is not safe for
// concurrent use.
package membertable
