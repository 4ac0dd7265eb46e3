// Package quarantine limits the number of targets that a request can crash when
// it crashes each target that executes it.
//
// A request is identified by its fingerprint. A fingerprint is proven for 10
// minutes after a request with it succeeded; such requests may go to any target.
// A request with an unproven fingerprint may go to only two targets of each
// failure domain, which are chosen by rendezvous hashing of the fingerprint over
// the targets of the domain. All instances choose the same two from the same list
// of targets. A request that crashes every target therefore crashes at most two
// in a domain, whatever number of instances forward it, and also when messages
// between instances are late or lost. While an attempt with an unproven
// fingerprint is in flight, identical requests go only to the same target.
//
// When a target crashes, the unproven fingerprints of the attempts in flight
// there become suspect. Only one attempt with a suspect fingerprint is in flight
// at a time, at a target that has not crashed with it. After a crash of a second
// target the fingerprint is in quarantine for 60 s, and after each further crash
// for twice as long as before, up to 1 hour. After a quarantine, one trial attempt
// at a time is permitted; a success ends the suspicion. Suspicions and quarantines
// are reported to the other instances of the domain.
//
// Memory is bounded: a guard keeps 32,768 proven and 4,096 suspect fingerprints,
// plus those in flight. A fingerprint that is dropped becomes unproven, so the
// limit of two targets still holds.
//
// The package opens no sockets and takes the current time as an argument.
package quarantine
