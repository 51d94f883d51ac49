package ledger

import (
	"encoding/json"
	"fmt"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/shard"
)

// Entry is a value in a table, with the offset of the record that last changed it
// (its revision) and the proposer of that record.
type Entry[V any] struct {
	Value    V              `json:"value"`
	Revision fleet.Revision `json:"revision"`
	Proposer string         `json:"proposer"`
}

// Table contains the entries of one kind, by ID. Only the goroutine that applies
// records writes to it; any number of goroutines may read.
type Table[K ~string, V any] struct {
	tableName string
	entries   *shard.Map[K, Entry[V]]
	// sum is the fingerprint of the table. Only the goroutine that applies records
	// may use it.
	sum Fingerprint
}

func newTable[K ~string, V any](name string) *Table[K, V] {
	return &Table[K, V]{tableName: name, entries: shard.New[K, Entry[V]]()}
}

// Get returns the entry of k.
func (t *Table[K, V]) Get(k K) (Entry[V], bool) {
	return t.entries.Get(k)
}

// Keys returns all IDs in ascending order.
func (t *Table[K, V]) Keys() []K {
	return t.entries.Keys()
}

// Entries returns all entries, sorted by ID.
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

// put replaces the entry of k if r.Base is its revision, or adds it if r.Base is 0
// and there is none. Otherwise it returns a conflict.
func (t *Table[K, V]) put(offset fleet.Offset, r Record, k K, v V) Verdict {
	old, _ := t.entries.Get(k)
	if old.Revision != r.Base {
		return t.conflict(offset, r, k, old)
	}
	if fleet.Revision(offset) <= old.Revision {
		panic(fmt.Sprintf("%s %v: revision would decrease from %d to %d", t.tableName, k, old.Revision, offset))
	}
	e := Entry[V]{Value: v, Revision: fleet.Revision(offset), Proposer: r.Proposer}
	t.set(k, e)
	return Verdict{Offset: offset, Revision: e.Revision}
}

// set replaces the entry of k unconditionally.
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
		// A value that was decoded from JSON can be encoded again.
		v.Current, _ = json.Marshal(old.Value)
	}
	return v
}
