package steering

import (
	"maps"
	"slices"
)

// draft is a world under construction. It shares all maps with the world
// before until a fact changes them: a world holds thousands of targets, and
// most changes concern one.
type draft struct {
	World
	owned struct{ targets, evacuated, instances, homes, services bool }
	// changed holds the IDs of targets that were set.
	changed map[string]bool
}

// own copies a map before its first change.
func own[K comparable, V any](m *map[K]V, owned *bool) {
	if !*owned {
		*m, *owned = maps.Clone(*m), true
	}
}

// With returns a new world in which the facts hold, at a revision.
func (w *World) With(revision uint64, facts []Fact) *World {
	d := &draft{World: *w, changed: map[string]bool{}}
	d.Revision = revision
	for _, f := range facts {
		f.apply(d)
	}
	d.sort(w)
	return &d.World
}

// setTarget states a target; nil means that it has gone.
func (d *draft) setTarget(id string, t *Target) {
	if t == nil && d.Targets[id] == nil {
		return
	}
	own(&d.Targets, &d.owned.targets)
	d.changed[id] = true
	if t == nil {
		delete(d.Targets, id)
		return
	}
	d.Targets[id] = t
}

// sort puts the changed targets into the lists of their services. Lists without
// a change are those of the world before.
func (d *draft) sort(before *World) {
	if len(d.changed) == 0 {
		return
	}
	own(&d.byService, &d.owned.services)
	if d.byService == nil {
		d.byService = map[string][]*Target{}
	}
	affected := map[string]bool{}
	for id := range d.changed {
		if old := before.Targets[id]; old != nil {
			affected[old.Service] = true
		}
	}
	for service := range affected {
		d.byService[service] = slices.DeleteFunc(slices.Clone(d.byService[service]), func(t *Target) bool { return d.changed[t.ID] })
	}
	for id := range d.changed {
		t := d.Targets[id]
		if t == nil {
			continue
		}
		if !affected[t.Service] {
			affected[t.Service] = true
			d.byService[t.Service] = slices.Clone(d.byService[t.Service])
		}
		d.byService[t.Service] = append(d.byService[t.Service], t)
	}
}
