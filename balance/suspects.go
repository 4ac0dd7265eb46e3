package balance

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/quarantine"
	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// refuseAfterCrashes is the number of consecutive crashes, over all
	// instances, after which a request is refused. Another request may have
	// caused some of them.
	refuseAfterCrashes = 3
	// suspectTTL is how long after its last crash a request is remembered that
	// is not refused, and refusedTTL the same for one that is.
	suspectTTL = time.Hour
	refusedTTL = 24 * time.Hour
	// firstTrialDelay is how long after its last crash a refused request is sent
	// to a target once more: the targets may have been replaced. After each trial
	// that crashes a target too, it is trialDelayFactor times as long. After
	// maxTrials, the request is refused until it is forgotten.
	firstTrialDelay  = 2 * time.Minute
	trialDelayFactor = 5
	maxTrials        = 3
	// trialTurn is the time in which only one instance may begin a trial. It does
	// so in the first half, and the others hear of it in the second.
	trialTurn = 4 * time.Second
	// clearedTTL is how long it is remembered that a request was cleared. It
	// outlasts the reports of peers that have not heard of it yet.
	clearedTTL = 5 * time.Minute
	// maxSuspects limits the number of requests remembered. Requests with the
	// fewest crashes are dropped first.
	maxSuspects = 1024
	// maxReportedSuspects limits the number of suspects in a report.
	maxReportedSuspects = 32
	// suspectRepeats is the number of reports in a row that contain a change.
	// Reports may be lost.
	suspectRepeats = 5
	// refusedReportPeriod and suspectReportPeriod are how often requests that
	// are refused, and others, are reported without a change: to instances that
	// have started meanwhile or were unreachable.
	refusedReportPeriod = 2 * time.Second
	suspectReportPeriod = 30 * time.Second
)

// CrashCount and Suspicion are those of package steering.
type (
	CrashCount = steering.CrashCount
	Suspicion  = steering.Suspicion
)

// Suspects tracks requests during whose execution targets crashed. Such a
// request may be the cause, and its caller may retry it through any instance.
// Every instance keeps the counts of all: they are merged by taking the greater
// one, so that a report may come twice, late or through others, and the end of
// an instance loses nothing that it has reported.
//
// A success clears a request at all instances, because popular requests are
// often in flight when another request crashes a target.
//
// Suspects is safe for concurrent use.
type Suspects struct {
	mu        sync.Mutex
	counts    map[uint64]*suspect // By short fingerprint.
	crashed   int                 // Number of counts with crashes.
	position  int                 // Of this instance among the live ones, sorted by name; negative if it is not among them.
	instances int                 // Number of live instances.
}

type suspect struct {
	CrashCount
	lastCrash time.Time // Or when the request was cleared.
	changedAt time.Time
}

// NewSuspects returns an empty tracker.
func NewSuspects() *Suspects {
	return &Suspects{counts: map[uint64]*suspect{}, instances: 1}
}

// SetInstances sets the live instances, sorted by name.
func (suspects *Suspects) SetInstances(self string, live []steering.Instance) {
	suspects.mu.Lock()
	defer suspects.mu.Unlock()
	suspects.position = slices.IndexFunc(live, func(in steering.Instance) bool { return in.Name == self })
	suspects.instances = max(1, len(live))
}

// shortFingerprint returns the part of a fingerprint that reports carry.
func shortFingerprint(f quarantine.Fingerprint) uint64 { return binary.BigEndian.Uint64(f[:8]) }

// Any reports whether a crash is known.
func (suspects *Suspects) Any() bool {
	suspects.mu.Lock()
	defer suspects.mu.Unlock()
	return suspects.crashed > 0
}

// RecordCrash counts a crash during the execution of a request. sent is the
// count that was known when the attempt was sent: crashes of attempts that were
// in flight at the same time count once, since one of them, or another request,
// may have caused them all. It returns the new count.
func (suspects *Suspects) RecordCrash(now time.Time, f quarantine.Fingerprint, sent CrashCount) CrashCount {
	suspects.mu.Lock()
	defer suspects.mu.Unlock()
	key := shortFingerprint(f)
	count := CrashCount{Clearance: sent.Clearance, Crashes: sent.Crashes + 1}
	if entry := suspects.counts[key]; entry != nil && entry.Clearance > sent.Clearance {
		count = CrashCount{Clearance: entry.Clearance, Crashes: 1}
	}
	return suspects.merge(now, key, count, now)
}

