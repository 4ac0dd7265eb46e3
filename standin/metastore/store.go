package metastore

import (
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Item is a key with its value.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Store is the state of the stand-in. It is safe for concurrent use.
type Store struct {
	mu                sync.Mutex
	items             map[string]Item
	events            []Item // History, oldest first.
	compactedRevision uint64 // Revision up to which history is gone.
	revision          uint64
	leases            map[uint64]*lease
	changeSignal      chan struct{} // Closed with each change.
	faults            Faults
	readLimiter       *rate.Limiter
	writeLimiter      *rate.Limiter
	calls             Calls
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Calls counts the calls of clients, refused ones included.
type Calls struct {
	Reads, Watches, Writes, Renewals, Refused int
}

// New returns an empty store without rate limits.
func New() *Store {
	return &Store{items: map[string]Item{}, leases: map[uint64]*lease{}, changeSignal: make(chan struct{}), revision: 1,
		readLimiter: rate.NewLimiter(rate.Inf, 0), writeLimiter: rate.NewLimiter(rate.Inf, 0)}
}

// SetRateLimits bounds the calls per second of all clients together.
func (s *Store) SetRateLimits(reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readLimiter = rate.NewLimiter(rate.Limit(reads), reads)
	s.writeLimiter = rate.NewLimiter(rate.Limit(writes), writes)
}

// Calls returns the calls counted so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a key as the operator or a target does, without rates and faults.
// It returns the revision.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, value, 0)
}

// Delete removes a key.
func (s *Store) Delete(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.remove(key)
}

// Compact drops the history, so that older watches get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision, s.events = s.revision, nil
	s.notifyWatches()
}

// Keys returns the keys under a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	return s.keysWithPrefix(prefix)
}

func (s *Store) keysWithPrefix(prefix string) []string {
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *Store) put(key string, value []byte, lease uint64) uint64 {
	s.revision++
	item := Item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.events = append(s.events, item)
	s.notifyWatches()
	return s.revision
}

func (s *Store) remove(key string) uint64 {
	if _, ok := s.items[key]; !ok {
		return s.revision
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, Item{Key: key, Revision: s.revision, Deleted: true})
	s.notifyWatches()
	return s.revision
}

func (s *Store) notifyWatches() {
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
}

// expireLeases removes the keys of leases that have run out.
func (s *Store) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.revokeLease(id)
		}
	}
}

func (s *Store) revokeLease(id uint64) {
	delete(s.leases, id)
	for _, key := range s.keysWithPrefix("") {
		if s.items[key].Lease == id {
			s.remove(key)
		}
	}
}

// eventsSince returns the events under a prefix after a revision; ok is false when
// that history is gone.
func (s *Store) eventsSince(prefix string, after uint64) (events []Item, ok bool) {
	if after < s.compactedRevision {
		return nil, false
	}
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, true
}
