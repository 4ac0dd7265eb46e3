package configsync

import (
	"crypto/ed25519"
	"encoding/binary"
	"fmt"
)

const (
	headFormat    = 1
	signedPurpose = "jacinthstall configuration head 1\n"
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
	text := append([]byte(signedPurpose), make([]byte, 8)...)
	binary.BigEndian.PutUint64(text[len(signedPurpose):], version)
	return append(text, manifest[:]...)
}

// sign signs the version and the manifest hash.
func (h *Head) sign(key ed25519.PrivateKey) {
	copy(h.signature[:], ed25519.Sign(key, signedText(h.Version, h.Manifest)))
}

// Verify returns a *SignatureError unless one of the keys signed the version
// and the manifest hash.
func (h *Head) Verify(keys []ed25519.PublicKey) error {
	text := signedText(h.Version, h.Manifest)
	for _, key := range keys {
		if ed25519.Verify(key, text, h.signature[:]) {
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
		out = d.append(out)
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
	r := reader{record: "head", data: data}
	if r.byte() != headFormat {
		r.fail("unknown format")
	}
	h := &Head{Version: r.uvarint(), Manifest: r.hash()}
	copy(h.signature[:], r.take(ed25519.SignatureSize))
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
