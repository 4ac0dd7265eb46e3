package entry

import (
	"slices"

	"github.com/jacinthstall/jacinthstall/membership"
)

// plannedLeaving returns the names of the instances that the document in force
// marks as leaving.
func (inst *Instance) plannedLeaving() map[string]bool {
	names := map[string]bool{}
	if document := inst.document.Load(); document != nil {
		for _, name := range document.LeavingInstances {
			names[name] = true
		}
	}
	return names
}

// isLeaving reports whether the instance is stopping or the document in force
// marks it as leaving. It still serves, but look-up responses no longer name it.
func (inst *Instance) isLeaving() bool {
	if inst.leaving.Load() {
		return true
	}
	document := inst.document.Load()
	return document != nil && slices.Contains(document.LeavingInstances, inst.settings.Name)
}

// reportedState returns the state that the instance reports about itself in
// heartbeats. It is alive again when a later document no longer marks the
// instance as leaving.
func (inst *Instance) reportedState() membership.State {
	if inst.isLeaving() {
		return membership.Leaving
	}
	return membership.Alive
}
