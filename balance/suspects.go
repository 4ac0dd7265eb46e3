package balance

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/quarantine"
)

const (
	// refuseAfterCrashes is the number of crashes in a row, at all instances
	// together, after which a request is refused. A lost answer looks the same,
	// so fewer say little.
	refuseAfterCrashes = 3
	// suspectTTL is how long a crash counts, and so how long a request is
	// refused after the last one.
	suspectTTL = time.Minute
	// maxSuspects bounds the requests that are remembered. The one whose last
	// crash is oldest is forgotten first.
	maxSuspects = 256
	// maxReportedSuspects bounds the suspects that a report carries.
	maxReportedSuspects = 16
)

// Suspects remembers requests that ended the connection of each target that
// executed them. Such a request may crash targets; its caller sends it again
// through any instance. One success clears a request, since a popular request
// is in flight at many crashes of others.
//
// It is safe for concurrent use.
type Suspects struct {
	mu             sync.Mutex
	ownCrashes     map[uint64]*suspect
	peerCrashes    map[string]map[uint64]int // Counts of other instances, by name.
	peerReportedAt map[string]time.Time
}

type suspect struct {
	crashes   int // In a row.
	lastCrash time.Time
}

// NewSuspects returns an empty set.
func NewSuspects() *Suspects {
	return &Suspects{ownCrashes: map[uint64]*suspect{}, peerCrashes: map[string]map[uint64]int{}, peerReportedAt: map[string]time.Time{}}
}

// shortFingerprint shortens a fingerprint for messages.
func shortFingerprint(f quarantine.Fingerprint) uint64 { return binary.BigEndian.Uint64(f[:8]) }

// Any reports whether any crash is remembered, here or at another instance.
func (s *Suspects) Any() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ownCrashes)+len(s.peerCrashes) > 0
}

// RecordCrash counts a request that ended a target's connection.
func (s *Suspects) RecordCrash(now time.Time, f quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	e := s.ownCrashes[shortFingerprint(f)]
	if e == nil {
		e = &suspect{}
		s.ownCrashes[shortFingerprint(f)] = e
	}
	e.crashes++
	e.lastCrash = now
}

// Clear clears a request.
func (s *Suspects) Clear(f quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ownCrashes, shortFingerprint(f))
}

// Refused reports whether the request must not go to a target any more, and
// the crashes that are known.
func (s *Suspects) Refused(now time.Time, f quarantine.Fingerprint) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	crashes := 0
	if e := s.ownCrashes[shortFingerprint(f)]; e != nil {
		crashes = e.crashes
	}
	for _, counts := range s.peerCrashes {
		crashes += counts[shortFingerprint(f)]
	}
	return crashes, crashes >= refuseAfterCrashes
}

// Report returns the crashes that this instance has seen, the latest first as
// far as they are bounded.
func (s *Suspects) Report(now time.Time) map[uint64]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	out := map[uint64]int{}
	for len(out) < maxReportedSuspects {
		var latest uint64
		var at time.Time
		for k, e := range s.ownCrashes {
			if _, told := out[k]; !told && e.lastCrash.After(at) {
				latest, at = k, e.lastCrash
			}
		}
		if at.IsZero() {
			break
		}
		out[latest] = s.ownCrashes[latest].crashes
	}
	return out
}

// ApplyReport takes over the report of another instance.
func (s *Suspects) ApplyReport(now time.Time, name string, counts map[uint64]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(counts) == 0 {
		delete(s.peerCrashes, name)
		delete(s.peerReportedAt, name)
		return
	}
	s.peerCrashes[name], s.peerReportedAt[name] = counts, now
}

func (s *Suspects) expire(now time.Time) {
	for k, e := range s.ownCrashes {
		if now.Sub(e.lastCrash) > suspectTTL {
			delete(s.ownCrashes, k)
		}
	}
	for name, at := range s.peerReportedAt {
		if now.Sub(at) > suspectTTL {
			delete(s.peerCrashes, name)
			delete(s.peerReportedAt, name)
		}
	}
	for len(s.ownCrashes) > maxSuspects {
		var oldest uint64
		var at time.Time
		for k, e := range s.ownCrashes {
			if at.IsZero() || e.lastCrash.Before(at) {
				oldest, at = k, e.lastCrash
			}
		}
		delete(s.ownCrashes, oldest)
	}
}
