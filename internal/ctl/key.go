package ctl

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
)

const (
	pemType            = "PRIVATE KEY"
	keyFileMode        = 0o600
	groupAndOthersMode = 0o077
	maxKeyBytes        = 16 << 10
)

// Signature is an operator's signature of the digest of a final document, see
// configsync.Digest.
type Signature struct {
	Key   ed25519.PublicKey // The operator's key.
	Value []byte
}

// Sign returns the Ed25519 signature of a digest.
func Sign(key ed25519.PrivateKey, digest [sha256.Size]byte) []byte {
	return ed25519.Sign(key, digest[:])
}

// Verify returns the key that made the signature of a digest; false when none
// of the keys did.
func Verify(keys []ed25519.PublicKey, digest [sha256.Size]byte, signature []byte) (ed25519.PublicKey, bool) {
	for _, key := range keys {
		if ed25519.Verify(key, digest[:], signature) {
			return key, true
		}
	}
	return nil, false
}

// LoadKey reads an Ed25519 private key from a PEM file in PKCS #8 form, which
// only its owner may read. It fails with *NoKeyError.
func LoadKey(file string) (ed25519.PrivateKey, error) {
	if file == "" {
		return nil, &NoKeyError{Reason: "name the private key file with --key"}
	}
	info, err := os.Stat(file)
	if err != nil {
		return nil, &NoKeyError{Reason: err.Error()}
	}
	if info.Mode().Perm()&groupAndOthersMode != 0 {
		return nil, &NoKeyError{Reason: fmt.Sprintf("%s may be read by others; use chmod 600", file)}
	}
	if info.Size() > maxKeyBytes {
		return nil, &NoKeyError{Reason: fmt.Sprintf("%s is too large for a key", file)}
	}
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, &NoKeyError{Reason: err.Error()}
	}
	key, err := parseKey(src)
	if err != nil {
		return nil, &NoKeyError{Reason: fmt.Sprintf("%s: %v", file, err)}
	}
	return key, nil
}

func parseKey(src []byte) (ed25519.PrivateKey, error) {
	block, _ := pem.Decode(src)
	if block == nil || block.Type != pemType {
		return nil, errors.New("not a PEM file with a private key")
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, err
	}
	private, ok := key.(ed25519.PrivateKey)
	if !ok {
		return nil, errors.New("not an Ed25519 key")
	}
	return private, nil
}

// CreateKey writes a new private key to a file that must not exist, and
// returns the public key.
func CreateKey(file string) (ed25519.PublicKey, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("create key: %w", err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, fmt.Errorf("create key: %w", err)
	}
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return nil, fmt.Errorf("create key: %w", err)
	}
	defer f.Close()
	if err := pem.Encode(f, &pem.Block{Type: pemType, Bytes: der}); err != nil {
		return nil, fmt.Errorf("create key: %w", err)
	}
	return public, f.Sync()
}
