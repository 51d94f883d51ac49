package standin

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"toucanfall/dialect"
)

// Bounds of the stand-in's prefix cache.
const (
	maxPrefixes    = 256
	maxCacheEvents = 64
)

// prefixCache keeps the newest prefixes and the newest events about them.
type prefixCache struct {
	mu     sync.Mutex
	keys   []dialect.PrefixKey
	events []dialect.CacheEvent
	// first is the number of the oldest event that is kept.
	first uint64
}

// touch makes keys the newest ones.
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

func (p *prefixCache) appendEvent(ev dialect.CacheEvent) {
	p.events = append(p.events, ev)
	if len(p.events) > maxCacheEvents {
		p.events = p.events[1:]
		p.first++
	}
}

// since returns the events from a number on, as far as they are kept.
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
