package events

import "github.com/apex/log"

// Events of the member table of a region.
var (
	MemberTableInForce = register(Event{Number: 350, Name: "member-table-in-force", Level: log.InfoLevel,
		Message: "member table of the region changed", Fields: []string{"version", "members"}, Action: "none"})
	MemberTableNotWritten = register(Event{Number: 351, Name: "member-table-not-written", Level: log.WarnLevel,
		Message: "failed to write a new member table; reading the current one again", Fields: []string{"version", "error"},
		Action: "none for a conflict; otherwise check the platform if the event repeats"})
	MemberTableRejected = register(Event{Number: 352, Name: "member-table-rejected", Level: log.ErrorLevel,
		Message: "invalid member table rejected", Fields: []string{"error"}, Action: "find the unknown writer of the key members/REGION"})
	MemberTableRetired = register(Event{Number: 353, Name: "member-table-retired", Level: log.WarnLevel,
		Message: "instance was replaced in the member table while it was suspended; it continues with a new incarnation",
		Fields:  []string{"version"}, Action: "check for a suspended or overcommitted machine"})
)