// Clear forgets the crashes of a request at all instances. It is called after a
// complete response.
func (suspects *Suspects) Clear(now time.Time, f quarantine.Fingerprint) {
	suspects.mu.Lock()
	defer suspects.mu.Unlock()
	key := shortFingerprint(f)
	if entry := suspects.counts[key]; entry != nil && entry.Crashes > 0 {
		suspects.merge(now, key, CrashCount{Clearance: entry.Clearance + 1}, now)
	}
}

// SuspectDecision tells whether a request may be sent to a target.
type SuspectDecision struct {
	Count   CrashCount
	Refused bool
	Trial   bool // The request is sent although it has crashed targets; see AbortTrial.
}

// Admit decides on a request. A refused one that has not crashed a target for some
// time is admitted once, as a trial. The trial counts as a crash until a complete
// response clears the request.
func (suspects *Suspects) Admit(now time.Time, f quarantine.Fingerprint) SuspectDecision {
	suspects.mu.Lock()
	defer suspects.mu.Unlock()
	key := shortFingerprint(f)
	entry := suspects.counts[key]
	if entry == nil || entry.expired(now) {
		return SuspectDecision{}
	}
	if !entry.refused() || !suspects.trialDue(now, entry) {
		return SuspectDecision{Count: entry.CrashCount, Refused: entry.refused()}
	}
	suspects.merge(now, key, CrashCount{Clearance: entry.Clearance, Crashes: entry.Crashes + 1}, now)
	return SuspectDecision{Count: entry.CrashCount, Trial: true}
}

// AbortTrial withdraws a trial that has not reached a target.
func (suspects *Suspects) AbortTrial(now time.Time, f quarantine.Fingerprint, trial SuspectDecision) {
	suspects.mu.Lock()
	defer suspects.mu.Unlock()
	suspects.merge(now, shortFingerprint(f), CrashCount{Clearance: trial.Count.Clearance + 1, Crashes: trial.Count.Crashes}, now)
}

// trialDue reports whether this instance may send a refused request to a target.
func (suspects *Suspects) trialDue(now time.Time, entry *suspect) bool {
	trials := entry.Crashes - refuseAfterCrashes
	if trials >= maxTrials || suspects.position < 0 {
		return false
	}
	delay := firstTrialDelay
	for range trials {
		delay *= trialDelayFactor
	}
	late := now.Sub(entry.lastCrash) - delay
	turn := int(late/trialTurn) % suspects.instances
	return late >= 0 && turn == suspects.position && late%trialTurn < trialTurn/2
}

// Check returns the crashes of a request in a row, and whether it is refused.
func (suspects *Suspects) Check(now time.Time, f quarantine.Fingerprint) (CrashCount, bool) {
	suspects.mu.Lock()
	defer suspects.mu.Unlock()
	entry := suspects.counts[shortFingerprint(f)]
	if entry == nil || entry.expired(now) {
		return CrashCount{}, false
	}
	return entry.CrashCount, entry.refused()
}

func (entry *suspect) suspicion(now time.Time) Suspicion {
	return Suspicion{CrashCount: entry.CrashCount, Age: now.Sub(entry.lastCrash)}
}

func (entry *suspect) refused() bool { return entry.Crashes >= refuseAfterCrashes }

func (entry *suspect) expired(now time.Time) bool {
	ttl := suspectTTL
	switch {
	case entry.Crashes == 0:
		ttl = clearedTTL
	case entry.refused():
		ttl = refusedTTL
	}
	return now.Sub(entry.lastCrash) > ttl
}

