package relay

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"errors"
	"io"
	"sync"
)

// maxUnpacked bounds the size of an unpacked value, in bytes: ten times a directory of
// 3,000 engines.
const maxUnpacked = 32 << 20

// packedCache caches the packed form of a value until its version changes, because many VMs
// get the same. It is safe for concurrent use; mu guards all fields.
type packedCache[V comparable] struct {
	mu      sync.Mutex
	version V
	bytes   []byte
}

// get returns the packed form of the value at the given version. It calls load for the
// value if that version is not cached.
func (p *packedCache[V]) get(version V, load func() any) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bytes == nil || p.version != version {
		p.bytes, p.version = pack(load()), version
	}
	return p.bytes
}

// pack encodes a value with gob and compresses it. Errors are ignored because a buffer
// accepts every write, and only values of types that gob can encode are packed.
func pack(v any) []byte {
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_ = gob.NewEncoder(w).Encode(v)
	_ = w.Close()
	return b.Bytes()
}

// unpack decodes a value packed by pack into v. It fails if the value is malformed or
// larger than maxUnpacked.
func unpack(b []byte, v any) error {
	limited := &io.LimitedReader{R: flate.NewReader(bytes.NewReader(b)), N: maxUnpacked}
	err := gob.NewDecoder(limited).Decode(v)
	if limited.N <= 0 {
		return errors.New("the unpacked value exceeds the size limit")
	}
	return err
}
