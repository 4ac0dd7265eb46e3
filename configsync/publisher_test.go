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

// testPublisher returns a publisher on a stand-in that holds version 1.
func testPublisher(t *testing.T) (*Publisher, *platformd.Store) {
	t.Helper()
	store := platformd.NewStore(nil)
	key, keys := testKey(1)
	p := &Publisher{KV: platformd.Local{Store: store}, Sign: SignWith(key), Keys: keys}
	version, err := p.Publish(t.Context(), encodeDocument(t, testDocument(200)), 0)
	require.NoError(t, err)
	require.Equal(t, uint64(1), version)
	return p, store
}

// edit returns the document with one block steered to a site.
func edit(t testing.TB, doc []byte, block int, site string) []byte {
	t.Helper()
	var d policy.Document
	require.NoError(t, json.Unmarshal(doc, &d))
	d.Blocks[block].Site = site
	return encodeDocument(t, &d)
}

// A small change must cost one segment, one manifest and one head record.
func TestPublishWritesThreeValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, store := testPublisher(t)
		doc, base, err := p.Current(t.Context())
		require.NoError(t, err)
		before := store.Calls().Writes
		_, err = p.Publish(t.Context(), edit(t, doc, 3, "new"), base)
		require.NoError(t, err)
		assert.Equal(t, uint64(3), store.Calls().Writes-before)
	})
}

// A document that is not valid must not be published.
func TestPublishRejectsInvalidDocuments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, store := testPublisher(t)
		before := store.Calls().Writes
		for _, doc := range []string{"", "[]", `{"unknown":1}`, `{"blocks":[{"prefix":"","site":""}]}`} {
			_, err := p.Publish(t.Context(), []byte(doc), 1)
			var invalid *InvalidDocumentError
			require.ErrorAs(t, err, &invalid, doc)
		}
		assert.Equal(t, before, store.Calls().Writes)
	})
}

// An operator whose base is outdated must get the other document, and that
// document must stay.
func TestPublishOnOutdatedBase(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := testPublisher(t)
		doc, base, err := p.Current(t.Context())
		require.NoError(t, err)
		_, err = p.Publish(t.Context(), edit(t, doc, 3, "first"), base)
		require.NoError(t, err)
		_, err = p.Publish(t.Context(), edit(t, doc, 4, "second"), base)
		var conflict *ConflictError
		require.ErrorAs(t, err, &conflict)
		assert.Equal(t, uint64(2), conflict.Version)
		assert.Contains(t, string(conflict.Document), "first")
	})
}

// publishConcurrently lets operators add their edits concurrently and returns those that
// are missing in the end.
func publishConcurrently(t *testing.T, p *Publisher, publish func(ctx context.Context, doc []byte, base uint64) error) (lost []string) {
	var group sync.WaitGroup
	start := time.Now()
	for operator := range 2 {
		group.Go(func() {
			for i := range 5 {
				time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second)))
				for {
					doc, base, err := p.Current(t.Context())
					require.NoError(t, err)
					// Both edit the same version, and publish at the same time
					// or one shortly after the other.
					time.Sleep(time.Duration(10+3*operator*(i%2)) * time.Millisecond)
					if publish(t.Context(), edit(t, doc, 10*operator+i, fmt.Sprintf("operator-%d-edit-%d", operator, i)), base) == nil {
						break
					}
				}
			}
		})
	}
	group.Wait()
	doc, _, err := p.Current(t.Context())
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

func hasBlockWithSite(doc []byte, text string) bool {
	var d policy.Document
	if json.Unmarshal(doc, &d) != nil {
		return false
	}
	for _, b := range d.Blocks {
		if b.Site == text {
			return true
		}
	}
	return false
}

// Two operators that publish at the same time must not lose an edit. A
// publisher that takes the base from the platform at the time of writing does.
func TestConcurrentPublishersLoseNoEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := testPublisher(t)
		naive := func(ctx context.Context, doc []byte, _ uint64) error {
			_, version, err := p.Current(ctx)
			require.NoError(t, err)
			_, err = p.Publish(ctx, doc, version)
			return err
		}
		require.NotEmpty(t, publishConcurrently(t, p, naive), "the naive publisher must lose edits here")
	})
	synctest.Test(t, func(t *testing.T) {
		p, _ := testPublisher(t)
		lost := publishConcurrently(t, p, func(ctx context.Context, doc []byte, base uint64) error {
			_, err := p.Publish(ctx, doc, base)
			return err
		})
		assert.Empty(t, lost)
	})
}

// headFaults injects faults into the writes of the head record.
type headFaults struct {
	kv.KV
	before func() error                // Runs before a write; an error replaces it.
	after  func(revision uint64) error // Runs after a write that took effect.
	puts   int
}

func (f *headFaults) Put(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	if key != HeadKey {
		return f.KV.Put(ctx, key, data, revision)
	}
	f.puts++
	if f.before != nil {
		if err := f.before(); err != nil {
			return 0, err
		}
	}
	next, err := f.KV.Put(ctx, key, data, revision)
	if err == nil && f.after != nil {
		err = f.after(next)
	}
	return next, err
}

