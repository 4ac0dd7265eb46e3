package configsync

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
)

const (
	headFormat       = 1
	signedTextPrefix = "jacinthstall configuration head 1\n"
)

// Head is the head record: it names a version and its manifest, and is signed
// by an operator.
type Head struct {
	Version   uint64
	Manifest  Hash
	signature [ed25519.SignatureSize]byte
	deltas    []delta // Consecutive, the last one leads to Version. Not signed.
}

func signedText(version uint64, manifest Hash) []byte {
	text := append([]byte(signedTextPrefix), make([]byte, 8)...)
	binary.BigEndian.PutUint64(text[len(signedTextPrefix):], version)
	return append(text, manifest[:]...)
}

var errNoVersion = errors.New("the field version is not set")

// Digest returns the digest that an operator signs to publish a final
// document: one whose field version is the version that it is published as.
// The digest is the SHA-256 hash of the version and the manifest hash. Space
// between values, the order of blocks and that of top-level fields do not
// change it. The error is an *InvalidError.
func Digest(doc []byte) ([sha256.Size]byte, error) {
	var final struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(doc, &final); err != nil {
		return [sha256.Size]byte{}, &InvalidDocumentError{Cause: err}
	}
	if final.Version == 0 {
		return [sha256.Size]byte{}, &InvalidDocumentError{Cause: errNoVersion}
	}
	c, err := splitDocument(doc)
	if err != nil {
		return [sha256.Size]byte{}, &InvalidDocumentError{Cause: err}
	}
	head := &Head{Version: final.Version, Manifest: hashOf(c.manifest())}
	return head.digest(), nil
}

// digest returns what the operator signs.
func (h *Head) digest() [sha256.Size]byte { return sha256.Sum256(signedText(h.Version, h.Manifest)) }

// sign sets the signature that a function makes of the digest. It returns a
// *SigningError when there is none.
func (h *Head) sign(sign func(digest [sha256.Size]byte) ([]byte, error)) error {
	signature, err := sign(h.digest())
	if err != nil {
		return &SigningError{Version: h.Version, Cause: err}
	}
	if len(signature) != ed25519.SignatureSize {
		return &SigningError{Version: h.Version, Cause: errSignatureSize}
	}
	copy(h.signature[:], signature)
	return nil
}

// Verify returns a *SignatureError unless one of the keys signed the digest of
// the version and the manifest hash.
func (h *Head) Verify(keys []ed25519.PublicKey) error {
	digest := h.digest()
	for _, key := range keys {
		if ed25519.Verify(key, digest[:], h.signature[:]) {
			return nil
		}
	}
	return &SignatureError{Version: h.Version}
}

// Encode returns the record with all its deltas.
func (h *Head) Encode() []byte { return h.encode(h.deltas) }

// EncodeSince returns the record with the deltas after a version. Without a
// complete sequence of deltas from there it carries none.
func (h *Head) EncodeSince(version uint64) []byte { return h.encode(h.deltasSince(version)) }

func (h *Head) encode(deltas []delta) []byte {
	out := binary.AppendUvarint([]byte{headFormat}, h.Version)
	out = append(out, h.Manifest[:]...)
	out = append(out, h.signature[:]...)
	out = binary.AppendUvarint(out, uint64(len(deltas)))
	for _, d := range deltas {
		out = d.appendTo(out)
	}
	return out
}

// deltasSince returns the deltas after a version, or nil when the sequence is
// not complete.
func (h *Head) deltasSince(version uint64) []delta {
	if version >= h.Version || h.Version-version > uint64(len(h.deltas)) {
		return nil
	}
	return h.deltas[uint64(len(h.deltas))-(h.Version-version):]
}

// DecodeHead reads a record. It returns a *FormatError when the record is not
// valid; it does not verify the signature.
func DecodeHead(data []byte) (*Head, error) {
	r := recordReader{record: "head", data: data}
	if r.byte() != headFormat {
		r.fail("unknown format")
	}
	h := &Head{Version: r.uvarint(), Manifest: r.hash()}
	copy(h.signature[:], r.next(ed25519.SignatureSize))
	count := r.uvarint()
	if count > MaxDeltas || count > h.Version {
		r.fail("too many deltas")
	}
	for i := uint64(0); i < count && r.err == nil; i++ {
		d := readDelta(&r)
		if r.err == nil && d.version != h.Version-count+1+i {
			r.fail(fmt.Sprintf("delta of version %d out of order", d.version))
		}
		h.deltas = append(h.deltas, d)
	}
	if len(r.data) > 0 {
		r.fail("bytes after the end")
	}
	if r.err != nil {
		return nil, r.err
	}
	return h, nil
}
