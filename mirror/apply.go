package mirror

import (
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/steering"
)

// replaceAll replaces all records with the items of a full read. Records that
// are missing there are treated as deleted.
func (mirror *Mirror) replaceAll(items []kv.Item, revision uint64, now time.Time, source string) {
	mirror.mu.Lock()
	mirror.history.reset(revision)
	mirror.mu.Unlock()
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
	}
	changes := append([]kv.Item(nil), items...)
	for key := range mirror.items {
		if !present[key] {
			changes = append(changes, kv.Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	mirror.apply(changes, revision, now, source)
}

// apply stores changes and publishes the state that results from them.
func (mirror *Mirror) apply(changes []kv.Item, revision uint64, now time.Time, source string) {
	var updates []steering.Update
	for _, change := range changes {
		if change.Key == "" || change.Revision == 0 {
			mirror.logRejection(change, boundedText(change.Fault, maxUnusableFaultBytes), rejectionLogInterval, now)
			continue
		}
		if !mirror.accept(change) {
			continue
		}
		update, err := mirror.options.Codec.DecodeUpdate(change, now)
		fault := ""
		switch {
		case err == nil:
			delete(mirror.rejections, change.Key)
		case usesValue(update):
			mirror.logRejection(change, boundedText(err.Error(), maxPartialFaultBytes), 0, now)
		default:
			fault = boundedText(err.Error(), maxUnusableFaultBytes)
			mirror.logRejection(change, fault, rejectionLogInterval, now)
		}
		if !change.Deleted && !usesValue(update) {
			mirror.dropValue(change, fault)
		}
		if update == nil || mirror.holdLapsedTarget(change, update, now) {
			continue
		}
		updates = append(updates, update)
	}
	mirror.publish(updates, revision, source)
}

// accept stores a change. It reports whether the change is newer than the
// stored record: the pages of a read aren't a consistent snapshot, and a peer
// may lag behind.
func (mirror *Mirror) accept(change kv.Item) bool {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	old, known := mirror.items[change.Key]
	if known && old.Revision >= change.Revision {
		return false
	}
	// All records up to mirror.revision are known, so this one has been deleted.
	if !known && change.Revision <= mirror.revision {
		return false
	}
	if known || !change.Deleted {
		mirror.history.add(change)
	}
	if change.Deleted {
		delete(mirror.items, change.Key)
		return known
	}
	mirror.items[change.Key] = change
	delete(mirror.heldTargets, change.Key)
	return true
}

// usesValue reports whether the value of a record is needed for an update.
func usesValue(update steering.Update) bool {
	switch update.(type) {
	case nil, steering.TargetRemoval, steering.InstanceRemoval, steering.EvacuationUpdate:
		return false
	}
	return true
}

// dropValue replaces the value of a stored record, which no instance can use, by
// the reason. Values may be large, and peers receive all records.
func (mirror *Mirror) dropValue(change kv.Item, fault string) {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	change.Value, change.Fault = nil, fault
	mirror.items[change.Key] = change
	mirror.history.replace(change)
}

// rejection is the last logged fault of a record.
type rejection struct {
	fault string
	at    time.Time
}

const (
	// maxUnusableFaultBytes limits the description of the faults of a record that
	// cannot be used at all.
	maxUnusableFaultBytes = 512
	// maxPartialFaultBytes is the same for a record that holds in part, such as a
	// configuration with invalid fields.
	maxPartialFaultBytes = 8 << 10
	// rejectionLogInterval is the shortest time between log lines about different
	// faults of a record that cannot be used. The same fault is logged once.
	rejectionLogInterval = 10 * time.Second
	// maxRejections bounds the records whose faults are remembered.
	maxRejections = 4096
)

func boundedText(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit], "") + "..."
}

