package gateway

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// runParts runs parts until they end, or for an hour. It fails the test if they have not ended.
func runParts(ctx context.Context, t *testing.T, p *parts) (time.Duration, error) {
	t.Helper()
	began := time.Now()
	ended := make(chan error, 1)
	go func() { ended <- p.run(ctx) }()
	select {
	case err := <-ended:
		return time.Since(began), err
	case <-time.After(time.Hour):
		t.Fatal("the parts have not ended")
		return 0, nil
	}
}

// addLoop adds a part that runs until it is interrupted.
func addLoop(p *parts, name string) {
	stop := make(chan struct{})
	p.add(name, func() error {
		<-stop
		return nil
	}, func(error) { close(stop) })
}

// Guards against a process that goes on without one of its parts, and neither serves nor ends.
func TestProcessEndsWithAPart(t *testing.T) {
	for _, partErr := range []error{errors.New("listener lost"), nil} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			p := newParts(8 * time.Second)
			addLoop(p, "loop")
			p.addStop(ctx, func() {})
			p.add("server", func() error { return partErr }, func(error) {})
			took, err := runParts(ctx, t, p)
			is.True(err != nil) // The exit code is not zero, also if the part ended without an error.
			is.True(strings.Contains(err.Error(), "server"))
			is.True(took <= p.stopWithin)
		})
	}
}

// Guards against a process that does not end because one of its parts cannot be interrupted.
func TestProcessEndsDespiteHangingPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		defer close(release)
		p := newParts(8 * time.Second)
		p.add("hanging", func() error {
			<-release
			return nil
		}, func(error) {})
		p.add("server", func() error { return errors.New("listener lost") }, func(error) { <-release })
		took, err := runParts(t.Context(), t, p)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "hanging"))
		is.True(took <= p.stopWithin)
	})
}

// Guards against a planned stop that hangs.
func TestProcessEndsDespiteHangingStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		defer close(release)
		ctx, cancel := context.WithCancel(t.Context())
		p := newParts(8 * time.Second)
		addLoop(p, "loop")
		p.addStop(ctx, func() { <-release })
		cancel()
		took, err := runParts(ctx, t, p)
		is.True(err != nil)
		is.True(took <= p.stopWithin)
	})
}

// Guards against a planned stop that counts as a fault.
func TestPlannedStopIsNoFault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		p := newParts(8 * time.Second)
		addLoop(p, "loop")
		p.addStop(ctx, func() { time.Sleep(time.Second) })
		cancel()
		_, err := runParts(ctx, t, p)
		is.NoErr(err)
	})
}
