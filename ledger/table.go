package ledger

import (
	"encoding/json"
	"fmt"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/shard"
)

// Entry is a thing of the state with the record that last changed it.
type Entry[V any] struct {
	Value    V              `json:"value"`
	Revision fleet.Revision `json:"revision"`
	Proposer string         `json:"proposer"`
}

// Table holds the things of one kind by id. Only the fold writes to it; many
// goroutines may read.
type Table[K ~string, V any] struct {
	tableName string
	entries   *shard.Map[K, Entry[V]]
	// sum is the fingerprint. Only the fold uses it.
	sum Fingerprint
}

func newTable[K ~string, V any](what string) *Table[K, V] {
	return &Table[K, V]{tableName: what, entries: shard.New[K, Entry[V]]()}
}

// Get returns the entry of k.
func (t *Table[K, V]) Get(k K) (Entry[V], bool) {
	return t.entries.Get(k)
}

// Keys returns all ids in ascending order.
func (t *Table[K, V]) Keys() []K {
	return t.entries.Keys()
}

// Entries returns all entries in the order of their ids.
func (t *Table[K, V]) Entries() []Entry[V] {
	keys := t.entries.Keys()
	out := make([]Entry[V], 0, len(keys))
	for _, k := range keys {
		if e, ok := t.entries.Get(k); ok {
			out = append(out, e)
		}
	}
	return out
}

// put replaces the entry of k if base is its revision.
func (t *Table[K, V]) put(offset fleet.Offset, r Record, k K, v V) Verdict {
	old, _ := t.entries.Get(k)
	if old.Revision != r.Base {
		return t.conflict(offset, r, k, old)
	}
	if fleet.Revision(offset) <= old.Revision {
		panic(fmt.Sprintf("%s %v at revision %d would go back to %d", t.tableName, k, old.Revision, offset))
	}
	e := Entry[V]{Value: v, Revision: fleet.Revision(offset), Proposer: r.Proposer}
	t.set(k, e)
	return Verdict{Offset: offset, Revision: e.Revision}
}

// set puts an entry whatever stands there.
func (t *Table[K, V]) set(k K, e Entry[V]) {
	old, _ := t.entries.Get(k)
	t.sum ^= t.entryHash(k, old.Revision) ^ t.entryHash(k, e.Revision)
	t.entries.Put(k, e)
}

// remove deletes the entry of k.
func (t *Table[K, V]) remove(k K) {
	old, _ := t.entries.Get(k)
	t.sum ^= t.entryHash(k, old.Revision)
	t.entries.Delete(k)
}

func (t *Table[K, V]) conflict(offset fleet.Offset, r Record, k K, old Entry[V]) Verdict {
	v := Verdict{
		Offset:   offset,
		Fault:    fault.Conflict,
		Message:  fmt.Sprintf("%s %v stands at revision %d, but the change was based on %d", t.tableName, k, old.Revision, r.Base),
		Revision: old.Revision,
	}
	if old.Revision != 0 {
		// A value that came out of JSON can be encoded again.
		v.Current, _ = json.Marshal(old.Value)
	}
	return v
}
