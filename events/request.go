package events

import "github.com/apex/log"

// Events of the request path, the at-most-once records and the quarantine.
var (
	RequestRouted = register(Event{Number: 500, Name: "request-routed", Level: log.DebugLevel,
		Message: "target chosen", Fields: []string{"service", "target", "attempt", "excluded", "remainingMs", "version"}, Action: "none"})
	AttemptFailed = register(Event{Number: 501, Name: "attempt-failed", Level: log.WarnLevel,
		Message: "target did not respond", Fields: []string{"service", "target", "executed", "reason", "error"},
		Action: "check the target if it occurs often"})
	RequestRefused = register(Event{Number: 502, Name: "request-refused", Level: log.DebugLevel,
		Message: "request ended without a response from a target", Fields: []string{"service", "status", "reason", "executed"}, Action: "none"})
	ResponseCut = register(Event{Number: 503, Name: "answer-cut", Level: log.WarnLevel,
		Message: "response was truncated and forwarded as an aborted transfer", Fields: []string{"service", "target", "error"},
		Action: "check the target if it occurs often"})
	RequestRelayed = register(Event{Number: 504, Name: "request-relayed", Level: log.DebugLevel,
		Message: "request relayed to the instance that owns its idempotency key", Fields: []string{"service", "key", "instance", "hops"}, Action: "none"})
	RequestMoved = register(Event{Number: 505, Name: "request-moved", Level: log.InfoLevel,
		Message: "request subject to a move to another region", Fields: []string{"service", "region", "to", "percent", "reason", "executed"},
		Action: "check the cap of the move if the reason is often link-cap"})
	KeyDecided = register(Event{Number: 600, Name: "key-decided", Level: log.DebugLevel,
		Message: "decision made for an idempotency key", Fields: []string{"service", "key", "verdict"}, Action: "none"})
	RecordsHandedOver = register(Event{Number: 601, Name: "records-handed-over", Level: log.InfoLevel,
		Message: "at-most-once records handed over to the successor", Fields: []string{"successor", "batches"}, Action: "none"})
	RecordsNotHandedOver = register(Event{Number: 602, Name: "records-not-handed-over", Level: log.WarnLevel,
		Message: "failed to hand over the at-most-once records of an issuer; its keys remain unknown", Fields: []string{"successor", "issuer"},
		Action: "none; callers that retry a request with such a key get the response that its result is unknown"})
	TargetCrashSuspected = register(Event{Number: 700, Name: "crash-suspected", Level: log.WarnLevel,
		Message: "target closed a connection with a request in flight", Fields: []string{"service", "target", "fingerprint", "quarantineMs"},
		Action: "check the target; if quarantineMs is above 0, check the request"})
	CrashReportLost = register(Event{Number: 701, Name: "crash-report-lost", Level: log.WarnLevel,
		Message: "failed to deliver a crash report to an instance of the domain", Fields: []string{"peer", "fingerprint", "error"}, Action: "none"})
)
