package events

import "github.com/apex/log"

// Events of look-ups.
var (
	LookupDecided = register(Event{Number: 450, Name: "lookup-decided", Level: log.InfoLevel,
		Message: "instances chosen for a caller",
		Fields: []string{"caller", "site", "service", "policyVersion", "answerVersion", "domainLive", "regions",
			"chosen", "waited"},
		Action: "none"})
	LookupRefused = register(Event{Number: 451, Name: "lookup-refused", Level: log.InfoLevel,
		Message: "look-up refused", Fields: []string{"reason", "parameter", "cause"},
		Action: "for too-many-waits: look for callers that open many waiting look-ups"})
	LookupTableBuilt = register(Event{Number: 452, Name: "lookup-table-built", Level: log.InfoLevel,
		Message: "look-up table in force", Fields: []string{"policyVersion", "blocks", "changed"}, Action: "none"})
	LookupTableRejected = register(Event{Number: 453, Name: "lookup-table-rejected", Level: log.ErrorLevel,
		Message: "look-up table not built; the last one stays in force", Fields: []string{"policyVersion", "error"},
		Action: "correct the client blocks of the document"})
)
