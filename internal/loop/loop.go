// Package loop repeats work at an interval.
package loop

import (
	"context"
	"time"
)

// Every calls f at once and then again each d until ctx ends. After a pause of
// the process it calls f once, not once for each turn that was missed.
func Every(ctx context.Context, d time.Duration, f func(context.Context)) {
	t := time.NewTicker(d)
	defer t.Stop()
	f(ctx)
	onTicks(ctx, t, f)
}

// Later is like [Every], but calls f for the first time after d.
func EveryAfterDelay(ctx context.Context, d time.Duration, f func(context.Context)) {
	t := time.NewTicker(d)
	defer t.Stop()
	onTicks(ctx, t, f)
}

func onTicks(ctx context.Context, t *time.Ticker, f func(context.Context)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f(ctx)
		}
	}
}

// Pause waits for d, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
