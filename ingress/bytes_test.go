package ingress_test

import (
	"bytes"
	"errors"
	"io"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"toucanfall/ingress"
)

// scriptedReader returns pieces of random sizes and ends with an error.
type scriptedReader struct {
	t    *rapid.T
	left int
	end  error
}

// Read returns the next piece.
func (r *scriptedReader) Read(b []byte) (int, error) {
	if r.left == 0 {
		return 0, r.end
	}
	n := min(len(b), r.left, rapid.IntRange(1, 200_000).Draw(r.t, "piece"))
	for i := range b[:n] {
		b[i] = 'x'
	}
	r.left -= n
	return n, nil
}

// randomBody reads a random body with a reservation. It fails the test if the result is wrong.
func randomBody(t *rapid.T, r *ingress.Reservation) {
	size := rapid.IntRange(0, 400_000).Draw(t, "size")
	end := rapid.SampledFrom([]error{io.EOF, io.ErrUnexpectedEOF, os.ErrDeadlineExceeded}).Draw(t, "end")
	length := int64(-1)
	if rapid.Bool().Draw(t, "length known") {
		length = int64(size)
	}
	limit := int64(rapid.IntRange(1, 500_000).Draw(t, "limit"))
	b, err := ingress.ReadBody(ingress.Body{
		Reader: &scriptedReader{t, size, end}, Length: length, Limit: limit, Deadline: time.Now().Add(time.Hour), SetReadDeadline: func(time.Time) {},
	}, r)
	if err == nil && (len(b) != size || end != io.EOF || int64(size) > limit) {
		t.Fatalf("%d bytes of %d, end %v, limit %d", len(b), size, end, limit)
	}
	if int64(size) > limit && !errors.Is(err, ingress.ErrTooLong) && !errors.Is(err, ingress.ErrNoSpace) {
		t.Fatalf("a body of %d bytes with limit %d: %v", size, limit, err)
	}
	if err == nil {
		r.GrowResponse()
	}
}

// Guards against a budget that leaks, after which clients would be rejected permanently, and against
// one that is exceeded: requests with random bodies, lengths, limits and errors run interleaved, and
// end at any point.
func TestReservationsAreReturned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1 << 20
		space := ingress.NewBytes(limit)
		var open []*ingress.Reservation
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if len(open) > 0 && rapid.Bool().Draw(t, "release") {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				open[i].Release()
				open[i].Release() // The second call has no effect.
				open = append(open[:i], open[i+1:]...)
				continue
			}
			r := space.Reservation()
			open = append(open, r)
			randomBody(t, r)
			if used := space.Used(); used > limit || used < 0 {
				t.Fatalf("%d bytes are reserved", used)
			}
		}
		for _, r := range open {
			r.Release()
		}
		if space.Used() != 0 {
			t.Fatalf("%d bytes stay reserved", space.Used())
		}
	})
}

// Guards against ordinary requests that are rejected because large bodies have used up the budget.
func TestLargeBodiesLeaveSpaceForOrdinaryRequests(t *testing.T) {
	is := is.New(t)
	space := ingress.NewBytes(36 << 20)
	for range 1000 {
		r := space.Reservation()
		for size := int64(4 << 10); r.Grow(size); size *= 2 {
			r.Shrink(size / 2)
		}
	}
	for range 20 {
		r := space.Reservation()
		is.True(r.Grow(9 << 10))
		is.True(r.GrowResponse())
	}
}

// Guards against a body within the limits that is rejected when nothing else is held.
func TestSingleBodyWithinTheLimits(t *testing.T) {
	for _, length := range []int64{4 << 20, -1} {
		is := is.New(t)
		space := ingress.NewBytes(12 << 20)
		body := bytes.Repeat([]byte("b"), 4<<20)
		r, large := space.Reservation(), 0
		b, err := ingress.ReadBody(ingress.Body{
			Reader: bytes.NewReader(body), Length: length, Limit: 4 << 20, Deadline: time.Now().Add(time.Hour), SetReadDeadline: func(time.Time) {}, OnLarge: func() { large++ },
		}, r)
		is.NoErr(err)
		is.True(bytes.Equal(b, body))
		is.True(space.Used() >= int64(cap(b)))
		is.Equal(large, 1)
	}
}

// Guards against memory that is allocated for an announced length before bytes have arrived.
func TestBufferGrowsWithReceivedBytes(t *testing.T) {
	is := is.New(t)
	space := ingress.NewBytes(12 << 20)
	r := space.Reservation()
	reader := io.MultiReader(bytes.NewReader(make([]byte, 10)), &checkedReader{check: func() { is.True(space.Used() <= 16<<10) }})
	_, err := ingress.ReadBody(ingress.Body{
		Reader: reader, Length: 4 << 20, Limit: 4 << 20, Deadline: time.Now().Add(time.Hour), SetReadDeadline: func(time.Time) {},
	}, r)
	is.Equal(err, io.ErrUnexpectedEOF)
}

// checkedReader calls check and returns an error.
type checkedReader struct{ check func() }

// Read calls check.
func (r *checkedReader) Read([]byte) (int, error) {
	r.check()
	return 0, io.ErrUnexpectedEOF
}
