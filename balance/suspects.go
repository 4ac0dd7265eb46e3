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
	own            map[uint64]*suspect
	peerCrashes    map[string]map[uint64]int // Counts of other instances, by name.
	peerReportedAt map[string]time.Time
}

type suspect struct {
	crashes   int // In a row.
	lastCrash time.Time
}

// NewSuspects returns an empty set.
func NewSuspects() *Suspects {
	return &Suspects{own: map[uint64]*suspect{}, peerCrashes: map[string]map[uint64]int{}, peerReportedAt: map[string]time.Time{}}
}

// shortFingerprint shortens a fingerprint for messages.
func shortFingerprint(f quarantine.Fingerprint) uint64 { return binary.BigEndian.Uint64(f[:8]) }

// Any reports whether any crash is remembered, here or at another instance.
func (suspects *Suspects) Any() bool {
	suspects.mu.Lock()
	defer suspects.mu.Unlock()
	return len(suspects.own)+len(suspects.peerCrashes) > 0
}

// RecordCrash counts a request that ended a target's connection.
func (suspects *Suspects) RecordCrash(now time.Time, f quarantine.Fingerprint) {
	suspects.mu.Lock()
	defer suspects.mu.Unlock()
	suspects.expire(now)
	entry := suspects.own[shortFingerprint(f)]
	if entry == nil {
		entry = &suspect{}
		suspects.own[shortFingerprint(f)] = entry
	}
	entry.crashes++
	entry.lastCrash = now
}

// Clear clears a request.
func (suspects *Suspects) Clear(f quarantine.Fingerprint) {
	suspects.mu.Lock()
	defer suspects.mu.Unlock()
	delete(suspects.own, shortFingerprint(f))
}

// Refused reports whether the request must not go to a target any more, and
// the crashes that are known.
func (suspects *Suspects) Refused(now time.Time, f quarantine.Fingerprint) (int, bool) {
	suspects.mu.Lock()
	defer suspects.mu.Unlock()
	suspects.expire(now)
	crashes := 0
	if e := suspects.own[shortFingerprint(f)]; e != nil {
		crashes = e.crashes
	}
	for _, counts := range suspects.peerCrashes {
		crashes += counts[shortFingerprint(f)]
	}
	return crashes, crashes >= refuseAfterCrashes
}

// Report returns the crashes that this instance has seen, the latest first as
// far as they are bounded.
func (suspects *Suspects) Report(now time.Time) map[uint64]int {
	suspects.mu.Lock()
	defer suspects.mu.Unlock()
	suspects.expire(now)
	crashes := map[uint64]int{}
	for len(crashes) < maxReportedSuspects {
		var latest uint64
		var at time.Time
		for k, e := range suspects.own {
			if _, reported := crashes[k]; !reported && e.lastCrash.After(at) {
				latest, at = k, e.lastCrash
			}
		}
		if at.IsZero() {
			break
		}
		crashes[latest] = suspects.own[latest].crashes
	}
	return crashes
}

// ApplyReport takes over the report of another instance.
func (suspects *Suspects) ApplyReport(now time.Time, name string, counts map[uint64]int) {
	suspects.mu.Lock()
	defer suspects.mu.Unlock()
	if len(counts) == 0 {
		delete(suspects.peerCrashes, name)
		delete(suspects.peerReportedAt, name)
		return
	}
	suspects.peerCrashes[name], suspects.peerReportedAt[name] = counts, now
}

func (suspects *Suspects) expire(now time.Time) {
	for k, e := range suspects.own {
		if now.Sub(e.lastCrash) > suspectTTL {
			delete(suspects.own, k)
		}
	}
	for name, at := range suspects.peerReportedAt {
		if now.Sub(at) > suspectTTL {
			delete(suspects.peerCrashes, name)
			delete(suspects.peerReportedAt, name)
		}
	}
	for len(suspects.own) > maxSuspects {
		var oldest uint64
		var at time.Time
		for k, e := range suspects.own {
			if at.IsZero() || e.lastCrash.Before(at) {
				oldest, at = k, e.lastCrash
			}
		}
		delete(suspects.own, oldest)
	}
}
