// Package loop runs functions periodically and manages groups of goroutines.
package loop

import (
	"context"
	"time"
)

// Every calls f immediately and then every d until ctx is done. Ticks that are missed while f
// runs or the process is suspended are dropped, so at most one call follows.
func Every(ctx context.Context, d time.Duration, f func(context.Context)) {
	t := time.NewTicker(d)
	defer t.Stop()
	f(ctx)
	runOnTicks(ctx, t, f)
}

// EveryAfterDelay is like [Every], but makes the first call after d.
func EveryAfterDelay(ctx context.Context, d time.Duration, f func(context.Context)) {
	t := time.NewTicker(d)
	defer t.Stop()
	runOnTicks(ctx, t, f)
}

func runOnTicks(ctx context.Context, t *time.Ticker, f func(context.Context)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f(ctx)
		}
	}
}

// Sleep sleeps for d or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
