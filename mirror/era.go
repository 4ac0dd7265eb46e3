package mirror

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// rewriteGrace is how long after the start of an era the records that instances
	// write are kept although the era has none. The instances write them again
	// spread over up to 20 s, and try again after a failure.
	rewriteGrace = 30 * time.Second
	// seekPeriod is how long after its first read of the store an instance looks for
	// a peer with records of older eras.
	seekPeriod = 5 * time.Second
	// sourceStore is the source of records read from the store.
	sourceStore = "store"
)

// enterEra notes that records of a revision are about to replace all others. If
// its era is newer, the records known so far become unconfirmed.
func (mirror *Mirror) enterEra(revision kv.Revision, now time.Time, source string) {
	known := mirror.Position()
	mirror.mu.Lock()
	if source == sourceStore && revision.Era > known.Era {
		mirror.eraStarted = now
	}
	started := mirror.eraStarted
	if changed := known.Number > 0 && revision.Era > known.Era; !changed {
		mirror.mu.Unlock()
		return
	}
	if mirror.storeReturned.Before(started) {
		mirror.storeReturned = started
	}
	mirror.mu.Unlock()
	clear(mirror.unconfirmed) // The writers get the whole time again.
	for key, until := range mirror.heldTargets {
		if extended := started.Add(renewalGrace); until.Before(extended) {
			mirror.heldTargets[key] = extended
		}
	}
	mirror.options.Events.Emit(events.StoreEraChanged, log.Fields{"era": revision.Era, "eraBefore": known.Era, "revision": revision.Number,
		"revisionBefore": known.Number, "source": source})
	if mirror.options.OnEraChanged != nil {
		mirror.options.OnEraChanged(mirror.State(), revision)
	}
}

// holdUnconfirmed sets until when a record of an older era is kept. A
// configuration is kept until the store has a record of it.
func (mirror *Mirror) holdUnconfirmed(item kv.Item, now time.Time) {
	if _, held := mirror.unconfirmed[item.Key]; held {
		return
	}
	// The fault of an invalid record was logged when it was read.
	update, _ := mirror.options.Codec.DecodeUpdate(item, now)
	if grace, limited := graceOf(update); limited {
		mirror.unconfirmed[item.Key] = mirror.eraStarted.Add(grace)
	}
}

// graceOf returns for how long a record that decodes to an update is kept after the
// start of an era that doesn't have it. It reports false if there is no limit.
func graceOf(update steering.Update) (time.Duration, bool) {
	switch update.(type) {
	case steering.ConfigUpdate:
		return 0, false
	case steering.InstanceUpdate, steering.HomeTableUpdate, steering.CrashTableUpdate:
		return rewriteGrace, true
	}
	return renewalGrace, true
}

// dropUnconfirmed drops the records of older eras that were not written again, and
// returns the updates that result. While the store doesn't respond, nobody can
// write, and the records are kept.
func (mirror *Mirror) dropUnconfirmed(now time.Time) []steering.Update {
	var updates []steering.Update
	for key, until := range mirror.unconfirmed {
		if now.Before(until) {
			continue
		}
		if !mirror.storeServes() {
			mirror.unconfirmed[key] = now.Add(renewalGrace)
			continue
		}
		delete(mirror.unconfirmed, key)
		mirror.mu.Lock()
		delete(mirror.items, key)
		mirror.mu.Unlock()
		update, err := mirror.options.Codec.DecodeUpdate(kv.Item{Key: key, Deleted: true}, now)
		if err == nil && update != nil {
			updates = append(updates, update)
		}
	}
	return updates
}

func (mirror *Mirror) storeServes() bool {
	if mirror.options.StoreServes == nil {
		return mirror.lostSince.IsZero()
	}
	return mirror.options.StoreServes()
}

// keepConfigInForce keeps the record of the configuration in force when a record
// with a lower version of a newer era replaces it, for instances that start.
func (mirror *Mirror) keepConfigInForce(replaced, change kv.Item, update steering.Update, now time.Time) {
	offered, ok := update.(steering.ConfigUpdate)
	if !ok {
		return
	}
	inForce := mirror.configVersion(mirror.configInForce, now)
	if config := mirror.State().Config; config != nil {
		inForce = max(inForce, config.Version)
	}
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	if offered.Config.Version >= inForce {
		mirror.configInForce = nil
		return
	}
	if mirror.configInForce == nil && replaced.Era < change.Era && mirror.configVersion(&replaced, now) == inForce {
		mirror.configInForce = &replaced
	}
	if mirror.configInForce != nil {
		mirror.logRejection(change, fmt.Sprintf("version %d is older than %d, which stays in force", offered.Config.Version, inForce), rejectionLogInterval, now)
	}
}

