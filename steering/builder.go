package steering

import (
	"maps"
	"slices"
)

// stateBuilder is a State under construction. It shares its maps with the
// previous state until an update changes them: a state holds thousands of
// targets, and most updates concern a single one.
type stateBuilder struct {
	State
	copied struct{ targets, evacuated, instances, homes, services bool }
	// changedTargets holds the IDs of targets that were updated or removed.
	changedTargets map[string]bool
}

// copyOnWrite clones a map before its first change.
func copyOnWrite[K comparable, V any](m *map[K]V, copied *bool) {
	if !*copied {
		*m, *copied = maps.Clone(*m), true
	}
}

// Apply returns a new state with the updates applied, at a store revision.
func (state *State) Apply(revision uint64, updates []Update) *State {
	builder := &stateBuilder{State: *state, changedTargets: map[string]bool{}}
	builder.Revision = revision
	for _, update := range updates {
		update.apply(builder)
	}
	builder.updateServiceTargets(state)
	return &builder.State
}

// updateTarget replaces a target; nil removes it.
func (builder *stateBuilder) updateTarget(id string, t *Target) {
	if t == nil && builder.Targets[id] == nil {
		return
	}
	copyOnWrite(&builder.Targets, &builder.copied.targets)
	builder.changedTargets[id] = true
	if t == nil {
		delete(builder.Targets, id)
		return
	}
	builder.Targets[id] = t
}

// updateServiceTargets updates the target lists of services with changed
// targets. Other lists are shared with the previous state.
func (builder *stateBuilder) updateServiceTargets(previousState *State) {
	if len(builder.changedTargets) == 0 {
		return
	}
	copyOnWrite(&builder.targetsByService, &builder.copied.services)
	if builder.targetsByService == nil {
		builder.targetsByService = map[string][]*Target{}
	}
	cloned := map[string]bool{}
	for id := range builder.changedTargets {
		if previous := previousState.Targets[id]; previous != nil {
			cloned[previous.Service] = true
		}
	}
	for service := range cloned {
		builder.targetsByService[service] = slices.DeleteFunc(slices.Clone(builder.targetsByService[service]), func(t *Target) bool { return builder.changedTargets[t.ID] })
	}
	for id := range builder.changedTargets {
		t := builder.Targets[id]
		if t == nil {
			continue
		}
		if !cloned[t.Service] {
			cloned[t.Service] = true
			builder.targetsByService[t.Service] = slices.Clone(builder.targetsByService[t.Service])
		}
		builder.targetsByService[t.Service] = append(builder.targetsByService[t.Service], t)
	}
}
