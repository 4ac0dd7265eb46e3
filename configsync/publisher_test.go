package configsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/policy"
	"github.com/jacinthstall/jacinthstall/standin/platformd"
)

// testPublisher returns a publisher and a platform stand-in that holds version 1.
func testPublisher(t *testing.T) (*Publisher, *platformd.Store) {
	t.Helper()
	store := platformd.NewStore(nil)
	key, keys := testKey(1)
	publisher := &Publisher{KV: platformd.Local{Store: store}, Sign: SignWith(key), Keys: keys}
	version, err := publisher.Publish(t.Context(), encodeDocument(t, testDocument(200)), 0)
	require.NoError(t, err)
	require.Equal(t, uint64(1), version)
	return publisher, store
}

// edit returns the document with one block steered to another site.
func edit(t testing.TB, doc []byte, block int, site string) []byte {
	t.Helper()
	var document policy.Document
	require.NoError(t, json.Unmarshal(doc, &document))
	document.Blocks[block].Site = site
	return encodeDocument(t, &document)
}

// A change of one block must write one segment, one manifest and one head record.
func TestPublishWritesThreeValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		publisher, store := testPublisher(t)
		doc, base, err := publisher.Current(t.Context())
		require.NoError(t, err)
		before := store.Calls().Writes
		_, err = publisher.Publish(t.Context(), edit(t, doc, 3, "new"), base)
		require.NoError(t, err)
		assert.Equal(t, uint64(3), store.Calls().Writes-before)
	})
}

// An invalid document must not be published, and nothing must be written.
func TestPublishRejectsInvalidDocuments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		publisher, store := testPublisher(t)
		before := store.Calls().Writes
		for _, doc := range []string{"", "[]", `{"unknown":1}`, `{"blocks":[{"prefix":"","site":""}]}`} {
			_, err := publisher.Publish(t.Context(), []byte(doc), 1)
			var invalid *InvalidDocumentError
			require.ErrorAs(t, err, &invalid, doc)
		}
		assert.Equal(t, before, store.Calls().Writes)
	})
}

// A publication with an outdated base must fail with the published document, which
// must not be overwritten.
func TestPublishOnOutdatedBase(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		publisher, _ := testPublisher(t)
		doc, base, err := publisher.Current(t.Context())
		require.NoError(t, err)
		_, err = publisher.Publish(t.Context(), edit(t, doc, 3, "first"), base)
		require.NoError(t, err)
		_, err = publisher.Publish(t.Context(), edit(t, doc, 4, "second"), base)
		var conflict *ConflictError
		require.ErrorAs(t, err, &conflict)
		assert.Equal(t, uint64(2), conflict.Version)
		assert.Contains(t, string(conflict.Document), "first")
	})
}

// publishConcurrently lets two operators publish edits concurrently, repeating each
// until it succeeds. It returns the edits that the final document does not contain.
func publishConcurrently(t *testing.T, publisher *Publisher, publish func(ctx context.Context, doc []byte, base uint64) error) (lost []string) {
	var group sync.WaitGroup
	start := time.Now()
	for operator := range 2 {
		group.Go(func() {
			for i := range 5 {
				time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second)))
				for {
					doc, base, err := publisher.Current(t.Context())
					require.NoError(t, err)
					// Both operators edit the same version. They publish at the
					// same time, or one shortly after the other.
					time.Sleep(time.Duration(10+3*operator*(i%2)) * time.Millisecond)
					if publish(t.Context(), edit(t, doc, 10*operator+i, fmt.Sprintf("operator-%d-edit-%d", operator, i)), base) == nil {
						break
					}
				}
			}
		})
	}
	group.Wait()
	doc, _, err := publisher.Current(t.Context())
	require.NoError(t, err)
	for operator := range 2 {
		for i := range 5 {
			if name := fmt.Sprintf("operator-%d-edit-%d", operator, i); !hasBlockWithSite(doc, name) {
				lost = append(lost, name)
			}
		}
	}
	return lost
}

// hasBlockWithSite reports whether a block of a document is steered to a site.
func hasBlockWithSite(doc []byte, site string) bool {
	var document policy.Document
	if json.Unmarshal(doc, &document) != nil {
		return false
	}
	for _, block := range document.Blocks {
		if block.Site == site {
			return true
		}
	}
	return false
}

