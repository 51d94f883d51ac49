package ledger

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// stateTable is what snapshots and digests need of a [Table].
type stateTable interface {
	// name is unique among the tables of the state and never changes, because
	// snapshots in the log carry it.
	name() string
	// encode calls emit for every entry in the order of the keys.
	encode(emit func(row) error) error
	// decode reads the rows of a snapshot. Nothing changes until the returned
	// function is called, which replaces the content of the table.
	decode(rows []row) (install func(), err error)
}

// tables lists every table of the state. A table that is missing here is
// missing in snapshots. Withdrawals come before keys, so that a state which is
// being replaced never shows a withdrawn key without its withdrawal.
func (s *State) tables() []stateTable {
	return []stateTable{
		s.Withdrawn,
		s.Teams,
		s.Keys,
		s.Models,
		s.Adapters,
		s.Routes,
		s.Operators,
		s.settings,
		s.rejected,
		s.Bookings,
		s.Placers,
		s.Engines,
		s.Minters,
	}
}

// row is one entry of a table as snapshots hold it.
type row struct {
	Table string          `json:"table"`
	Key   json.RawMessage `json:"key"`
	Entry json.RawMessage `json:"entry"`
}

// Digest is a checksum of a whole state.
type Digest uint64

// Digest returns a checksum over every entry of every table and the applied
// offset. Two VMs with the same applied offset have the same digest. The caller
// sees to it that no record is applied meanwhile.
func (s *State) Digest() Digest {
	h := xxhash.New()
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(s.Applied())))
	for _, t := range s.tables() {
		_ = t.encode(func(r row) error {
			_, _ = h.WriteString(r.Table)
			_, _ = h.Write(r.Key)
			_, _ = h.Write(r.Entry)
			return nil
		})
	}
	return Digest(h.Sum64())
}

func (t *Table[K, V]) name() string { return t.what }

func (t *Table[K, V]) encode(emit func(row) error) error {
	for _, k := range t.m.Keys() {
		e, ok := t.m.Get(k)
		if !ok {
			continue
		}
		r, err := t.encodeRow(k, e)
		if err != nil {
			return err
		}
		if err := emit(r); err != nil {
			return err
		}
	}
	return nil
}

func (t *Table[K, V]) encodeRow(k K, e Entry[V]) (row, error) {
	key, err := json.Marshal(k)
	if err != nil {
		return row{}, fmt.Errorf("key of %s: %w", t.what, err)
	}
	entry, err := json.Marshal(e)
	if err != nil {
		return row{}, fmt.Errorf("%s %v: %w", t.what, k, err)
	}
	return row{Table: t.what, Key: key, Entry: entry}, nil
}

func (t *Table[K, V]) decode(rows []row) (func(), error) {
	fresh := make(map[K]Entry[V], len(rows))
	for _, r := range rows {
		var k K
		if err := json.Unmarshal(r.Key, &k); err != nil {
			return nil, fmt.Errorf("key of %s: %w", t.what, err)
		}
		var e Entry[V]
		if err := json.Unmarshal(r.Entry, &e); err != nil {
			return nil, fmt.Errorf("%s %v: %w", t.what, k, err)
		}
		if old, ok := t.m.Get(k); ok && e.Revision < old.Revision {
			return nil, fmt.Errorf("%s %v would go back from revision %d to %d", t.what, k, old.Revision, e.Revision)
		}
		fresh[k] = e
	}
	return func() { t.replace(fresh) }, nil
}

// replace puts all fresh entries before it deletes the others, so that readers
// never miss an entry that both contents have.
func (t *Table[K, V]) replace(fresh map[K]Entry[V]) {
	for k, e := range fresh {
		t.m.Put(k, e)
	}
	for _, k := range t.m.Keys() {
		if _, ok := fresh[k]; !ok {
			t.m.Delete(k)
		}
	}
}
