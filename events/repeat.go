package events

import (
	"sync"
	"time"
)

// RepeatLimit limits the log lines about something that may be repeated any number of
// times, such as refused requests. Each key has a line at most once in an interval. It
// is safe for concurrent use.
type RepeatLimit struct {
	interval time.Duration

	mu   sync.Mutex
	keys map[string]*repeats
}

// repeats are the occurrences of one key.
type repeats struct {
	next     time.Time // Earliest time of the next line.
	unlogged int       // Since the last line.
}

// NewRepeatLimit returns a limit with an interval.
func NewRepeatLimit(interval time.Duration) *RepeatLimit {
	return &RepeatLimit{interval: interval, keys: map[string]*repeats{}}
}

// Record records an occurrence. It reports whether to write a line, and the number of
// occurrences since the last one, this one included.
func (limit *RepeatLimit) Record(now time.Time, key string) (count int, write bool) {
	limit.mu.Lock()
	defer limit.mu.Unlock()
	known := limit.keys[key]
	if known == nil {
		known = &repeats{}
		limit.keys[key] = known
	}
	known.unlogged++
	if now.Before(known.next) {
		return 0, false
	}
	count, known.unlogged, known.next = known.unlogged, 0, now.Add(limit.interval)
	return count, true
}

// Forget removes a key.
func (limit *RepeatLimit) Forget(key string) {
	limit.mu.Lock()
	defer limit.mu.Unlock()
	delete(limit.keys, key)
}

// Len returns the number of keys.
func (limit *RepeatLimit) Len() int {
	limit.mu.Lock()
	defer limit.mu.Unlock()
	return len(limit.keys)
}