// configVersion returns the version of a configuration's record, or 0.
func (mirror *Mirror) configVersion(item *kv.Item, now time.Time) steering.Version {
	if item == nil || item.Deleted || item.Key == "" {
		return 0
	}
	// The faults of the record were logged when it was read.
	update, _ := mirror.options.Codec.DecodeUpdate(*item, now)
	if config, ok := update.(steering.ConfigUpdate); ok {
		return config.Config.Version
	}
	return 0
}

// noteEraStart takes over from a peer when the era of its snapshot started, unless
// this instance knows that it started earlier.
func (mirror *Mirror) noteEraStart(snapshot *Snapshot, now time.Time) {
	var started time.Time
	if snapshot.EraAgeMs > 0 {
		started = now.Add(-time.Duration(snapshot.EraAgeMs) * time.Millisecond)
	}
	known := mirror.Position()
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	if snapshot.Era > known.Era || known.Number == 0 || started.Before(mirror.eraStarted) {
		mirror.eraStarted = started
	}
	if mirror.storeReturned.Before(started) {
		mirror.storeReturned = started // Leases whose renewals were lost end soon.
	}
}

// takeUnconfirmed stores the records of older eras that a peer still uses, except
// those of which this instance has newer ones. It returns the updates that result.
func (mirror *Mirror) takeUnconfirmed(snapshot *Snapshot, now time.Time) []steering.Update {
	confirmed := make(map[string]bool, len(snapshot.Items))
	for _, item := range snapshot.Items {
		confirmed[item.Key] = true
	}
	var updates []steering.Update
	for _, item := range snapshot.Unconfirmed {
		if item.Key == "" || item.Era >= snapshot.Era {
			continue
		}
		// The peer has logged the faults of the record.
		update, _ := mirror.options.Codec.DecodeUpdate(item, now)
		known, exists := mirror.items[item.Key]
		if config, ok := update.(steering.ConfigUpdate); ok && mirror.isNewerConfig(config, now) {
			updates = append(updates, update)
			if confirmed[item.Key] || known.Era == snapshot.Era && exists {
				mirror.mu.Lock()
				mirror.configInForce = &item
				mirror.mu.Unlock()
				continue
			}
		}
		if confirmed[item.Key] || exists && known.Position().Compare(item.Position()) >= 0 {
			continue
		}
		if grace, limited := graceOf(update); limited && !now.Before(mirror.eraStarted.Add(grace)) {
			continue
		}
		mirror.mu.Lock()
		mirror.items[item.Key] = item
		mirror.mu.Unlock()
		delete(mirror.heldTargets, item.Key)
		mirror.holdUnconfirmed(item, now)
		if _, isConfig := update.(steering.ConfigUpdate); update != nil && !isConfig {
			updates = append(updates, update)
		}
	}
	return updates
}

// isNewerConfig reports whether a configuration has a higher version than the one in
// force.
func (mirror *Mirror) isNewerConfig(update steering.ConfigUpdate, now time.Time) bool {
	config := mirror.State().Config
	return (config == nil || update.Config.Version > config.Version) && update.Config.Version > mirror.configVersion(mirror.configInForce, now)
}

// seekUnconfirmed fetches records of older eras from a peer. An instance that
// starts soon after a restore doesn't find them in the store.
func (mirror *Mirror) seekUnconfirmed(ctx context.Context, now time.Time) {
	if mirror.seekUntil.IsZero() || mirror.options.NewerPeer == nil || !mirror.loaded {
		return
	}
	if now.After(mirror.seekUntil) {
		mirror.seekUntil = time.Time{}
		return
	}
	known := mirror.Position()
	peer, ok := mirror.options.NewerPeer(kv.Revision{Era: known.Era})
	if !ok {
		return
	}
	snapshot, err := mirror.options.Fetch(ctx, peer, kv.Revision{})
	if err != nil {
		mirror.options.Events.Emit(events.PeerStateNotTaken, log.Fields{"peer": peer.Name, "error": err.Error()})
		return
	}
	if snapshot.Era != known.Era || !snapshot.Whole {
		return
	}
	mirror.seekUntil = time.Time{}
	mirror.noteEraStart(&snapshot, now)
	mirror.publish(mirror.takeUnconfirmed(&snapshot, now), known, "peer "+peer.Name)
}
