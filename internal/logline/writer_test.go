package logline_test

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/internal/logline"
)

func left(n int) []byte { return fmt.Appendf(nil, "left out %d\n", n) }

// A flood of lines is bounded, and what is left out is counted.
func TestFloodIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		w := logline.New(&out, left)
		const flood = 10 * (logline.LinesPerSecond + logline.BurstLines)
		for range flood {
			_, err := w.Write([]byte("line\n"))
			is.NoErr(err)
			time.Sleep(100 * time.Microsecond)
		}
		time.Sleep(time.Second)
		_, err := w.Write([]byte("last\n"))
		is.NoErr(err)
		is.NoErr(w.Close())
		written := bytes.Count(out.Bytes(), []byte("line\n"))
		is.True(written <= logline.BurstLines+logline.LinesPerSecond*(flood/10_000+1))
		var said int
		for line := range bytes.Lines(out.Bytes()) {
			var n int
			if _, err := fmt.Sscanf(string(line), "left out %d", &n); err == nil {
				said += n
			}
		}
		is.Equal(said, flood-written)
	})
}

// A reader that stands still makes nobody wait.
func TestStandingReaderHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, out := io.Pipe()
		w := logline.New(out, left)
		start := time.Now()
		for range 10_000 {
			_, err := w.Write([]byte("line\n"))
			is.NoErr(err)
		}
		is.Equal(time.Since(start), time.Duration(0))
		is.True(w.Close() != nil) // The lines were not read.
		_, err := w.Write([]byte("line\n"))
		is.True(err != nil)
		is.NoErr(r.Close())
	})
}
