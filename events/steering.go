package events

import "github.com/apex/log"

// Events of an instance on a platform with a metadata store. Ages, waits and other
// durations are in milliseconds.
var (
	StoreLost = register(Event{Number: 910, Name: "store-lost", Level: log.WarnLevel,
		Message: "store does not respond; the last known state stays in force", Fields: []string{"revision", "op", "error"},
		Action: "check the store and the network to it; instances continue with the last known state"})
	StoreRegained = register(Event{Number: 911, Name: "store-regained", Level: log.InfoLevel,
		Message: "store responds again", Fields: []string{"revision", "lostMs", "mayHaveLapsed"}, Action: "none"})
	StoreRead = register(Event{Number: 912, Name: "store-read", Level: log.InfoLevel,
		Message: "full state read from the store", Fields: []string{"revision", "items", "reason"}, Action: "none"})
	RecordRejected = register(Event{Number: 913, Name: "record-rejected", Level: log.WarnLevel,
		Message: "store record is invalid", Fields: []string{"key", "revision", "error"},
		Action: "find the writer of the key"})
	TargetChanged = register(Event{Number: 914, Name: "target-changed", Level: log.InfoLevel,
		Message: "record of a target changed", Fields: []string{"target", "service", "domain", "state", "revision", "source"}, Action: "none"})
	DomainEvacuation = register(Event{Number: 915, Name: "domain-evacuation", Level: log.InfoLevel,
		Message: "evacuation of a failure domain started or ended", Fields: []string{"domain", "on", "revision", "source"}, Action: "none"})
	InstanceRegistered = register(Event{Number: 916, Name: "instance-registered", Level: log.InfoLevel,
		Message: "instance registered in the store", Fields: []string{"lease"}, Action: "none"})
	InstanceNotRegistered = register(Event{Number: 917, Name: "instance-not-registered", Level: log.WarnLevel,
		Message: "failed to register the instance in the store; peers detect it by its messages", Fields: []string{"error"},
		Action: "check the store if the event repeats"})
	SteeringConfigInForce = register(Event{Number: 918, Name: "steering-config-in-force", Level: log.InfoLevel,
		Message: "operators' configuration is now in force", Fields: []string{"version", "routes", "services", "revision", "source"}, Action: "none"})
	PeerStateTaken = register(Event{Number: 919, Name: "peer-state-taken", Level: log.InfoLevel,
		Message: "changes received from a peer with a newer revision", Fields: []string{"peer", "revision", "items"}, Action: "none"})
	PeerStateNotTaken = register(Event{Number: 920, Name: "peer-state-not-taken", Level: log.WarnLevel,
		Message: "failed to receive state from a peer", Fields: []string{"peer", "error"},
		Action: "check the network between the instances"})
	PeerHeard = register(Event{Number: 921, Name: "peer-heard", Level: log.InfoLevel,
		Message: "receiving messages from a peer", Fields: []string{"peer", "domain"}, Action: "none"})
	PeerSilent = register(Event{Number: 922, Name: "peer-silent", Level: log.WarnLevel,
		Message: "no longer receiving messages from a peer", Fields: []string{"peer", "domain", "silentMs"},
		Action: "check the instance and the network to it"})
	NodeStarted = register(Event{Number: 923, Name: "node-started", Level: log.InfoLevel,
		Message: "instance started", Fields: []string{"domain", "region", "callers", "directory", "peer", "store"}, Action: "none"})
	NodeStopping = register(Event{Number: 924, Name: "node-stopping", Level: log.InfoLevel,
		Message: "graceful shutdown started", Fields: []string{"inFlight", "connections"}, Action: "none"})
	NodeStopped = register(Event{Number: 925, Name: "node-stopped", Level: log.InfoLevel,
		Message: "graceful shutdown completed", Fields: []string{"cut", "tookMs"}, Action: "check for slow requests if cut is above 0"})
	SettingsReloaded = register(Event{Number: 926, Name: "settings-reloaded", Level: log.InfoLevel,
		Message: "settings reloaded", Fields: []string{"changed"}, Action: "restart the instance if addresses changed"})
	StoreLeftToPeers = register(Event{Number: 928, Name: "store-left-to-peers", Level: log.InfoLevel,
		Message: "store does not respond to this instance; receiving its changes from a peer", Fields: []string{"revision", "lostMs"}, Action: "none"})
	HomesInForce = register(Event{Number: 929, Name: "homes-in-force", Level: log.InfoLevel,
		Message: "home table of a region is now in force", Fields: []string{"region", "objects", "revision", "source"}, Action: "none"})
	HomesNotWritten = register(Event{Number: 930, Name: "homes-not-written", Level: log.InfoLevel,
		Message: "failed to write the home table; the current one stays in force", Fields: []string{"region", "revision", "error"}, Action: "check the store if the event repeats"})
	CrashesNotWritten = register(Event{Number: 932, Name: "crashes-not-written", Level: log.InfoLevel,
		Message: "failed to write the requests that are refused; they are lost if all instances end", Fields: []string{"requests", "error"}, Action: "check the store if the event repeats"})
	StoreEraChanged = register(Event{Number: 933, Name: "store-era-changed", Level: log.WarnLevel,
		Message: "store was restored to an older state; records that it lost are kept until they are written again", Fields: []string{"era", "eraBefore", "revision", "revisionBefore", "source"},
		Action: "check that the store has the operators' latest records; write them again if not"})
	StoreEraInvalid = register(Event{Number: 934, Name: "store-era-invalid", Level: log.WarnLevel,
		Message: "store stated an era that cannot be read; the value is ignored", Fields: []string{"value"},
		Action: "check the store's response headers"})
	HomeMoved = register(Event{Number: 931, Name: "home-moved", Level: log.InfoLevel,
		Message: "object assigned to another home target to balance load", Fields: []string{"service", "from", "to", "fromLevel", "toLevel", "part", "more"}, Action: "none"})
	SettingsRejected = register(Event{Number: 927, Name: "settings-rejected", Level: log.WarnLevel,
		Message: "invalid settings rejected; the current ones stay in force", Fields: []string{"error"}, Action: "correct the settings file"})

	TargetChosen = register(Event{Number: 520, Name: "target-chosen", Level: log.InfoLevel,
		Message: "target chosen for a request", Fields: []string{"request", "route", "target", "object", "warm", "attempt", "load", "loadAgeMs", "expectedMs", "leftMs", "version", "relay"}, Action: "none"})
	AttemptEnded = register(Event{Number: 521, Name: "attempt-ended", Level: log.InfoLevel,
		Message: "attempt ended without a usable response", Fields: []string{"request", "target", "attempt", "result", "executed", "tookMs", "cause", "again"},
		Action: "check the target if it occurs often"})
	RequestEnded = register(Event{Number: 522, Name: "request-ended", Level: log.InfoLevel,
		Message: "request completed", Fields: []string{"request", "route", "status", "origin", "reason", "attempts", "tookMs", "version", "account"}, Action: "none"})
	TargetAvoided = register(Event{Number: 523, Name: "target-avoided", Level: log.WarnLevel,
		Message: "target temporarily excluded from routing", Fields: []string{"target", "reason", "failures", "forMs", "lost"}, Action: "check the target"})
	AcceptFailed = register(Event{Number: 525, Name: "accept-failed", Level: log.WarnLevel,
		Message: "failed to accept a connection", Fields: []string{"error"}, Action: "check the limit of open file descriptors"})
	RequestNotPlaced = register(Event{Number: 526, Name: "request-not-placed", Level: log.InfoLevel,
		Message: "no target can respond to the request in time", Fields: []string{"request", "route", "service", "reason", "region", "load", "waitMs", "expectedMs", "sinceFirstMs", "leftMs", "retryAfterMs", "rank", "reservedFor", "version"},
		Action: "add targets if the reason is overloaded and persists"})
	RegionWeights = register(Event{Number: 527, Name: "region-weights", Level: log.InfoLevel,
		Message: "distribution of a service's requests over the regions changed", Fields: []string{"service", "parts", "load", "slots"}, Action: "none"})
	RequestSuspected = register(Event{Number: 528, Name: "request-suspected", Level: log.WarnLevel,
		Message: "request refused because several targets crashed while executing it", Fields: []string{"request", "route", "service", "fingerprint", "crashes"},
		Action: "check the request and the targets that crashed"})
	CrashCounted = register(Event{Number: 537, Name: "crash-counted", Level: log.InfoLevel,
		Message: "target closed the connection while it executed a request, and was down after that", Fields: []string{"request", "target", "service", "fingerprint", "stage", "crashes"},
		Action: "check the target's log if the count of a fingerprint grows"})
	PeerRequestEnded = register(Event{Number: 529, Name: "peer-request-ended", Level: log.InfoLevel,
		Message: "request of a peer relayed to a target", Fields: []string{"request", "target", "result", "status", "tookMs"}, Action: "none"})
	ResponseExpired = register(Event{Number: 538, Name: "response-expired", Level: log.InfoLevel,
		Message: "time of a request ended while its response waited for those before it on the connection; the caller gets 504", Fields: []string{"request", "route", "overdueMs"}, Action: "none"})
	RelayUnreachable = register(Event{Number: 530, Name: "relay-unreachable", Level: log.InfoLevel,
		Message: "failed to connect to a relay", Fields: []string{"relay", "error"}, Action: "check the relay instance if this persists"})
	InstancePaused = register(Event{Number: 531, Name: "instance-paused", Level: log.WarnLevel,
		Message: "process was suspended; state that may have expired in the meantime is discarded", Fields: []string{"pausedMs"}, Action: "check for a suspended or overloaded machine"})
	TargetLimit = register(Event{Number: 532, Name: "target-limit", Level: log.InfoLevel,
		Message: "limit of a target, or the instance that admits its requests, changed", Fields: []string{"target", "limited", "perSecond", "source", "owner"},
		Action: "check the target"})
	UnknownHeader = register(Event{Number: 533, Name: "unknown-header", Level: log.InfoLevel,
		Message: "target sent a response header that this version does not know", Fields: []string{"header", "target"},
		Action: "check the platform's protocol for changes"})
	TargetAvailability = register(Event{Number: 535, Name: "target-availability", Level: log.InfoLevel,
		Message: "target stated that it is leaving or asked for a pause, or a pause ended", Fields: []string{"target", "leaving", "paused", "forMs", "source"},
		Action: "check the target if its record says that it is ready"})
	InvalidStatement = register(Event{Number: 536, Name: "invalid-statement", Level: log.WarnLevel,
		Message: "target made a statement about itself that cannot be believed", Fields: []string{"statement", "target"},
		Action: "check the target's response headers"})
	CallerLeft = register(Event{Number: 524, Name: "caller-left", Level: log.InfoLevel,
		Message: "caller closed the connection before all responses were sent", Fields: []string{"cause", "caller", "unanswered", "requests", "unreadBytes"}, Action: "none"})
	ConnectionCut = register(Event{Number: 534, Name: "connection-cut", Level: log.InfoLevel,
		Message: "connection of a caller closed with requests unanswered or bytes unread", Fields: []string{"cause", "caller", "unanswered", "requests", "unreadBytes"},
		Action: "check for slow requests if the cause is stop-ended, and for callers that do not read if it is write-timed-out"})
	QuotaExceeded = register(Event{Number: 550, Name: "quota-exceeded", Level: log.InfoLevel,
		Message: "request refused because its account is over its limit at all instances together; rates per second", Fields: []string{"account", "demand", "limit", "level", "refused", "retryAfterMs"},
		Action: "none; raise the account's limit if the demand is justified"})
	QuotaRestored = register(Event{Number: 551, Name: "quota-restored", Level: log.InfoLevel,
		Message: "requests of an account are no longer refused", Fields: []string{"account", "refused", "overMs"}, Action: "none"})
	TargetCapacity = register(Event{Number: 552, Name: "target-capacity", Level: log.InfoLevel,
		Message: "number of requests that a target executes without slowing down has changed by a quarter or more",
		Fields:  []string{"target", "slots", "limit", "previous", "slowness", "responses"},
		Action:  "check the target's machine if the limit stays below the slots"})
	PeerReadFailed = register(Event{Number: 541, Name: "peer-read-failed", Level: log.WarnLevel,
		Message: "failed to read a message of a peer", Fields: []string{"error"}, Action: "check the network interface of the peer address if it occurs often"})
	PeerItemsDropped = register(Event{Number: 542, Name: "peer-items-dropped", Level: log.WarnLevel,
		Message: "values in messages of peers are out of range; the rest of the messages holds", Fields: []string{"peer", "items", "messages"}, Action: "compare the versions of the instances"})
	AccountRefused = register(Event{Number: 555, Name: "account-refused", Level: log.InfoLevel,
		Message: "requests refused because of their account", Fields: []string{"reason", "request", "route", "account", "refused", "version"},
		Action: "check the caller's key and the accounts of the configuration"})
	MemoryShort = register(Event{Number: 553, Name: "memory-short", Level: log.WarnLevel,
		Message: "requests refused before their body was read for lack of memory", Fields: []string{"reason", "request", "refused", "requests", "bytes", "retryAfterMs"},
		Action: "look for slow callers or targets, or for a load above the capacity of the instance"})
	MemoryAvailable = register(Event{Number: 554, Name: "memory-available", Level: log.InfoLevel,
		Message: "memory for requests is available again", Fields: []string{"shortMs", "requests", "bytes"},
		Action: "none"})
	RequestUnreadable = register(Event{Number: 540, Name: "request-unreadable", Level: log.InfoLevel,
		Message: "request refused while it was read", Fields: []string{"reason", "status", "caller"},
		Action: "check the caller if it occurs often, and the limits if the reason is too-large or too-slow"})
)
