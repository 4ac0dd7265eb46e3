package once

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// MaxKeyBytes bounds the length of a key.
	MaxKeyBytes = 256

	numberBase = 36
	keyParts   = 4
)

// Issuer is one incarnation of an entry instance.
type Issuer struct {
	Instance    string
	Incarnation uint64
}

// Prefix is the part of a key that names its issuer and epoch.
type Prefix struct {
	Issuer
	Epoch uint64
}

// String returns "instance.incarnation.epoch" with numbers in base 36.
func (p Prefix) String() string {
	incarnation := strconv.FormatUint(p.Incarnation, numberBase)
	return p.Instance + "." + incarnation + "." + strconv.FormatUint(p.Epoch, numberBase)
}

// Key is an idempotency key.
type Key struct {
	Prefix
	Suffix string // Chosen by the caller; not empty.
}

// String returns "instance.incarnation.epoch.suffix".
func (k Key) String() string {
	return k.Prefix.String() + "." + k.Suffix
}

// KeyError reports a text that is not a key.
type KeyError struct {
	Text    string // At most MaxKeyBytes of the text.
	Problem string
}

// Error describes the problem.
func (e *KeyError) Error() string {
	return fmt.Sprintf("idempotency key %q: %s", e.Text, e.Problem)
}

// ParseKey reads a key. The error is a *KeyError. Only the form that String
// writes is accepted, so that two texts never name the same key.
func ParseKey(text string) (Key, error) {
	if len(text) > MaxKeyBytes {
		return Key{}, &KeyError{Text: text[:MaxKeyBytes], Problem: "longer than 256 bytes"}
	}
	if !isVisibleASCII(text) {
		return Key{}, &KeyError{Text: text, Problem: "holds a byte outside of visible ASCII"}
	}
	parts := strings.SplitN(text, ".", keyParts)
	if len(parts) != keyParts || parts[0] == "" || parts[keyParts-1] == "" {
		return Key{}, &KeyError{Text: text, Problem: "not of the form instance.incarnation.epoch.suffix"}
	}
	incarnation, err := strconv.ParseUint(parts[1], numberBase, 64)
	if err != nil {
		return Key{}, &KeyError{Text: text, Problem: "incarnation is not a number in base 36"}
	}
	epoch, err := strconv.ParseUint(parts[2], numberBase, 64)
	if err != nil {
		return Key{}, &KeyError{Text: text, Problem: "epoch is not a number in base 36"}
	}
	issuer := Issuer{Instance: parts[0], Incarnation: incarnation}
	key := Key{Prefix: Prefix{Issuer: issuer, Epoch: epoch}, Suffix: parts[3]}
	if key.String() != text {
		return Key{}, &KeyError{Text: text, Problem: "numbers are not in canonical form"}
	}
	return key, nil
}

func isVisibleASCII(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}
