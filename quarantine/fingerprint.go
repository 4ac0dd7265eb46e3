package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// MaxFingerprintBodyBytes is the length in bytes of the part of a body that a
// fingerprint covers.
const MaxFingerprintBodyBytes = 64 << 10

// Fingerprint identifies identical requests: the first 128 bits of a SHA-256.
// A guard knows at most 36,864 fingerprints besides those in flight, so another
// request matches one of them by chance with a probability under 2^-112.
type Fingerprint [16]byte

// Request is what a fingerprint covers.
type Request struct {
	Service    string
	Method     string
	URI        string // Path and query.
	Body       []byte // Bytes after the first FingerprintBody ones are ignored.
	BodyLength int64  // Length of the whole body; -1 when unknown.
}

// Fingerprint returns the fingerprint of the request. Requests that differ
// only after the first 64 KB of bodies of the same length have the same one.
func (r Request) Fingerprint() Fingerprint {
	h := sha256.New()
	var number [8]byte
	field := func(b []byte) {
		binary.BigEndian.PutUint64(number[:], uint64(len(b)))
		h.Write(number[:])
		h.Write(b)
	}
	field([]byte(r.Service))
	field([]byte(r.Method))
	field([]byte(r.URI))
	binary.BigEndian.PutUint64(number[:], uint64(r.BodyLength))
	h.Write(number[:])
	field(r.Body[:min(len(r.Body), MaxFingerprintBodyBytes)])
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
