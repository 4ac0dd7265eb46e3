package configsync

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/policy"
	"github.com/jacinthstall/jacinthstall/policy/policytest"
)

// testKey returns a fixed key pair.
func testKey(seed byte) (ed25519.PrivateKey, []ed25519.PublicKey) {
	key := ed25519.NewKeyFromSeed(append(make([]byte, ed25519.SeedSize-1), seed))
	return key, []ed25519.PublicKey{key.Public().(ed25519.PublicKey)}
}

// editTargetSites are the sites that tests move blocks to. They are in the document
// from the start, so that such an edit changes blocks only.
var editTargetSites = []string{"elsewhere", "evacuated", "first", "mine", "moved", "new", "other", "second", "stale-base"}

// testDocument returns a document with n client blocks.
func testDocument(n int) *policy.Document {
	d := policytest.Document()
	policytest.AddSites(d, "site-%d", 1200)
	policytest.AddNamedSites(d, editTargetSites...)
	for i := range n {
		d.Blocks = append(d.Blocks, policy.Block{Prefix: fmt.Sprintf("%d.%d.%d.0/24", 1+i>>16, i>>8&255, i&255), Site: fmt.Sprintf("site-%d", i%1200)})
	}
	return d
}

func encodeDocument(t testing.TB, d *policy.Document) []byte {
	t.Helper()
	policytest.AddMissingSites(d)
	doc, err := json.Marshal(d)
	require.NoError(t, err)
	return doc
}

func mustSplit(t testing.TB, d *policy.Document) *segmentedDocument {
	t.Helper()
	c, err := splitDocument(encodeDocument(t, d))
	require.NoError(t, err)
	return c
}

// Splitting and assembling must lose nothing, whatever members a later version
// of the document has.
func TestSplitAndAssemblePreserveDocument(t *testing.T) {
	doc := []byte(`{"version":3,"future":{"x":[1,2]},"blocks":[{"prefix":"10.0.0.0/8","site":"s"},{"prefix":"1.0.0.0/8","site":"t"}],"logLevel":"info"}`)
	c, err := splitDocument(doc)
	require.NoError(t, err)
	got, err := c.assemble(4)
	require.NoError(t, err)
	assert.JSONEq(t, `{"version":4,"future":{"x":[1,2]},"blocks":[{"prefix":"1.0.0.0/8","site":"t"},{"prefix":"10.0.0.0/8","site":"s"}],"logLevel":"info"}`, string(got))
}

// A document whose blocks cannot be stored exactly must be refused.
func TestSplitRejectsInvalidBlocks(t *testing.T) {
	for name, doc := range map[string]string{
		"unknown member":   `{"blocks":[{"prefix":"10.0.0.0/8","site":"s","weight":2}]}`,
		"tab in site":      `{"blocks":[{"prefix":"10.0.0.0/8","site":"s\tt"}]}`,
		"empty prefix":     `{"blocks":[{"prefix":"","site":"s"}]}`,
		"duplicate prefix": `{"blocks":[{"prefix":"10.0.0.0/8","site":"s"},{"prefix":"10.0.0.0/8","site":"t"}]}`,
		"not an object":    `[]`,
	} {
		_, err := splitDocument([]byte(doc))
		assert.Error(t, err, name)
	}
}

// The operations between two documents must turn one exactly into the other.
func TestDiffAndApply(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	current := testDocument(3000)
	for range 50 {
		next := testDocument(3000)
		next.Blocks = append([]policy.Block{}, current.Blocks...)
		for range 1 + random.IntN(20) {
			i := random.IntN(len(next.Blocks))
			switch random.IntN(3) {
			case 0:
				next.Blocks[i].Site = fmt.Sprintf("moved-%d", random.IntN(9))
			case 1:
				next.Blocks = append(next.Blocks[:i], next.Blocks[i+1:]...)
			case 2:
				next.LogLevel = fmt.Sprintf("level-%d", random.IntN(9))
			}
		}
		a, b := mustSplit(t, current), mustSplit(t, next)
		ops, err := diffDocuments(a, b)
		require.NoError(t, err)
		got, err := a.apply(ops)
		require.NoError(t, err)
		require.Equal(t, b.hashes, got.hashes)
		current = next
	}
}

