package ingress

import (
	"errors"
	"io"
	"net"
	"time"
)

// Progress that a client must make with a body: each block of ProgressBytes within
// ProgressTimeout. A client within the limits sends a head of 16,384 bytes within the header timeout of
// 3 s. Twice that time allows for lost packets.
const (
	ProgressBytes   = 16 << 10
	ProgressTimeout = 6 * time.Second
)

// Sizes of the first buffer of a body.
const (
	// firstBuffer is for a body whose length is not known.
	firstBuffer = 4 << 10
	// firstKnownBuffer is the most that is allocated for an announced length before any byte has
	// arrived. Ordinary bodies need no other.
	firstKnownBuffer = 16 << 10
)

// Errors of [ReadBody], besides those of the connection.
var (
	// ErrTooLong is returned for a body longer than the limit.
	ErrTooLong = errors.New("the body is too long")
	// ErrNoSpace is returned if the budget has no space for the body.
	ErrNoSpace = errors.New("the memory for bodies is used up")
	// ErrTooSlow is returned if the body does not arrive in time.
	ErrTooSlow = errors.New("the body arrives too slowly")
)

// Body is a request's body that is to be read.
type Body struct {
	Reader io.Reader
	// Length is the announced length, -1 if it is not known.
	Length int64
	// Limit is the greatest permitted length.
	Limit int64
	// Deadline is the time at which the body must be complete.
	Deadline time.Time
	// SetReadDeadline sets the deadline of the following reads. If it is nil, something else bounds their time.
	SetReadDeadline func(time.Time)
	// OnLarge, if not nil, is called once if the buffer becomes larger than LargeBody.
	OnLarge func()
}

// LargeBody is the size from which a body counts as large.
const LargeBody = 64 << 10

// ReadBody reads a body. It reserves space before it allocates and before it reads on, so that many
// clients that send large bodies, or that stop before their end, hold no more than the budget. The
// buffer grows with the bytes received. The reservation covers the returned bytes and is left to the
// caller, also after an error.
func ReadBody(b Body, space *Reservation) ([]byte, error) {
	if b.Length > b.Limit {
		return nil, ErrTooLong
	}
	r := bodyReader{Body: b, space: space, first: firstBuffer, most: b.Limit}
	if b.Length >= 0 {
		r.first, r.most = firstKnownBuffer, b.Length
	}
	for {
		err := r.readMore()
		switch {
		case errors.Is(err, io.EOF):
			return r.buf, nil
		case isTimeout(err):
			return nil, ErrTooSlow
		case err != nil:
			return nil, err
		}
	}
}

// bodyReader reads one body.
type bodyReader struct {
	Body
	space *Reservation
	buf   []byte
	// first is the size of the first buffer, most the greatest size.
	first, most int64
	// blockEnd is the number of bytes that must have been read at the current deadline.
	blockEnd int
}

// readMore reads once. It returns io.EOF at the end of the body.
func (r *bodyReader) readMore() error {
	if len(r.buf) >= r.blockEnd {
		r.blockEnd = len(r.buf) + ProgressBytes
		if r.SetReadDeadline != nil {
			r.SetReadDeadline(earlier(r.Deadline, time.Now().Add(ProgressTimeout)))
		}
	}
	if int64(len(r.buf)) == r.most {
		return r.readEnd()
	}
	if len(r.buf) == cap(r.buf) {
		if err := r.grow(); err != nil {
			return err
		}
	}
	n, err := r.Reader.Read(r.buf[len(r.buf):cap(r.buf)])
	r.buf = r.buf[:len(r.buf)+n]
	return err
}

// readEnd reads the end of a body of the greatest size.
func (r *bodyReader) readEnd() error {
	n, err := r.Reader.Read(make([]byte, 1))
	if n > 0 {
		return ErrTooLong
	}
	return err
}

// grow doubles the buffer, to at least first and at most most bytes.
func (r *bodyReader) grow() error {
	old := int64(cap(r.buf))
	size := min(max(2*old, r.first), r.most)
	if !r.space.Grow(size) {
		return ErrNoSpace
	}
	larger := make([]byte, len(r.buf), size)
	copy(larger, r.buf)
	r.buf = larger
	r.space.Shrink(old)
	if old <= LargeBody && size > LargeBody && r.OnLarge != nil {
		r.OnLarge()
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
