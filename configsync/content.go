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

// Buckets is the number of block segments of a document. A client block is
// assigned to a bucket by the hash of its prefix.
const Buckets = 1024

// HashBytes is the size of a Hash in bytes.
const HashBytes = sha256.Size

// Hash is the SHA-256 hash of a segment, manifest or patch. The zero hash
// stands for an empty block segment.
type Hash [HashBytes]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// parseHash decodes a hash in hexadecimal.
func parseHash(text string) (Hash, bool) {
	var h Hash
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != HashBytes {
		return h, false
	}
	copy(h[:], decoded)
	return h, true
}

// hashOf returns the hash of data, or the zero hash when it is empty.
func hashOf(data []byte) Hash {
	if len(data) == 0 {
		return Hash{}
	}
	return sha256.Sum256(data)
}

// BucketOf returns the bucket of a client block's prefix, 0 to Buckets-1.
func BucketOf(prefix string) int {
	return int(xxhash.Sum64String(prefix) % Buckets)
}

// segmentedDocument is a policy document split into segments: the core at index
// 0, then the buckets. Segments are immutable and shared between copies.
type segmentedDocument struct {
	segments [1 + Buckets][]byte
	hashes   [1 + Buckets]Hash
}

func (document *segmentedDocument) setSegment(index int, segment []byte) {
	document.segments[index] = segment
	document.hashes[index] = hashOf(segment)
}

// manifest returns the record that lists the hashes of all segments.
func (document *segmentedDocument) manifest() []byte {
	out := make([]byte, 0, len(document.hashes)*HashBytes)
	for _, hash := range document.hashes {
		out = append(out, hash[:]...)
	}
	return out
}

// parseManifest decodes a manifest into the hashes of the segments.
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

// splitDocument splits a document into segments. The core contains all
// top-level fields except version and blocks, sorted by name.
func splitDocument(doc []byte) (*segmentedDocument, error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(doc, &members); err != nil {
		return nil, err
	}
	var blocks []policy.Block
	decoder := json.NewDecoder(bytes.NewReader(members["blocks"]))
	decoder.DisallowUnknownFields()
	if len(members["blocks"]) > 0 {
		if err := decoder.Decode(&blocks); err != nil {
			return nil, err
		}
	}
	delete(members, "blocks")
	delete(members, "version")
	core, err := json.Marshal(members)
	if err != nil {
		return nil, err
	}
	document := &segmentedDocument{}
	document.setSegment(0, core)
	return document, document.setBlockSegments(blocks)
}

func (document *segmentedDocument) setBlockSegments(blocks []policy.Block) error {
	buckets := map[int][]policy.Block{}
	for _, block := range blocks {
		if err := checkBlock(block); err != nil {
			return err
		}
		index := BucketOf(block.Prefix)
		buckets[index] = append(buckets[index], block)
	}
	for index, list := range buckets {
		segment, err := encodeBlocks(list)
		if err != nil {
			return err
		}
		document.setSegment(1+index, segment)
	}
	return nil
}

// checkBlock rejects blocks that encodeBlocks cannot represent.
func checkBlock(block policy.Block) error {
	if block.Prefix == "" || block.Site == "" || strings.ContainsAny(block.Prefix+block.Site, "\t\n") {
		return &FormatError{Record: "block", Reason: fmt.Sprintf("%q to %q: empty, or has a tab or line feed", block.Prefix, block.Site)}
	}
	return nil
}

// encodeBlocks encodes a block segment: one line per block, sorted by prefix,
// with prefix and site separated by a tab. It sorts blocks in place.
func encodeBlocks(blocks []policy.Block) ([]byte, error) {
	slices.SortFunc(blocks, func(a, block policy.Block) int { return strings.Compare(a.Prefix, block.Prefix) })
	var out bytes.Buffer
	for i, block := range blocks {
		if i > 0 && blocks[i-1].Prefix == block.Prefix {
			return nil, &FormatError{Record: "block", Reason: block.Prefix + " is listed twice"}
		}
		out.WriteString(block.Prefix + "\t" + block.Site + "\n")
	}
	return out.Bytes(), nil
}

// decodeBlocks decodes a block segment.
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

// assemble returns the document as JSON with its version set and the blocks
// sorted by prefix. It is the inverse of splitDocument.
func (document *segmentedDocument) assemble(version uint64) ([]byte, error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(document.segments[0], &members); err != nil {
		return nil, &FormatError{Record: "core segment", Reason: err.Error()}
	}
	blocks := []policy.Block{}
	for _, segment := range document.segments[1:] {
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
