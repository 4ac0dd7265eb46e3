package events

import "github.com/apex/log"

// Events of the configuration distribution.
var (
	ConfigInForce = register(Event{Number: 200, Name: "config-in-force", Level: log.InfoLevel,
		Message: "configuration is now in force", Fields: []string{"version", "source"}, Action: "none"})
	ConfigRejected = register(Event{Number: 201, Name: "config-rejected", Level: log.ErrorLevel,
		Message: "configuration rejected", Fields: []string{"version", "source", "reason"},
		Action: "check the operator keys and who can write to the platform"})
	ConfigPlatformOlder = register(Event{Number: 202, Name: "config-platform-older", Level: log.WarnLevel,
		Message: "platform has an older configuration than the one in force", Fields: []string{"platform", "version"},
		Action: "check whether the platform was restored from a backup; instances write the configuration in force back"})
	ConfigWrittenBack = register(Event{Number: 203, Name: "config-written-back", Level: log.WarnLevel,
		Message: "configuration in force written back to the platform", Fields: []string{"version"}, Action: "none"})
	ConfigWriteBackFailed = register(Event{Number: 204, Name: "config-write-back-failed", Level: log.WarnLevel,
		Message: "failed to write the configuration back to the platform", Fields: []string{"version", "reason"},
		Action: "check the platform; the write is retried"})
	ConfigPlatformUnread = register(Event{Number: 205, Name: "config-platform-unread", Level: log.WarnLevel,
		Message: "failed to read the head record of the configuration from the platform", Fields: []string{"reason"},
		Action: "check the platform; the configuration in force is kept"})
	ConfigFork = register(Event{Number: 206, Name: "config-fork", Level: log.ErrorLevel,
		Message: "a different configuration has the same version as the one in force", Fields: []string{"version", "source"},
		Action: "publish the intended document again; it then gets a higher version"})
	ConfigPeerFailed = register(Event{Number: 207, Name: "config-peer-failed", Level: log.DebugLevel,
		Message: "failed to exchange the configuration with a peer", Fields: []string{"peer", "reason"},
		Action: "none; heartbeats trigger the exchange again"})
	ConfigNoKeys = register(Event{Number: 208, Name: "config-no-keys", Level: log.ErrorLevel,
		Message: "settings contain no operator keys; every configuration will be rejected",
		Action:  "add the operators' public keys to the settings and restart the instance"})
)
