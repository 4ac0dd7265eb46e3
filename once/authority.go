package once

import (
	"math"
	"time"
)

const noLastEpoch = math.MaxUint64

// handedOverIssuerTTL is the time that a handed-over issuer is remembered after its
// last epoch. A hand-over message that is delivered again within it cannot
// start a second hand-over.
const handedOverIssuerTTL = 24 * time.Hour

// issuerRecords holds the records of one issuer.
type issuerRecords struct {
	firstEpochStart time.Time // Start of epoch 0.
	lastEpoch       uint64    // Last epoch in which the issuer issued keys.
	oldestEpoch     uint64    // Oldest epoch whose records are all kept.
	active          bool      // False while a hand-over is not complete.
	nextSequence    uint64    // Sequence number of the next hand-over batch.
	epochs          map[uint64]map[string]*record
}

func newIssuerRecords(start time.Time, lastEpoch uint64) *issuerRecords {
	return &issuerRecords{firstEpochStart: start, lastEpoch: lastEpoch, epochs: map[uint64]map[string]*record{}}
}

// latestEpoch returns the latest epoch in which keys were issued.
func (a *issuerRecords) latestEpoch(now time.Time) uint64 {
	return min(a.lastEpoch, uint64(now.Sub(a.firstEpochStart)/EpochLength))
}

// expire drops the records of old epochs and returns their number and the bytes
// of their bodies. Records are
// dropped and their keys refused by the same figure, a.oldest, which is also
// handed over: a successor that computed it anew would accept keys whose
// records the issuer had dropped.
func (a *issuerRecords) expire(now time.Time) (dropped, bodies int) {
	if past := int64((now.Sub(a.firstEpochStart) - Retention) / EpochLength); past > 0 {
		a.oldestEpoch = max(a.oldestEpoch, uint64(past))
	}
	for epoch, records := range a.epochs {
		if epoch < a.oldestEpoch {
			dropped += len(records)
			for _, rec := range records {
				bodies += len(rec.result.Body)
			}
			delete(a.epochs, epoch)
		}
	}
	return dropped, bodies
}

func (a *issuerRecords) isRemovable(now time.Time) bool {
	if a.lastEpoch == noLastEpoch {
		return false
	}
	end := a.firstEpochStart.Add(time.Duration(a.lastEpoch+1) * EpochLength)
	return now.After(end.Add(handedOverIssuerTTL))
}

func (a *issuerRecords) find(key Key) *record {
	return a.epochs[key.Epoch][key.Suffix]
}

func (a *issuerRecords) add(key Key, rec *record) {
	records := a.epochs[key.Epoch]
	if records == nil {
		records = map[string]*record{}
		a.epochs[key.Epoch] = records
	}
	records[key.Suffix] = rec
}

func (a *issuerRecords) remove(key Key) {
	delete(a.epochs[key.Epoch], key.Suffix)
}
