// Package shard provides a concurrent map that is split into shards with a lock each.
package shard

import (
	"cmp"
	"hash/maphash"
	"slices"
	"sync"
)

// shardCount is a power of two, so that a mask selects the shard.
const shardCount = 32

// Map is a map that is safe for concurrent use. Use [New] to create one.
type Map[K cmp.Ordered, V any] struct {
	seed   maphash.Seed
	shards [shardCount]shard[K, V]
}

// shard is one part of a [Map]; mu guards m.
type shard[K cmp.Ordered, V any] struct {
	mu sync.RWMutex
	m  map[K]V
}

// New returns an empty map.
func New[K cmp.Ordered, V any]() *Map[K, V] {
	m := &Map[K, V]{seed: maphash.MakeSeed()}
	for i := range m.shards {
		m.shards[i].m = make(map[K]V)
	}
	return m
}

func (m *Map[K, V]) shardOf(k K) *shard[K, V] {
	return &m.shards[maphash.Comparable(m.seed, k)&(shardCount-1)]
}

// Get returns the value of k and reports whether k is present.
func (m *Map[K, V]) Get(k K) (V, bool) {
	p := m.shardOf(k)
	p.mu.RLock()
	defer p.mu.RUnlock()
	v, ok := p.m[k]
	return v, ok
}

// Put sets the value of k.
func (m *Map[K, V]) Put(k K, v V) {
	p := m.shardOf(k)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.m[k] = v
}

// GetOrPut returns the value of k. If k is absent, it first stores the result of create, which
// runs under the lock of the shard and must not use the map.
func (m *Map[K, V]) GetOrPut(k K, create func() V) V {
	p := m.shardOf(k)
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.m[k]
	if !ok {
		v = create()
		p.m[k] = v
	}
	return v
}

// Delete removes k.
func (m *Map[K, V]) Delete(k K) {
	p := m.shardOf(k)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.m, k)
}

// Len returns the number of keys. It locks one shard at a time, so the result is not a snapshot.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		p := &m.shards[i]
		p.mu.RLock()
		n += len(p.m)
		p.mu.RUnlock()
	}
	return n
}

// Keys returns all keys in ascending order. Like [Map.Len] it is not a snapshot.
func (m *Map[K, V]) Keys() []K {
	var keys []K
	for i := range m.shards {
		p := &m.shards[i]
		p.mu.RLock()
		for k := range p.m {
			keys = append(keys, k)
		}
		p.mu.RUnlock()
	}
	slices.Sort(keys)
	return keys
}