// merge takes the greater of a count and the stored one, and returns it. at is
// the time of its last crash.
func (suspects *Suspects) merge(now time.Time, key uint64, count CrashCount, at time.Time) CrashCount {
	entry := suspects.counts[key]
	if entry == nil || entry.expired(now) {
		entry = &suspect{}
	}
	switch order := count.Compare(entry.CrashCount); {
	case order < 0:
		return entry.CrashCount
	case order == 0:
		if at.Before(entry.lastCrash) { // Each report adds the time that it was under way.
			entry.lastCrash = at
		}
		return entry.CrashCount
	}
	updated := &suspect{CrashCount: count, lastCrash: at, changedAt: now}
	if updated.expired(now) {
		return entry.CrashCount
	}
	suspects.remove(key)
	suspects.makeRoom()
	suspects.counts[key] = updated
	if count.Crashes > 0 {
		suspects.crashed++
	}
	return count
}

func (suspects *Suspects) remove(key uint64) {
	if entry := suspects.counts[key]; entry != nil && entry.Crashes > 0 {
		suspects.crashed--
	}
	delete(suspects.counts, key)
}

// makeRoom drops the request with the fewest crashes, of several the one whose
// last crash is the longest ago, if there is no room for another one.
func (suspects *Suspects) makeRoom() {
	if len(suspects.counts) < maxSuspects {
		return
	}
	var least uint64
	var found *suspect
	for key, entry := range suspects.counts {
		if found == nil || entry.Crashes < found.Crashes || entry.Crashes == found.Crashes && entry.lastCrash.Before(found.lastCrash) {
			least, found = key, entry
		}
	}
	suspects.remove(least)
}

// Report returns what another instance is to be told, to which interval ago the
// last report was sent: recent changes, and the rest from time to time. Requests
// with the most crashes come first.
func (suspects *Suspects) Report(now time.Time, interval time.Duration) map[uint64]Suspicion {
	suspects.mu.Lock()
	defer suspects.mu.Unlock()
	var due []uint64
	for key, entry := range suspects.counts {
		switch {
		case entry.expired(now):
			suspects.remove(key)
		case entry.reportDue(now, key, interval):
			due = append(due, key)
		}
	}
	if len(due) > maxReportedSuspects {
		slices.SortFunc(due, func(a, b uint64) int {
			first, second := suspects.counts[a], suspects.counts[b]
			return cmp.Or(cmp.Compare(second.Crashes, first.Crashes), second.changedAt.Compare(first.changedAt))
		})
		due = due[:maxReportedSuspects]
	}
	report := make(map[uint64]Suspicion, len(due))
	for _, key := range due {
		report[key] = suspects.counts[key].suspicion(now)
	}
	return report
}

// Refused returns the requests that are refused.
func (suspects *Suspects) Refused(now time.Time) map[uint64]Suspicion {
	suspects.mu.Lock()
	defer suspects.mu.Unlock()
	refused := map[uint64]Suspicion{}
	for key, entry := range suspects.counts {
		if entry.refused() && !entry.expired(now) {
			refused[key] = entry.suspicion(now)
		}
	}
	return refused
}

// ReportAll returns a report for an instance that knows nothing yet.
func (suspects *Suspects) ReportAll(now time.Time) map[uint64]Suspicion {
	return suspects.Report(now, max(refusedReportPeriod, suspectReportPeriod))
}

// reportDue reports whether a request has changed recently, or one of its
// regular reports falls into the interval that ends now. Those of different
// requests are spread over the period.
func (entry *suspect) reportDue(now time.Time, key uint64, interval time.Duration) bool {
	if now.Sub(entry.changedAt) < suspectRepeats*interval {
		return true
	}
	period := suspectReportPeriod
	if entry.refused() {
		period = refusedReportPeriod
	}
	sinceReport := (now.Sub(entry.changedAt) + time.Duration(key%uint64(period))) % period
	return sinceReport < interval
}

// ApplyReport merges the report of another instance.
func (suspects *Suspects) ApplyReport(now time.Time, report map[uint64]Suspicion) {
	suspects.mu.Lock()
	defer suspects.mu.Unlock()
	for key, suspicion := range report {
		if suspicion.Clearance == math.MaxUint32 {
			continue // No success could clear it.
		}
		suspects.merge(now, key, suspicion.CrashCount, now.Add(-suspicion.Age))
	}
}
