package events

import "github.com/apex/log"

// Events of the request path.
var (
	RequestRouted = register(Event{Number: 500, Name: "request-routed", Level: log.DebugLevel,
		Message: "target chosen", Fields: []string{"service", "target", "attempt", "excluded", "remainingMs", "version"}, Action: "none"})
	AttemptFailed = register(Event{Number: 501, Name: "attempt-failed", Level: log.WarnLevel,
		Message: "target did not answer", Fields: []string{"service", "target", "executed", "reason", "error"},
		Action: "look at the target when it is named often"})
	RequestRefused = register(Event{Number: 502, Name: "request-refused", Level: log.DebugLevel,
		Message: "request ended without an answer of a target", Fields: []string{"service", "status", "reason", "executed"}, Action: "none"})
	ResponseCut = register(Event{Number: 503, Name: "answer-cut", Level: log.WarnLevel,
		Message: "answer ended early and was passed on as an aborted transfer", Fields: []string{"service", "target", "error"},
		Action: "look at the target when it is named often"})
	RequestRelayed = register(Event{Number: 504, Name: "request-relayed", Level: log.DebugLevel,
		Message: "request passed on to the instance that decides about its key", Fields: []string{"service", "key", "instance", "hops"}, Action: "none"})
	RequestMoved = register(Event{Number: 505, Name: "request-moved", Level: log.InfoLevel,
		Message: "request belongs to a move to another region", Fields: []string{"service", "region", "to", "percent", "reason", "executed"},
		Action: "look at the cap of the move when the reason is link-cap often"})
	KeyDecided = register(Event{Number: 600, Name: "key-decided", Level: log.DebugLevel,
		Message: "idempotency key decided", Fields: []string{"service", "key", "verdict"}, Action: "none"})
	RecordsHandedOver = register(Event{Number: 601, Name: "records-handed-over", Level: log.InfoLevel,
		Message: "at-most-once records moved to the successor", Fields: []string{"successor", "batches"}, Action: "none"})
	RecordsNotHandedOver = register(Event{Number: 602, Name: "records-not-handed-over", Level: log.WarnLevel,
		Message: "at-most-once records of an issuer were not handed over; its keys stay unknown", Fields: []string{"successor", "issuer"},
		Action: "none; callers that retry such a key are told that its result is unknown"})
	TargetCrashSuspected = register(Event{Number: 700, Name: "crash-suspected", Level: log.WarnLevel,
		Message: "request was in flight when a target ended the connection", Fields: []string{"service", "target", "fingerprint", "quarantineMs"},
		Action: "look at the target; when quarantineMs is above 0, look at the request"})
	CrashReportLost = register(Event{Number: 701, Name: "crash-report-lost", Level: log.WarnLevel,
		Message: "crash report was not delivered to an instance of the domain", Fields: []string{"peer", "fingerprint", "error"}, Action: "none"})
)
