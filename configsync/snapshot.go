package configsync

import (
	"context"
	"sync/atomic"

	"github.com/jacinthstall/jacinthstall/policy"
)

// maxPatches is the number of patches that a snapshot keeps for peers.
const maxPatches = 4

// Snapshot is one version of the configuration, complete and verified. It is
// immutable.
type Snapshot struct {
	head     *Head
	document *segmentedDocument
	patches  []patch
}

type patch struct {
	hash Hash
	data []byte
}

// Version returns the version of the snapshot.
func (snapshot *Snapshot) Version() uint64 {
	if snapshot == nil {
		return 0
	}
	return snapshot.head.Version
}

// Document returns the document as JSON with its version set.
func (snapshot *Snapshot) Document() ([]byte, error) {
	return snapshot.document.assemble(snapshot.head.Version)
}

// Core returns the document as JSON with its version set and without client
// blocks. It costs much less than Document when there are many blocks.
func (snapshot *Snapshot) Core() ([]byte, error) {
	core := &segmentedDocument{}
	core.setSegment(0, snapshot.document.segments[0])
	return core.assemble(snapshot.head.Version)
}

// BlockChanges returns the blocks that differ from an earlier snapshot:
// those added or steered to another site, and the prefixes removed. With a nil
// snapshot it returns all blocks.
func (snapshot *Snapshot) BlockChanges(from *Snapshot) (set []policy.Block, removed []string, err error) {
	before := &segmentedDocument{}
	if from != nil {
		before = from.document
	}
	for i := 1; i < len(snapshot.document.hashes); i++ {
		if before.hashes[i] == snapshot.document.hashes[i] {
			continue
		}
		setInSegment, removedInSegment, err := diffBlocks(before.segments[i], snapshot.document.segments[i])
		if err != nil {
			return nil, nil, err
		}
		set, removed = append(set, setInSegment...), append(removed, removedInSegment...)
	}
	return set, removed, nil
}

// contentByHash returns a segment, the manifest or a patch by its hash.
func (snapshot *Snapshot) contentByHash(hash Hash) ([]byte, bool) {
	if hash == snapshot.head.Manifest {
		return snapshot.document.manifest(), true
	}
	for _, patch := range snapshot.patches {
		if patch.hash == hash {
			return patch.data, true
		}
	}
	for i, known := range snapshot.document.hashes {
		if known == hash {
			return snapshot.document.segments[i], true
		}
	}
	return nil, false
}

// fetchFunc returns contents by hash, in the order of the hashes. It may return
// fewer than asked for.
type fetchFunc func(ctx context.Context, hashes []Hash) ([][]byte, error)

// advance builds the snapshot of a head record whose signature was verified.
// It applies deltas to the snapshot before, or else fetches the manifest and
// the segments that differ. The result has the signed manifest hash. Deltas
// that cannot be applied are reported to failed.
func advance(ctx context.Context, before *Snapshot, head *Head, fetch fetchFunc, reportFailure func(error)) (*Snapshot, error) {
	snapshot, err := advanceByDeltas(ctx, before, head, fetch)
	if err != nil {
		reportFailure(err)
	}
	if snapshot != nil {
		return snapshot, nil
	}
	return advanceBySegments(ctx, before, head, fetch)
}

// advanceByDeltas returns nil without an error when deltas are missing.
func advanceByDeltas(ctx context.Context, before *Snapshot, head *Head, fetch fetchFunc) (*Snapshot, error) {
	if before == nil {
		return nil, nil
	}
	deltas := head.deltasSince(before.Version())
	if len(deltas) == 0 {
		return nil, nil
	}
	document, patches := before.document, before.patches
	for _, d := range deltas {
		ops := d.ops
		if d.patch != (Hash{}) {
			data, err := fetchOne(ctx, d.patch, fetch)
			if err != nil {
				return nil, err
			}
			ops = data
			patches = prependPatch(patches, patch{hash: d.patch, data: data})
		}
		var err error
		if document, err = document.apply(ops); err != nil {
			return nil, err
		}
	}
	if got := hashOf(document.manifest()); got != head.Manifest {
		return nil, &HashMismatchError{Want: head.Manifest, Got: got}
	}
	return &Snapshot{head: head.withEarlierDeltas(before.head), document: document, patches: patches}, nil
}

