package once

import (
	"math"
	"time"
)

// noLastEpoch is the last epoch of an issuer that still issues keys.
const noLastEpoch = math.MaxUint64

// handedOverIssuerTTL is the time for which an issuer that was handed over to
// this registry is remembered after the end of its last epoch. During this time
// a duplicate of a hand-over message cannot start a second hand-over.
const handedOverIssuerTTL = 24 * time.Hour

// issuerRecords holds the records of the keys of one issuer.
type issuerRecords struct {
	firstEpochStart time.Time                     // Start of epoch 0.
	lastEpoch       uint64                        // Last epoch in which the issuer issues keys.
	oldestEpoch     uint64                        // Oldest epoch whose records are all kept.
	active          bool                          // False until the last batch of a hand-over was accepted.
	nextSequence    uint64                        // Sequence number expected of the next hand-over batch.
	epochs          map[uint64]map[string]*record // By epoch and suffix of the key.
}

func newIssuerRecords(start time.Time, lastEpoch uint64) *issuerRecords {
	return &issuerRecords{firstEpochStart: start, lastEpoch: lastEpoch, epochs: map[uint64]map[string]*record{}}
}

// latestEpoch returns the latest epoch in which keys have been issued.
func (issuer *issuerRecords) latestEpoch(now time.Time) uint64 {
	return min(issuer.lastEpoch, uint64(now.Sub(issuer.firstEpochStart)/EpochLength))
}

// expire drops the records of expired epochs and returns their number and the
// total size of their bodies. The field oldestEpoch decides both which records
// are dropped and which keys are refused, and it is handed over: a successor
// that computed it again could accept keys whose records the issuer has dropped.
func (issuer *issuerRecords) expire(now time.Time) (droppedRecords, droppedBytes int) {
	if oldestKept := int64((now.Sub(issuer.firstEpochStart) - Retention) / EpochLength); oldestKept > 0 {
		issuer.oldestEpoch = max(issuer.oldestEpoch, uint64(oldestKept))
	}
	for epoch, records := range issuer.epochs {
		if epoch < issuer.oldestEpoch {
			droppedRecords += len(records)
			for _, rec := range records {
				droppedBytes += len(rec.result.Body)
			}
			delete(issuer.epochs, epoch)
		}
	}
	return droppedRecords, droppedBytes
}

// isRemovable reports whether a handed-over issuer need not be remembered any
// longer.
func (issuer *issuerRecords) isRemovable(now time.Time) bool {
	if issuer.lastEpoch == noLastEpoch {
		return false
	}
	lastEpochEnd := issuer.firstEpochStart.Add(time.Duration(issuer.lastEpoch+1) * EpochLength)
	return now.After(lastEpochEnd.Add(handedOverIssuerTTL))
}

func (issuer *issuerRecords) find(key Key) *record {
	return issuer.epochs[key.Epoch][key.Suffix]
}

func (issuer *issuerRecords) add(key Key, rec *record) {
	records := issuer.epochs[key.Epoch]
	if records == nil {
		records = map[string]*record{}
		issuer.epochs[key.Epoch] = records
	}
	records[key.Suffix] = rec
}

func (issuer *issuerRecords) remove(key Key) {
	delete(issuer.epochs[key.Epoch], key.Suffix)
}
