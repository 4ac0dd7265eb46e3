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
// are missing there are treated as deleted, those of an older era as unconfirmed.
func (mirror *Mirror) replaceAll(items []kv.Item, revision kv.Revision, now time.Time, source string) {
	mirror.replaceAllAnd(nil, items, revision, now, source)
}

// replaceAllAnd is replaceAll with further updates, which are published together
// with those of the items.
func (mirror *Mirror) replaceAllAnd(further []steering.Update, items []kv.Item, revision kv.Revision, now time.Time, source string) {
	if mirror.Position().Era > revision.Era {
		return
	}
	mirror.enterEra(revision, now, source)
	mirror.mu.Lock()
	mirror.history.reset(revision.Number)
	mirror.mu.Unlock()
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
	}
	changes := append([]kv.Item(nil), items...)
	for key, old := range mirror.items {
		switch {
		case present[key]:
		case old.Era < revision.Era:
			mirror.holdUnconfirmed(old, now)
		default:
			changes = append(changes, kv.Item{Key: key, Revision: revision.Number, Era: revision.Era, Deleted: true})
		}
	}
	mirror.applyAnd(further, changes, revision, now, source)
}

// apply stores changes and publishes the state that results from them.
func (mirror *Mirror) apply(changes []kv.Item, revision kv.Revision, now time.Time, source string) {
	if known := mirror.Position(); known.Era != revision.Era && known.Number > 0 {
		return // Changes don't lead from one era to another.
	}
	mirror.applyAnd(nil, changes, revision, now, source)
}

// applyAnd is apply with further updates, which are published first.
func (mirror *Mirror) applyAnd(further []steering.Update, changes []kv.Item, revision kv.Revision, now time.Time, source string) {
	updates := further
	for _, change := range changes {
		if change.Era != revision.Era {
			continue
		}
		if change.Key == "" || change.Revision == 0 {
			mirror.logRejection(change, boundedText(change.Fault, maxUnusableFaultBytes), rejectionLogInterval, now)
			continue
		}
		replaced := mirror.items[change.Key]
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
		mirror.keepConfigInForce(replaced, change, update, now)
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
	if known && old.Position().Compare(change.Position()) >= 0 {
		return false
	}
	// All records up to mirror.revision are known, so this one has been deleted.
	if !known && !change.Position().After(mirror.revision) {
		return false
	}
	if known || !change.Deleted {
		mirror.history.add(change)
	}
	delete(mirror.unconfirmed, change.Key)
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

// removeExpiredTargets removes held targets whose records were not renewed, and
// records of an older era that were not written again.
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
	updates = append(updates, mirror.dropUnconfirmed(now)...)
	mirror.publish(updates, mirror.Position(), "lapsed")
}

// publish replaces the current state with one that includes the updates, and
// logs them. The revision is visible to peers only after the state of that
// revision is current.
func (mirror *Mirror) publish(updates []steering.Update, revision kv.Revision, source string) {
	before := mirror.state.Load()
	if known := mirror.Position(); known.After(revision) {
		revision = known
	}
	after := before.Apply(revision.Number, updates)
	mirror.state.Store(after)
	mirror.mu.Lock()
	mirror.revision = revision
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