// A change of one block must touch one segment.
func TestBlockChangeTouchesOneSegment(t *testing.T) {
	before, after := testDocument(5000), testDocument(5000)
	after.Blocks[17].Site = "elsewhere"
	a, b := mustSplit(t, before), mustSplit(t, after)
	changed := 0
	for i := range a.hashes {
		if a.hashes[i] != b.hashes[i] {
			changed++
		}
	}
	assert.Equal(t, 1, changed)
}

// snapshotOf returns a signed snapshot.
func snapshotOf(t testing.TB, version uint64, d *policy.Document) *Snapshot {
	t.Helper()
	key, _ := testKey(1)
	c := mustSplit(t, d)
	head := &Head{Version: version, Manifest: hashOf(c.manifest())}
	require.NoError(t, head.sign(SignWith(key)))
	return &Snapshot{head: head, document: c}
}

// A consumer that keeps the core and applies the changes of blocks must end
// with the same blocks as the document has.
func TestCoreAndBlockChanges(t *testing.T) {
	before, after := testDocument(30), testDocument(31)
	after.Blocks[3].Site = "moved"
	after.Blocks = after.Blocks[2:]
	a, b := snapshotOf(t, 1, before), snapshotOf(t, 2, after)
	blocks := map[string]string{}
	var from *Snapshot
	for _, s := range []*Snapshot{a, b} {
		set, removed, err := s.BlockChanges(from)
		require.NoError(t, err)
		for _, prefix := range removed {
			delete(blocks, prefix)
		}
		for _, block := range set {
			blocks[block.Prefix] = block.Site
		}
		from = s
	}
	want := map[string]string{}
	for _, block := range after.Blocks {
		want[block.Prefix] = block.Site
	}
	assert.Equal(t, want, blocks)
	set, removed, err := b.BlockChanges(a)
	require.NoError(t, err)
	assert.Len(t, set, 2)
	assert.Len(t, removed, 2)

	core, err := b.Core()
	require.NoError(t, err)
	got, err := policy.Parse("core", core)
	require.NoError(t, err)
	assert.Equal(t, uint64(2), got.Version)
	assert.Equal(t, after.Regions, got.Regions)
	assert.Empty(t, got.Blocks)
}

// Versions must only rise, whatever order snapshots are offered in.
func TestStoreVersionNeverDecreases(t *testing.T) {
	var s Store
	assert.Nil(t, s.Current())
	assert.True(t, s.Offer(snapshotOf(t, 2, testDocument(1))))
	assert.False(t, s.Offer(snapshotOf(t, 1, testDocument(1))))
	assert.False(t, s.Offer(snapshotOf(t, 2, testDocument(2))))
	assert.True(t, s.Offer(snapshotOf(t, 3, testDocument(1))))
	assert.Equal(t, uint64(3), s.Current().Version())
}

// A delta that was exchanged in a signed record must not reach the
// configuration, since the signature does not cover deltas. Applying the
// operations without the comparison of manifests would take it over.
func TestUnsignedDeltaIsNotApplied(t *testing.T) {
	before := snapshotOf(t, 1, testDocument(100))
	signed := snapshotOf(t, 2, testDocument(101))
	ops := appendBytes(append([]byte(nil), opSet), []byte("1.0.0.0/24"))
	ops = appendBytes(ops, []byte("attacker"))
	head := *signed.head
	head.deltas = []delta{{version: 2, manifest: head.Manifest, ops: ops}}
	_, keys := testKey(1)
	require.NoError(t, head.Verify(keys))

	naive, err := before.document.apply(ops)
	require.NoError(t, err)
	doc, err := naive.assemble(2)
	require.NoError(t, err)
	require.Contains(t, string(doc), "attacker", "without the comparison the delta takes effect")

	var reported error
	_, err = advance(context.Background(), before, &head, noFetch, func(err error) { reported = err })
	var mismatch *HashMismatchError
	require.ErrorAs(t, reported, &mismatch)
	var missing *MissingSegmentsError
	require.ErrorAs(t, err, &missing, "the signed content is fetched instead")

	got, err := advance(context.Background(), before, &head, func(_ context.Context, hashes []Hash) ([][]byte, error) {
		var out [][]byte
		for _, h := range hashes {
			data, _ := signed.contentByHash(h)
			out = append(out, data)
		}
		return out, nil
	}, func(error) {})
	require.NoError(t, err)
	assert.Equal(t, signed.document.hashes, got.document.hashes)
}

