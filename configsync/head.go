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
	headFormat = 1 // First byte of an encoded head record.
	// signedTextPrefix begins the signed text, so that a signature is valid for
	// head records only.
	signedTextPrefix = "jacinthstall configuration head 1\n"
)

// Head is the head record: it names the published version and the hash of its
// manifest, and is signed by an operator.
type Head struct {
	Version   uint64
	Manifest  Hash
	signature [ed25519.SignatureSize]byte
	deltas    []delta // Consecutive; the last one results in Version. Not signed.
}

// signedText returns the text whose SHA-256 hash is signed.
func signedText(version uint64, manifest Hash) []byte {
	text := append([]byte(signedTextPrefix), make([]byte, 8)...)
	binary.BigEndian.PutUint64(text[len(signedTextPrefix):], version)
	return append(text, manifest[:]...)
}

var errNoVersion = errors.New("the field version is not set")

// Digest returns the digest that an operator signs to publish a document. The
// field version of the document must be set to the version that it will be
// published as. The digest is the SHA-256 hash of a fixed prefix, the version
// and the manifest hash; it does not depend on white space, the order of blocks
// or the order of top-level fields. The error is an *InvalidDocumentError.
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
	document, err := splitDocument(doc)
	if err != nil {
		return [sha256.Size]byte{}, &InvalidDocumentError{Cause: err}
	}
	head := &Head{Version: final.Version, Manifest: hashOf(document.manifest())}
	return head.digest(), nil
}

// digest returns the digest that an operator signs.
func (head *Head) digest() [sha256.Size]byte {
	return sha256.Sum256(signedText(head.Version, head.Manifest))
}

// sign calls a function with the digest and stores the signature that it
// returns. It returns a *SigningError if the function fails or the signature
// has the wrong size.
func (head *Head) sign(sign func(digest [sha256.Size]byte) ([]byte, error)) error {
	signature, err := sign(head.digest())
	if err != nil {
		return &SigningError{Version: head.Version, Cause: err}
	}
	if len(signature) != ed25519.SignatureSize {
		return &SigningError{Version: head.Version, Cause: errSignatureSize}
	}
	copy(head.signature[:], signature)
	return nil
}

// Verify checks the signature over the version and the manifest hash. It
// returns a *SignatureError unless the signature is valid for one of the keys.
func (head *Head) Verify(keys []ed25519.PublicKey) error {
	digest := head.digest()
	for _, key := range keys {
		if ed25519.Verify(key, digest[:], head.signature[:]) {
			return nil
		}
	}
	return &SignatureError{Version: head.Version}
}

// Encode returns the record with all its deltas.
func (head *Head) Encode() []byte { return head.encode(head.deltas) }

// EncodeSince returns the record with the deltas that lead from a version to
// the version of the record. If some of them are missing, the encoding contains
// no deltas.
func (head *Head) EncodeSince(version uint64) []byte { return head.encode(head.deltasSince(version)) }

func (head *Head) encode(deltas []delta) []byte {
	out := binary.AppendUvarint([]byte{headFormat}, head.Version)
	out = append(out, head.Manifest[:]...)
	out = append(out, head.signature[:]...)
	out = binary.AppendUvarint(out, uint64(len(deltas)))
	for _, d := range deltas {
		out = d.appendTo(out)
	}
	return out
}

// deltasSince returns the deltas that lead from a version to the version of
// the record, or nil if some of them are missing.
func (head *Head) deltasSince(version uint64) []delta {
	if version >= head.Version || head.Version-version > uint64(len(head.deltas)) {
		return nil
	}
	return head.deltas[uint64(len(head.deltas))-(head.Version-version):]
}

// DecodeHead decodes a head record. It returns a *FormatError if the record is
// malformed. It does not verify the signature.
func DecodeHead(data []byte) (*Head, error) {
	reader := recordReader{record: "head", data: data}
	if reader.byte() != headFormat {
		reader.fail("unknown format")
	}
	head := &Head{Version: reader.uvarint(), Manifest: reader.hash()}
	copy(head.signature[:], reader.next(ed25519.SignatureSize))
	count := reader.uvarint()
	if count > MaxDeltas || count > head.Version {
		reader.fail("too many deltas")
	}
	for i := uint64(0); i < count && reader.err == nil; i++ {
		latest := readDelta(&reader)
		if reader.err == nil && latest.version != head.Version-count+1+i {
			reader.fail(fmt.Sprintf("delta of version %d out of order", latest.version))
		}
		head.deltas = append(head.deltas, latest)
	}
	if len(reader.data) > 0 {
		reader.fail("bytes after the end")
	}
	if reader.err != nil {
		return nil, reader.err
	}
	return head, nil
}
