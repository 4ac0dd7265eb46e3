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
func (s *Snapshot) Version() uint64 {
	if s == nil {
		return 0
	}
	return s.head.Version
}

// Document returns the document as JSON with its version set.
func (s *Snapshot) Document() ([]byte, error) { return s.document.assemble(s.head.Version) }

// Core returns the document as JSON with its version set and without client
// blocks. It costs much less than Document when there are many blocks.
func (s *Snapshot) Core() ([]byte, error) {
	core := &segmentedDocument{}
	core.setSegment(0, s.document.segments[0])
	return core.assemble(s.head.Version)
}

// BlockChanges returns the blocks that differ from an earlier snapshot:
// those added or steered to another site, and the prefixes removed. With a nil
// snapshot it returns all blocks.
func (s *Snapshot) BlockChanges(from *Snapshot) (set []policy.Block, removed []string, err error) {
	before := &segmentedDocument{}
	if from != nil {
		before = from.document
	}
	for i := 1; i < len(s.document.hashes); i++ {
		if before.hashes[i] == s.document.hashes[i] {
			continue
		}
		added, gone, err := diffBlocks(before.segments[i], s.document.segments[i])
		if err != nil {
			return nil, nil, err
		}
		set, removed = append(set, added...), append(removed, gone...)
	}
	return set, removed, nil
}

// contentByHash returns a segment, the manifest or a patch by its hash.
func (s *Snapshot) contentByHash(h Hash) ([]byte, bool) {
	if h == s.head.Manifest {
		return s.document.manifest(), true
	}
	for _, p := range s.patches {
		if p.hash == h {
			return p.data, true
		}
	}
	for i, known := range s.document.hashes {
		if known == h {
			return s.document.segments[i], true
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
func advance(ctx context.Context, before *Snapshot, head *Head, fetch fetchFunc, failed func(error)) (*Snapshot, error) {
	s, err := advanceByDeltas(ctx, before, head, fetch)
	if err != nil {
		failed(err)
	}
	if s != nil {
		return s, nil
	}
	return advanceBySegments(ctx, before, head, fetch)
}

// advanceByDeltas returns nil without an error when deltas are missing.
func advanceByDeltas(ctx context.Context, before *Snapshot, head *Head, fetch fetchFunc) (*Snapshot, error) {
	if before == nil {
		return nil, nil
	}
	steps := head.deltasSince(before.Version())
	if len(steps) == 0 {
		return nil, nil
	}
	c, patches := before.document, before.patches
	for _, d := range steps {
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
		if c, err = c.apply(ops); err != nil {
			return nil, err
		}
	}
	if got := hashOf(c.manifest()); got != head.Manifest {
		return nil, &HashMismatchError{Want: head.Manifest, Got: got}
	}
	return &Snapshot{head: head.withEarlierDeltas(before.head), document: c, patches: patches}, nil
}

func prependPatch(patches []patch, p patch) []patch {
	out := append([]patch{p}, patches...)
	return out[:min(len(out), maxPatches)]
}

// withEarlierDeltas returns the head record with the deltas of an earlier one put in
// front of its own, so that a record pushed with one delta still serves peers
// that are further behind.
func (h *Head) withEarlierDeltas(before *Head) *Head {
	first := h.Version - uint64(len(h.deltas))
	if len(h.deltas) == 0 || first > before.Version {
		return h
	}
	out := *h
	kept := before.deltas
	if overlap := before.Version - first; overlap < uint64(len(kept)) {
		kept = kept[:uint64(len(kept))-overlap]
	} else {
		kept = nil
	}
	out.deltas = trimDeltas(append(append([]delta{}, kept...), h.deltas...))
	return &out
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
	c := &segmentedDocument{hashes: hashes}
	missing := c.reuseSegments(before)
	for len(missing) > 0 {
		batch, err := fetchVerified(ctx, missing, fetch)
		if err != nil {
			return nil, err
		}
		if len(batch) == 0 {
			return nil, &MissingSegmentsError{Count: len(missing)}
		}
		c.setMissingSegments(missing[:len(batch)], batch)
		missing = missing[len(batch):]
	}
	return &Snapshot{head: head, document: c}, nil
}

// reuseSegments takes over the segments of an earlier snapshot and returns the hashes
// of the others.
func (c *segmentedDocument) reuseSegments(before *Snapshot) []Hash {
	known := map[Hash][]byte{}
	if before != nil {
		for i, h := range before.document.hashes {
			known[h] = before.document.segments[i]
		}
	}
	var missing []Hash
	asked := map[Hash]bool{{}: true}
	for i, h := range c.hashes {
		if segment, ok := known[h]; ok {
			c.segments[i] = segment
		} else if !asked[h] {
			asked[h] = true
			missing = append(missing, h)
		}
	}
	return missing
}

func (c *segmentedDocument) setMissingSegments(hashes []Hash, segments [][]byte) {
	found := map[Hash][]byte{}
	for i, h := range hashes {
		found[h] = segments[i]
	}
	for i, h := range c.hashes {
		if segment, ok := found[h]; ok {
			c.segments[i] = segment
		}
	}
}

func fetchOne(ctx context.Context, h Hash, fetch fetchFunc) ([]byte, error) {
	got, err := fetchVerified(ctx, []Hash{h}, fetch)
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
		if h := hashOf(data); h != hashes[i] {
			return nil, &HashMismatchError{Want: hashes[i], Got: h}
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
func (s *Store) Current() *Snapshot { return s.current.Load() }

// Offer puts a snapshot in force if its version is higher than the one in
// force, and reports whether it did.
func (s *Store) Offer(next *Snapshot) bool {
	for {
		current := s.current.Load()
		if next.Version() <= current.Version() {
			return false
		}
		if s.current.CompareAndSwap(current, next) {
			return true
		}
	}
}
