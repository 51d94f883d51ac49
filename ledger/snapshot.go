package ledger

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"

	"toucanfall/fleet"
)

// Snapshot is the complete state at an offset.
type Snapshot struct {
	// Covered is the offset of the last record that the snapshot contains.
	Covered fleet.Offset `json:"covered"`
	// Checksum is the xxHash of Data.
	Checksum uint64 `json:"checksum"`
	// Fingerprint is the fingerprint of the state.
	Fingerprint Fingerprint `json:"fingerprint"`
	// Data contains the tables as JSON, one row per line, compressed with gzip.
	Data []byte `json:"data"`
}

// ErrNotNewer is returned for a snapshot that covers no more than the state.
var ErrNotNewer = errors.New("the snapshot is not newer than the state")

// compress returns the snapshot with its data compressed and its checksum set.
func (sn Snapshot) compress() (Snapshot, error) {
	var buf bytes.Buffer
	gz, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return Snapshot{}, err
	}
	if _, err := gz.Write(sn.Data); err != nil {
		return Snapshot{}, err
	}
	if err := gz.Close(); err != nil {
		return Snapshot{}, err
	}
	sn.Data = buf.Bytes()
	sn.Checksum = xxhash.Sum64(sn.Data)
	return sn, nil
}

// OnRestore adds a function that is called after a snapshot has replaced the
// state. Observers of a follower are not called for the records that the snapshot
// covers. OnRestore must be called before a follower uses the state.
func (s *State) OnRestore(f func()) {
	s.onRestore = append(s.onRestore, f)
}

// restore replaces the state with a snapshot. It changes nothing unless the whole
// snapshot is valid and covers more than the state, so that the applied offset
// never decreases.
func (s *State) restore(sn Snapshot) error {
	if sn.Covered <= s.Applied() {
		return ErrNotNewer
	}
	if got := xxhash.Sum64(sn.Data); got != sn.Checksum {
		return fmt.Errorf("snapshot at offset %d has checksum %x, want %x", sn.Covered, got, sn.Checksum)
	}
	install, err := s.decodeTables(sn.Data)
	if err != nil {
		return fmt.Errorf("snapshot at offset %d: %w", sn.Covered, err)
	}
	for _, f := range install {
		f()
	}
	s.rebuildIndexes()
	s.applied.Store(uint64(sn.Covered))
	for _, f := range s.onRestore {
		f()
	}
	return nil
}

// rebuildIndexes rebuilds everything that is derived from the tables.
func (s *State) rebuildIndexes() {
	s.rebuildHashIndexes()
	s.rebuildRejectedOrder()
}

// decodeTables returns the functions that install the tables, in the order of
// State.tables. A table that is missing in the snapshot becomes empty. An unknown
// table is an error.
func (s *State) decodeTables(data []byte) ([]func(), error) {
	gz, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	dec := json.NewDecoder(gz)
	decoded := make(map[string]func())
	for {
		var h tableHeader
		if err := dec.Decode(&h); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return nil, err
		}
		t := s.tableNamed(h.Table)
		if t == nil {
			return nil, fmt.Errorf("unknown table %q; the snapshot comes from a newer version", h.Table)
		}
		if decoded[h.Table], err = t.decode(dec, h.Rows); err != nil {
			return nil, fmt.Errorf("table %q: %w", h.Table, err)
		}
	}
	return s.installers(decoded)
}

func (s *State) installers(decoded map[string]func()) ([]func(), error) {
	var install []func()
	for _, t := range s.tables() {
		f, ok := decoded[t.name()]
		if !ok {
			var err error
			if f, err = t.decode(nil, 0); err != nil {
				return nil, err
			}
		}
		install = append(install, f)
	}
	return install, nil
}

func (s *State) tableNamed(name string) stateTable {
	for _, t := range s.tables() {
		if t.name() == name {
			return t
		}
	}
	return nil
}
