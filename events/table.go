package events

import "github.com/apex/log"

// Events of the member table of a region.
var (
	MemberTableInForce = register(Event{Number: 350, Name: "member-table-in-force", Level: log.InfoLevel,
		Message: "member table of the region changed", Fields: []string{"version", "members"}, Action: "none"})
	MemberTableNotWritten = register(Event{Number: 351, Name: "member-table-not-written", Level: log.WarnLevel,
		Message: "new member table was not written; it is read again", Fields: []string{"version", "error"},
		Action: "none for a conflict; look at the platform when the event repeats"})
	MemberTableRejected = register(Event{Number: 352, Name: "member-table-rejected", Level: log.ErrorLevel,
		Message: "member table cannot be used", Fields: []string{"error"}, Action: "look for a foreign writer of the key members/REGION"})
	MemberTableRetired = register(Event{Number: 353, Name: "member-table-retired", Level: log.WarnLevel,
		Message: "instance was replaced in the member table while it was frozen and goes on with a new incarnation",
		Fields:  []string{"version"}, Action: "look for a frozen or overcommitted machine"})
)
