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
	mu       sync.Mutex
	items    map[string]Item
	events   []Item // History, oldest first.
	dropped  uint64 // Revision up to which history is gone.
	revision uint64
	leases   map[uint64]*lease
	changed  chan struct{} // Closed with each change.
	faults   Faults
	reads    *rate.Limiter
	writes   *rate.Limiter
	calls    Calls
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// Calls counts the calls of clients, refused ones included.
type Calls struct {
	Reads, Watches, Writes, Renewals, Refused int
}

// New returns an empty store without rate limits.
func New() *Store {
	return &Store{items: map[string]Item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), revision: 1,
		reads: rate.NewLimiter(rate.Inf, 0), writes: rate.NewLimiter(rate.Inf, 0)}
}

// SetRates bounds the calls per second of all clients together.
func (s *Store) SetRates(reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads = rate.NewLimiter(rate.Limit(reads), reads)
	s.writes = rate.NewLimiter(rate.Limit(writes), writes)
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
	s.dropped, s.events = s.revision, nil
	s.wake()
}

// Keys returns the keys under a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	return s.keys(prefix)
}

func (s *Store) keys(prefix string) []string {
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
	s.wake()
	return s.revision
}

func (s *Store) remove(key string) uint64 {
	if _, ok := s.items[key]; !ok {
		return s.revision
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, Item{Key: key, Revision: s.revision, Deleted: true})
	s.wake()
	return s.revision
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of leases that have run out.
func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for _, key := range s.keys("") {
		if s.items[key].Lease == id {
			s.remove(key)
		}
	}
}

// since returns the events under a prefix after a revision; ok is false when
// that history is gone.
func (s *Store) since(prefix string, after uint64) (events []Item, ok bool) {
	if after < s.dropped {
		return nil, false
	}
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, true
}