// Operators that publish at the same time must not overwrite each other's edits.
// This happens if the base is read from the platform at the time of writing.
func TestConcurrentPublishersLoseNoEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		publisher, _ := testPublisher(t)
		publishOnLatest := func(ctx context.Context, doc []byte, _ uint64) error {
			_, version, err := publisher.Current(ctx)
			require.NoError(t, err)
			_, err = publisher.Publish(ctx, doc, version)
			return err
		}
		require.NotEmpty(t, publishConcurrently(t, publisher, publishOnLatest), "publishing on the latest version must lose edits")
	})
	synctest.Test(t, func(t *testing.T) {
		publisher, _ := testPublisher(t)
		lost := publishConcurrently(t, publisher, func(ctx context.Context, doc []byte, base uint64) error {
			_, err := publisher.Publish(ctx, doc, base)
			return err
		})
		assert.Empty(t, lost)
	})
}

// headFaults injects faults into writes of the head record.
type headFaults struct {
	kv.KV
	before func() error                // Called before a write; on an error, the write is not made.
	after  func(revision uint64) error // Called after a successful write; its error is returned.
	puts   int
}

func (faults *headFaults) Put(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	if key != HeadKey {
		return faults.KV.Put(ctx, key, data, revision)
	}
	faults.puts++
	if faults.before != nil {
		if err := faults.before(); err != nil {
			return 0, err
		}
	}
	next, err := faults.KV.Put(ctx, key, data, revision)
	if err == nil && faults.after != nil {
		err = faults.after(next)
	}
	return next, err
}

// publishWithoutReadBack publishes a document and repeats the write of the head
// record if the response is lost, without reading the record back.
func publishWithoutReadBack(t *testing.T, publisher *Publisher, doc []byte) error {
	t.Helper()
	before, revision, err := publisher.readSnapshot(t.Context())
	require.NoError(t, err)
	next, err := splitDocument(doc)
	require.NoError(t, err)
	head, _, err := publisher.nextHead(before, next)
	require.NoError(t, err)
	require.NoError(t, publisher.writeSegments(t.Context(), before, next, nil))
	_, err = publisher.KV.Put(t.Context(), HeadKey, head.Encode(), revision)
	if errors.Is(err, kv.ErrUncertain) {
		_, err = publisher.KV.Put(t.Context(), HeadKey, head.Encode(), revision)
	}
	return err
}

// If the response to the write of the head record is lost, the document must be
// reported as published and the write must not be repeated. A publisher that
// repeats it without reading back gets a conflict with its own edit.
func TestLostResponseToHeadWrite(t *testing.T) {
	setup := func(t *testing.T) (*Publisher, *headFaults, []byte) {
		publisher, _ := testPublisher(t)
		doc, _, err := publisher.Current(t.Context())
		require.NoError(t, err)
		faults := &headFaults{KV: publisher.KV, after: func(uint64) error { return kv.ErrUncertain }}
		publisher.KV = faults
		return publisher, faults, edit(t, doc, 3, "new")
	}
	synctest.Test(t, func(t *testing.T) {
		publisher, _, doc := setup(t)
		err := publishWithoutReadBack(t, publisher, doc)
		require.ErrorIs(t, err, kv.ErrConflict, "without reading back, a published edit is reported as failed")
	})
	synctest.Test(t, func(t *testing.T) {
		publisher, faults, doc := setup(t)
		version, err := publisher.Publish(t.Context(), doc, 1)
		require.NoError(t, err)
		assert.Equal(t, uint64(2), version)
		assert.Equal(t, 1, faults.puts, "the write must not be repeated")
	})
}

