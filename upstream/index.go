package upstream

import (
	"cmp"
	"slices"
	"sync"

	"toucanfall/internal/shard"
)

// index maps a key, a model or a service, to the upstreams that serve it. Its
// lists are replaced and never modified, so that readers need no lock.
type index[K cmp.Ordered] struct {
	lists *shard.Map[K, []*node]
	// mu serializes writers; readers do not take it.
	mu sync.Mutex
}

// newIndex returns an empty index.
func newIndex[K cmp.Ordered]() *index[K] {
	return &index[K]{lists: shard.New[K, []*node]()}
}

// get returns the upstreams that serve a key. The caller must not modify them.
func (x *index[K]) get(k K) []*node {
	list, _ := x.lists.Get(k)
	return list
}

// add adds an upstream to the list of a key.
func (x *index[K]) add(k K, n *node) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lists.Put(k, append(slices.Clone(x.get(k)), n))
}

// remove removes an upstream from the list of a key.
func (x *index[K]) remove(k K, n *node) {
	x.mu.Lock()
	defer x.mu.Unlock()
	left := slices.DeleteFunc(slices.Clone(x.get(k)), func(o *node) bool { return o == n })
	if len(left) == 0 {
		x.lists.Delete(k)
		return
	}
	x.lists.Put(k, left)
}
