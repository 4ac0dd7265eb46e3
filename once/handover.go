package once

import (
	"sort"
	"time"

	"github.com/jacinthstall/jacinthstall/outcome"
)

const (
	// BatchRecords bounds the records of one hand-over message: 64 records
	// with bodies of 4 KB are about 300 KB.
	BatchRecords = 64

	maxAuthorities = 1024
	maxEpochs      = 1 << 26 // 60 s each; a time.Duration holds at most 292 years.
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
	Issuer    Issuer
	Successor Issuer // The only incarnation that may accept the batch.
	Oldest    uint64 // Oldest epoch whose records are all handed over.
	KeyEpoch  uint64 // Last epoch in which the issuer issued keys.
	Sequence  uint64
	Records   []Record
	Last      bool
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
	now = r.advance(now)
	if successor == r.self || (r.sealed && r.successor != successor) {
		return nil
	}
	if !r.sealed {
		r.seal(now, successor)
	}
	return r.batches
}

// seal fixes the messages. Records that expire between two calls of HandOver
// would otherwise move others to a batch that the successor already has.
func (r *Registry) seal(now time.Time, successor Issuer) {
	r.sealed, r.successor = true, successor
	own := r.authorities[r.self]
	own.lastEpoch = own.epoch(now)
	for _, issuer := range r.sortedIssuers() {
		if a := r.authorities[issuer]; a.active {
			r.batches = append(r.batches, a.batches(issuer, successor)...)
		}
	}
}

func (r *Registry) sortedIssuers() []Issuer {
	issuers := make([]Issuer, 0, len(r.authorities))
	for issuer := range r.authorities {
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

func (a *authority) batches(issuer, successor Issuer) []Batch {
	records := a.export(issuer)
	var batches []Batch
	for {
		n := min(BatchRecords, len(records))
		b := Batch{Issuer: issuer, Successor: successor, Oldest: a.oldest, KeyEpoch: a.lastEpoch}
		b.Sequence = uint64(len(batches))
		b.Records, records = records[:n], records[n:]
		b.Last = len(records) == 0
		batches = append(batches, b)
		if b.Last {
			return batches
		}
	}
}

func (a *authority) export(issuer Issuer) []Record {
	var out []Record
	for epoch, records := range a.epochs {
		for suffix, rec := range records {
			key := Key{Prefix: Prefix{Issuer: issuer, Epoch: epoch}, Suffix: suffix}
			out = append(out, Record{Key: key, Fingerprint: rec.fingerprint, Result: rec.handedOver()})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key.String() < out[j].Key.String() })
	return out
}

func (rec *record) handedOver() Result {
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
	now = r.advance(now)
	if r.sealed || b.Successor != r.self || b.Issuer == r.self || b.KeyEpoch > maxEpochs {
		return false
	}
	a, known := r.authorities[b.Issuer]
	switch {
	case !known && (b.Sequence != 0 || len(r.authorities) >= maxAuthorities):
		return false
	case !known:
		// The issuer's epoch began up to 60 s earlier than assumed here, so
		// records are kept for longer, never for less.
		a = newAuthority(now.Add(-time.Duration(b.KeyEpoch)*EpochLength), b.KeyEpoch)
		a.oldest = b.Oldest
	case b.Sequence+1 == a.next && a.lastEpoch == b.KeyEpoch:
		return true // Sent again because the answer was lost.
	case a.active || b.Sequence != a.next || a.lastEpoch != b.KeyEpoch:
		return false
	}
	if r.count+len(b.Records) > r.limit || !b.consistent() {
		return false
	}
	r.authorities[b.Issuer] = a
	added, bodies := a.accept(b, MaxBodies-r.bodies)
	r.count += added
	r.bodies += bodies
	return true
}

func (b Batch) consistent() bool {
	for _, rec := range b.Records {
		if rec.Key.Issuer != b.Issuer || rec.Key.Epoch > b.KeyEpoch {
			return false
		}
	}
	return true
}

// accept adds the records of a batch, with bodies up to the room that is left,
// and returns their number and the bytes of their bodies.
func (a *authority) accept(b Batch, room int) (added, bodies int) {
	for _, rec := range b.Records {
		if a.find(rec.Key) != nil {
			continue
		}
		done := make(chan struct{})
		close(done)
		result := rec.Result.bounded(room - bodies)
		a.add(rec.Key, &record{fingerprint: rec.Fingerprint, finished: true, result: result, done: done})
		added++
		bodies += len(result.Body)
	}
	a.next++
	a.active = b.Last
	return added, bodies
}
