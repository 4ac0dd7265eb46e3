package once

import (
	"sort"
	"time"

	"github.com/jacinthstall/jacinthstall/outcome"
)

const (
	// MaxBatchRecords limits the number of records in one hand-over message: 64
	// records with bodies of 4 KB take about 300 KB.
	MaxBatchRecords = 64

	maxIssuers = 1024    // In a registry, including its own incarnation.
	maxEpoch   = 1 << 26 // About 128 years of 60 s epochs; a time.Duration overflows after 292 years.
)

// Record is one record in a hand-over message. A request that is in flight when
// the records are handed over has a result whose execution is unknown.
type Record struct {
	Key         Key
	Fingerprint Fingerprint
	Result      Result
}

// Batch is one hand-over message. The batches of an issuer are numbered from 0;
// the final one has Last set.
type Batch struct {
	Issuer       Issuer
	Successor    Issuer // The only incarnation that may accept the batch.
	OldestEpoch  uint64 // Oldest epoch whose records are all handed over.
	LastKeyEpoch uint64 // Last epoch in which the issuer issued keys.
	Sequence     uint64
	Records      []Record
	Last         bool
}

// HandOver seals the registry and returns the hand-over messages for the
// successor in the order in which they must be sent. A sealed registry issues no
// prefixes, and Begin never returns Run. A second call with the same successor
// returns the same messages; a call with another successor returns none, so that
// at most one instance takes the records over.
//
// The caller stops sending the batches of an issuer at the first one that is not
// accepted. If the last batch is not accepted, requests with keys of the issuer
// are refused and whether they were executed stays unknown.
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

// seal splits the records into hand-over messages once. If each call of HandOver
// did this again, records that expire between two calls would move other records
// to a batch that the successor has already accepted.
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

// sortedIssuers returns the issuers in a fixed order, so that the order of the
// hand-over messages does not depend on the order of a map.
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

// splitBatches returns the hand-over messages of one issuer; there is at least
// one, which may have no records.
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

// exportRecords returns the records sorted by key.
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

// handOverResult returns the result that the successor gets. It is unknown while
// the request is in flight, since the request may still be executed. A record
// that says "not executed" is handed over as unknown, too.
func (rec *record) handOverResult() Result {
	if !rec.finished || rec.result.Executed == outcome.No {
		return unknownResult
	}
	return rec.result
}

// Accept adds the records of one hand-over message and reports whether the
// registry now holds them. The registry starts to decide about the issuer's keys
// when it has accepted the last batch. It rejects a batch that is out of order,
// is meant for another incarnation or would exceed the maximum number of records.
// A sealed registry rejects every batch.
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
		// The start of the issuer's last epoch is not known; it lies up to 60 s
		// before the time assumed here. Records are therefore kept longer than
		// at the issuer, never shorter.
		issuer = newIssuerRecords(now.Add(-time.Duration(batch.LastKeyEpoch)*EpochLength), batch.LastKeyEpoch)
		issuer.oldestEpoch = batch.OldestEpoch
	case batch.Sequence+1 == issuer.nextSequence && issuer.lastEpoch == batch.LastKeyEpoch:
		return true // Sent again because the response was lost.
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

// keysMatchIssuer reports whether the batch's issuer can have issued the keys of
// all its records.
func (batch Batch) keysMatchIssuer() bool {
	for _, handedOver := range batch.Records {
		if handedOver.Key.Issuer != batch.Issuer || handedOver.Key.Epoch > batch.LastKeyEpoch {
			return false
		}
	}
	return true
}

// addBatch adds the records of a batch and returns their number and the total
// size of their bodies. It drops bodies that do not fit into freeBytes.
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
