package events

import "github.com/apex/log"

// Events of the life of an entry instance.
var (
	InstanceStarted = register(Event{Number: 100, Name: "instance-started", Level: log.InfoLevel,
		Message: "entry instance started", Fields: []string{"incarnation"}, Action: "none"})
	InstanceLeaving = register(Event{Number: 101, Name: "instance-leaving", Level: log.InfoLevel,
		Message: "planned stop began", Action: "none"})
	InstanceStopped = register(Event{Number: 102, Name: "instance-stopped", Level: log.InfoLevel,
		Message: "planned stop complete", Fields: []string{"cut"}, Action: "look for slow requests when cut is above 0"})
)
