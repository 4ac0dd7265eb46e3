package once

import (
	"sort"
	"time"

	"github.com/jacinthstall/jacinthstall/outcome"
)

const (
	// MaxBatchRecords bounds the records of one hand-over message: 64 records
	// with bodies of 4 KB are about 300 KB.
	MaxBatchRecords = 64

	maxIssuers = 1024
	maxEpoch   = 1 << 26 // 60 s each; a time.Duration holds at most 292 years.
)

// Record is one record in a hand-over message. A request that is in flight at
// the hand-over has the result "unknown".
type Record struct {
	Key         Key
	Fingerprint Fingerprint
	Result      Result
}

// Batch is one hand-over message. The batches of an issuer are numbered from
// 0 and end with one that is marked Last.
type Batch struct {
	Issuer       Issuer
	Successor    Issuer // The only incarnation that may accept the batch.
	OldestEpoch  uint64 // Oldest epoch whose records are all handed over.
	LastKeyEpoch uint64 // Last epoch in which the issuer issued keys.
	Sequence     uint64
	Records      []Record
	Last         bool
}

// HandOver seals the registry and returns the messages for the successor in
// the order in which to send them. From then on, the registry never answers
// Run. A later call for the same successor returns the messages again, one for
// another successor returns none: records are held in one place at a time.
//
// The sender stops for an issuer at the first batch that is not accepted. Keys
// whose last batch was not accepted stay "unknown".
func (registry *Registry) HandOver(now time.Time, successor Issuer) []Batch {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	now = registry.advanceTime(now)
	if successor == registry.self || (registry.sealed && registry.successor != successor) {
		return nil
	}
	if !registry.sealed {
		registry.seal(now, successor)
	}
	return registry.handOverBatches
}

// seal fixes the messages. Records that expire between two calls of HandOver
// would otherwise move others to a batch that the successor already has.
func (registry *Registry) seal(now time.Time, successor Issuer) {
	registry.sealed, registry.successor = true, successor
	ownRecords := registry.issuers[registry.self]
	ownRecords.lastEpoch = ownRecords.latestEpoch(now)
	for _, issuer := range registry.sortedIssuers() {
		if records := registry.issuers[issuer]; records.active {
			registry.handOverBatches = append(registry.handOverBatches, records.splitBatches(issuer, successor)...)
		}
	}
}

func (registry *Registry) sortedIssuers() []Issuer {
	issuers := make([]Issuer, 0, len(registry.issuers))
	for issuer := range registry.issuers {
		issuers = append(issuers, issuer)
	}
	sort.Slice(issuers, func(i, j int) bool {
		if issuers[i].Instance != issuers[j].Instance {
			return issuers[i].Instance < issuers[j].Instance
		}
		return issuers[i].Incarnation < issuers[j].Incarnation
	})
	return issuers
}

func (issuer *issuerRecords) splitBatches(id, successor Issuer) []Batch {
	records := issuer.exportRecords(id)
	var batches []Batch
	for {
		size := min(MaxBatchRecords, len(records))
		batch := Batch{Issuer: id, Successor: successor, OldestEpoch: issuer.oldestEpoch, LastKeyEpoch: issuer.lastEpoch}
		batch.Sequence = uint64(len(batches))
		batch.Records, records = records[:size], records[size:]
		batch.Last = len(records) == 0
		batches = append(batches, batch)
		if batch.Last {
			return batches
		}
	}
}

func (issuer *issuerRecords) exportRecords(id Issuer) []Record {
	var exported []Record
	for epoch, records := range issuer.epochs {
		for suffix, rec := range records {
			key := Key{Prefix: Prefix{Issuer: id, Epoch: epoch}, Suffix: suffix}
			exported = append(exported, Record{Key: key, Fingerprint: rec.fingerprint, Result: rec.handOverResult()})
		}
	}
	sort.Slice(exported, func(i, j int) bool { return exported[i].Key.String() < exported[j].Key.String() })
	return exported
}

func (existing *record) handOverResult() Result {
	if !existing.finished || existing.result.Executed == outcome.No {
		return unknownResult
	}
	return existing.result
}

// Accept takes one hand-over message and reports whether its content is held.
// The registry decides about the issuer's keys after the last batch. A batch
// that is out of order, for another incarnation, or too much for the bound of
// records is not accepted.
func (registry *Registry) Accept(now time.Time, batch Batch) bool {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	now = registry.advanceTime(now)
	if registry.sealed || batch.Successor != registry.self || batch.Issuer == registry.self || batch.LastKeyEpoch > maxEpoch {
		return false
	}
	issuer, known := registry.issuers[batch.Issuer]
	switch {
	case !known && (batch.Sequence != 0 || len(registry.issuers) >= maxIssuers):
		return false
	case !known:
		// The issuer's epoch began up to 60 s earlier than assumed here, so
		// records are kept for longer, never for less.
		issuer = newIssuerRecords(now.Add(-time.Duration(batch.LastKeyEpoch)*EpochLength), batch.LastKeyEpoch)
		issuer.oldestEpoch = batch.OldestEpoch
	case batch.Sequence+1 == issuer.nextSequence && issuer.lastEpoch == batch.LastKeyEpoch:
		return true // Sent again because the answer was lost.
	case issuer.active || batch.Sequence != issuer.nextSequence || issuer.lastEpoch != batch.LastKeyEpoch:
		return false
	}
	if registry.recordCount+len(batch.Records) > registry.maxRecords || !batch.keysMatchIssuer() {
		return false
	}
	registry.issuers[batch.Issuer] = issuer
	added, bodyBytes := issuer.addBatch(batch, MaxTotalBodyBytes-registry.bodyBytes)
	registry.recordCount += added
	registry.bodyBytes += bodyBytes
	return true
}

func (batch Batch) keysMatchIssuer() bool {
	for _, handedOver := range batch.Records {
		if handedOver.Key.Issuer != batch.Issuer || handedOver.Key.Epoch > batch.LastKeyEpoch {
			return false
		}
	}
	return true
}

// addBatch adds the records of a batch, with bodies up to the room that is left,
// and returns their number and the bytes of their bodies.
func (issuer *issuerRecords) addBatch(batch Batch, freeBytes int) (added, bodyBytes int) {
	for _, rec := range batch.Records {
		if issuer.find(rec.Key) != nil {
			continue
		}
		done := make(chan struct{})
		close(done)
		result := rec.Result.limitBody(freeBytes - bodyBytes)
		issuer.add(rec.Key, &record{fingerprint: rec.Fingerprint, finished: true, result: result, done: done})
		added++
		bodyBytes += len(result.Body)
	}
	issuer.nextSequence++
	issuer.active = batch.Last
	return added, bodyBytes
}
