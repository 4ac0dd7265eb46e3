package configsync

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
)

// ParseKeys decodes base64-encoded Ed25519 public keys.
func ParseKeys(encoded []string) ([]ed25519.PublicKey, error) {
	var keys []ed25519.PublicKey
	for _, text := range encoded {
		key, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(key) != ed25519.PublicKeySize {
			return nil, &FormatError{Record: "operator key", Reason: fmt.Sprintf("%q is not a public key in base64", text)}
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// SignWith returns a function that signs digests with a private key.
func SignWith(key ed25519.PrivateKey) func(digest [sha256.Size]byte) ([]byte, error) {
	return func(digest [sha256.Size]byte) ([]byte, error) { return ed25519.Sign(key, digest[:]), nil }
}

// PublicKey returns the public key that belongs to a private key.
func PublicKey(key ed25519.PrivateKey) ed25519.PublicKey {
	return key.Public().(ed25519.PublicKey)
}
