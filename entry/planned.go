package entry

import (
	"slices"

	"github.com/jacinthstall/jacinthstall/membership"
)

// plannedLeaving returns the instances that the document in force names as
// leaving.
func (in *Instance) plannedLeaving() map[string]bool {
	names := map[string]bool{}
	if d := in.document.Load(); d != nil {
		for _, name := range d.LeavingInstances {
			names[name] = true
		}
	}
	return names
}

// isLeaving reports whether the instance is stopping or the document in force
// names it as leaving. It still serves; look-up answers do not name it.
func (in *Instance) isLeaving() bool {
	if in.leaving.Load() {
		return true
	}
	d := in.document.Load()
	return d != nil && slices.Contains(d.LeavingInstances, in.settings.Name)
}

// reportedState is the state that the instance reports of itself in heartbeats. It
// returns to alive when a document no longer names the instance.
func (in *Instance) reportedState() membership.State {
	if in.isLeaving() {
		return membership.Leaving
	}
	return membership.Alive
}