// publishWithoutReadBack is the naive publisher: it repeats a write of the head record
// whose answer was lost.
func publishWithoutReadBack(t *testing.T, p *Publisher, doc []byte) error {
	t.Helper()
	before, revision, err := p.readSnapshot(t.Context())
	require.NoError(t, err)
	next, err := splitDocument(doc)
	require.NoError(t, err)
	head, _, err := p.nextHead(before, next)
	require.NoError(t, err)
	require.NoError(t, p.writeSegments(t.Context(), before, next, nil))
	_, err = p.KV.Put(t.Context(), HeadKey, head.Encode(), revision)
	if errors.Is(err, kv.ErrUncertain) {
		_, err = p.KV.Put(t.Context(), HeadKey, head.Encode(), revision)
	}
	return err
}

// A head record that was written without an answer must count as published,
// once. A publisher that repeats the whole publication gets a conflict with
// its own edit instead.
func TestLostResponseToHeadWrite(t *testing.T) {
	setup := func(t *testing.T) (*Publisher, *headFaults, []byte) {
		p, _ := testPublisher(t)
		doc, _, err := p.Current(t.Context())
		require.NoError(t, err)
		faults := &headFaults{KV: p.KV, after: func(uint64) error { return kv.ErrUncertain }}
		p.KV = faults
		return p, faults, edit(t, doc, 3, "new")
	}
	synctest.Test(t, func(t *testing.T) {
		p, _, doc := setup(t)
		err := publishWithoutReadBack(t, p, doc)
		require.ErrorIs(t, err, kv.ErrConflict, "the blind repetition reports failure for a published edit")
	})
	synctest.Test(t, func(t *testing.T) {
		p, faults, doc := setup(t)
		version, err := p.Publish(t.Context(), doc, 1)
		require.NoError(t, err)
		assert.Equal(t, uint64(2), version)
		assert.Equal(t, 1, faults.puts, "the write is not repeated")
	})
}

// When another operator publishes on top before the record is read back, the
// first publication must still be recognised.
func TestLostResponseAndLaterPublication(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, store := testPublisher(t)
		other := *p
		doc, _, err := p.Current(t.Context())
		require.NoError(t, err)
		p.KV = &headFaults{KV: platformd.Local{Store: store}, after: func(uint64) error {
			current, base, err := other.Current(t.Context())
			require.NoError(t, err)
			_, err = other.Publish(t.Context(), edit(t, current, 9, "other"), base)
			require.NoError(t, err)
			return kv.ErrUncertain
		}}
		version, err := p.Publish(t.Context(), edit(t, doc, 3, "mine"), 1)
		require.NoError(t, err)
		assert.Equal(t, uint64(2), version)
		current, version, err := other.Current(t.Context())
		require.NoError(t, err)
		assert.Equal(t, uint64(3), version)
		assert.True(t, hasBlockWithSite(current, "mine") && hasBlockWithSite(current, "other"))
	})
}

// A lost write must be tried again only after the record was read back, and an
// outage during that must be reported as uncertain.
func TestUncertainPublication(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := testPublisher(t)
		doc, _, err := p.Current(t.Context())
		require.NoError(t, err)
		failures := 1
		faults := &headFaults{KV: p.KV, before: func() error {
			if failures--; failures >= 0 {
				return kv.ErrUncertain // Without an effect.
			}
			return nil
		}}
		p.KV = faults
		version, err := p.Publish(t.Context(), edit(t, doc, 3, "new"), 1)
		require.NoError(t, err)
		assert.Equal(t, uint64(2), version)
		assert.Equal(t, 2, faults.puts)
	})
	synctest.Test(t, func(t *testing.T) {
		p, store := testPublisher(t)
		doc, _, err := p.Current(t.Context())
		require.NoError(t, err)
		p.KV = &headFaults{KV: p.KV, after: func(uint64) error {
			store.SetFaults(platformd.Faults{Outage: true})
			return kv.ErrUncertain
		}}
		_, err = p.Publish(t.Context(), edit(t, doc, 3, "new"), 1)
		var uncertain *UncertainOutcomeError
		require.ErrorAs(t, err, &uncertain)
		assert.Equal(t, uint64(2), uncertain.Version)
	})
}

// Lost answers of any write must neither fail nor duplicate a publication.
func TestLostResponsesToAllWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, store := testPublisher(t)
		doc, _, err := p.Current(t.Context())
		require.NoError(t, err)
		store.SetFaults(platformd.Faults{LoseResponses: 3})
		version, err := p.Publish(t.Context(), edit(t, doc, 3, "new"), 1)
		require.NoError(t, err)
		assert.Equal(t, uint64(2), version)
		_, version, err = p.Current(t.Context())
		require.NoError(t, err)
		assert.Equal(t, uint64(2), version)
	})
}

