package metastore

import (
	"slices"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// maxCopyAge is the age of the oldest copy that can be restored.
const maxCopyAge = time.Minute

// headerEra states the era in responses.
const headerEra = "X-Jacinthstall-Store-Era"

// undoEntry undoes one change of the store.
type undoEntry struct {
	at   time.Time
	undo func()
}

// SetEra sets the era that all responses state. With 0, which is the default, they
// state none.
func (store *Store) SetEra(era uint64) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.era = era
}

// Era returns the era of the store.
func (store *Store) Era() uint64 {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.era
}

// Revision returns the current revision.
func (store *Store) Revision() uint64 {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.revision
}

// RestoreCopy replaces the content, the leases and the revision by those of a copy
// taken at the given time, and starts the next era. Changes since then are lost.
func (store *Store) RestoreCopy(copied time.Time) {
	store.mu.Lock()
	defer store.mu.Unlock()
	for len(store.journal) > 0 {
		last := store.journal[len(store.journal)-1]
		if !last.at.After(copied) {
			break
		}
		last.undo()
		store.journal = store.journal[:len(store.journal)-1]
	}
	store.events = slices.DeleteFunc(store.events, func(event Item) bool { return event.Revision > store.revision })
	store.compactedRevision = min(store.compactedRevision, store.revision)
	store.era++
	store.notifyWatches()
}

// Restore takes the store away, restores a copy whose age counts from the start of
// the outage, and returns after the outage.
func (store *Store) Restore(age, outage time.Duration) {
	copied := time.Now().Add(-age)
	store.SetFaults(Faults{Down: true})
	time.Sleep(outage)
	store.RestoreCopy(copied)
	store.SetFaults(Faults{})
}

// record adds an entry to the journal. Entries older than maxCopyAge are dropped.
// The caller must hold the lock.
func (store *Store) record(undo func()) {
	now := time.Now()
	store.journal = append(store.journal, undoEntry{now, undo})
	if oldest := now.Add(-2 * maxCopyAge); store.journal[0].at.Before(oldest) {
		keep := slices.IndexFunc(store.journal, func(entry undoEntry) bool { return entry.at.After(now.Add(-maxCopyAge)) })
		store.journal = slices.Clone(store.journal[keep:])
	}
}

func (store *Store) recordRevision() {
	before := store.revision
	store.record(func() { store.revision = before })
}

// recordItem records the state of a key before it changes.
func (store *Store) recordItem(key string) {
	before, existed := store.items[key]
	store.record(func() {
		if existed {
			store.items[key] = before
		} else {
			delete(store.items, key)
		}
	})
}

// recordLease records the state of a lease before it changes.
func (store *Store) recordLease(id uint64) {
	before := store.leases[id]
	if before == nil {
		store.record(func() { delete(store.leases, id) })
		return
	}
	held := *before
	store.record(func() { store.leases[id] = &held })
}

// stateEra states the era in a response. The era must have been read together with
// the content of the response.
func stateEra(c *app.RequestContext, era uint64) {
	if era > 0 {
		c.Header(headerEra, strconv.FormatUint(era, 10))
	}
}
