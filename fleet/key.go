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

// secretSize is the number of random bytes in a secret.
const secretSize = 32

// secretPrefix marks secrets of this system, so that secret scanners can find leaked
// ones.
const secretPrefix = "tf_"

// Secret is a credential in plain text, as its owner sends it. It is never stored or
// logged.
type Secret string

// NewSecret returns a new random secret.
func NewSecret() Secret {
	var b [secretSize]byte
	// crypto/rand.Read never returns an error; it ends the program instead.
	_, _ = rand.Read(b[:])
	return Secret(secretPrefix + base64.RawURLEncoding.EncodeToString(b[:]))
}

// String returns a fixed text, so that logs and error messages do not contain the
// secret.
func (s Secret) String() string {
	return "secret(hidden)"
}

// GoString returns the same text as String, which the %#v verb does not use.
func (s Secret) GoString() string {
	return s.String()
}

// Hash returns the hash that is stored in place of the secret. SHA-256 without salt
// or key stretching suffices because secrets are random and too long to guess.
func (s Secret) Hash() KeyHash {
	return sha256.Sum256([]byte(s))
}

// ParseBearer returns the secret in an Authorization header, and false if the header
// holds no bearer token.
func ParseBearer(header string) (Secret, bool) {
	scheme, value, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	value = strings.TrimSpace(value)
	return Secret(value), value != ""
}

// KeyHash is the SHA-256 hash of a secret.
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
