package ingress

import "sync/atomic"

// Sizes of reservations.
const (
	// SmallBytes is the largest reservation of a body that may use the whole budget: that of a body of
	// up to 16 KiB while its buffer grows from 8 KiB to 16 KiB. Ordinary bodies have about 9 kB.
	SmallBytes = 24 << 10
	// ResponseBytes is what a request in progress holds for its response: the part that is read
	// before any of it is sent, and then what the kernel buffers for a slow reader.
	ResponseBytes = 64 << 10
	// smallShare is the divisor that gives the part of the budget that only small bodies and responses
	// may use. On the smallest machines it is 18 MiB, which is 24 KiB for each of the 768 connections of
	// clients, while 18 MiB are left for large bodies.
	smallShare = 2
)

// Bytes is a budget of bytes. It handles the load of many clients that send large bodies at once or
// stop before the end of a body: what is reserved never exceeds the limit, and half of the limit is
// kept for ordinary requests. A nil Bytes has no limit. It is safe for concurrent use.
type Bytes struct {
	limit int64
	used  atomic.Int64
}

// NewBytes returns a budget of limit bytes.
func NewBytes(limit int64) *Bytes { return &Bytes{limit: limit} }

// Limit returns the limit, 0 if there is none.
func (b *Bytes) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// Used returns how many bytes are reserved.
func (b *Bytes) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// reserve reserves n more bytes unless more than limit would then be reserved.
func (b *Bytes) reserve(n, limit int64) bool {
	for {
		used := b.used.Load()
		if used+n > limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Reservation is a part of a budget that grows while something is read. The zero Reservation
// belongs to no budget and always grows. It is not safe for concurrent use.
type Reservation struct {
	bytes *Bytes
	size  int64
}

// Reservation returns an empty reservation.
func (b *Bytes) Reservation() *Reservation { return &Reservation{bytes: b} }

// Grow reserves n more bytes. It returns false, and changes nothing, if the budget has no space.
func (r *Reservation) Grow(n int64) bool { return r.grow(n, r.size+n <= SmallBytes) }

// GrowResponse reserves ResponseBytes. It may use the whole budget whatever is reserved, so
// that large bodies do not fail after they have been read.
func (r *Reservation) GrowResponse() bool { return r.grow(ResponseBytes, true) }

func (r *Reservation) grow(n int64, small bool) bool {
	if r.bytes == nil {
		return true
	}
	limit := r.bytes.limit
	if !small {
		limit -= limit / smallShare
	}
	if !r.bytes.reserve(n, limit) {
		return false
	}
	r.size += n
	return true
}

// Shrink returns n of the reserved bytes.
func (r *Reservation) Shrink(n int64) {
	if r.bytes == nil {
		return
	}
	n = min(n, r.size)
	r.size -= n
	r.bytes.used.Add(-n)
}

// Release returns all reserved bytes.
func (r *Reservation) Release() { r.Shrink(r.size) }
