// Package dispatch decides, for one entry instance, which target executes each
// request and when. It is a state machine: the caller reports events with the
// current time and carries out the returned actions in their order. The package
// has no clock, sockets or goroutines, and a Scheduler is not safe for
// concurrent use; the caller runs it in one goroutine.
//
// # Events
//
// The times passed to a Scheduler come from one monotonic clock and never
// decrease. Call Tick every TickInterval. Call SetView when the member table in
// force, the live members, the targets or the services change; homes are those
// for which the allotment of the target's slots is not zero. Report each peer
// message with Wanted, Granted, Released and LoadReported, and the end of each
// started request with Finished, exactly once. A forwarded request is removed
// from the scheduler: when its relay fails without having been executed, the
// caller passes it to Arrive again with its Entered time and Hops unchanged.
//
// # Actions
//
//   - Start: send the request to the target at once, with the time until Until as
//     its deadline, so that the target ends it even when this instance freezes.
//     Cancel it at Until at the latest, which is GrantMargin before the slot
//     expires, and call Finished.
//   - Forward: relay the request to the instance with its age (now minus
//     Entered) and Hops. That instance calls Arrive with Entered set to its own
//     clock minus the age and the transport delay.
//   - Refuse: answer the caller with the reason; no target executed the request
//     unless Attempts was above zero and the last attempt's outcome was unknown.
//   - SendWant, SendGrant, SendRelease, SendLoad: send the peer message. Wants
//     and loads may be lost. A release may be repeated to the same instance, never
//     to another one. A grant is sent once. When a grant certainly was not delivered (connection
//     refused), call Released with slots.Unused; when delivery is unknown, do
//     nothing, since the slot returns when it expires.
//   - SendHandOff: send the count to the next home of a target, which reports it
//     with HandedOff. It may be lost; the slots then return when they expire.
//   - Probe: probe the target; call ProbeSucceeded after a good probe. The action
//     is repeated every ProbeInterval until then.
//   - Refresh: the clock jumped, so this instance was frozen. Read the member
//     table and the list of instances again, then call SetView. No slot is
//     granted before.
//
// Describe returns the log event of an action with the inputs that decided it.
//
// # Queue
//
// Each service has one bounded queue ordered by the time at which a request
// entered the system. An instance announces the ages of its oldest requests to
// the home instances of its region (at most MaxPeers). A home grants a free slot
// to the oldest request that it knows, its own or a peer's.
//
// # Other regions
//
// A request is forwarded when the expected wait here exceeds that in another
// region, enlarged by ForwardMargin, plus TransportShare of the transport there
// and back. Forwards that the last report of
// the other region cannot show yet are added to that report, multiplied by the
// number of instances of this region, since all of them see the same report. A
// request that would be refused here is forwarded to a live region that sends no
// reports, since its load is not known. A request is forwarded at most once.
//
// # Admission
//
// A request whose expected wait exceeds AdmitShare of what its deadline and the
// service's longest queue time leave is refused on arrival.
package dispatch
