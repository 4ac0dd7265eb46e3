package balance

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/quarantine"
)

const (
	// refuseAfterCrashes is the number of consecutive crashes, over all
	// instances, after which a request is refused. A lost response looks like
	// a crash, so a lower number would be unreliable.
	refuseAfterCrashes = 3
	// suspectTTL is how long a crash counts, and therefore how long a request
	// is refused after its last crash.
	suspectTTL = time.Minute
	// maxSuspects limits the number of requests remembered. The one with the
	// oldest last crash is dropped first.
	maxSuspects = 256
	// maxReportedSuspects limits the number of suspects in a report.
	maxReportedSuspects = 16
)

// Suspects tracks requests during whose execution targets closed the
// connection. Such a request may crash targets, and its caller may retry it
// through any instance. A success clears a request, because popular requests
// are often in flight when another request crashes a target.
//
// Suspects is safe for concurrent use.
type Suspects struct {
	mu             sync.Mutex
	ownCrashes     map[uint64]*suspect
	peerCrashes    map[string]map[uint64]int // Crash counts reported by peers, by peer name.
	peerReportedAt map[string]time.Time
}

type suspect struct {
	crashes   int // Consecutive.
	lastCrash time.Time
}

// NewSuspects returns an empty tracker.
func NewSuspects() *Suspects {
	return &Suspects{ownCrashes: map[uint64]*suspect{}, peerCrashes: map[string]map[uint64]int{}, peerReportedAt: map[string]time.Time{}}
}

// shortFingerprint returns the part of a fingerprint that reports carry.
func shortFingerprint(f quarantine.Fingerprint) uint64 { return binary.BigEndian.Uint64(f[:8]) }

// Any reports whether a crash is known to this instance or its peers.
func (suspects *Suspects) Any() bool {
	suspects.mu.Lock()
	defer suspects.mu.Unlock()
	return len(suspects.ownCrashes)+len(suspects.peerCrashes) > 0
}

// RecordCrash counts a crash during the execution of a request. It returns the
// number that this instance has counted.
func (suspects *Suspects) RecordCrash(now time.Time, f quarantine.Fingerprint) int {
	suspects.mu.Lock()
	defer suspects.mu.Unlock()
	suspects.expire(now)
	entry := suspects.ownCrashes[shortFingerprint(f)]
	if entry == nil {
		entry = &suspect{}
		suspects.ownCrashes[shortFingerprint(f)] = entry
	}
	entry.crashes++
	entry.lastCrash = now
	return entry.crashes
}

// Clear forgets the crashes that this instance has counted for a request. It
// is called after a success.
func (suspects *Suspects) Clear(f quarantine.Fingerprint) {
	suspects.mu.Lock()
	defer suspects.mu.Unlock()
	delete(suspects.ownCrashes, shortFingerprint(f))
}

// Refused reports whether a request must be refused, and the number of known
// crashes.
func (suspects *Suspects) Refused(now time.Time, f quarantine.Fingerprint) (int, bool) {
	suspects.mu.Lock()
	defer suspects.mu.Unlock()
	suspects.expire(now)
	crashes := 0
	if e := suspects.ownCrashes[shortFingerprint(f)]; e != nil {
		crashes = e.crashes
	}
	for _, counts := range suspects.peerCrashes {
		crashes += counts[shortFingerprint(f)]
	}
	return crashes, crashes >= refuseAfterCrashes
}

// Report returns the most recent crashes seen by this instance.
func (suspects *Suspects) Report(now time.Time) map[uint64]int {
	suspects.mu.Lock()
	defer suspects.mu.Unlock()
	suspects.expire(now)
	crashes := map[uint64]int{}
	for len(crashes) < maxReportedSuspects {
		var latest uint64
		var at time.Time
		for k, e := range suspects.ownCrashes {
			if _, reported := crashes[k]; !reported && e.lastCrash.After(at) {
				latest, at = k, e.lastCrash
			}
		}
		if at.IsZero() {
			break
		}
		crashes[latest] = suspects.ownCrashes[latest].crashes
	}
	return crashes
}

// ApplyReport replaces the report of a peer.
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
	for k, e := range suspects.ownCrashes {
		if now.Sub(e.lastCrash) > suspectTTL {
			delete(suspects.ownCrashes, k)
		}
	}
	for name, at := range suspects.peerReportedAt {
		if now.Sub(at) > suspectTTL {
			delete(suspects.peerCrashes, name)
			delete(suspects.peerReportedAt, name)
		}
	}
	for len(suspects.ownCrashes) > maxSuspects {
		var oldest uint64
		var at time.Time
		for k, e := range suspects.ownCrashes {
			if at.IsZero() || e.lastCrash.Before(at) {
				oldest, at = k, e.lastCrash
			}
		}
		delete(suspects.ownCrashes, oldest)
	}
}
