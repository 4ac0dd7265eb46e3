package events

import "github.com/apex/log"

// Events of the choice of a target for a request. Ages and waits are in
// milliseconds.
var (
	RequestStarted = register(Event{Number: 400, Name: "request-started", Level: log.InfoLevel,
		Message: "request starts at a target", Fields: []string{"request", "service", "target", "home", "grant", "age", "attempts", "hops", "queued"}, Action: "none"})
	RequestForwarded = register(Event{Number: 401, Name: "request-forwarded", Level: log.InfoLevel,
		Message: "request goes to another region", Fields: []string{"request", "service", "region", "to", "age", "queued", "wait", "remoteWait"}, Action: "none"})
	RequestNotScheduled = register(Event{Number: 402, Name: "request-not-scheduled", Level: log.InfoLevel,
		Message: "request is refused by the scheduler", Fields: []string{"request", "service", "reason", "waited", "age", "attempts", "queued", "wait", "remoteWait", "limit"},
		Action: "add targets or move traffic when refusals for overload last"})
	SlotGranted = register(Event{Number: 403, Name: "slot-granted", Level: log.InfoLevel,
		Message: "home slot goes to a peer", Fields: []string{"service", "target", "grant", "to", "age"}, Action: "none"})
	SlotReleased = register(Event{Number: 404, Name: "slot-released", Level: log.DebugLevel,
		Message: "slot returns to its home", Fields: []string{"target", "grant", "to", "cause"}, Action: "none"})
	TargetProbed = register(Event{Number: 405, Name: "target-probed", Level: log.WarnLevel,
		Message: "target is down and is probed", Fields: []string{"target"}, Action: "look at the target when the event repeats"})
	GrantsSuspended = register(Event{Number: 406, Name: "grants-suspended", Level: log.WarnLevel,
		Message: "clock jumped; no slot is granted until the view is refreshed", Fields: []string{"gap"}, Action: "look for a frozen or overcommitted machine"})
)
