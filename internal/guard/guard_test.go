package guard_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"toucanfall/internal/guard"
	"toucanfall/timeline"
)

var errLoopEnded = errors.New("loop ended")

// A loop restarts after a panic, reports each panic, and ends when its function returns an
// error.
func TestLoopRestartsAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		var reported []string
		w := guard.NewPanicReporter(timeline.New("test", 8, logger), func(where string) { reported = append(reported, where) })
		start, runs := time.Now(), 0
		err := w.RestartOnPanic("loop", func(context.Context) error {
			if runs++; runs < 4 {
				panic("a fault of the program")
			}
			return errLoopEnded
		})(t.Context())
		is.Equal(err, errLoopEnded)
		is.Equal(runs, 4)
		is.Equal(reported, []string{"loop", "loop", "loop"})
		is.Equal(time.Since(start), 3*time.Second) // One second between restarts.
	})
}

// Run returns a panic as an error that holds the stack.
func TestPanicIsAnError(t *testing.T) {
	is := is.New(t)
	is.NoErr(guard.Run(func() error { return nil }))
	err := guard.Run(func() error {
		panic("a fault of the program")
	})
	var p *guard.Panic
	is.True(errors.As(err, &p))
	is.True(len(p.Stack) > 0)
}
