package dialect

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixKey identifies a prompt prefix in an engine's cache. It also hashes the
// model, the adapter and the cache salt, so that teams share no cache entries.
type PrefixKey uint64

// CacheEvent is the addition or eviction of a prefix in an engine's cache.
type CacheEvent struct {
	Key     PrefixKey `json:"key"`
	Evicted bool      `json:"evicted,omitempty"`
}

// CacheEvents are consecutive changes of an engine's prefix cache. An engine
// keeps only the newest events, so First may be above the requested number.
type CacheEvents struct {
	// First is the number of the first event in Events.
	First  uint64       `json:"first"`
	Events []CacheEvent `json:"events"`
}

// PrefixKeys returns the keys of all prefixes of the prompt that end at a
// message boundary, the shortest first.
func PrefixKeys(g GenerateRequest) []PrefixKey {
	d := xxhash.New()
	write := func(s string) {
		var n [binary.MaxVarintLen64]byte
		// Writing to the hash never fails.
		_, _ = d.Write(n[:binary.PutUvarint(n[:], uint64(len(s)))])
		_, _ = d.WriteString(s)
	}
	write(string(g.Model))
	write(string(g.Adapter))
	write(g.CacheSalt)
	keys := make([]PrefixKey, 0, len(g.Messages))
	for _, m := range g.Messages {
		write(m.Role)
		write(m.Content)
		keys = append(keys, PrefixKey(d.Sum64()))
	}
	return keys
}
