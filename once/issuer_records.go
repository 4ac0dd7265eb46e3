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
func (issuer *issuerRecords) latestEpoch(now time.Time) uint64 {
	return min(issuer.lastEpoch, uint64(now.Sub(issuer.firstEpochStart)/EpochLength))
}

// expire drops the records of old epochs and returns their number and the bytes
// of their bodies. Records are
// dropped and their keys refused by the same figure, a.oldest, which is also
// handed over: a successor that computed it anew would accept keys whose
// records the issuer had dropped.
func (issuer *issuerRecords) expire(now time.Time) (droppedRecords, droppedBytes int) {
	if oldestKept := int64((now.Sub(issuer.firstEpochStart) - Retention) / EpochLength); oldestKept > 0 {
		issuer.oldestEpoch = max(issuer.oldestEpoch, uint64(oldestKept))
	}
	for epoch, records := range issuer.epochs {
		if epoch < issuer.oldestEpoch {
			droppedRecords += len(records)
			for _, droppedRecord := range records {
				droppedBytes += len(droppedRecord.result.Body)
			}
			delete(issuer.epochs, epoch)
		}
	}
	return droppedRecords, droppedBytes
}

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

func (issuer *issuerRecords) add(key Key, added *record) {
	records := issuer.epochs[key.Epoch]
	if records == nil {
		records = map[string]*record{}
		issuer.epochs[key.Epoch] = records
	}
	records[key.Suffix] = added
}

func (issuer *issuerRecords) remove(key Key) {
	delete(issuer.epochs[key.Epoch], key.Suffix)
}
