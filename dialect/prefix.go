package dialect

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixKey identifies the beginning of a prompt in an engine's cache. Model,
// adapter and salt are part of it, so that teams share nothing.
type PrefixKey uint64

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Key     PrefixKey `json:"key"`
	Evicted bool      `json:"evicted,omitempty"`
}

// CacheEvents are changes of an engine's prefix cache. An engine keeps only the
// newest, so that First may be above the number that was asked for.
type CacheEvents struct {
	// First is the number of the first event that is returned.
	First  uint64       `json:"first"`
	Events []CacheEvent `json:"events"`
}

// PrefixKeys returns the keys of all beginnings of the prompt that end with a
// message, the shortest first.
func PrefixKeys(g GenerateRequest) []PrefixKey {
	d := xxhash.New()
	write := func(s string) {
		var n [binary.MaxVarintLen64]byte
		// A hash takes every write.
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
