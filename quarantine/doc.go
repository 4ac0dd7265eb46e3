// Package quarantine contains requests that crash the targets that execute
// them.
//
// A request is known by its fingerprint. A fingerprint that succeeded within
// the last 10 minutes is proven and may go to any target. An unproven one may
// go to two targets of each failure domain only, chosen by rendezvous hashing
// of the fingerprint over the domain's targets. All instances make the same
// choice from the same list of targets, so that a request that crashes every
// target crashes at most two in a domain through any number of instances, also
// when messages between them are late or lost. An unproven request that is in
// flight binds identical requests to its target.
//
// A target crash makes the unproven fingerprints in flight there suspect. A
// suspect one runs alone, at a target where it has not been in flight at a
// crash. A crash at a second target puts it into quarantine for 60 s, and each
// crash after that for twice as long, up to 1 hour. One trial at a time is
// allowed afterwards; a success ends the suspicion. Suspicions and quarantines
// are sent to the other instances of the domain.
//
// Memory is bounded: 32,768 proven and 4,096 suspect fingerprints, plus those
// in flight. Forgetting one makes it unproven, which keeps the bound of two
// targets.
//
// The package opens no sockets and takes the current time as an argument.
package quarantine
