package relay

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"errors"
	"io"
	"sync"
)

// maxUnpacked bounds what is unpacked, in bytes: ten times a directory of 3,000 engines.
const maxUnpacked = 32 << 20

// packed keeps the packed form of a value until its version changes, for it is the same
// for many VMs.
type packedCache[V comparable] struct {
	mu      sync.Mutex
	version V
	bytes   []byte
}

// of returns the packed value of a version, which value returns.
func (p *packedCache[V]) get(version V, load func() any) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bytes == nil || p.version != version {
		p.bytes, p.version = pack(load()), version
	}
	return p.bytes
}

// pack encodes and compresses a value. A buffer takes every write, and only values of
// this package's own types are packed.
func pack(v any) []byte {
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_ = gob.NewEncoder(w).Encode(v)
	_ = w.Close()
	return b.Bytes()
}

// unpack decodes what pack has made.
func unpack(b []byte, v any) error {
	limited := &io.LimitedReader{R: flate.NewReader(bytes.NewReader(b)), N: maxUnpacked}
	err := gob.NewDecoder(limited).Decode(v)
	if limited.N <= 0 {
		return errors.New("the packed value is too long")
	}
	return err
}
