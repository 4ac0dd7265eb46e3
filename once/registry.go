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
	registry := &Registry{self: self, maxRecords: limit, latestTime: now, issuers: map[Issuer]*issuerRecords{}}
	registry.issuers[self] = newIssuerRecords(now, noLastEpoch)
	registry.issuers[self].active = true
	return registry, nil
}

// Prefix returns the key prefix to issue now. It returns false once the
// records have been sealed for a hand-over.
func (registry *Registry) Prefix(now time.Time) (Prefix, bool) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	now = registry.advanceTime(now)
	if registry.sealed {
		return Prefix{}, false
	}
	return Prefix{Issuer: registry.self, Epoch: registry.issuers[registry.self].latestEpoch(now)}, true
}

// Begin decides about a request. After Run, the caller executes the request
// and calls Ticket.Finish, also when the execution failed.
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

func (existing *record) decide(fingerprint Fingerprint) Decision {
	switch {
	case existing.fingerprint != fingerprint:
		return Decision{Verdict: RefuseKeyReused}
	case !existing.finished:
		return Decision{Verdict: Wait, Done: existing.done}
	}
	return Decision{Verdict: Replay, Result: existing.result}
}

// Len returns the number of records.
func (registry *Registry) Len() int {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	return registry.recordCount
}

// advanceTime drops expired records and returns the latest time seen.
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

// Ticket is the right to execute one request once.
type Ticket struct {
	registry *Registry
	key      Key
	record   *record
}

// Finish records the result and wakes the requests that wait for it. Executed
// no removes the record, so that a retry may be executed. Only the first call
// has an effect.
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
	// A sealed record stays: its copy at the successor says "in flight", which
	// a removal here would contradict.
	if result.Executed == outcome.No && known && !registry.sealed && issuer.find(ticket.key) == ticket.record {
		issuer.remove(ticket.key)
		registry.recordCount--
		registry.bodyBytes -= len(ticket.record.result.Body)
	}
}
