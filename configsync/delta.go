package configsync

import (
	"encoding/binary"
	"math"

	"github.com/jacinthstall/jacinthstall/policy"
)

const (
	// MaxDeltas is the largest number of deltas in a head record.
	MaxDeltas = 64
	// MaxInlineDelta is the largest delta in a head record, in bytes.
	MaxInlineDelta = 2 << 10
	// MaxInlineDeltas bounds all deltas of a head record, in bytes. Watching
	// instances read the whole record at each change.
	MaxInlineDeltas = 8 << 10
)

// delta is the step from the version before to Version. Its operations are
// inline, or in a patch stored under a hash when they are large.
type delta struct {
	version  uint64
	manifest Hash // Manifest after the step.
	patch    Hash // Zero when the operations are inline.
	ops      []byte
}

// Kinds of operations.
const (
	opCore   = 1 // Replaces the core: content.
	opSet    = 2 // Adds or replaces a block: prefix, site.
	opRemove = 3 // Removes a block: prefix.
)

// diffDocuments returns the operations that turn a into b.
func diffDocuments(a, b *segmentedDocument) ([]byte, error) {
	var ops []byte
	if a.hashes[0] != b.hashes[0] {
		ops = appendBytes(append(ops, opCore), b.segments[0])
	}
	for i := 1; i < len(a.hashes); i++ {
		if a.hashes[i] == b.hashes[i] {
			continue
		}
		set, removed, err := diffBlocks(a.segments[i], b.segments[i])
		if err != nil {
			return nil, err
		}
		for _, prefix := range removed {
			ops = appendBytes(append(ops, opRemove), []byte(prefix))
		}
		for _, block := range set {
			ops = appendBytes(append(ops, opSet), []byte(block.Prefix))
			ops = appendBytes(ops, []byte(block.Site))
		}
	}
	return ops, nil
}

// diffBlocks returns the blocks of b that are not in a, and the prefixes of a
// that are not in b.
func diffBlocks(a, b []byte) (set []policy.Block, removed []string, err error) {
	before, err := decodeBlocks(a)
	if err != nil {
		return nil, nil, err
	}
	after, err := decodeBlocks(b)
	if err != nil {
		return nil, nil, err
	}
	sites := make(map[string]string, len(after))
	for _, block := range after {
		sites[block.Prefix] = block.Site
	}
	known := make(map[string]string, len(before))
	for _, block := range before {
		known[block.Prefix] = block.Site
		if _, ok := sites[block.Prefix]; !ok {
			removed = append(removed, block.Prefix)
		}
	}
	for _, block := range after {
		if site, ok := known[block.Prefix]; !ok || site != block.Site {
			set = append(set, block)
		}
	}
	return set, removed, nil
}

// apply returns the content after the operations. c is not changed.
func (c *segmentedDocument) apply(ops []byte) (*segmentedDocument, error) {
	out := *c
	buckets := map[int]map[string]string{}
	r := recordReader{record: "delta", data: ops}
	for len(r.data) > 0 && r.err == nil {
		switch kind := r.byte(); kind {
		case opCore:
			out.setSegment(0, r.bytes(math.MaxInt))
		case opSet:
			prefix, site := string(r.bytes(math.MaxInt)), string(r.bytes(math.MaxInt))
			if err := checkBlock(policy.Block{Prefix: prefix, Site: site}); err != nil {
				r.fail(err.Error())
				break
			}
			r.setErr(out.editBucket(buckets, prefix, func(m map[string]string) { m[prefix] = site }))
		case opRemove:
			prefix := string(r.bytes(math.MaxInt))
			r.setErr(out.editBucket(buckets, prefix, func(m map[string]string) { delete(m, prefix) }))
		default:
			r.fail("unknown operation")
		}
	}
	if r.err != nil {
		return nil, r.err
	}
	return &out, out.encodeBuckets(buckets)
}

// editBucket edits the decoded bucket of a prefix, decoding it at first use.
func (c *segmentedDocument) editBucket(buckets map[int]map[string]string, prefix string, edit func(map[string]string)) error {
	n := BucketOf(prefix)
	if buckets[n] == nil {
		list, err := decodeBlocks(c.segments[1+n])
		if err != nil {
			return err
		}
		buckets[n] = make(map[string]string, len(list))
		for _, b := range list {
			buckets[n][b.Prefix] = b.Site
		}
	}
	edit(buckets[n])
	return nil
}

func (c *segmentedDocument) encodeBuckets(buckets map[int]map[string]string) error {
	for n, sites := range buckets {
		list := make([]policy.Block, 0, len(sites))
		for prefix, site := range sites {
			list = append(list, policy.Block{Prefix: prefix, Site: site})
		}
		segment, err := encodeBlocks(list)
		if err != nil {
			return err
		}
		c.setSegment(1+n, segment)
	}
	return nil
}

// appendTo encodes the delta.
func (d delta) appendTo(out []byte) []byte {
	out = binary.AppendUvarint(out, d.version)
	out = append(out, d.manifest[:]...)
	if d.patch != (Hash{}) {
		out = append(out, 1)
		return append(out, d.patch[:]...)
	}
	return appendBytes(append(out, 0), d.ops)
}

func (d delta) size() int { return len(d.appendTo(nil)) }

func readDelta(r *recordReader) delta {
	d := delta{version: r.uvarint(), manifest: r.hash()}
	switch r.byte() {
	case 0:
		d.ops = r.bytes(MaxInlineDelta)
	case 1:
		d.patch = r.hash()
		if d.patch == (Hash{}) {
			r.fail("patch without a hash")
		}
	default:
		r.fail("unknown kind of delta")
	}
	return d
}

// trimDeltas returns the latest deltas that fit into a head record.
func trimDeltas(deltas []delta) []delta {
	size, from := 0, len(deltas)
	for from > 0 && len(deltas)-from < MaxDeltas {
		size += deltas[from-1].size()
		if size > MaxInlineDeltas {
			break
		}
		from--
	}
	return deltas[from:]
}
