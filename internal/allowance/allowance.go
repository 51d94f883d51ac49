// Package allowance limits how many bytes are read from a peer, which may send an unlimited
// number of them.
package allowance

import (
	"io"
	"math"
)

// Reader reads from another reader up to a limit that can be changed between reads. It is not
// safe for concurrent use.
type Reader struct {
	r         io.Reader
	remaining int
	limitErr  error
}

// New returns a reader without a limit. Once the limit set by [Reader.SetLimit] is reached,
// reads return limitErr.
func New(r io.Reader, limitErr error) *Reader {
	return &Reader{r: r, remaining: math.MaxInt, limitErr: limitErr}
}

// SetLimit sets the number of bytes that may still be read.
func (a *Reader) SetLimit(n int) {
	a.remaining = n
}

// RemoveLimit removes the limit.
func (a *Reader) RemoveLimit() {
	a.remaining = math.MaxInt
}

// Read reads up to len(b) bytes within the limit.
func (a *Reader) Read(b []byte) (int, error) {
	if a.remaining <= 0 {
		return 0, a.limitErr
	}
	n, err := a.r.Read(b[:min(len(b), a.remaining)])
	a.remaining -= n
	return n, err
}