// If the response to a publication is lost and another operator publishes before
// the head record is read back, the first publication must still be recognized.
func TestLostResponseAndLaterPublication(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		publisher, store := testPublisher(t)
		otherPublisher := *publisher
		doc, _, err := publisher.Current(t.Context())
		require.NoError(t, err)
		publisher.KV = &headFaults{KV: platformd.Local{Store: store}, after: func(uint64) error {
			current, base, err := otherPublisher.Current(t.Context())
			require.NoError(t, err)
			_, err = otherPublisher.Publish(t.Context(), edit(t, current, 9, "other"), base)
			require.NoError(t, err)
			return kv.ErrUncertain
		}}
		version, err := publisher.Publish(t.Context(), edit(t, doc, 3, "mine"), 1)
		require.NoError(t, err)
		assert.Equal(t, uint64(2), version)
		current, version, err := otherPublisher.Current(t.Context())
		require.NoError(t, err)
		assert.Equal(t, uint64(3), version)
		assert.True(t, hasBlockWithSite(current, "mine") && hasBlockWithSite(current, "other"))
	})
}

// A write without a response must be repeated only after the head record has been
// read back. If that fails, the outcome must be reported as uncertain.
func TestUncertainPublication(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		publisher, _ := testPublisher(t)
		doc, _, err := publisher.Current(t.Context())
		require.NoError(t, err)
		failures := 1
		faults := &headFaults{KV: publisher.KV, before: func() error {
			if failures--; failures >= 0 {
				return kv.ErrUncertain // The write has no effect.
			}
			return nil
		}}
		publisher.KV = faults
		version, err := publisher.Publish(t.Context(), edit(t, doc, 3, "new"), 1)
		require.NoError(t, err)
		assert.Equal(t, uint64(2), version)
		assert.Equal(t, 2, faults.puts)
	})
	synctest.Test(t, func(t *testing.T) {
		publisher, store := testPublisher(t)
		doc, _, err := publisher.Current(t.Context())
		require.NoError(t, err)
		publisher.KV = &headFaults{KV: publisher.KV, after: func(uint64) error {
			store.SetFaults(platformd.Faults{Outage: true})
			return kv.ErrUncertain
		}}
		_, err = publisher.Publish(t.Context(), edit(t, doc, 3, "new"), 1)
		var uncertain *UncertainOutcomeError
		require.ErrorAs(t, err, &uncertain)
		assert.Equal(t, uint64(2), uncertain.Version)
	})
}

// Lost responses to writes must neither fail a publication nor publish it twice.
func TestLostResponsesToAllWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		publisher, store := testPublisher(t)
		doc, _, err := publisher.Current(t.Context())
		require.NoError(t, err)
		store.SetFaults(platformd.Faults{LoseResponses: 3})
		version, err := publisher.Publish(t.Context(), edit(t, doc, 3, "new"), 1)
		require.NoError(t, err)
		assert.Equal(t, uint64(2), version)
		_, version, err = publisher.Current(t.Context())
		require.NoError(t, err)
		assert.Equal(t, uint64(2), version)
	})
}

// During an outage, the error must say that nothing was published and not that the
// outcome is uncertain.
func TestPublishDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		publisher, store := testPublisher(t)
		store.SetFaults(platformd.Faults{Outage: true})
		_, err := publisher.Publish(t.Context(), encodeDocument(t, testDocument(3)), 1)
		require.ErrorIs(t, err, kv.ErrUnavailable)
		var uncertain *UncertainOutcomeError
		assert.False(t, errors.As(err, &uncertain))
	})
}

// Nothing must be published while the platform holds an older version than the
// version in force.
func TestPublishRejectsStalePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		publisher, store := testPublisher(t)
		store.Checkpoint("old")
		doc, _, err := publisher.Current(t.Context())
		require.NoError(t, err)
		_, err = publisher.Publish(t.Context(), edit(t, doc, 3, "new"), 1)
		require.NoError(t, err)
		inForce, _, err := publisher.readSnapshot(t.Context())
		require.NoError(t, err)
		require.True(t, store.Restore("old"))

		withoutInForce := *publisher
		_, err = withoutInForce.Publish(t.Context(), edit(t, doc, 4, "stale-base"), 1)
		require.NoError(t, err, "without the version in force, the stale base is not detected")
		require.True(t, store.Restore("old"))

		publisher.InForce = func() *Snapshot { return inForce }
		_, err = publisher.Publish(t.Context(), edit(t, doc, 4, "stale-base"), 1)
		var stale *StalePlatformError
		require.ErrorAs(t, err, &stale)
		assert.Equal(t, StalePlatformError{Platform: 1, InForce: 2}, *stale)
	})
}

