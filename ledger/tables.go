package ledger

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// stateTable is the part of [Table] that snapshots and digests need.
type stateTable interface {
	// name is unique among the tables of the state and never changes, because
	// snapshots in the log contain it.
	name() string
	len() int
	fingerprint() Fingerprint
	// encode writes all entries, sorted by key.
	encode(enc *json.Encoder) error
	// decode reads the entries of a snapshot. The table does not change until the
	// returned function is called, which replaces all entries.
	decode(dec *json.Decoder, rows int) (install func(), err error)
}

// tables returns every table of the state. A table that is missing here is missing
// in snapshots. Withdrawals precede keys, so that while a snapshot replaces the
// state, readers never see a withdrawn key without its withdrawal.
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

// tableHeader precedes the rows of a table in a snapshot.
type tableHeader struct {
	Table string `json:"table"`
	Rows  int    `json:"rows"`
}

// row is one entry of a table in a snapshot.
type row[K ~string, V any] struct {
	Key   K        `json:"key"`
	Entry Entry[V] `json:"entry"`
}

// encodeTables writes all tables. The caller must ensure that no record is applied
// meanwhile.
func (s *State) encodeTables(w io.Writer) error {
	enc := json.NewEncoder(w)
	for _, t := range s.tables() {
		if err := enc.Encode(tableHeader{Table: t.name(), Rows: t.len()}); err != nil {
			return err
		}
		if err := t.encode(enc); err != nil {
			return fmt.Errorf("table %q: %w", t.name(), err)
		}
	}
	return nil
}

// Digest is a checksum over a complete state.
type Digest uint64

// Digest returns a checksum over every entry of every table and the applied
// offset. Two VMs with the same applied offset have the same digest. The caller
// must ensure that no record is applied meanwhile. It panics if a value cannot be
// encoded as JSON.
func (s *State) Digest() Digest {
	h := xxhash.New()
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(s.Applied())))
	if err := s.encodeTables(h); err != nil {
		panic(fmt.Sprintf("a value that was decoded from JSON cannot be encoded: %v", err))
	}
	return Digest(h.Sum64())
}

func (t *Table[K, V]) name() string { return t.tableName }

func (t *Table[K, V]) fingerprint() Fingerprint { return t.sum }

func (t *Table[K, V]) len() int { return t.entries.Len() }

func (t *Table[K, V]) encode(enc *json.Encoder) error {
	for _, k := range t.entries.Keys() {
		e, _ := t.entries.Get(k)
		if err := enc.Encode(row[K, V]{Key: k, Entry: e}); err != nil {
			return err
		}
	}
	return nil
}

func (t *Table[K, V]) decode(dec *json.Decoder, rows int) (func(), error) {
	entries := make(map[K]Entry[V])
	for range rows {
		var r row[K, V]
		if err := dec.Decode(&r); err != nil {
			return nil, err
		}
		if old, ok := t.entries.Get(r.Key); ok && r.Entry.Revision < old.Revision {
			return nil, fmt.Errorf("%v would go back from revision %d to %d", r.Key, old.Revision, r.Entry.Revision)
		}
		entries[r.Key] = r.Entry
	}
	return func() { t.replace(entries) }, nil
}

// replace sets all new entries before it removes the others, so that readers never
// miss an entry that exists both before and after.
func (t *Table[K, V]) replace(entries map[K]Entry[V]) {
	for k, e := range entries {
		t.set(k, e)
	}
	for _, k := range t.entries.Keys() {
		if _, ok := entries[k]; !ok {
			t.remove(k)
		}
	}
}
