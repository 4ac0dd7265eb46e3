package once

import (
	"math"
	"time"
)

const noLastEpoch = math.MaxUint64

// forgetAfter is the time that a handed-over issuer is remembered after its
// last epoch. A hand-over message that is delivered again within it cannot
// start a second hand-over.
const forgetAfter = 24 * time.Hour

// authority holds the records of one issuer.
type authority struct {
	start     time.Time // Start of epoch 0.
	lastEpoch uint64    // Last epoch in which the issuer issued keys.
	oldest    uint64    // Oldest epoch whose records are all kept.
	active    bool      // False while a hand-over is not complete.
	next      uint64    // Sequence number of the next hand-over batch.
	epochs    map[uint64]map[string]*record
}

func newAuthority(start time.Time, lastEpoch uint64) *authority {
	return &authority{start: start, lastEpoch: lastEpoch, epochs: map[uint64]map[string]*record{}}
}

// epoch returns the latest epoch in which keys were issued.
func (a *authority) epoch(now time.Time) uint64 {
	return min(a.lastEpoch, uint64(now.Sub(a.start)/EpochLength))
}

// expire drops the records of old epochs and returns their number and the bytes
// of their bodies. Records are
// dropped and their keys refused by the same figure, a.oldest, which is also
// handed over: a successor that computed it anew would accept keys whose
// records the issuer had dropped.
func (a *authority) expire(now time.Time) (dropped, bodies int) {
	if past := int64((now.Sub(a.start) - Retention) / EpochLength); past > 0 {
		a.oldest = max(a.oldest, uint64(past))
	}
	for epoch, records := range a.epochs {
		if epoch < a.oldest {
			dropped += len(records)
			for _, rec := range records {
				bodies += len(rec.result.Body)
			}
			delete(a.epochs, epoch)
		}
	}
	return dropped, bodies
}

func (a *authority) forgettable(now time.Time) bool {
	if a.lastEpoch == noLastEpoch {
		return false
	}
	end := a.start.Add(time.Duration(a.lastEpoch+1) * EpochLength)
	return now.After(end.Add(forgetAfter))
}

func (a *authority) find(key Key) *record {
	return a.epochs[key.Epoch][key.Suffix]
}

func (a *authority) add(key Key, rec *record) {
	records := a.epochs[key.Epoch]
	if records == nil {
		records = map[string]*record{}
		a.epochs[key.Epoch] = records
	}
	records[key.Suffix] = rec
}

func (a *authority) remove(key Key) {
	delete(a.epochs[key.Epoch], key.Suffix)
}
