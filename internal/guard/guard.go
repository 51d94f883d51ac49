// Package guard recovers from panics, reports them and restarts the loops that they ended.
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

// Panic is a recovered panic as an error.
type Panic struct {
	Value any
	Stack []byte
}

// Error describes the value of the panic.
func (p *Panic) Error() string { return fmt.Sprintf("panic: %v", p.Value) }

// Run calls f and returns its error. If f panics, it returns a [*Panic] with the stack.
func Run(f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &Panic{Value: v, Stack: debug.Stack()}
		}
	}()
	return f()
}

// PanicReporter logs and counts recovered panics.
type PanicReporter struct {
	events *timeline.Recorder
	count  func(where string)
}

// NewPanicReporter returns a reporter that records panics in events and calls count with the
// place of each.
func NewPanicReporter(events *timeline.Recorder, count func(where string)) *PanicReporter {
	return &PanicReporter{events: events, count: count}
}

// maxStackBytes limits the part of a stack that is logged.
const maxStackBytes = 4 << 10

// Report logs and counts a panic that was recovered at where.
func (r *PanicReporter) Report(where string, p *Panic) {
	r.count(where)
	r.events.Record(event.PanicCaught, timeline.Fields{
		"where": where, "value": fmt.Sprint(p.Value), "stack": string(p.Stack[:min(len(p.Stack), maxStackBytes)]),
	})
}

// restartDelay is the delay before a loop restarts after a panic, so that one that panics in
// every iteration does not flood the log.
const restartDelay = time.Second

// RestartOnPanic returns a function that runs f and restarts it after a panic. It returns the
// result of f, or the error of the context if that is done after a panic.
func (r *PanicReporter) RestartOnPanic(where string, f func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			err := Run(func() error { return f(ctx) })
			var p *Panic
			if !errors.As(err, &p) {
				return err
			}
			r.Report(where, p)
			loop.Sleep(ctx, restartDelay)
			if ctx.Err() != nil {
				return ctx.Err()
			}
		}
	}
}
