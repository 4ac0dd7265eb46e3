package configsync

import (
	"encoding/binary"
	"math"

	"github.com/jacinthstall/jacinthstall/policy"
)

const (
	// MaxDeltas is the maximum number of deltas in a head record.
	MaxDeltas = 64
	// MaxInlineDelta is the maximum size in bytes of the operations of a delta
	// in a head record.
	MaxInlineDelta = 2 << 10
	// MaxInlineDeltas is the maximum size in bytes of all deltas in a head
	// record. It is low because watchers read the whole record on every
	// change.
	MaxInlineDeltas = 8 << 10
)

// delta contains the changes from the previous version to version. The
// operations are inline or, if they are too large, in a patch that is stored
// under its hash.
type delta struct {
	version  uint64
	manifest Hash // Hash of the manifest of version.
	patch    Hash // Hash of the patch; zero if the operations are inline.
	ops      []byte
}

// Kinds of operations, with their operands.
const (
	opCore   = 1 // Replaces the core segment. Operand: the new segment.
	opSet    = 2 // Adds or replaces a block. Operands: prefix, site.
	opRemove = 3 // Removes a block. Operand: prefix.
)

// diffDocuments returns the encoded operations that turn before into after.
func diffDocuments(before, after *segmentedDocument) ([]byte, error) {
	var ops []byte
	if before.hashes[0] != after.hashes[0] {
		ops = appendBytes(append(ops, opCore), after.segments[0])
	}
	for i := 1; i < len(before.hashes); i++ {
		if before.hashes[i] == after.hashes[i] {
			continue
		}
		set, removed, err := diffBlocks(before.segments[i], after.segments[i])
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

// diffBlocks compares two block segments. It returns the blocks that are new or
// have another site in newSegment, and the prefixes that are only in oldSegment.
func diffBlocks(oldSegment, newSegment []byte) (set []policy.Block, removed []string, err error) {
	before, err := decodeBlocks(oldSegment)
	if err != nil {
		return nil, nil, err
	}
	after, err := decodeBlocks(newSegment)
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

// apply returns a copy of the document with the encoded operations applied.
func (document *segmentedDocument) apply(ops []byte) (*segmentedDocument, error) {
	result := *document
	buckets := map[int]map[string]string{}
	reader := recordReader{record: "delta", data: ops}
	for len(reader.data) > 0 && reader.err == nil {
		switch kind := reader.byte(); kind {
		case opCore:
			result.setSegment(0, reader.bytes(math.MaxInt))
		case opSet:
			prefix, site := string(reader.bytes(math.MaxInt)), string(reader.bytes(math.MaxInt))
			if err := checkBlock(policy.Block{Prefix: prefix, Site: site}); err != nil {
				reader.fail(err.Error())
				break
			}
			reader.setErr(result.editBucket(buckets, prefix, func(bucket map[string]string) { bucket[prefix] = site }))
		case opRemove:
			prefix := string(reader.bytes(math.MaxInt))
			reader.setErr(result.editBucket(buckets, prefix, func(bucket map[string]string) { delete(bucket, prefix) }))
		default:
			reader.fail("unknown operation")
		}
	}
	if reader.err != nil {
		return nil, reader.err
	}
	return &result, result.encodeBuckets(buckets)
}

// editBucket calls edit with the sites by prefix of the bucket that a prefix
// belongs to. It decodes the bucket into buckets on first use.
func (document *segmentedDocument) editBucket(buckets map[int]map[string]string, prefix string, edit func(map[string]string)) error {
	index := BucketOf(prefix)
	if buckets[index] == nil {
		list, err := decodeBlocks(document.segments[1+index])
		if err != nil {
			return err
		}
		buckets[index] = make(map[string]string, len(list))
		for _, block := range list {
			buckets[index][block.Prefix] = block.Site
		}
	}
	edit(buckets[index])
	return nil
}

// encodeBuckets replaces the block segments of the decoded buckets.
func (document *segmentedDocument) encodeBuckets(buckets map[int]map[string]string) error {
	for index, sites := range buckets {
		list := make([]policy.Block, 0, len(sites))
		for prefix, site := range sites {
			list = append(list, policy.Block{Prefix: prefix, Site: site})
		}
		segment, err := encodeBlocks(list)
		if err != nil {
			return err
		}
		document.setSegment(1+index, segment)
	}
	return nil
}

// appendTo appends the encoded delta to out.
func (d delta) appendTo(out []byte) []byte {
	out = binary.AppendUvarint(out, d.version)
	out = append(out, d.manifest[:]...)
	if d.patch != (Hash{}) {
		out = append(out, 1)
		return append(out, d.patch[:]...)
	}
	return appendBytes(append(out, 0), d.ops)
}

// size returns the size of the encoded delta in bytes.
func (d delta) size() int { return len(d.appendTo(nil)) }

func readDelta(reader *recordReader) delta {
	d := delta{version: reader.uvarint(), manifest: reader.hash()}
	switch reader.byte() {
	case 0:
		d.ops = reader.bytes(MaxInlineDelta)
	case 1:
		d.patch = reader.hash()
		if d.patch == (Hash{}) {
			reader.fail("patch without a hash")
		}
	default:
		reader.fail("unknown kind of delta")
	}
	return d
}

// trimDeltas returns the most recent deltas that fit into a head record.
func trimDeltas(deltas []delta) []delta {
	size, start := 0, len(deltas)
	for start > 0 && len(deltas)-start < MaxDeltas {
		size += deltas[start-1].size()
		if size > MaxInlineDeltas {
			break
		}
		start--
	}
	return deltas[start:]
}
