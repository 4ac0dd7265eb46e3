package events

import "github.com/apex/log"

// Events of the scheduler, which chooses targets for requests. Ages and waits are
// in milliseconds.
var (
	RequestStarted = register(Event{Number: 400, Name: "request-started", Level: log.InfoLevel,
		Message: "request started at a target", Fields: []string{"request", "service", "target", "home", "grant", "age", "attempts", "hops", "queued"}, Action: "none"})
	RequestForwarded = register(Event{Number: 401, Name: "request-forwarded", Level: log.InfoLevel,
		Message: "request forwarded to another region", Fields: []string{"request", "service", "region", "to", "age", "queued", "wait", "remoteWait"}, Action: "none"})
	RequestNotScheduled = register(Event{Number: 402, Name: "request-not-scheduled", Level: log.InfoLevel,
		Message: "request refused by the scheduler", Fields: []string{"request", "service", "reason", "waited", "age", "attempts", "queued", "wait", "remoteWait", "limit"},
		Action: "add targets or move traffic if refusals due to overload persist"})
	SlotGranted = register(Event{Number: 403, Name: "slot-granted", Level: log.InfoLevel,
		Message: "slot of a home target granted to a peer", Fields: []string{"service", "target", "grant", "to", "age"}, Action: "none"})
	SlotReleased = register(Event{Number: 404, Name: "slot-released", Level: log.DebugLevel,
		Message: "slot returned to its home instance", Fields: []string{"target", "grant", "to", "cause"}, Action: "none"})
	TargetProbed = register(Event{Number: 405, Name: "target-probed", Level: log.WarnLevel,
		Message: "probing a target that is down", Fields: []string{"target"}, Action: "check the target if the event repeats"})
	GrantsSuspended = register(Event{Number: 406, Name: "grants-suspended", Level: log.WarnLevel,
		Message: "clock jumped; no slots are granted until the membership view is refreshed", Fields: []string{"gap"}, Action: "check for a suspended or overcommitted machine"})
)
