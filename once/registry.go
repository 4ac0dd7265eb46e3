package once

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/outcome"
)

const (
	// EpochLength is the duration of an epoch. All keys of an epoch expire at the
	// same time.
	EpochLength = time.Minute
	// Retention is the time for which records are kept after the end of their epoch.
	Retention = 10 * time.Minute
	// MaxRecords is the maximum number of records in a registry.
	MaxRecords = 65536
)

// InstanceNameError reports an instance name that cannot be part of a key.
type InstanceNameError struct {
	Name string
}

func (e *InstanceNameError) Error() string {
	return fmt.Sprintf("instance name %q: must not be empty and must consist of visible ASCII characters other than a dot", e.Name)
}

// record describes the execution of the request with one key.
type record struct {
	fingerprint Fingerprint
	finished    bool
	result      Result
	done        chan struct{} // Closed when the request has finished.
}

// Registry holds the records of the keys that one instance decides about: those
// it issued itself and those of issuers that were handed over to it. It is safe
// for concurrent use.
type Registry struct {
	self       Issuer
	maxRecords int

	mu              sync.Mutex
	latestTime      time.Time // Latest time seen.
	issuers         map[Issuer]*issuerRecords
	recordCount     int  // Records of all issuers.
	bodyBytes       int  // Total size of the bodies in these records.
	sealed          bool // Set when a hand-over begins.
	successor       Issuer
	handOverBatches []Batch // Set when the registry is sealed; not changed afterwards.
}

// New returns an empty registry for an incarnation that starts at now. The error
// is an *InstanceNameError.
func New(self Issuer, now time.Time) (*Registry, error) {
	return newWithLimit(self, now, MaxRecords)
}

func newWithLimit(self Issuer, now time.Time, maxRecords int) (*Registry, error) {
	if self.Instance == "" || strings.Contains(self.Instance, ".") || !isVisibleASCII(self.Instance) {
		return nil, &InstanceNameError{Name: self.Instance}
	}
	registry := &Registry{self: self, maxRecords: maxRecords, latestTime: now, issuers: map[Issuer]*issuerRecords{}}
	registry.issuers[self] = newIssuerRecords(now, noLastEpoch)
	registry.issuers[self].active = true
	return registry, nil
}

// Prefix returns the prefix of the keys to issue now. It returns false when the
// registry is sealed because a hand-over has begun.
func (registry *Registry) Prefix(now time.Time) (Prefix, bool) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	now = registry.advanceTime(now)
	if registry.sealed {
		return Prefix{}, false
	}
	return Prefix{Issuer: registry.self, Epoch: registry.issuers[registry.self].latestEpoch(now)}, true
}

// Begin decides what happens to a request with a key. If the verdict is Run, the
// caller must execute the request and call Ticket.Finish, also when the execution
// fails.
func (registry *Registry) Begin(now time.Time, key Key, fingerprint Fingerprint) Decision {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	now = registry.advanceTime(now)
	issuer, known := registry.issuers[key.Issuer]
	switch {
	case !known && key.Instance != registry.self.Instance:
		return Decision{Verdict: Foreign}
	case !known || !issuer.active:
		return Decision{Verdict: RefuseIssuerGone}
	case registry.sealed:
		return Decision{Verdict: HandedOver, Successor: registry.successor}
	case key.Epoch > issuer.latestEpoch(now):
		return Decision{Verdict: RefuseKeyUnknown}
	case key.Epoch < issuer.oldestEpoch:
		return Decision{Verdict: RefuseKeyExpired}
	}
	if existing := issuer.find(key); existing != nil {
		return existing.decide(fingerprint)
	}
	if registry.recordCount >= registry.maxRecords {
		return Decision{Verdict: RefuseRecordsFull}
	}
	added := &record{fingerprint: fingerprint, done: make(chan struct{})}
	issuer.add(key, added)
	registry.recordCount++
	return Decision{Verdict: Run, Ticket: &Ticket{registry: registry, key: key, record: added}}
}

// decide returns the decision about a further request with the record's key.
func (rec *record) decide(fingerprint Fingerprint) Decision {
	switch {
	case rec.fingerprint != fingerprint:
		return Decision{Verdict: RefuseKeyReused}
	case !rec.finished:
		return Decision{Verdict: Wait, Done: rec.done}
	}
	return Decision{Verdict: Replay, Result: rec.result}
}

func (registry *Registry) Len() int {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	return registry.recordCount
}

// advanceTime drops expired records and issuers. It returns the latest time seen,
// which is later than now after the clock was set back.
func (registry *Registry) advanceTime(now time.Time) time.Time {
	if now.After(registry.latestTime) {
		registry.latestTime = now
	}
	for issuer, records := range registry.issuers {
		droppedRecords, droppedBytes := records.expire(registry.latestTime)
		registry.recordCount -= droppedRecords
		registry.bodyBytes -= droppedBytes
		if issuer != registry.self && records.isRemovable(registry.latestTime) {
			delete(registry.issuers, issuer)
		}
	}
	return registry.latestTime
}

// Ticket permits its holder to execute one request once.
type Ticket struct {
	registry *Registry
	key      Key
	record   *record
}

// Finish records the result and wakes the requests that wait for it. If the
// result says that the request was not executed, the record is removed, so that a
// retry may be executed. Only the first call has an effect.
func (ticket *Ticket) Finish(result Result) {
	registry := ticket.registry
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if ticket.record.finished {
		return
	}
	ticket.record.finished = true
	ticket.record.result = result.limitBody(MaxTotalBodyBytes - registry.bodyBytes)
	if issuer := registry.issuers[ticket.key.Issuer]; issuer != nil && issuer.find(ticket.key) == ticket.record {
		registry.bodyBytes += len(ticket.record.result.Body)
	}
	close(ticket.record.done)
	issuer, known := registry.issuers[ticket.key.Issuer]
	// After the registry was sealed the record is kept: the successor has a copy
	// with an unknown result, which a removal here would contradict.
	if result.Executed == outcome.No && known && !registry.sealed && issuer.find(ticket.key) == ticket.record {
		issuer.remove(ticket.key)
		registry.recordCount--
		registry.bodyBytes -= len(ticket.record.result.Body)
	}
}
