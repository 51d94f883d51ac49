// Package guard ends panics where their harm ends.
package guard

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"toucanfall/event"
	"toucanfall/internal/loop"
	"toucanfall/timeline"
)

// Panic is a panic that was caught, as an error.
type Panic struct {
	Value any
	Stack []byte
}

// Error returns the value of the panic.
func (p *Panic) Error() string { return fmt.Sprintf("panic: %v", p.Value) }

// Run calls f and returns its error, or its panic as an error.
func Run(f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &Panic{Value: v, Stack: debug.Stack()}
		}
	}()
	return f()
}

// Watch logs and counts panics that were caught.
type PanicReporter struct {
	events *timeline.Recorder
	count  func(where string)
}

// NewWatch returns a watch. Count is told where each panic was caught.
func NewPanicReporter(events *timeline.Recorder, count func(where string)) *PanicReporter {
	return &PanicReporter{events: events, count: count}
}

// maxStack is how much of a stack the log shows, in bytes.
const maxStack = 4 << 10

// Caught logs and counts a panic.
func (w *PanicReporter) Report(where string, p *Panic) {
	w.count(where)
	w.events.Record(event.PanicCaught, timeline.Fields{
		"where": where, "value": fmt.Sprint(p.Value), "stack": string(p.Stack[:min(len(p.Stack), maxStack)]),
	})
}

// restartPause is how long a loop that ended by a panic pauses, so that one that panics in
// each turn does not fill the log.
const restartPause = time.Second

// Loop returns f as a loop that is begun anew after a panic. An error of f ends it.
func (w *PanicReporter) RestartOnPanic(where string, f func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			err := Run(func() error { return f(ctx) })
			var p *Panic
			if !errors.As(err, &p) {
				return err
			}
			w.Report(where, p)
			loop.Sleep(ctx, restartPause)
			if ctx.Err() != nil {
				return ctx.Err()
			}
		}
	}
}
