// Package dispatch decides, for one entry instance, which target executes each
// request and when. It is a state machine: the caller reports events with the
// current time and carries out the returned actions in order. The package uses
// no clock, sockets or goroutines. A Scheduler is not safe for concurrent use;
// the caller runs it in a single goroutine.
//
// # Events
//
// The times passed to a Scheduler come from one monotonic clock and never
// decrease. Call Tick every TickInterval. Call SetView when the member table
// in force, the live members, the targets or the services change. The home of
// a target in the view is the instance whose allotment of the target's slots
// is not zero. Report each peer message with ReceiveWant, ReceiveGrant,
// ReceiveRelease, ReceiveLoad or ReceiveHandOff, and the end of each started
// request with RequestFinished, exactly once. A forwarded request leaves the
// scheduler. If its relay fails and the request was not executed, the caller
// passes it to Submit again with EnteredAt and Hops unchanged.
//
// # Actions
//
//   - Start: send the request to the target at once, with the time left
//     until EndBy as its deadline, so that the target ends it even if this
//     instance freezes. Cancel the request at EndBy at the latest, which is
//     GrantExpiryMargin before the slot expires, and call RequestFinished.
//   - Forward: relay the request to the instance with its age (now minus
//     EnteredAt) and Hops. That instance calls Submit with EnteredAt set to
//     its own clock minus the age and the transport delay.
//   - Refuse: respond to the caller with the reason. No target executed the
//     request unless Attempts is above zero and the outcome of the last
//     attempt is unknown.
//   - SendWant, SendGrant, SendRelease, SendLoad: send the message to the
//     peer. Wants and load reports may be lost. A release may be repeated to
//     the same instance, but never sent to another one. A grant is sent once.
//     If a grant was certainly not delivered (connection refused), call
//     ReceiveRelease with slots.Unused. If delivery is unknown, do nothing:
//     the slot becomes free when the grant expires.
//   - SendHandOff: send the number of slots in use to the next home of a
//     target, which reports it with ReceiveHandOff. If the message is lost,
//     the slots become free when the grants expire.
//   - Probe: probe the target, and call ProbeSucceeded after a successful
//     probe. The action is repeated every ProbeInterval until then.
//   - RefreshView: the clock jumped, so this instance was frozen. Read the
//     member table and the list of instances again, then call SetView. No slot
//     is granted before that.
//
// Describe returns the log event of an action with the inputs of the decision.
//
// # Queue
//
// Each service has one bounded queue, sorted by the time at which the requests
// entered the system. An instance announces the ages of its oldest requests to
// the home instances of its region (at most MaxPeers). A home grants a free
// slot to the oldest request that it knows, its own or a peer's.
//
// # Other regions
//
// A request is forwarded if the expected wait here exceeds the expected wait
// in another region, increased by ForwardMargin, plus TransportFraction of the
// round-trip transport delay. Forwards that the last report of the other
// region cannot include yet are added to that report, multiplied by the number
// of instances of this region, because all of them see the same report. A
// request that would be refused here is forwarded to a live region that sends
// no reports, because the load of that region is unknown. A request is
// forwarded at most once.
//
// # Admission
//
// A request is refused on arrival if its expected wait exceeds
// AdmissionFraction of the time that its deadline and the service's longest
// queue time leave.
package dispatch
