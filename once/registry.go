package once

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/outcome"
)

const (
	// EpochLength is the length of an epoch.
	EpochLength = time.Minute
	// Retention is the time that records are kept after their epoch's end.
	Retention = 10 * time.Minute
	// MaxRecords bounds the records of a registry.
	MaxRecords = 65536
)

// InstanceNameError reports an instance name that cannot be part of a key.
type InstanceNameError struct {
	Name string
}

// Error describes the problem.
func (e *InstanceNameError) Error() string {
	return fmt.Sprintf("instance name %q: must be visible ASCII without a dot and not empty", e.Name)
}

type record struct {
	fingerprint Fingerprint
	finished    bool
	result      Result
	done        chan struct{}
}

// Registry holds the records of the keys that one instance decides about. It
// is safe for concurrent use.
type Registry struct {
	self       Issuer
	maxRecords int

	mu              sync.Mutex
	latestTime      time.Time // Latest time seen.
	issuers         map[Issuer]*issuerRecords
	recordCount     int // Records of all authorities.
	bodyBytes       int // Bytes of the bodies that they keep.
	sealed          bool
	successor       Issuer
	handOverBatches []Batch // Hand-over messages; fixed when sealed.
}

// New returns an empty registry for one incarnation that starts at now. The
// error is a *NameError.
func New(self Issuer, now time.Time) (*Registry, error) {
	return newWithLimit(self, now, MaxRecords)
}

func newWithLimit(self Issuer, now time.Time, limit int) (*Registry, error) {
	if self.Instance == "" || strings.Contains(self.Instance, ".") || !isVisibleASCII(self.Instance) {
		return nil, &InstanceNameError{Name: self.Instance}
	}
	r := &Registry{self: self, maxRecords: limit, latestTime: now, issuers: map[Issuer]*issuerRecords{}}
	r.issuers[self] = newIssuerRecords(now, noLastEpoch)
	r.issuers[self].active = true
	return r, nil
}

// Prefix returns the key prefix to issue now. It returns false once the
// records have been sealed for a hand-over.
func (r *Registry) Prefix(now time.Time) (Prefix, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now = r.advanceTime(now)
	if r.sealed {
		return Prefix{}, false
	}
	return Prefix{Issuer: r.self, Epoch: r.issuers[r.self].latestEpoch(now)}, true
}

// Begin decides about a request. After Run, the caller executes the request
// and calls Ticket.Finish, also when the execution failed.
func (r *Registry) Begin(now time.Time, key Key, f Fingerprint) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	now = r.advanceTime(now)
	a, known := r.issuers[key.Issuer]
	switch {
	case !known && key.Instance != r.self.Instance:
		return Decision{Verdict: Foreign}
	case !known || !a.active:
		return Decision{Verdict: RefuseIssuerGone}
	case r.sealed:
		return Decision{Verdict: HandedOver, Successor: r.successor}
	case key.Epoch > a.latestEpoch(now):
		return Decision{Verdict: RefuseKeyUnknown}
	case key.Epoch < a.oldestEpoch:
		return Decision{Verdict: RefuseKeyExpired}
	}
	if existing := a.find(key); existing != nil {
		return existing.decide(f)
	}
	if r.recordCount >= r.maxRecords {
		return Decision{Verdict: RefuseRecordsFull}
	}
	added := &record{fingerprint: f, done: make(chan struct{})}
	a.add(key, added)
	r.recordCount++
	return Decision{Verdict: Run, Ticket: &Ticket{registry: r, key: key, record: added}}
}

func (rec *record) decide(f Fingerprint) Decision {
	switch {
	case rec.fingerprint != f:
		return Decision{Verdict: RefuseKeyReused}
	case !rec.finished:
		return Decision{Verdict: Wait, Done: rec.done}
	}
	return Decision{Verdict: Replay, Result: rec.result}
}

// Len returns the number of records.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recordCount
}

// advanceTime drops expired records and returns the latest time seen.
func (r *Registry) advanceTime(now time.Time) time.Time {
	if now.After(r.latestTime) {
		r.latestTime = now
	}
	for issuer, a := range r.issuers {
		records, bodies := a.expire(r.latestTime)
		r.recordCount -= records
		r.bodyBytes -= bodies
		if issuer != r.self && a.isRemovable(r.latestTime) {
			delete(r.issuers, issuer)
		}
	}
	return r.latestTime
}

// Ticket is the right to execute one request once.
type Ticket struct {
	registry *Registry
	key      Key
	record   *record
}

// Finish records the result and wakes the requests that wait for it. Executed
// no removes the record, so that a retry may be executed. Only the first call
// has an effect.
func (t *Ticket) Finish(result Result) {
	r := t.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.record.finished {
		return
	}
	t.record.finished = true
	t.record.result = result.limitBody(MaxTotalBodyBytes - r.bodyBytes)
	if a := r.issuers[t.key.Issuer]; a != nil && a.find(t.key) == t.record {
		r.bodyBytes += len(t.record.result.Body)
	}
	close(t.record.done)
	a, known := r.issuers[t.key.Issuer]
	// A sealed record stays: its copy at the successor says "in flight", which
	// a removal here would contradict.
	if result.Executed == outcome.No && known && !r.sealed && a.find(t.key) == t.record {
		a.remove(t.key)
		r.recordCount--
		r.bodyBytes -= len(t.record.result.Body)
	}
}
