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
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
