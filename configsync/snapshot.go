package configsync

import (
	"context"
	"sync/atomic"

	"github.com/jacinthstall/jacinthstall/policy"
)

// maxPatches is the number of patches that a snapshot keeps in memory to serve
// to peers.
const maxPatches = 4

// Snapshot is a complete, verified version of the configuration. It is
// immutable.
type Snapshot struct {
	head     *Head
	document *segmentedDocument
	patches  []patch
}

// patch contains the operations of a delta that is too large for the head
// record.
type patch struct {
	hash Hash
	data []byte
}

// Version returns the version of the snapshot, or 0 for a nil snapshot.
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
// blocks. It is much cheaper than Document if there are many blocks.
func (snapshot *Snapshot) Core() ([]byte, error) {
	core := &segmentedDocument{}
	core.setSegment(0, snapshot.document.segments[0])
	return core.assemble(snapshot.head.Version)
}

// BlockChanges returns the differences from an earlier snapshot: the blocks
// that were added or steered to another site, and the prefixes of the blocks
// that were removed. If from is nil, it returns all blocks.
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

// contentByHash returns the segment, manifest or patch with a hash.
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

// fetchFunc returns segments, manifests and patches by their hashes, in the
// order of the hashes. It may return only the first ones of them.
type fetchFunc func(ctx context.Context, hashes []Hash) ([][]byte, error)

// advance builds the snapshot for a head record whose signature has been
// verified. It applies the deltas of the record to the previous snapshot or, if
// that is not possible, fetches the manifest and the segments that differ. The
// result always has the signed manifest hash. If deltas are present but cannot
// be applied, it calls reportFailure with the reason.
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

// advanceByDeltas applies the deltas of a head record to the previous snapshot.
// It returns nil without an error if the record does not contain all deltas
// since that snapshot.
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

// prependPatch returns the patches with the newest first, at most maxPatches.
func prependPatch(patches []patch, newest patch) []patch {
	out := append([]patch{newest}, patches...)
	return out[:min(len(out), maxPatches)]
}

// withEarlierDeltas returns the head record with the deltas of an earlier
// record prepended. A pushed record contains only one delta; with the earlier
// ones, the instance can serve peers that are several versions behind.
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

// advanceBySegments fetches the manifest of a head record and the segments that
// the previous snapshot, which may be nil, does not have.
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

// reuseSegments sets the segments that an earlier snapshot, which may be nil,
// has in common with the document. It returns the hashes of the missing
// segments.
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

// setMissingSegments sets segments that were fetched by their hashes.
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

// fetchOne fetches a single segment, manifest or patch and checks its hash.
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

// fetchVerified calls fetch and checks the hashes of the results.
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

// Store holds the snapshot in force. Its version never decreases. It is safe
// for concurrent use.
type Store struct {
	current atomic.Pointer[Snapshot]
}

// Current returns the snapshot in force, or nil if there is none yet.
func (store *Store) Current() *Snapshot { return store.current.Load() }

// Offer puts a snapshot in force if its version is higher than the version in
// force. It reports whether it did.
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
