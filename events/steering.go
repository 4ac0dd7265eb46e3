package events

import "github.com/apex/log"

// Events of an instance on a platform that keeps its records in a store. Ages,
// waits and times are in milliseconds.
var (
	StoreLost = register(Event{Number: 910, Name: "store-lost", Level: log.WarnLevel,
		Message: "store does not answer; the last known state stays in force", Fields: []string{"revision", "op", "error"},
		Action: "check the store and the network to it; instances go on with what they know"})
	StoreRegained = register(Event{Number: 911, Name: "store-regained", Level: log.InfoLevel,
		Message: "store answers again", Fields: []string{"revision", "lostMs"}, Action: "none"})
	StoreRead = register(Event{Number: 912, Name: "store-read", Level: log.InfoLevel,
		Message: "whole state read from the store", Fields: []string{"revision", "items", "reason"}, Action: "none"})
	RecordRejected = register(Event{Number: 913, Name: "record-rejected", Level: log.WarnLevel,
		Message: "record of the store cannot be used", Fields: []string{"key", "revision", "error"},
		Action: "look for the writer of the key"})
	TargetChanged = register(Event{Number: 914, Name: "target-changed", Level: log.InfoLevel,
		Message: "record of a target changed", Fields: []string{"target", "service", "domain", "state", "revision", "source"}, Action: "none"})
	DomainEvacuation = register(Event{Number: 915, Name: "domain-evacuation", Level: log.InfoLevel,
		Message: "evacuation of a failure domain changed", Fields: []string{"domain", "on", "revision", "source"}, Action: "none"})
	InstanceRegistered = register(Event{Number: 916, Name: "instance-registered", Level: log.InfoLevel,
		Message: "this instance is registered in the store", Fields: []string{"lease"}, Action: "none"})
	InstanceNotRegistered = register(Event{Number: 917, Name: "instance-not-registered", Level: log.WarnLevel,
		Message: "this instance could not register; peers learn of it by its messages", Fields: []string{"error"},
		Action: "check the store when the event repeats"})
	SteeringConfigInForce = register(Event{Number: 918, Name: "steering-config-in-force", Level: log.InfoLevel,
		Message: "operators' configuration in force", Fields: []string{"version", "routes", "services", "revision", "source"}, Action: "none"})
	PeerStateTaken = register(Event{Number: 919, Name: "peer-state-taken", Level: log.InfoLevel,
		Message: "changes taken from a peer that is ahead", Fields: []string{"peer", "revision", "items"}, Action: "none"})
	PeerStateNotTaken = register(Event{Number: 920, Name: "peer-state-not-taken", Level: log.WarnLevel,
		Message: "state could not be taken from a peer", Fields: []string{"peer", "error"},
		Action: "check the network between the instances"})
	PeerHeard = register(Event{Number: 921, Name: "peer-heard", Level: log.InfoLevel,
		Message: "messages of a peer arrive", Fields: []string{"peer", "domain"}, Action: "none"})
	PeerSilent = register(Event{Number: 922, Name: "peer-silent", Level: log.WarnLevel,
		Message: "messages of a peer no longer arrive", Fields: []string{"peer", "domain", "silentMs"},
		Action: "check the instance and the network to it"})
	NodeStarted = register(Event{Number: 923, Name: "node-started", Level: log.InfoLevel,
		Message: "instance started", Fields: []string{"domain", "region", "callers", "directory", "peer", "store"}, Action: "none"})
	NodeStopping = register(Event{Number: 924, Name: "node-stopping", Level: log.InfoLevel,
		Message: "planned stop began", Fields: []string{"inFlight", "connections"}, Action: "none"})
	NodeStopped = register(Event{Number: 925, Name: "node-stopped", Level: log.InfoLevel,
		Message: "planned stop complete", Fields: []string{"cut", "tookMs"}, Action: "look for slow requests when cut is above 0"})
	SettingsReloaded = register(Event{Number: 926, Name: "settings-reloaded", Level: log.InfoLevel,
		Message: "settings read again", Fields: []string{"changed"}, Action: "restart the instance when addresses changed"})
	StoreLeftToPeers = register(Event{Number: 928, Name: "store-left-to-peers", Level: log.InfoLevel,
		Message: "store does not answer here; a peer that hears it passes changes on", Fields: []string{"revision", "lostMs"}, Action: "none"})
	HomesInForce = register(Event{Number: 929, Name: "homes-in-force", Level: log.InfoLevel,
		Message: "table of homes of a region in force", Fields: []string{"region", "objects", "revision", "source"}, Action: "none"})
	HomesNotWritten = register(Event{Number: 930, Name: "homes-not-written", Level: log.InfoLevel,
		Message: "table of homes could not be written; the one in force stays", Fields: []string{"region", "revision", "error"}, Action: "check the store when the event repeats"})
	HomeMoved = register(Event{Number: 931, Name: "home-moved", Level: log.InfoLevel,
		Message: "object gets another home because the load of targets differs", Fields: []string{"service", "from", "to", "fromLevel", "toLevel", "part", "more"}, Action: "none"})
	SettingsRejected = register(Event{Number: 927, Name: "settings-rejected", Level: log.WarnLevel,
		Message: "settings cannot be used; those in force stay", Fields: []string{"error"}, Action: "correct the settings file"})

	TargetChosen = register(Event{Number: 520, Name: "target-chosen", Level: log.InfoLevel,
		Message: "request goes to a target", Fields: []string{"request", "route", "target", "object", "warm", "attempt", "load", "loadAgeMs", "expectedMs", "leftMs", "version", "relay"}, Action: "none"})
	AttemptEnded = register(Event{Number: 521, Name: "attempt-ended", Level: log.InfoLevel,
		Message: "attempt ended without a usable answer", Fields: []string{"request", "target", "attempt", "result", "executed", "tookMs", "cause", "again"},
		Action: "look at the target when it is named often"})
	RequestEnded = register(Event{Number: 522, Name: "request-ended", Level: log.InfoLevel,
		Message: "request answered", Fields: []string{"request", "route", "status", "origin", "reason", "attempts", "tookMs", "version"}, Action: "none"})
	TargetAvoided = register(Event{Number: 523, Name: "target-avoided", Level: log.WarnLevel,
		Message: "target gets no requests for a while", Fields: []string{"target", "reason", "failures", "forMs", "lost"}, Action: "look at the target"})
	AcceptFailed = register(Event{Number: 525, Name: "accept-failed", Level: log.WarnLevel,
		Message: "connection of a caller was not accepted", Fields: []string{"error"}, Action: "look for a lack of descriptors"})
	RequestNotPlaced = register(Event{Number: 526, Name: "request-not-placed", Level: log.InfoLevel,
		Message: "no target would answer the request in time", Fields: []string{"request", "route", "service", "reason", "region", "load", "waitMs", "expectedMs", "sinceFirstMs", "leftMs", "retryAfterMs", "version"},
		Action: "add targets when the reason is overloaded and lasts"})
	RegionWeights = register(Event{Number: 527, Name: "region-weights", Level: log.InfoLevel,
		Message: "parts of a service's requests that go to each region changed", Fields: []string{"service", "parts", "load", "slots"}, Action: "none"})
	RequestSuspected = register(Event{Number: 528, Name: "request-suspected", Level: log.WarnLevel,
		Message: "request is refused because it ended the connections of several targets", Fields: []string{"request", "route", "service", "fingerprint", "crashes"},
		Action: "look at the request and at the targets that crashed"})
	PeerRequestEnded = register(Event{Number: 529, Name: "peer-request-ended", Level: log.InfoLevel,
		Message: "request of another instance was carried to a target", Fields: []string{"request", "target", "result", "status", "tookMs"}, Action: "none"})
	RelayUnreachable = register(Event{Number: 530, Name: "relay-unreachable", Level: log.InfoLevel,
		Message: "no connection to an instance that carries requests to its region", Fields: []string{"relay", "error"}, Action: "look at the instance when it lasts"})
	InstancePaused = register(Event{Number: 531, Name: "instance-paused", Level: log.WarnLevel,
		Message: "the process did not run for a while; what may have run out meanwhile is given up", Fields: []string{"pausedMs"}, Action: "look for a suspended or overloaded machine"})
	CallerLeft = register(Event{Number: 524, Name: "caller-left", Level: log.InfoLevel,
		Message: "caller closed the connection before its answers", Fields: []string{"unanswered"}, Action: "none"})
)
