package events

import "github.com/apex/log"

// Events of the lifecycle of an entry instance.
var (
	InstanceStarted = register(Event{Number: 100, Name: "instance-started", Level: log.InfoLevel,
		Message: "entry instance started", Fields: []string{"incarnation"}, Action: "none"})
	InstanceLeaving = register(Event{Number: 101, Name: "instance-leaving", Level: log.InfoLevel,
		Message: "graceful shutdown started", Action: "none"})
	InstanceStopped = register(Event{Number: 102, Name: "instance-stopped", Level: log.InfoLevel,
		Message: "graceful shutdown completed", Fields: []string{"cut"}, Action: "check for slow requests if cut is above 0"})
)