// Content that does not have the requested hash must be refused.
func TestSegmentWithWrongHashIsRejected(t *testing.T) {
	signed := snapshotOf(t, 2, testDocument(101))
	_, err := advance(context.Background(), nil, signed.head, func(_ context.Context, hashes []Hash) ([][]byte, error) {
		return [][]byte{[]byte("other content")}, nil
	}, func(error) {})
	var mismatch *HashMismatchError
	require.ErrorAs(t, err, &mismatch)
}

// A record that another key signed, or whose version was changed, must not verify.
func TestHeadSignature(t *testing.T) {
	head := snapshotOf(t, 7, testDocument(3)).head
	_, keys := testKey(1)
	_, others := testKey(2)
	require.NoError(t, head.Verify(append(others, keys...)))
	var failure *SignatureError
	require.ErrorAs(t, head.Verify(others), &failure)
	require.ErrorAs(t, head.Verify(nil), &failure)
	changed := *head
	changed.Version++
	require.ErrorAs(t, changed.Verify(keys), &failure)
	changed = *head
	changed.Manifest[0]++
	require.ErrorAs(t, changed.Verify(keys), &failure)
}

func headWithDeltas(t testing.TB, count int) *Head {
	head := *snapshotOf(t, 100, testDocument(3)).head
	for i := range count {
		d := delta{version: head.Version - uint64(count-1-i), ops: []byte{opRemove, 1, 'x'}}
		if i%2 == 0 {
			d = delta{version: d.version, patch: hashOf([]byte("patch"))}
		}
		head.deltas = append(head.deltas, d)
	}
	return &head
}

// Encoding and decoding a record must be exact, and wrong input must give an error.
func TestHeadCodec(t *testing.T) {
	for _, count := range []int{0, 1, MaxDeltas} {
		head := headWithDeltas(t, count)
		got, err := DecodeHead(head.Encode())
		require.NoError(t, err)
		assert.Equal(t, head, got)
	}
	good := headWithDeltas(t, 2).Encode()
	for n := range good {
		_, err := DecodeHead(good[:n])
		require.Error(t, err, "cut at %d", n)
	}
	_, err := DecodeHead(append(append([]byte{}, good...), 0))
	require.Error(t, err)
	_, err = DecodeHead(headWithDeltas(t, MaxDeltas+1).Encode())
	require.Error(t, err)
}

// A record pushed with one delta must still let its receiver serve peers that
// are further behind.
func TestHeadKeepsEarlierDeltas(t *testing.T) {
	full := headWithDeltas(t, 10)
	before := *full
	before.Version, before.deltas = 99, full.deltas[:9]
	last, err := DecodeHead(full.EncodeSince(99))
	require.NoError(t, err)
	require.Len(t, last.deltas, 1)
	assert.Equal(t, full.deltas, last.withEarlierDeltas(&before).deltas)
	assert.Equal(t, full.deltas, full.withEarlierDeltas(&before).deltas, "overlapping deltas")
	assert.Empty(t, full.deltasSince(89), "the sequence is not complete")
	assert.Len(t, full.deltasSince(90), 10)
}

// FuzzDecodeHead guards against crashes, and against records with two
// encodings, on input from the platform or a peer.
func FuzzDecodeHead(f *testing.F) {
	for _, count := range []int{0, 1, 3, MaxDeltas} {
		f.Add(headWithDeltas(f, count).Encode())
	}
	f.Add([]byte{})
	f.Add([]byte{headFormat, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		head, err := DecodeHead(data)
		if err != nil {
			return
		}
		assert.Equal(t, data, head.Encode())
		_ = head.deltasSince(0)
		_ = head.withEarlierDeltas(head)
	})
}

// FuzzApplyDelta guards against crashes on operations from the platform or a
// peer, and against results that cannot be decoded again.
func FuzzApplyDelta(f *testing.F) {
	base := mustSplit(f, testDocument(20))
	changed := testDocument(25)
	changed.Blocks = changed.Blocks[5:]
	changed.LogLevel = "debug"
	ops, err := diffDocuments(base, mustSplit(f, changed))
	require.NoError(f, err)
	f.Add(ops)
	f.Add([]byte{opSet, 1, 'p', 1, 's'})
	f.Add([]byte{opRemove, 0xff, 0xff, 0x03})
	f.Add([]byte{opSet, 1, '\t', 1, '\n'})
	f.Fuzz(func(t *testing.T, ops []byte) {
		got, err := base.apply(ops)
		if err != nil {
			return
		}
		for _, segment := range got.segments[1:] {
			_, err := decodeBlocks(segment)
			assert.NoError(t, err)
		}
	})
}
