package balance

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/quarantine"
)

const (
	// suspectCrashes is the number of crashes in a row, at all instances
	// together, after which a request is refused. A lost answer looks the same,
	// so fewer say little.
	suspectCrashes = 3
	// suspectMemory is how long a crash counts, and so how long a request is
	// refused after the last one.
	suspectMemory = time.Minute
	// maxSuspects bounds the requests that are remembered. The one whose last
	// crash is oldest is forgotten first.
	maxSuspects = 256
	// maxReported bounds the suspects that a report carries.
	maxReported = 16
)

// Suspects remembers requests that ended the connection of each target that
// executed them. Such a request may crash targets; its caller sends it again
// through any instance. One success clears a request, since a popular request
// is in flight at many crashes of others.
//
// It is safe for concurrent use.
type Suspects struct {
	mu    sync.Mutex
	own   map[uint64]*suspect
	peers map[string]map[uint64]int // Counts of other instances, by name.
	heard map[string]time.Time
}

type suspect struct {
	crashes int // In a row.
	last    time.Time
}

// NewSuspects returns an empty set.
func NewSuspects() *Suspects {
	return &Suspects{own: map[uint64]*suspect{}, peers: map[string]map[uint64]int{}, heard: map[string]time.Time{}}
}

// key shortens a fingerprint for messages.
func key(f quarantine.Fingerprint) uint64 { return binary.BigEndian.Uint64(f[:8]) }

// Any reports whether any crash is remembered, here or at another instance.
func (s *Suspects) Any() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.own)+len(s.peers) > 0
}

// Crashed counts a request that ended a target's connection.
func (s *Suspects) Crashed(now time.Time, f quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	e := s.own[key(f)]
	if e == nil {
		e = &suspect{}
		s.own[key(f)] = e
	}
	e.crashes++
	e.last = now
}

// Succeeded clears a request.
func (s *Suspects) Succeeded(f quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.own, key(f))
}

// Refused reports whether the request must not go to a target any more, and
// the crashes that are known.
func (s *Suspects) Refused(now time.Time, f quarantine.Fingerprint) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	crashes := 0
	if e := s.own[key(f)]; e != nil {
		crashes = e.crashes
	}
	for _, counts := range s.peers {
		crashes += counts[key(f)]
	}
	return crashes, crashes >= suspectCrashes
}

// Report returns the crashes that this instance has seen, the latest first as
// far as they are bounded.
func (s *Suspects) Report(now time.Time) map[uint64]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	out := map[uint64]int{}
	for len(out) < maxReported {
		var latest uint64
		var at time.Time
		for k, e := range s.own {
			if _, told := out[k]; !told && e.last.After(at) {
				latest, at = k, e.last
			}
		}
		if at.IsZero() {
			break
		}
		out[latest] = s.own[latest].crashes
	}
	return out
}

// Heard takes over the report of another instance.
func (s *Suspects) Heard(now time.Time, name string, counts map[uint64]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(counts) == 0 {
		delete(s.peers, name)
		delete(s.heard, name)
		return
	}
	s.peers[name], s.heard[name] = counts, now
}

func (s *Suspects) forget(now time.Time) {
	for k, e := range s.own {
		if now.Sub(e.last) > suspectMemory {
			delete(s.own, k)
		}
	}
	for name, at := range s.heard {
		if now.Sub(at) > suspectMemory {
			delete(s.peers, name)
			delete(s.heard, name)
		}
	}
	for len(s.own) > maxSuspects {
		var oldest uint64
		var at time.Time
		for k, e := range s.own {
			if at.IsZero() || e.last.Before(at) {
				oldest, at = k, e.last
			}
		}
		delete(s.own, oldest)
	}
}
