// Package platformd is a stand-in for the platform, used by tests and the demo.
// It provides a key-value service with compare-and-swap, watches and leases, and
// a list of instances that can lag behind. It enforces rate limits on reads and
// writes and injects faults. All data is kept in memory.
package platformd

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/jacinthstall/jacinthstall/kv"
)

// Limits are the rate limits in calls per second. Zero means no limit.
type Limits struct {
	ReadsPerSecond  int `json:"readsPerSecond"` // Includes watches and reads of the list of instances.
	WritesPerSecond int `json:"writesPerSecond"`
}

// DefaultLimits are the rates that the platform guarantees.
var DefaultLimits = Limits{ReadsPerSecond: 2000, WritesPerSecond: 300}

// Calls counts the calls received, including rejected ones.
type Calls struct {
	Reads       uint64 `json:"reads"` // Reads of keys and of the list of instances.
	Watches     uint64 `json:"watches"`
	Writes      uint64 `json:"writes"` // Puts and lease calls.
	RateLimited uint64 `json:"limited"`
}

// Store holds the data of the stand-in. It is safe for concurrent use.
type Store struct {
	mu            sync.Mutex
	values        map[string]kv.Value
	changeSignal  chan struct{} // Closed and replaced on each change.
	instanceLists []instanceList
	leases        map[string]leaseEntry
	lastToken     uint64
	checkpoints   map[string]map[string]kv.Value
	faults        Faults
	calls         Calls
	readLimiter   *rate.Limiter
	writeLimiter  *rate.Limiter
}

// NewStore returns a store without values and rate limits, with a list of
// instances.
func NewStore(instances []kv.Instance) *Store {
	store := &Store{
		values:        map[string]kv.Value{},
		changeSignal:  make(chan struct{}),
		leases:        map[string]leaseEntry{},
		checkpoints:   map[string]map[string]kv.Value{},
		instanceLists: []instanceList{{instances: instances}},
	}
	store.SetLimits(Limits{})
	return store
}

// SetLimits replaces the rate limits. A burst may use the calls of one second.
func (store *Store) SetLimits(limits Limits) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.readLimiter, store.writeLimiter = newLimiter(limits.ReadsPerSecond), newLimiter(limits.WritesPerSecond)
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Calls returns the number of calls so far.
func (store *Store) Calls() Calls {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.calls
}

// Get returns the value of key, or kv.ErrNotFound.
func (store *Store) Get(key string) (kv.Value, error) {
	if err := store.beginCall(&store.calls.Reads, store.currentReadLimiter); err != nil {
		return kv.Value{}, err
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	value, ok := store.values[key]
	if !ok {
		return kv.Value{}, kv.ErrNotFound
	}
	return value, nil
}

// Put stores data if key has the given revision, and returns the new revision.
// Otherwise it returns kv.ErrConflict. It returns kv.ErrUncertain when the write
// took effect but Faults.LoseResponses suppressed the response.
func (store *Store) Put(key string, data []byte, revision uint64) (uint64, error) {
	if err := store.beginCall(&store.calls.Writes, store.currentWriteLimiter); err != nil {
		return 0, err
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.values[key].Revision != revision {
		return 0, kv.ErrConflict
	}
	store.values[key] = kv.Value{Data: append([]byte(nil), data...), Revision: revision + 1}
	store.notifyWatches()
	if store.faults.LoseResponses > 0 {
		store.faults.LoseResponses--
		return 0, kv.ErrUncertain
	}
	return revision + 1, nil
}

// Watch waits for a revision of key that is greater than after, for at most wait.
// It returns the value at that time, or kv.ErrNotFound.
func (store *Store) Watch(key string, after uint64, wait time.Duration) (kv.Value, error) {
	if err := store.beginCall(&store.calls.Watches, store.currentReadLimiter); err != nil {
		return kv.Value{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		value, ok, changed, down := store.currentValue(key)
		if down {
			return kv.Value{}, kv.ErrUnavailable
		}
		if ok && value.Revision > after {
			return value, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			if !ok {
				return kv.Value{}, kv.ErrNotFound
			}
			return value, nil
		}
	}
}

// currentValue returns the value of a key and whether it exists, the channel that
// is closed on the next change, and whether an outage is injected.
func (store *Store) currentValue(key string) (kv.Value, bool, <-chan struct{}, bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	value, ok := store.values[key]
	return value, ok, store.changeSignal, store.faults.Outage
}

// notifyWatches makes all pending watches check for changes. The caller must
// hold the lock.
func (store *Store) notifyWatches() {
	close(store.changeSignal)
	store.changeSignal = make(chan struct{})
}

// beginCall counts a call, applies the faults that concern every call, and
// enforces the rate limit. limit is called while the lock is held.
func (store *Store) beginCall(count *uint64, limit func() *rate.Limiter) error {
	store.mu.Lock()
	*count++
	delay := time.Duration(store.faults.DelayMs) * time.Millisecond
	down := store.faults.Outage
	allowed := limit().AllowN(time.Now(), 1)
	if !allowed {
		store.calls.RateLimited++
	}
	store.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	switch {
	case down:
		return kv.ErrUnavailable
	case !allowed:
		return kv.ErrRateLimited
	}
	return nil
}

func (store *Store) currentReadLimiter() *rate.Limiter  { return store.readLimiter }
func (store *Store) currentWriteLimiter() *rate.Limiter { return store.writeLimiter }
