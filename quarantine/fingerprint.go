package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"toucanfall/fleet"
)

// fingerprintPrefix begins fingerprints. No ID of a part of a prompt begins with it, as these are hexadecimal.
const fingerprintPrefix = "r-"

// fingerprintBytes is how many bytes of the hash a fingerprint has: enough that no caller finds another request
// with the fingerprint of a given one.
const fingerprintBytes = 16

// Fingerprint returns the ID that stands for a request as a whole in an account. Requests of a team with the same
// method, host, path and body have the same one. Those of other teams have others, so that no team can have
// another's requests quarantined.
func Fingerprint(team fleet.TeamID, method, host, path string, body []byte) fleet.PartID {
	var head []byte
	for _, field := range []string{string(team), method, strings.ToLower(host), path} {
		head = binary.BigEndian.AppendUint64(head, uint64(len(field)))
		head = append(head, field...)
	}
	h := sha256.New()
	_, _ = h.Write(head) // A hash returns no errors.
	_, _ = h.Write(body)
	return fleet.PartID(fingerprintPrefix + hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// IsFingerprint reports whether an ID stands for a request as a whole.
func IsFingerprint(id fleet.PartID) bool {
	digits, ok := strings.CutPrefix(string(id), fingerprintPrefix)
	return ok && len(digits) == hex.EncodedLen(fingerprintBytes) && strings.Trim(digits, "0123456789abcdef") == ""
}

// Origin is where a request comes from, for operators: its fingerprint alone tells nothing.
type Origin struct {
	Team  fleet.TeamID  `json:"team,omitempty"`
	Route fleet.RouteID `json:"route"`
}
