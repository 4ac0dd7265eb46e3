// Package platformd is a stand-in for the platform, for tests and the demo:
// a key-value service with compare-and-swap, watches and leases, and a lagging
// list of instances. It keeps everything in memory, limits the rates of reads
// and writes, and injects faults.
package platformd

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/jacinthstall/jacinthstall/kv"
)

// Limits are the platform's rates in calls per second. Zero means no limit.
type Limits struct {
	ReadsPerSecond  int `json:"readsPerSecond"` // Includes watches and the list.
	WritesPerSecond int `json:"writesPerSecond"`
}

// DefaultLimits are the rates that the platform promises.
var DefaultLimits = Limits{ReadsPerSecond: 2000, WritesPerSecond: 300}

// Calls counts the calls that the stand-in received, refused ones included.
type Calls struct {
	Reads       uint64 `json:"reads"` // Gets and lists.
	Watches     uint64 `json:"watches"`
	Writes      uint64 `json:"writes"` // Puts and lease calls.
	RateLimited uint64 `json:"limited"`
}

// Store is the state of the stand-in. It is safe for concurrent use.
type Store struct {
	mu            sync.Mutex
	values        map[string]kv.Value
	changeSignal  chan struct{}
	instanceLists []instanceList
	leases        map[string]leaseEntry
	lastToken     uint64
	checkpoints   map[string]map[string]kv.Value
	faults        Faults
	calls         Calls
	readLimiter   *rate.Limiter
	writeLimiter  *rate.Limiter
}

// NewStore returns an empty store without rate limits.
func NewStore(instances []kv.Instance) *Store {
	s := &Store{
		values:        map[string]kv.Value{},
		changeSignal:  make(chan struct{}),
		leases:        map[string]leaseEntry{},
		checkpoints:   map[string]map[string]kv.Value{},
		instanceLists: []instanceList{{instances: instances}},
	}
	s.SetLimits(Limits{})
	return s
}

// SetLimits replaces the rate limits. Bursts of one second are allowed.
func (s *Store) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readLimiter, s.writeLimiter = newLimiter(l.ReadsPerSecond), newLimiter(l.WritesPerSecond)
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Calls returns the calls counted so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Get returns the value of key, or kv.ErrNotFound.
func (s *Store) Get(key string) (kv.Value, error) {
	if err := s.beginCall(&s.calls.Reads, s.currentReadLimiter); err != nil {
		return kv.Value{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.values[key]
	if !ok {
		return kv.Value{}, kv.ErrNotFound
	}
	return v, nil
}

// Put stores data if the revision of key is the given one, else it returns
// kv.ErrConflict. It returns kv.ErrUncertain when the write took
// effect and the lost-answer fault is set.
func (s *Store) Put(key string, data []byte, revision uint64) (uint64, error) {
	if err := s.beginCall(&s.calls.Writes, s.currentWriteLimiter); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[key].Revision != revision {
		return 0, kv.ErrConflict
	}
	s.values[key] = kv.Value{Data: append([]byte(nil), data...), Revision: revision + 1}
	s.notifyWatches()
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		return 0, kv.ErrUncertain
	}
	return revision + 1, nil
}

// Watch waits until the revision of key is above after, at most wait.
func (s *Store) Watch(key string, after uint64, wait time.Duration) (kv.Value, error) {
	if err := s.beginCall(&s.calls.Watches, s.currentReadLimiter); err != nil {
		return kv.Value{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		v, ok, changed, down := s.currentValue(key)
		if down {
			return kv.Value{}, kv.ErrUnavailable
		}
		if ok && v.Revision > after {
			return v, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			if !ok {
				return kv.Value{}, kv.ErrNotFound
			}
			return v, nil
		}
	}
}

func (s *Store) currentValue(key string) (kv.Value, bool, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.values[key]
	return v, ok, s.changeSignal, s.faults.Outage
}

// notifyWatches wakes all waiting watches. The caller holds the lock.
func (s *Store) notifyWatches() {
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
}

// beginCall counts a call, applies the faults that hold for every call, and then
// the rate limit.
func (s *Store) beginCall(count *uint64, limit func() *rate.Limiter) error {
	s.mu.Lock()
	*count++
	delay := time.Duration(s.faults.DelayMs) * time.Millisecond
	down := s.faults.Outage
	allowed := limit().AllowN(time.Now(), 1)
	if !allowed {
		s.calls.RateLimited++
	}
	s.mu.Unlock()
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

func (s *Store) currentReadLimiter() *rate.Limiter  { return s.readLimiter }
func (s *Store) currentWriteLimiter() *rate.Limiter { return s.writeLimiter }