// logRejection logs a fault of a record. Writers renew their records with every
// heartbeat, so a fault that was logged is not logged again.
func (mirror *Mirror) logRejection(change kv.Item, fault string, interval time.Duration, now time.Time) {
	last, known := mirror.rejections[change.Key]
	if known && (last.fault == fault || now.Sub(last.at) < interval) {
		return
	}
	if !known && len(mirror.rejections) >= maxRejections {
		clear(mirror.rejections)
	}
	mirror.rejections[change.Key] = rejection{fault, now}
	mirror.options.Events.Emit(events.RecordRejected, log.Fields{"key": change.Key, "revision": change.Revision, "error": fault})
}

// holdLapsedTarget keeps a target whose record lapsed during a store outage
// until its writer has had time to renew it.
func (mirror *Mirror) holdLapsedTarget(change kv.Item, update steering.Update, now time.Time) bool {
	_, gone := update.(steering.TargetRemoval)
	if !gone || !change.Deleted {
		return false
	}
	until := mirror.renewalDeadline()
	if !now.Before(until) {
		return false
	}
	mirror.heldTargets[change.Key] = until
	return true
}

// removeExpiredTargets removes held targets whose records were not renewed.
func (mirror *Mirror) removeExpiredTargets(now time.Time) {
	var updates []steering.Update
	for key, until := range mirror.heldTargets {
		if now.Before(until) {
			continue
		}
		delete(mirror.heldTargets, key)
		update, err := mirror.options.Codec.DecodeUpdate(kv.Item{Key: key, Deleted: true}, now)
		if err != nil {
			mirror.options.Events.Emit(events.RecordRejected, log.Fields{"key": key, "error": err.Error()})
			continue
		}
		updates = append(updates, update)
	}
	mirror.publish(updates, mirror.Revision(), "lapsed")
}

// publish replaces the current state with one that includes the updates, and
// logs them. The revision is visible to peers only after the state of that
// revision is current.
func (mirror *Mirror) publish(updates []steering.Update, revision uint64, source string) {
	before := mirror.state.Load()
	after := before.Apply(max(before.Revision, revision), updates)
	mirror.state.Store(after)
	mirror.mu.Lock()
	mirror.revision = max(mirror.revision, revision)
	mirror.mu.Unlock()
	if len(updates) == 0 {
		return
	}
	mirror.logUpdates(before, after, updates, source)
	if mirror.options.OnStateChanged != nil {
		mirror.options.OnStateChanged(before, after)
	}
}

func (mirror *Mirror) logUpdates(before, after *steering.State, updates []steering.Update, source string) {
	if after.Config != before.Config {
		c := after.Config
		mirror.options.Events.Emit(events.SteeringConfigInForce, log.Fields{"version": uint64(c.Version), "routes": len(c.Routes),
			"services": len(c.Services), "revision": after.Revision, "source": source})
	}
	for _, update := range updates {
		switch update := update.(type) {
		case steering.TargetUpdate:
			state := "ready"
			if update.Target.Draining {
				state = "draining"
			}
			mirror.logTarget(update.Target, state, after.Revision, source)
		case steering.TargetRemoval:
			if t := before.Targets[update.ID]; t != nil {
				mirror.logTarget(t, "gone", after.Revision, source)
			}
		case steering.HomeTableUpdate:
			if update.Table != nil {
				mirror.options.Events.Emit(events.HomesInForce, log.Fields{"region": update.Region, "objects": len(update.Table.Objects), "revision": after.Revision, "source": source})
			}
		case steering.EvacuationUpdate:
			mirror.options.Events.Emit(events.DomainEvacuation, log.Fields{"domain": update.Domain, "on": update.Active, "revision": after.Revision, "source": source})
		}
	}
}

func (mirror *Mirror) logTarget(t *steering.Target, state string, revision uint64, source string) {
	mirror.options.Events.Emit(events.TargetChanged, log.Fields{"target": t.ID, "service": t.Service, "domain": t.Domain,
		"state": state, "revision": revision, "source": source})
}
