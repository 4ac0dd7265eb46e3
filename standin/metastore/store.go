package metastore

import (
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Item is a stored key or, if Deleted is set, the event of its deletion.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Store holds the data of the stand-in. It is safe for concurrent use.
type Store struct {
	mu                sync.Mutex
	items             map[string]Item
	events            []Item // Change history, oldest first.
	compactedRevision uint64 // Revision up to which the history has been discarded.
	revision          uint64
	leases            map[uint64]*lease
	changeSignal      chan struct{} // Closed and replaced on each change.
	faults            Faults
	readLimiter       *rate.Limiter
	writeLimiter      *rate.Limiter
	calls             Calls
	era               uint64 // Sent in all responses unless 0.
	journal           []undoEntry
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Calls counts client calls, including refused ones.
type Calls struct {
	Reads, Watches, Writes, Renewals, Refused int
}

// New returns an empty store without rate limits.
func New() *Store {
	return &Store{items: map[string]Item{}, leases: map[uint64]*lease{}, changeSignal: make(chan struct{}), revision: 1,
		readLimiter: rate.NewLimiter(rate.Inf, 0), writeLimiter: rate.NewLimiter(rate.Inf, 0)}
}

// SetRateLimits sets the maximum reads and writes per second over all clients.
func (store *Store) SetRateLimits(reads, writes int) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.readLimiter = rate.NewLimiter(rate.Limit(reads), reads)
	store.writeLimiter = rate.NewLimiter(rate.Limit(writes), writes)
}

// Calls returns the number of calls so far.
func (store *Store) Calls() Calls {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.calls
}

// Put writes a key on behalf of the operator or a target, bypassing rate limits
// and faults. It returns the new revision.
func (store *Store) Put(key string, value []byte) uint64 {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.put(key, value, 0)
}

// Delete removes a key, bypassing rate limits and faults. It returns the current
// revision of the store.
func (store *Store) Delete(key string) uint64 {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.remove(key)
}

// Compact discards the change history. Watches from an older revision then
// receive status 410.
func (store *Store) Compact() {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.compactedRevision, store.events = store.revision, nil
	store.notifyWatches()
}

// Keys returns the keys with a prefix, in ascending order.
func (store *Store) Keys(prefix string) []string {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.expireLeases(time.Now())
	return store.keysWithPrefix(prefix)
}

func (store *Store) keysWithPrefix(prefix string) []string {
	var keys []string
	for key := range store.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (store *Store) put(key string, value []byte, lease uint64) uint64 {
	store.recordRevision()
	store.revision++
	item := Item{Key: key, Value: value, Revision: store.revision, Created: store.revision, Lease: lease}
	if old, ok := store.items[key]; ok {
		item.Created = old.Created
	}
	store.recordItem(key)
	store.items[key] = item
	store.events = append(store.events, item)
	store.notifyWatches()
	return store.revision
}

func (store *Store) remove(key string) uint64 {
	if _, ok := store.items[key]; !ok {
		return store.revision
	}
	store.recordRevision()
	store.recordItem(key)
	store.revision++
	delete(store.items, key)
	store.events = append(store.events, Item{Key: key, Revision: store.revision, Deleted: true})
	store.notifyWatches()
	return store.revision
}

// notifyWatches makes all pending watches check for changes. The caller must
// hold the lock.
func (store *Store) notifyWatches() {
	close(store.changeSignal)
	store.changeSignal = make(chan struct{})
}

// expireLeases removes expired leases and their keys.
func (store *Store) expireLeases(now time.Time) {
	for id, current := range store.leases {
		if now.After(current.expires) {
			store.revokeLease(id)
		}
	}
}

// revokeLease removes a lease and all keys attached to it.
func (store *Store) revokeLease(id uint64) {
	store.recordLease(id)
	delete(store.leases, id)
	for _, key := range store.keysWithPrefix("") {
		if store.items[key].Lease == id {
			store.remove(key)
		}
	}
}

// eventsSince returns the events for a prefix after a revision. ok is false when
// part of that history has been compacted, or when a restored store does not have
// the revision.
func (store *Store) eventsSince(prefix string, after uint64) (events []Item, ok bool) {
	if after < store.compactedRevision || store.era > 0 && after > store.revision {
		return nil, false
	}
	for _, event := range store.events {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events, true
}
