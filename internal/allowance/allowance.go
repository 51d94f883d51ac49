// Package allowance bounds what is read from the other end of a connection, which may send
// bytes without end.
package allowance

import (
	"io"
	"math"
)

// Reader reads on until as much was read as is allowed.
type Reader struct {
	r     io.Reader
	left  int
	spent error
}

// New returns a reader that allows everything. Its reads fail with spent once it is over what
// [Reader.Allow] has set.
func New(r io.Reader, spent error) *Reader {
	return &Reader{r: r, left: math.MaxInt, spent: spent}
}

// Allow sets how many bytes may be read from now on.
func (a *Reader) SetLimit(n int) {
	a.left = n
}

// Lift allows everything again.
func (a *Reader) RemoveLimit() {
	a.left = math.MaxInt
}

// Read reads on.
func (a *Reader) Read(b []byte) (int, error) {
	if a.left <= 0 {
		return 0, a.spent
	}
	n, err := a.r.Read(b[:min(len(b), a.left)])
	a.left -= n
	return n, err
}