// The delta of a change of many blocks must be stored as a patch. Inline deltas of
// this size would make the head record larger than a platform value.
func TestLargeMoveIsStoredAsPatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		publisher, store := testPublisher(t)
		large := testDocument(40000)
		_, err := publisher.Publish(t.Context(), encodeDocument(t, large), 1)
		require.NoError(t, err)
		for i := range large.Blocks {
			large.Blocks[i].Site = "evacuated"
		}
		_, err = publisher.Publish(t.Context(), encodeDocument(t, large), 2)
		require.NoError(t, err)
		value, err := store.Get(HeadKey)
		require.NoError(t, err)
		head, err := DecodeHead(value.Data)
		require.NoError(t, err)
		require.Len(t, head.deltas, 2)
		assert.NotZero(t, head.deltas[1].patch)
		assert.Less(t, len(value.Data), 1<<10)
		patch, err := store.Get(segmentKeyPrefix + head.deltas[1].patch.String())
		require.NoError(t, err)
		assert.Greater(t, len(patch.Data), kv.MaxValueBytes/2, "two such deltas inline would exceed the size of a value")
	})
}

// An operator may sign the digest of a document on another machine. If Digest
// differed from the digest that the head record is verified against, no such
// signature would be accepted.
func TestPublishWithExternalSignature(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		publisher, store := testPublisher(t)
		key, _ := testKey(1)
		next := testDocument(201)
		next.Version = 2
		doc := encodeDocument(t, next)
		digest, err := Digest(doc)
		require.NoError(t, err)
		signature, err := SignWith(key)(digest)
		require.NoError(t, err)
		publisher.Sign = func([32]byte) ([]byte, error) { return signature, nil }
		version, err := publisher.Publish(t.Context(), doc, 1)
		require.NoError(t, err)
		assert.Equal(t, uint64(2), version)

		writes := store.Calls().Writes
		next.Version = 3
		_, err = publisher.Publish(t.Context(), encodeDocument(t, next), 2)
		var refused *SignatureError
		require.ErrorAs(t, err, &refused, "the signature of version 2 must not be valid for version 3")
		publisher.Sign = func([32]byte) ([]byte, error) { return signature[:10], nil }
		_, err = publisher.Publish(t.Context(), encodeDocument(t, next), 2)
		var unsigned *SigningError
		require.ErrorAs(t, err, &unsigned)
		publisher.Sign = nil
		_, err = publisher.Publish(t.Context(), encodeDocument(t, next), 2)
		require.ErrorAs(t, err, &unsigned)
		assert.Equal(t, writes, store.Calls().Writes, "nothing must be written before the signature is accepted")
	})
}

// A publisher without keys, as in the command line, must return the published
// document. A publisher with keys must reject a document that none of them signed.
func TestReadWithoutKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		publisher, _ := testPublisher(t)
		_, version, err := (&Publisher{KV: publisher.KV}).Current(t.Context())
		require.NoError(t, err)
		assert.Equal(t, uint64(1), version)
		_, others := testKey(2)
		_, _, err = (&Publisher{KV: publisher.KV, Keys: others}).Current(t.Context())
		var refused *SignatureError
		require.ErrorAs(t, err, &refused)
	})
}

// Digest must reject invalid documents and documents without a version: the
// signature would be valid for no publication. The digest must not depend on the
// formatting.
func TestDigestNeedsVersion(t *testing.T) {
	for _, doc := range []string{`{}`, `{"version":0}`, `[]`, ``, `{"version":1,"blocks":[{"prefix":"","site":""}]}`} {
		_, err := Digest([]byte(doc))
		var invalid *InvalidDocumentError
		require.ErrorAs(t, err, &invalid, doc)
	}
	digest, err := Digest([]byte(`{"version":1,"links":[]}`))
	require.NoError(t, err)
	digestReformatted, err := Digest([]byte(`{ "links": [ ], "version": 1 }`))
	require.NoError(t, err)
	assert.Equal(t, digest, digestReformatted)
}
