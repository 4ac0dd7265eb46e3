package mirror

import (
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/steering"
)

// replaceAll makes the records those of a whole read. Records that are missing in
// it are treated as deleted.
func (m *Mirror) replaceAll(items []kv.Item, revision uint64, now time.Time, source string) {
	m.mu.Lock()
	m.history.reset(revision)
	m.mu.Unlock()
	present := make(map[string]bool, len(items))
	for _, i := range items {
		present[i.Key] = true
	}
	changes := append([]kv.Item(nil), items...)
	for key := range m.items {
		if !present[key] {
			changes = append(changes, kv.Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	m.apply(changes, revision, now, source)
}

// apply takes over changes and switches to the world that they make.
func (m *Mirror) apply(changes []kv.Item, revision uint64, now time.Time, source string) {
	var facts []steering.Update
	for _, c := range changes {
		if !m.accept(c) {
			continue
		}
		fact, err := m.options.Codec.DecodeUpdate(c, now)
		if err != nil {
			m.options.Events.Emit(events.RecordRejected, log.Fields{"key": c.Key, "revision": c.Revision, "error": err.Error()})
		}
		if fact == nil || m.holdLapsedTarget(c, fact, now) {
			continue
		}
		facts = append(facts, fact)
	}
	m.publish(facts, revision, source)
}

// accept stores a change. It reports whether the change is newer than what is
// stored: pages of a read are no snapshot and a peer may be behind.
func (m *Mirror) accept(c kv.Item) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	old, known := m.items[c.Key]
	if known && old.Revision >= c.Revision {
		return false
	}
	// All records up to the own revision are known, so this one was deleted since.
	if !known && c.Revision <= m.revision {
		return false
	}
	if known || !c.Deleted {
		m.history.add(c)
	}
	if c.Deleted {
		delete(m.items, c.Key)
		return known
	}
	m.items[c.Key] = c
	delete(m.heldTargets, c.Key)
	return true
}

// holdLapsedTarget keeps a target whose record lapsed while the store was away, until its
// writer has had time to renew it.
func (m *Mirror) holdLapsedTarget(c kv.Item, fact steering.Update, now time.Time) bool {
	_, gone := fact.(steering.TargetRemoval)
	if !gone || !c.Deleted {
		return false
	}
	until := m.renewalDeadline()
	if !now.Before(until) {
		return false
	}
	m.heldTargets[c.Key] = until
	return true
}

// removeExpiredTargets drops the targets whose writers did not come back.
func (m *Mirror) removeExpiredTargets(now time.Time) {
	var facts []steering.Update
	for key, until := range m.heldTargets {
		if now.Before(until) {
			continue
		}
		delete(m.heldTargets, key)
		fact, err := m.options.Codec.DecodeUpdate(kv.Item{Key: key, Deleted: true}, now)
		if err != nil {
			m.options.Events.Emit(events.RecordRejected, log.Fields{"key": key, "error": err.Error()})
			continue
		}
		facts = append(facts, fact)
	}
	m.publish(facts, m.Revision(), "lapsed")
}

// publish switches to the world in which the facts hold, and logs what changed.
// The revision is told to others only when the world at it is in force.
func (m *Mirror) publish(facts []steering.Update, revision uint64, source string) {
	before := m.state.Load()
	after := before.Apply(max(before.Revision, revision), facts)
	m.state.Store(after)
	m.mu.Lock()
	m.revision = max(m.revision, revision)
	m.mu.Unlock()
	if len(facts) == 0 {
		return
	}
	m.logUpdates(before, after, facts, source)
	if m.options.OnStateChanged != nil {
		m.options.OnStateChanged(before, after)
	}
}

func (m *Mirror) logUpdates(before, after *steering.State, facts []steering.Update, source string) {
	if after.Config != before.Config {
		c := after.Config
		m.options.Events.Emit(events.SteeringConfigInForce, log.Fields{"version": uint64(c.Version), "routes": len(c.Routes),
			"services": len(c.Services), "revision": after.Revision, "source": source})
	}
	for _, f := range facts {
		switch f := f.(type) {
		case steering.TargetUpdate:
			state := "ready"
			if f.Target.Draining {
				state = "draining"
			}
			m.logTarget(f.Target, state, after.Revision, source)
		case steering.TargetRemoval:
			if t := before.Targets[f.ID]; t != nil {
				m.logTarget(t, "gone", after.Revision, source)
			}
		case steering.HomeTableUpdate:
			if f.Table != nil {
				m.options.Events.Emit(events.HomesInForce, log.Fields{"region": f.Region, "objects": len(f.Table.Objects), "revision": after.Revision, "source": source})
			}
		case steering.EvacuationUpdate:
			m.options.Events.Emit(events.DomainEvacuation, log.Fields{"domain": f.Domain, "on": f.Active, "revision": after.Revision, "source": source})
		}
	}
}

func (m *Mirror) logTarget(t *steering.Target, state string, revision uint64, source string) {
	m.options.Events.Emit(events.TargetChanged, log.Fields{"target": t.ID, "service": t.Service, "domain": t.Domain,
		"state": state, "revision": revision, "source": source})
}
