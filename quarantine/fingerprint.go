package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// MaxFingerprintBodyBytes is the number of bytes at the start of a body that a
// fingerprint covers.
const MaxFingerprintBodyBytes = 64 << 10

// Fingerprint identifies identical requests. It consists of the first 128 bits of
// a SHA-256 hash. A guard keeps at most 36,864 fingerprints besides those in
// flight, so the probability that a different request matches one of them is
// below 2^-112.
type Fingerprint [16]byte

// Request holds the parts of a request that its fingerprint covers.
type Request struct {
	Destination string // Service or host, as the caller names it.
	Method      string
	URI         string // Path and query.
	Body        []byte // Bytes after the first MaxFingerprintBodyBytes are ignored.
	BodyLength  int64  // Length of the whole body; -1 when unknown.
}

// Fingerprint returns the fingerprint of the request. Requests with bodies of the
// same length that differ only after the first 64 KB have the same fingerprint.
func (request Request) Fingerprint() Fingerprint {
	hash := sha256.New()
	var number [8]byte
	writeField := func(b []byte) {
		binary.BigEndian.PutUint64(number[:], uint64(len(b)))
		hash.Write(number[:])
		hash.Write(b)
	}
	writeField([]byte(request.Destination))
	writeField([]byte(request.Method))
	writeField([]byte(request.URI))
	binary.BigEndian.PutUint64(number[:], uint64(request.BodyLength))
	hash.Write(number[:])
	writeField(request.Body[:min(len(request.Body), MaxFingerprintBodyBytes)])
	var fingerprint Fingerprint
	copy(fingerprint[:], hash.Sum(nil))
	return fingerprint
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
