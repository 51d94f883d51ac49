// Package allowance bounds what is read from the other end of a connection, which may send
// bytes without end.
package allowance

import (
	"io"
	"math"
)

// Reader reads on until as much was read as is allowed.
type Reader struct {
	r         io.Reader
	remaining int
	limitErr  error
}

// New returns a reader that allows everything. Its reads fail with spent once it is over what
// [Reader.Allow] has set.
func New(r io.Reader, limitErr error) *Reader {
	return &Reader{r: r, remaining: math.MaxInt, limitErr: limitErr}
}

// Allow sets how many bytes may be read from now on.
func (a *Reader) Allow(n int) {
	a.remaining = n
}

// Lift allows everything again.
func (a *Reader) Lift() {
	a.remaining = math.MaxInt
}

// Read reads on.
func (a *Reader) Read(b []byte) (int, error) {
	if a.remaining <= 0 {
		return 0, a.limitErr
	}
	n, err := a.r.Read(b[:min(len(b), a.remaining)])
	a.remaining -= n
	return n, err
}