func prependPatch(patches []patch, newest patch) []patch {
	out := append([]patch{newest}, patches...)
	return out[:min(len(out), maxPatches)]
}

// withEarlierDeltas returns the head record with the deltas of an earlier one put in
// front of its own, so that a record pushed with one delta still serves peers
// that are further behind.
func (head *Head) withEarlierDeltas(before *Head) *Head {
	startVersion := head.Version - uint64(len(head.deltas))
	if len(head.deltas) == 0 || startVersion > before.Version {
		return head
	}
	merged := *head
	kept := before.deltas
	if overlap := before.Version - startVersion; overlap < uint64(len(kept)) {
		kept = kept[:uint64(len(kept))-overlap]
	} else {
		kept = nil
	}
	merged.deltas = trimDeltas(append(append([]delta{}, kept...), head.deltas...))
	return &merged
}

func advanceBySegments(ctx context.Context, before *Snapshot, head *Head, fetch fetchFunc) (*Snapshot, error) {
	manifest, err := fetchOne(ctx, head.Manifest, fetch)
	if err != nil {
		return nil, err
	}
	hashes, err := parseManifest(manifest)
	if err != nil {
		return nil, err
	}
	document := &segmentedDocument{hashes: hashes}
	missing := document.reuseSegments(before)
	for len(missing) > 0 {
		batch, err := fetchVerified(ctx, missing, fetch)
		if err != nil {
			return nil, err
		}
		if len(batch) == 0 {
			return nil, &MissingSegmentsError{Count: len(missing)}
		}
		document.setMissingSegments(missing[:len(batch)], batch)
		missing = missing[len(batch):]
	}
	return &Snapshot{head: head, document: document}, nil
}

// reuseSegments takes over the segments of an earlier snapshot and returns the hashes
// of the others.
func (document *segmentedDocument) reuseSegments(before *Snapshot) []Hash {
	known := map[Hash][]byte{}
	if before != nil {
		for i, hash := range before.document.hashes {
			known[hash] = before.document.segments[i]
		}
	}
	var missing []Hash
	listed := map[Hash]bool{{}: true}
	for i, hash := range document.hashes {
		if segment, ok := known[hash]; ok {
			document.segments[i] = segment
		} else if !listed[hash] {
			listed[hash] = true
			missing = append(missing, hash)
		}
	}
	return missing
}

func (document *segmentedDocument) setMissingSegments(hashes []Hash, segments [][]byte) {
	segmentsByHash := map[Hash][]byte{}
	for i, hash := range hashes {
		segmentsByHash[hash] = segments[i]
	}
	for i, hash := range document.hashes {
		if segment, ok := segmentsByHash[hash]; ok {
			document.segments[i] = segment
		}
	}
}

func fetchOne(ctx context.Context, hash Hash, fetch fetchFunc) ([]byte, error) {
	got, err := fetchVerified(ctx, []Hash{hash}, fetch)
	if err != nil {
		return nil, err
	}
	if len(got) == 0 {
		return nil, &MissingSegmentsError{Count: 1}
	}
	return got[0], nil
}

// fetchVerified fetches contents and checks their hashes.
func fetchVerified(ctx context.Context, hashes []Hash, fetch fetchFunc) ([][]byte, error) {
	got, err := fetch(ctx, hashes)
	if err != nil {
		return nil, err
	}
	if len(got) > len(hashes) {
		return nil, &FormatError{Record: "segments", Reason: "more than asked for"}
	}
	for i, data := range got {
		if hash := hashOf(data); hash != hashes[i] {
			return nil, &HashMismatchError{Want: hashes[i], Got: hash}
		}
	}
	return got, nil
}

// Store holds the snapshot in force. Versions only rise. It is safe for
// concurrent use.
type Store struct {
	current atomic.Pointer[Snapshot]
}

// Current returns the snapshot in force, or nil before the first one.
func (store *Store) Current() *Snapshot { return store.current.Load() }

// Offer puts a snapshot in force if its version is higher than the one in
// force, and reports whether it did.
func (store *Store) Offer(next *Snapshot) bool {
	for {
		current := store.current.Load()
		if next.Version() <= current.Version() {
			return false
		}
		if store.current.CompareAndSwap(current, next) {
			return true
		}
	}
}
