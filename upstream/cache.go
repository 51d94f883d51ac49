package upstream

import "toucanfall/dialect"

// maxCacheKeys bounds what is remembered of one engine's prefix cache.
const maxCacheKeys = 4096

// cache is what is known of an engine's prefix cache: what its events say,
// which come late and with gaps, and what own requests are about to put there.
// It only guides choices, so that it may be wrong. The lock of its node guards
// it.
type prefixCache struct {
	keys    map[dialect.PrefixKey]struct{}
	nextSeq uint64
}

// next returns the number of the next event.
func (c *prefixCache) next() uint64 {
	return c.nextSeq
}

// apply takes the events that were asked for from a number on. After a gap, or
// a restart of the engine, all that was known may be wrong and is dropped.
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

// put adds a key and makes room by dropping any other.
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

// expect adds the keys of a request that is about to be sent.
func (c *prefixCache) addExpected(keys []dialect.PrefixKey) {
	for _, k := range keys {
		c.put(k)
	}
}

// share returns which part of the prompt's messages stands in the cache.
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