// During an outage nothing is published, and the error says that clearly.
func TestPublishDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, store := testPublisher(t)
		store.SetFaults(platformd.Faults{Outage: true})
		_, err := p.Publish(t.Context(), encodeDocument(t, testDocument(3)), 1)
		require.ErrorIs(t, err, kv.ErrUnavailable)
		var uncertain *UncertainOutcomeError
		assert.False(t, errors.As(err, &uncertain))
	})
}

// No change must be based on a platform that is behind what is in force.
func TestPublishRejectsStalePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, store := testPublisher(t)
		store.Checkpoint("old")
		doc, _, err := p.Current(t.Context())
		require.NoError(t, err)
		_, err = p.Publish(t.Context(), edit(t, doc, 3, "new"), 1)
		require.NoError(t, err)
		inForce, _, err := p.readSnapshot(t.Context())
		require.NoError(t, err)
		require.True(t, store.Restore("old"))

		naive := *p
		_, err = naive.Publish(t.Context(), edit(t, doc, 4, "stale-base"), 1)
		require.NoError(t, err, "without the version in force the stale base is not noticed")
		require.True(t, store.Restore("old"))

		p.InForce = func() *Snapshot { return inForce }
		_, err = p.Publish(t.Context(), edit(t, doc, 4, "stale-base"), 1)
		var stale *StalePlatformError
		require.ErrorAs(t, err, &stale)
		assert.Equal(t, StalePlatformError{Platform: 1, InForce: 2}, *stale)
	})
}

// A large move must not make the head record or a message too large: its delta
// is stored as a patch. Inline it would exceed the size of a value.
func TestLargeMoveIsStoredAsPatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, store := testPublisher(t)
		big := testDocument(40000)
		_, err := p.Publish(t.Context(), encodeDocument(t, big), 1)
		require.NoError(t, err)
		for i := range big.Blocks {
			big.Blocks[i].Site = "evacuated"
		}
		_, err = p.Publish(t.Context(), encodeDocument(t, big), 2)
		require.NoError(t, err)
		v, err := store.Get(HeadKey)
		require.NoError(t, err)
		head, err := DecodeHead(v.Data)
		require.NoError(t, err)
		require.Len(t, head.deltas, 2)
		assert.NotZero(t, head.deltas[1].patch)
		assert.Less(t, len(v.Data), 1<<10)
		patch, err := store.Get(segmentKeyPrefix + head.deltas[1].patch.String())
		require.NoError(t, err)
		assert.Greater(t, len(patch.Data), kv.MaxValueBytes/2, "inline, two such moves exceed the size of a value")
	})
}

// An operator signs the digest of the final document on another machine. If
// Digest differed from what the head record is verified against, no signature
// made elsewhere would be accepted.
func TestPublishWithExternalSignature(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, store := testPublisher(t)
		key, _ := testKey(1)
		next := testDocument(201)
		next.Version = 2
		doc := encodeDocument(t, next)
		digest, err := Digest(doc)
		require.NoError(t, err)
		signature, err := SignWith(key)(digest)
		require.NoError(t, err)
		p.Sign = func([32]byte) ([]byte, error) { return signature, nil }
		version, err := p.Publish(t.Context(), doc, 1)
		require.NoError(t, err)
		assert.Equal(t, uint64(2), version)

		writes := store.Calls().Writes
		next.Version = 3
		_, err = p.Publish(t.Context(), encodeDocument(t, next), 2)
		var refused *SignatureError
		require.ErrorAs(t, err, &refused, "the signature of version 2 must not serve for version 3")
		p.Sign = func([32]byte) ([]byte, error) { return signature[:10], nil }
		_, err = p.Publish(t.Context(), encodeDocument(t, next), 2)
		var unsigned *SigningError
		require.ErrorAs(t, err, &unsigned)
		p.Sign = nil
		_, err = p.Publish(t.Context(), encodeDocument(t, next), 2)
		require.ErrorAs(t, err, &unsigned)
		assert.Equal(t, writes, store.Calls().Writes, "nothing is written before the signature is accepted")
	})
}

// The command line does not know the operators' keys and must still show the
// published document, while a publisher with other keys must refuse it.
func TestReadWithoutKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := testPublisher(t)
		_, version, err := (&Publisher{KV: p.KV}).Current(t.Context())
		require.NoError(t, err)
		assert.Equal(t, uint64(1), version)
		_, others := testKey(2)
		_, _, err = (&Publisher{KV: p.KV, Keys: others}).Current(t.Context())
		var refused *SignatureError
		require.ErrorAs(t, err, &refused)
	})
}

// A document without a version has no digest to sign: the signature would hold
// for no publication.
func TestDigestNeedsVersion(t *testing.T) {
	for _, doc := range []string{`{}`, `{"version":0}`, `[]`, ``, `{"version":1,"blocks":[{"prefix":"","site":""}]}`} {
		_, err := Digest([]byte(doc))
		var invalid *InvalidDocumentError
		require.ErrorAs(t, err, &invalid, doc)
	}
	a, err := Digest([]byte(`{"version":1,"links":[]}`))
	require.NoError(t, err)
	b, err := Digest([]byte(`{ "links": [ ], "version": 1 }`))
	require.NoError(t, err)
	assert.Equal(t, a, b)
}
