package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/steering"
)

// This file writes the instance's own records again after the store was restored to
// an older state.

const (
	// rewriteShare is the time for each instance of the deployment over which the
	// registrations are spread, so that the store gets about 50 of them a second.
	rewriteShare = 20 * time.Millisecond
	// Bounds of the time over which the registrations are spread. The upper one is
	// less than the time for which peers keep a registration that the store has lost.
	minRewriteSpread = time.Second
	maxRewriteSpread = 20 * time.Second
	// lostHomeTableTTL is how long after a restore the home table from before is
	// written.
	lostHomeTableTTL = 30 * time.Second
)

func rewriteSpread(instances int) time.Duration {
	return min(max(minRewriteSpread, time.Duration(instances)*rewriteShare), maxRewriteSpread)
}

func (node *Node) storeServes() bool { return node.exchange.StoreServes() }

func (node *Node) invalidEra(value string) {
	node.events.Emit(events.StoreEraInvalid, log.Fields{"value": value})
}

// storeEra returns the highest era known from the store or a peer.
func (node *Node) storeEra() uint64 {
	return max(node.options.Store.Era(), node.mirror.Position().Era)
}

// leaseOutdated reports whether the lease of the registration is of an older era.
func (node *Node) leaseOutdated() bool {
	lease := node.lease.Load()
	return lease != nil && lease.Era < node.storeEra()
}

// expectedRevision returns the revision that a key must have in the store for a
// write that is based on a record of the given revision. A record of an older era
// that is still in use is not in the store.
func (node *Node) expectedRevision(key string, revision kv.Revision) kv.Revision {
	if rejected, ok := node.mirror.RejectedRevision(key); ok {
		revision = rejected // A record that cannot be read is replaced.
	}
	if era := node.mirror.Position().Era; revision.Era != era {
		return kv.Revision{Era: era}
	}
	return revision
}

// registrationSchedule decides when the registration is renewed or written.
type registrationSchedule struct {
	nextRenewal time.Time
	// readBackDeadline is when a written record that isn't in the mirror is written
	// again.
	readBackDeadline time.Time
	rewriteAt        time.Time // When the record is written in a new era; zero if it is not outdated.
}

// wait returns how long to wait until the next check; 0 means to renew or write
// now. A registration of an older era is written after the given delay.
func (schedule *registrationSchedule) wait(now time.Time, registered, outdated bool, delay time.Duration) time.Duration {
	if outdated {
		if schedule.rewriteAt.IsZero() {
			schedule.rewriteAt = now.Add(delay)
		}
		return min(registrationCheckInterval, max(0, schedule.rewriteAt.Sub(now)))
	}
	schedule.rewriteAt = time.Time{}
	if now.Before(schedule.nextRenewal) && (registered || now.Before(schedule.readBackDeadline)) {
		return registrationCheckInterval
	}
	return 0
}

func (schedule *registrationSchedule) succeeded(now time.Time) {
	*schedule = registrationSchedule{nextRenewal: now.Add(renewInterval), readBackDeadline: now.Add(readBackTimeout)}
}

// lostHomeTable is the home table of the region from before a restore.
type lostHomeTable struct {
	objects map[uint32]uint32
	read    kv.Revision // Of the first full read in the new era.
	due     time.Time   // When it is written.
	expires time.Time
}

// next returns the table to write, or nil, given the current one. It reports whether
// the lost table may still have to be written later.
func (lost *lostHomeTable) next(now time.Time, current *steering.HomeTable) (*steering.HomeTable, bool) {
	if now.After(lost.expires) {
		return nil, false
	}
	table := &steering.HomeTable{Objects: lost.objects}
	if current != nil {
		at := kv.Revision{Era: current.Era, Number: current.Revision}
		inStore := current.Era >= lost.read.Era
		if inStore && (at.After(lost.read) || maps.Equal(current.Objects, lost.objects)) {
			return nil, false // Written since the restore, or not lost.
		}
		table.Era, table.Revision = current.Era, current.Revision
	}
	if now.Before(lost.due) {
		return nil, true
	}
	return table, true
}

// eraChanged keeps the home table of the region to write it again, once for the
// region. The crash table and the registration are compared with the store anyway.
func (node *Node) eraChanged(before *steering.State, revision kv.Revision) {
	table := before.HomeTables[node.self.Region]
	if table == nil {
		return
	}
	now := time.Now()
	node.lostHomeTable.Store(&lostHomeTable{objects: table.Objects, read: revision, due: now.Add(rand.N(minRewriteSpread)), expires: now.Add(lostHomeTableTTL)})
}

// restoreHomeTable writes the home table of the region again if the store has lost
// it.
func (node *Node) restoreHomeTable(ctx context.Context, now time.Time) {
	lost := node.lostHomeTable.Load()
	if lost == nil {
		return
	}
	table, pending := lost.next(now, node.mirror.State().HomeTables[node.self.Region])
	if table != nil {
		err := node.writeHomeTable(ctx, table)
		if err != nil {
			node.events.Emit(events.HomesNotWritten, log.Fields{"region": node.self.Region, "revision": table.Revision, "error": err.Error()})
		}
		pending = err != nil
	}
	if !pending {
		node.lostHomeTable.CompareAndSwap(lost, nil)
	}
}
