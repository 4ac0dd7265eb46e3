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
func (r *Registry) HandOver(now time.Time, successor Issuer) []Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	now = r.advanceTime(now)
	if successor == r.self || (r.sealed && r.successor != successor) {
		return nil
	}
	if !r.sealed {
		r.seal(now, successor)
	}
	return r.handOverBatches
}

// seal fixes the messages. Records that expire between two calls of HandOver
// would otherwise move others to a batch that the successor already has.
func (r *Registry) seal(now time.Time, successor Issuer) {
	r.sealed, r.successor = true, successor
	own := r.issuers[r.self]
	own.lastEpoch = own.latestEpoch(now)
	for _, issuer := range r.sortedIssuers() {
		if a := r.issuers[issuer]; a.active {
			r.handOverBatches = append(r.handOverBatches, a.splitBatches(issuer, successor)...)
		}
	}
}

func (r *Registry) sortedIssuers() []Issuer {
	issuers := make([]Issuer, 0, len(r.issuers))
	for issuer := range r.issuers {
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

func (a *issuerRecords) splitBatches(issuer, successor Issuer) []Batch {
	records := a.exportRecords(issuer)
	var batches []Batch
	for {
		n := min(MaxBatchRecords, len(records))
		b := Batch{Issuer: issuer, Successor: successor, OldestEpoch: a.oldestEpoch, LastKeyEpoch: a.lastEpoch}
		b.Sequence = uint64(len(batches))
		b.Records, records = records[:n], records[n:]
		b.Last = len(records) == 0
		batches = append(batches, b)
		if b.Last {
			return batches
		}
	}
}

func (a *issuerRecords) exportRecords(issuer Issuer) []Record {
	var out []Record
	for epoch, records := range a.epochs {
		for suffix, rec := range records {
			key := Key{Prefix: Prefix{Issuer: issuer, Epoch: epoch}, Suffix: suffix}
			out = append(out, Record{Key: key, Fingerprint: rec.fingerprint, Result: rec.handOverResult()})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key.String() < out[j].Key.String() })
	return out
}

func (rec *record) handOverResult() Result {
	if !rec.finished || rec.result.Executed == outcome.No {
		return unknownResult
	}
	return rec.result
}

// Accept takes one hand-over message and reports whether its content is held.
// The registry decides about the issuer's keys after the last batch. A batch
// that is out of order, for another incarnation, or too much for the bound of
// records is not accepted.
func (r *Registry) Accept(now time.Time, b Batch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now = r.advanceTime(now)
	if r.sealed || b.Successor != r.self || b.Issuer == r.self || b.LastKeyEpoch > maxEpoch {
		return false
	}
	a, known := r.issuers[b.Issuer]
	switch {
	case !known && (b.Sequence != 0 || len(r.issuers) >= maxIssuers):
		return false
	case !known:
		// The issuer's epoch began up to 60 s earlier than assumed here, so
		// records are kept for longer, never for less.
		a = newIssuerRecords(now.Add(-time.Duration(b.LastKeyEpoch)*EpochLength), b.LastKeyEpoch)
		a.oldestEpoch = b.OldestEpoch
	case b.Sequence+1 == a.nextSequence && a.lastEpoch == b.LastKeyEpoch:
		return true // Sent again because the answer was lost.
	case a.active || b.Sequence != a.nextSequence || a.lastEpoch != b.LastKeyEpoch:
		return false
	}
	if r.recordCount+len(b.Records) > r.maxRecords || !b.keysMatchIssuer() {
		return false
	}
	r.issuers[b.Issuer] = a
	added, bodies := a.addBatch(b, MaxTotalBodyBytes-r.bodyBytes)
	r.recordCount += added
	r.bodyBytes += bodies
	return true
}

func (b Batch) keysMatchIssuer() bool {
	for _, rec := range b.Records {
		if rec.Key.Issuer != b.Issuer || rec.Key.Epoch > b.LastKeyEpoch {
			return false
		}
	}
	return true
}

// addBatch adds the records of a batch, with bodies up to the room that is left,
// and returns their number and the bytes of their bodies.
func (a *issuerRecords) addBatch(b Batch, room int) (added, bodies int) {
	for _, rec := range b.Records {
		if a.find(rec.Key) != nil {
			continue
		}
		done := make(chan struct{})
		close(done)
		result := rec.Result.limitBody(room - bodies)
		a.add(rec.Key, &record{fingerprint: rec.Fingerprint, finished: true, result: result, done: done})
		added++
		bodies += len(result.Body)
	}
	a.nextSequence++
	a.active = b.Last
	return added, bodies
}
