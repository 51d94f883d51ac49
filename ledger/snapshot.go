package ledger

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"

	"toucanfall/fleet"
)

// Snapshot is a whole state at an offset. Data holds one row of a
// table a line, packed by gzip.
type Snapshot struct {
	Covered  fleet.Offset `json:"covered"`
	Checksum uint64       `json:"checksum"`
	Data     []byte       `json:"data"`
}

// ErrNotNewer is returned for a snapshot that covers less than the state.
var ErrNotNewer = errors.New("the snapshot is not newer than the state")

// encodeSnapshot writes the state. The caller sees to it that no record is
// applied meanwhile.
func (s *State) encodeSnapshot() (Snapshot, error) {
	var buf bytes.Buffer
	packed, _ := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	enc := json.NewEncoder(packed)
	for _, t := range s.tables() {
		if err := t.encode(func(r row) error { return enc.Encode(r) }); err != nil {
			return Snapshot{}, fmt.Errorf("encode snapshot: %w", err)
		}
	}
	if err := packed.Close(); err != nil {
		return Snapshot{}, fmt.Errorf("encode snapshot: %w", err)
	}
	return Snapshot{Covered: s.Applied(), Checksum: xxhash.Sum64(buf.Bytes()), Data: buf.Bytes()}, nil
}

// OnRestore adds a function that is called after a snapshot replaced the state.
// Observers of a follower do not see the records that the snapshot stands for.
// It must be called before a follower uses the state.
func (s *State) OnRestore(f func()) {
	s.onRestore = append(s.onRestore, f)
}

// restore replaces the state by a snapshot. It changes nothing unless the whole
// snapshot is sound and covers more than the state, so that the applied offset
// never falls.
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
	s.reindex()
	s.applied.Store(uint64(sn.Covered))
	for _, f := range s.onRestore {
		f()
	}
	return nil
}

// reindex rebuilds everything that is derived from the tables.
func (s *State) reindex() {
	s.reindexHashes()
	s.reindexRejected()
}

func (s *State) decodeTables(data []byte) ([]func(), error) {
	rows, err := splitRows(data)
	if err != nil {
		return nil, err
	}
	var install []func()
	for _, t := range s.tables() {
		f, err := t.decode(rows[t.name()])
		if err != nil {
			return nil, err
		}
		install = append(install, f)
		delete(rows, t.name())
	}
	for name := range rows {
		return nil, fmt.Errorf("unknown table %q; the snapshot comes from a newer version", name)
	}
	return install, nil
}

func splitRows(data []byte) (map[string][]row, error) {
	rows := make(map[string][]row)
	unpacked, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	lines := bufio.NewReader(unpacked)
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return rows, nil
		}
		if err != nil {
			return nil, fmt.Errorf("unpack: %w", err)
		}
		var r row
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, fmt.Errorf("row: %w", err)
		}
		rows[r.Table] = append(rows[r.Table], r)
	}
}
