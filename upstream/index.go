package upstream

import (
	"cmp"
	"slices"
	"sync"

	"toucanfall/internal/shard"
)

// index finds the upstreams that serve a key. The lists are replaced and never
// changed, so that readers need no lock while they look through one.
type index[K cmp.Ordered] struct {
	lists *shard.Map[K, []*node]
	// mu is held by writers only.
	mu sync.Mutex
}

func newIndex[K cmp.Ordered]() *index[K] {
	return &index[K]{lists: shard.New[K, []*node]()}
}

func (x *index[K]) get(k K) []*node {
	list, _ := x.lists.Get(k)
	return list
}

func (x *index[K]) add(k K, n *node) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lists.Put(k, append(slices.Clone(x.get(k)), n))
}

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
