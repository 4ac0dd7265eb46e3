package events

import "github.com/apex/log"

// Events of the request path.
var (
	RequestRouted = define(Event{Number: 500, Name: "request-routed", Level: log.DebugLevel,
		Message: "target chosen", Fields: []string{"service", "target", "attempt", "excluded", "remainingMs", "version"}, Action: "none"})
	AttemptFailed = define(Event{Number: 501, Name: "attempt-failed", Level: log.WarnLevel,
		Message: "target did not answer", Fields: []string{"service", "target", "executed", "reason", "error"},
		Action: "look at the target when it is named often"})
	RequestRefused = define(Event{Number: 502, Name: "request-refused", Level: log.DebugLevel,
		Message: "request ended without an answer of a target", Fields: []string{"service", "status", "reason", "executed"}, Action: "none"})
	AnswerCut = define(Event{Number: 503, Name: "answer-cut", Level: log.WarnLevel,
		Message: "answer ended early and was passed on as an aborted transfer", Fields: []string{"service", "target", "error"},
		Action: "look at the target when it is named often"})
	KeyDecided = define(Event{Number: 600, Name: "key-decided", Level: log.DebugLevel,
		Message: "idempotency key decided", Fields: []string{"service", "key", "verdict"}, Action: "none"})
	TargetCrashSuspected = define(Event{Number: 700, Name: "crash-suspected", Level: log.WarnLevel,
		Message: "request was in flight when a target ended the connection", Fields: []string{"service", "target", "fingerprint", "quarantineMs"},
		Action: "look at the target; when quarantineMs is above 0, look at the request"})
)
