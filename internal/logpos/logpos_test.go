package logpos_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"toucanfall/internal/logpos"
)

func ExamplePosition() {
	fmt.Println(logpos.At(0, 7), logpos.At(1, 0) > logpos.At(0, 1_000_000))
	// Output: 7 true
}

// Guards against positions that do not order by the era first, or lose a part on the way to another VM.
func TestPositionsOrderByEraFirst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		draw := func(name string) (era, offset int64) {
			return rapid.Int64Range(0, logpos.MaxEra).Draw(rt, name+" era"), rapid.Int64Range(0, 1<<40-1).Draw(rt, name+" offset")
		}
		era, offset := draw("first")
		other, otherOffset := draw("second")
		a, b := logpos.At(era, offset), logpos.At(other, otherOffset)
		is.Equal(a.Era(), era)
		is.Equal(a.Offset(), offset)
		is.Equal(a < b, era < other || era == other && offset < otherOffset)
	})
}
