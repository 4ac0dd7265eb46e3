package entry

import (
	"slices"

	"github.com/jacinthstall/jacinthstall/membership"
)

// plannedLeaving returns the instances that the document in force names as
// leaving.
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
// names it as leaving. It still serves; look-up answers do not name it.
func (inst *Instance) isLeaving() bool {
	if inst.leaving.Load() {
		return true
	}
	document := inst.document.Load()
	return document != nil && slices.Contains(document.LeavingInstances, inst.settings.Name)
}

// reportedState is the state that the instance reports of itself in heartbeats. It
// returns to alive when a document no longer names the instance.
func (inst *Instance) reportedState() membership.State {
	if inst.isLeaving() {
		return membership.Leaving
	}
	return membership.Alive
}
