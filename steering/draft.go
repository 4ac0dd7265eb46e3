package steering

import (
	"maps"
	"slices"
)

// stateBuilder is a world under construction. It shares all maps with the world
// before until a fact changes them: a world holds thousands of targets, and
// most changes concern one.
type stateBuilder struct {
	State
	copied struct{ targets, evacuated, instances, homes, services bool }
	// changedTargets holds the IDs of targets that were set.
	changedTargets map[string]bool
}

// copyOnWrite copies a map before its first change.
func copyOnWrite[K comparable, V any](m *map[K]V, owned *bool) {
	if !*owned {
		*m, *owned = maps.Clone(*m), true
	}
}

// Apply returns a new world in which the facts hold, at a revision.
func (w *State) Apply(revision uint64, facts []Update) *State {
	d := &stateBuilder{State: *w, changedTargets: map[string]bool{}}
	d.Revision = revision
	for _, f := range facts {
		f.apply(d)
	}
	d.updateServiceTargets(w)
	return &d.State
}

// updateTarget states a target; nil means that it has gone.
func (d *stateBuilder) updateTarget(id string, t *Target) {
	if t == nil && d.Targets[id] == nil {
		return
	}
	copyOnWrite(&d.Targets, &d.copied.targets)
	d.changedTargets[id] = true
	if t == nil {
		delete(d.Targets, id)
		return
	}
	d.Targets[id] = t
}

// updateServiceTargets puts the changed targets into the lists of their services. Lists without
// a change are those of the world before.
func (d *stateBuilder) updateServiceTargets(before *State) {
	if len(d.changedTargets) == 0 {
		return
	}
	copyOnWrite(&d.targetsByService, &d.copied.services)
	if d.targetsByService == nil {
		d.targetsByService = map[string][]*Target{}
	}
	affected := map[string]bool{}
	for id := range d.changedTargets {
		if old := before.Targets[id]; old != nil {
			affected[old.Service] = true
		}
	}
	for service := range affected {
		d.targetsByService[service] = slices.DeleteFunc(slices.Clone(d.targetsByService[service]), func(t *Target) bool { return d.changedTargets[t.ID] })
	}
	for id := range d.changedTargets {
		t := d.Targets[id]
		if t == nil {
			continue
		}
		if !affected[t.Service] {
			affected[t.Service] = true
			d.targetsByService[t.Service] = slices.Clone(d.targetsByService[t.Service])
		}
		d.targetsByService[t.Service] = append(d.targetsByService[t.Service], t)
	}
}
