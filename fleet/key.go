package fleet

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strings"
)

// secretSize is the entropy of a secret in bytes.
const secretSize = 32

// secretPrefix marks secrets of this system, so that scanners find leaked ones.
const secretPrefix = "tf_"

// Secret is a credential as its owner shows it. It is never stored or logged.
type Secret string

// NewSecret returns a fresh random secret.
func NewSecret() Secret {
	var b [secretSize]byte
	// crypto/rand.Read never returns an error; it ends the program instead.
	_, _ = rand.Read(b[:])
	return Secret(secretPrefix + base64.RawURLEncoding.EncodeToString(b[:]))
}

// String hides the secret from logs and error messages.
func (s Secret) String() string {
	return "secret(hidden)"
}

// GoString hides the secret from the %#v verb, which does not use String.
func (s Secret) GoString() string {
	return s.String()
}

// Hash returns the hash under which the secret is stored. A plain SHA-256 is
// enough because secrets are random and too long to guess.
func (s Secret) Hash() KeyHash {
	return sha256.Sum256([]byte(s))
}

// ParseBearer returns the secret of an Authorization header.
func ParseBearer(header string) (Secret, bool) {
	scheme, value, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	value = strings.TrimSpace(value)
	return Secret(value), value != ""
}

// KeyHash is the SHA-256 of a secret.
type KeyHash [sha256.Size]byte

// Equal compares two hashes in constant time.
func (h KeyHash) Equal(other KeyHash) bool {
	return subtle.ConstantTimeCompare(h[:], other[:]) == 1
}

// MarshalText encodes the hash in hexadecimal.
func (h KeyHash) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(h[:])), nil
}

// UnmarshalText decodes 64 hexadecimal digits.
func (h *KeyHash) UnmarshalText(b []byte) error {
	if hex.DecodedLen(len(b)) != len(h) {
		return fmt.Errorf("key hash has %d hexadecimal digits, want %d", len(b), hex.EncodedLen(len(h)))
	}
	_, err := hex.Decode(h[:], b)
	return err
}
