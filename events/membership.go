package events

import "github.com/apex/log"

// Events of the membership of entry instances.
var (
	MemberChanged = register(Event{Number: 300, Name: "member-changed", Level: log.InfoLevel,
		Message: "state of an instance changed",
		Fields:  []string{"member", "domain", "state", "suspected", "incarnation", "counter"},
		Action:  "when many instances of one domain become slow: check the domain and the network to it"})
	MemberForgotten = register(Event{Number: 301, Name: "member-forgotten", Level: log.InfoLevel,
		Message: "instance removed from the view", Fields: []string{"member"}, Action: "none"})
	InstanceWasFrozen = register(Event{Number: 302, Name: "instance-was-frozen", Level: log.WarnLevel,
		Message: "this instance did not run for over a second; its view is refreshed before it grants again",
		Action:  "look for a paused virtual machine or an overloaded host"})
	InstanceListNotRead = register(Event{Number: 303, Name: "instance-list-not-read", Level: log.WarnLevel,
		Message: "the platform's list of instances was not read", Fields: []string{"error"},
		Action: "check the platform; instances go on with heartbeats"})
	ListedAsLeaving = register(Event{Number: 304, Name: "listed-as-leaving", Level: log.WarnLevel,
		Message: "the platform's list calls this instance leaving or gone", Fields: []string{"state"},
		Action: "stop the instance if that is intended"})
)
