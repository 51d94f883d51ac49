package upstream

import "toucanfall/dialect"

// maxCacheKeys bounds the keys recorded of one engine's prefix cache.
const maxCacheKeys = 4096

// prefixCache is an estimate of the contents of an engine's prefix cache. It is
// built from the engine's events, which arrive late and with gaps, and from the
// prefixes of requests that this VM sends. It only affects the choice of an
// upstream and may be wrong. It is guarded by the mu of its node.
type prefixCache struct {
	keys map[dialect.PrefixKey]struct{}
	// nextSeq is the number of the next event to request.
	nextSeq uint64
}

// next returns the number of the next event to request.
func (c *prefixCache) next() uint64 {
	return c.nextSeq
}

// apply applies the events that were requested from number from on. If they start
// at another number, after a gap or a restart of the engine, all recorded keys
// may be wrong and are dropped.
func (c *prefixCache) apply(from uint64, e dialect.CacheEvents) {
	if e.First != from {
		c.keys = nil
	}
	for _, ev := range e.Events {
		if ev.Evicted {
			delete(c.keys, ev.Key)
			continue
		}
		c.put(ev.Key)
	}
	c.nextSeq = e.First + uint64(len(e.Events))
}

// put adds a key. If the cache is full, it drops arbitrary other keys.
func (c *prefixCache) put(k dialect.PrefixKey) {
	if c.keys == nil {
		c.keys = make(map[dialect.PrefixKey]struct{})
	}
	for old := range c.keys {
		if len(c.keys) < maxCacheKeys {
			break
		}
		delete(c.keys, old)
	}
	c.keys[k] = struct{}{}
}

// addExpected adds the prefix keys of a request that is about to be sent.
func (c *prefixCache) addExpected(keys []dialect.PrefixKey) {
	for _, k := range keys {
		c.put(k)
	}
}

// cachedFraction returns the length of the longest cached prefix as a fraction of
// the prompt's messages, in [0, 1]. keys holds one key per message, the shortest
// prefix first.
func (c *prefixCache) cachedFraction(keys []dialect.PrefixKey) float64 {
	if len(keys) == 0 {
		return 0
	}
	for i := len(keys); i > 0; i-- {
		if _, ok := c.keys[keys[i-1]]; ok {
			return float64(i) / float64(len(keys))
		}
	}
	return 0
}
