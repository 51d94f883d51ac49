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

var errEnd = errors.New("the end")

// A loop goes on after a panic, which is told each time, and ends by its error.
func TestLoopIsBegunAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		var told []string
		w := guard.NewPanicReporter(timeline.New("test", 8, logger), func(where string) { told = append(told, where) })
		began, runs := time.Now(), 0
		err := w.RestartOnPanic("loop", func(context.Context) error {
			if runs++; runs < 4 {
				panic("a fault of the program")
			}
			return errEnd
		})(t.Context())
		is.Equal(err, errEnd)
		is.Equal(runs, 4)
		is.Equal(told, []string{"loop", "loop", "loop"})
		is.Equal(time.Since(began), 3*time.Second) // It does not fill the log.
	})
}

// A panic is an error with the stack of where it began.
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
