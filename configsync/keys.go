package configsync

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"os"
	"strings"
)

// ParseKeys reads Ed25519 public keys in base64.
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

// LoadPrivateKey reads an operator's private key from a file that holds the
// seed of an Ed25519 key in base64.
func LoadPrivateKey(file string) (ed25519.PrivateKey, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read operator key: %w", err)
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(src)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, &FormatError{Record: "operator key", Reason: file + " does not hold a private key in base64"}
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// PublicKey returns the public key of a private key.
func PublicKey(key ed25519.PrivateKey) ed25519.PublicKey {
	return key.Public().(ed25519.PublicKey)
}
