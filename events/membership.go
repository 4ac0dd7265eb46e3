package events

import "github.com/apex/log"

// Events of the membership of entry instances.
var (
	MemberChanged = register(Event{Number: 300, Name: "member-changed", Level: log.InfoLevel,
		Message: "state of an instance changed",
		Fields:  []string{"member", "domain", "state", "suspected", "incarnation", "counter"},
		Action:  "if many instances of a domain become slow: check the domain and the network to it"})
	MemberForgotten = register(Event{Number: 301, Name: "member-forgotten", Level: log.InfoLevel,
		Message: "instance removed from the membership view", Fields: []string{"member"}, Action: "none"})
	InstanceWasFrozen = register(Event{Number: 302, Name: "instance-was-frozen", Level: log.WarnLevel,
		Message: "this instance was suspended for more than a second; it refreshes its membership view before it grants slots again",
		Action:  "check for a paused virtual machine or an overloaded host"})
	InstanceListNotRead = register(Event{Number: 303, Name: "instance-list-not-read", Level: log.WarnLevel,
		Message: "failed to read the platform's list of instances", Fields: []string{"error"},
		Action: "check the platform; instances continue to use heartbeats"})
	ListedAsLeaving = register(Event{Number: 304, Name: "listed-as-leaving", Level: log.WarnLevel,
		Message: "platform lists this instance as leaving or gone", Fields: []string{"state"},
		Action: "stop the instance if this is intended"})
)
