package events

import "github.com/apex/log"

// Events of the distribution of the configuration.
var (
	ConfigInForce = register(Event{Number: 200, Name: "config-in-force", Level: log.InfoLevel,
		Message: "configuration in force", Fields: []string{"version", "source"}, Action: "none"})
	ConfigRejected = register(Event{Number: 201, Name: "config-rejected", Level: log.ErrorLevel,
		Message: "configuration rejected", Fields: []string{"version", "source", "reason"},
		Action: "check the operator keys and who can write to the platform"})
	ConfigPlatformOlder = register(Event{Number: 202, Name: "config-platform-older", Level: log.WarnLevel,
		Message: "platform holds an older configuration than the one in force", Fields: []string{"platform", "version"},
		Action: "check whether the platform was restored; instances write the configuration in force back"})
	ConfigWrittenBack = register(Event{Number: 203, Name: "config-written-back", Level: log.WarnLevel,
		Message: "configuration in force written back to the platform", Fields: []string{"version"}, Action: "none"})
	ConfigWriteBackFailed = register(Event{Number: 204, Name: "config-write-back-failed", Level: log.WarnLevel,
		Message: "configuration not written back to the platform", Fields: []string{"version", "reason"},
		Action: "check the platform; the write is tried again"})
	ConfigPlatformUnread = register(Event{Number: 205, Name: "config-platform-unread", Level: log.WarnLevel,
		Message: "head record not read from the platform", Fields: []string{"reason"},
		Action: "check the platform; the configuration in force stays"})
	ConfigFork = register(Event{Number: 206, Name: "config-fork", Level: log.ErrorLevel,
		Message: "another configuration has the version in force", Fields: []string{"version", "source"},
		Action: "publish the intended document again, which gets a higher version"})
	ConfigPeerFailed = register(Event{Number: 207, Name: "config-peer-failed", Level: log.DebugLevel,
		Message: "configuration not exchanged with a peer", Fields: []string{"peer", "reason"},
		Action: "none; heartbeats repeat the exchange"})
	ConfigNoKeys = register(Event{Number: 208, Name: "config-no-keys", Level: log.ErrorLevel,
		Message: "settings list no operator keys, so no configuration will be accepted",
		Action:  "add the operators' public keys to the settings and restart the instance"})
)
