package standin

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"toucanfall/dialect"
)

// Limits of the stand-in's prefix cache.
const (
	maxPrefixes    = 256
	maxCacheEvents = 64
)

// prefixCache is an LRU cache of prompt prefixes. It keeps its newest events.
type prefixCache struct {
	mu     sync.Mutex // guards the fields below
	keys   []dialect.PrefixKey
	events []dialect.CacheEvent
	// first is the number of the oldest event that is kept.
	first uint64
}

// touch marks keys as most recently used and evicts the oldest above
// maxPrefixes.
func (p *prefixCache) touch(keys []dialect.PrefixKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range keys {
		if i := slices.Index(p.keys, k); i >= 0 {
			p.keys = slices.Delete(p.keys, i, i+1)
		} else {
			p.appendEvent(dialect.CacheEvent{Key: k})
		}
		p.keys = append(p.keys, k)
	}
	for len(p.keys) > maxPrefixes {
		p.appendEvent(dialect.CacheEvent{Key: p.keys[0], Evicted: true})
		p.keys = p.keys[1:]
	}
}

// appendEvent appends an event and drops the oldest above maxCacheEvents. p.mu
// must be held.
func (p *prefixCache) appendEvent(ev dialect.CacheEvent) {
	p.events = append(p.events, ev)
	if len(p.events) > maxCacheEvents {
		p.events = p.events[1:]
		p.first++
	}
}

// since returns the events numbered from and up. If from is below the oldest
// event that is kept or beyond the next one, it returns all that are kept.
func (p *prefixCache) since(from uint64) dialect.CacheEvents {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.first + uint64(len(p.events))
	if from < p.first || from > next {
		from = p.first
	}
	return dialect.CacheEvents{First: from, Events: slices.Clone(p.events[from-p.first:])}
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("from: %v", err), http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, e.prefixes.since(from))
}
