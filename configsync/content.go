package configsync

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstall/jacinthstall/policy"
)

// Buckets is the number of block segments of a document.
const Buckets = 1024

// HashBytes is the size of a Hash.
const HashBytes = sha256.Size

// Hash is the SHA-256 hash of a segment, manifest or patch. The zero hash
// stands for an empty block segment.
type Hash [HashBytes]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// parseHash reads a hash in hexadecimal.
func parseHash(s string) (Hash, bool) {
	var h Hash
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != HashBytes {
		return h, false
	}
	copy(h[:], b)
	return h, true
}

// hashOf returns the hash of data, or the zero hash when it is empty.
func hashOf(data []byte) Hash {
	if len(data) == 0 {
		return Hash{}
	}
	return sha256.Sum256(data)
}

// BucketOf returns the bucket of a client block, 0 to Buckets-1.
func BucketOf(prefix string) int {
	return int(xxhash.Sum64String(prefix) % Buckets)
}

// segmentedDocument is a document as segments: the core, then the buckets. Segments are
// immutable; copies share them.
type segmentedDocument struct {
	segments [1 + Buckets][]byte
	hashes   [1 + Buckets]Hash
}

func (c *segmentedDocument) setSegment(index int, segment []byte) {
	c.segments[index] = segment
	c.hashes[index] = hashOf(segment)
}

// manifest returns the record that lists the hashes of all segments.
func (c *segmentedDocument) manifest() []byte {
	out := make([]byte, 0, len(c.hashes)*HashBytes)
	for _, h := range c.hashes {
		out = append(out, h[:]...)
	}
	return out
}

// parseManifest returns the hashes of a manifest.
func parseManifest(data []byte) ([1 + Buckets]Hash, error) {
	var hashes [1 + Buckets]Hash
	if len(data) != len(hashes)*HashBytes {
		return hashes, &FormatError{Record: "manifest", Reason: fmt.Sprintf("has %d bytes", len(data))}
	}
	for i := range hashes {
		copy(hashes[i][:], data[i*HashBytes:])
	}
	return hashes, nil
}

// splitDocument turns a document into segments. The core keeps every member but the
// version and the blocks, in the order of their names.
func splitDocument(doc []byte) (*segmentedDocument, error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(doc, &members); err != nil {
		return nil, err
	}
	var blocks []policy.Block
	dec := json.NewDecoder(bytes.NewReader(members["blocks"]))
	dec.DisallowUnknownFields()
	if len(members["blocks"]) > 0 {
		if err := dec.Decode(&blocks); err != nil {
			return nil, err
		}
	}
	delete(members, "blocks")
	delete(members, "version")
	core, err := json.Marshal(members)
	if err != nil {
		return nil, err
	}
	c := &segmentedDocument{}
	c.setSegment(0, core)
	return c, c.setBlockSegments(blocks)
}

func (c *segmentedDocument) setBlockSegments(blocks []policy.Block) error {
	buckets := map[int][]policy.Block{}
	for _, b := range blocks {
		if err := checkBlock(b); err != nil {
			return err
		}
		n := BucketOf(b.Prefix)
		buckets[n] = append(buckets[n], b)
	}
	for n, list := range buckets {
		segment, err := encodeBlocks(list)
		if err != nil {
			return err
		}
		c.setSegment(1+n, segment)
	}
	return nil
}

func checkBlock(b policy.Block) error {
	if b.Prefix == "" || b.Site == "" || strings.ContainsAny(b.Prefix+b.Site, "\t\n") {
		return &FormatError{Record: "block", Reason: fmt.Sprintf("%q to %q: empty, or has a tab or line feed", b.Prefix, b.Site)}
	}
	return nil
}

// encodeBlocks returns a block segment: one line for each block, with prefix
// and site separated by a tab, in the order of prefixes.
func encodeBlocks(blocks []policy.Block) ([]byte, error) {
	slices.SortFunc(blocks, func(a, b policy.Block) int { return strings.Compare(a.Prefix, b.Prefix) })
	var out bytes.Buffer
	for i, b := range blocks {
		if i > 0 && blocks[i-1].Prefix == b.Prefix {
			return nil, &FormatError{Record: "block", Reason: b.Prefix + " is listed twice"}
		}
		out.WriteString(b.Prefix + "\t" + b.Site + "\n")
	}
	return out.Bytes(), nil
}

// decodeBlocks reads a block segment.
func decodeBlocks(segment []byte) ([]policy.Block, error) {
	var blocks []policy.Block
	for line := range strings.Lines(string(segment)) {
		prefix, site, ok := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		if !ok {
			return nil, &FormatError{Record: "block segment", Reason: "line without a tab"}
		}
		blocks = append(blocks, policy.Block{Prefix: prefix, Site: site})
	}
	return blocks, nil
}

// assemble returns the document of the segments. Blocks are in the order of
// prefixes.
func (c *segmentedDocument) assemble(version uint64) ([]byte, error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(c.segments[0], &members); err != nil {
		return nil, &FormatError{Record: "core segment", Reason: err.Error()}
	}
	blocks := []policy.Block{}
	for _, segment := range c.segments[1:] {
		list, err := decodeBlocks(segment)
		if err != nil {
			return nil, err
		}
		blocks = append(blocks, list...)
	}
	slices.SortFunc(blocks, func(a, b policy.Block) int { return strings.Compare(a.Prefix, b.Prefix) })
	encoded, err := json.Marshal(blocks)
	if err != nil {
		return nil, err
	}
	if members == nil {
		return nil, &FormatError{Record: "core segment", Reason: "is not an object"}
	}
	members["blocks"] = encoded
	members["version"] = json.RawMessage(fmt.Sprint(version))
	return json.Marshal(members)
}
