package serving

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/catalogue"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/servicetime"
)

// Guards against a request that a stopping VM takes and cannot answer, and against one that it refuses
// although its answer or its timeout comes before the stop.
func TestStopTakesByExpectedDuration(t *testing.T) {
	for name, c := range map[string]struct {
		observed, left, timeout time.Duration
		n                       int
		tokens                  fleet.Tokens
		taken                   bool
	}{
		"short ones late":            {observed: 100 * time.Millisecond, n: 200, left: 700 * time.Millisecond, taken: true},
		"short ones at the end":      {observed: 100 * time.Millisecond, n: 200, left: 400 * time.Millisecond},
		"long ones while sent":       {observed: 4 * time.Second, n: 200, left: 5200 * time.Millisecond, taken: true},
		"long ones late":             {observed: 4 * time.Second, n: 200, left: 4900 * time.Millisecond},
		"long ones with a timeout":   {observed: 4 * time.Second, n: 200, left: 3 * time.Second, timeout: 2 * time.Second, taken: true},
		"unknown while sent":         {left: 5 * time.Second, taken: true},
		"unknown late":               {left: 3 * time.Second},
		"unknown late with tokens":   {left: 3 * time.Second, tokens: 20},
		"few late":                   {observed: time.Second, n: 3, left: 3 * time.Second},
		"known by larger ones":       {observed: time.Second, n: 200, left: 3 * time.Second, tokens: 20, taken: true},
		"larger than all known ones": {observed: time.Second, n: 200, left: 3 * time.Second, tokens: 2000},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				stopAt := time.Now().Add(c.left)
				h := &Handler{cfg: Config{StopAt: func() time.Time { return stopAt }, BalancerStopLead: 5 * time.Second}}
				call := &Call{Route: &catalogue.Route{Name: "r", Timeout: c.timeout}, TokensOut: c.tokens, received: time.Now()}
				for range c.n { // With more tokens than the call, up to 900.
					h.durations.Add(time.Now(), servicetime.NewClass("r", min(c.tokens*10, 900)), c.observed)
				}
				err := h.checkStop(call)
				is.Equal(err == nil, c.taken)
				is.True(c.taken || fault.KindOf(err) == fault.Stopping)
			})
		})
	}
}

// Guards against a stream that a stopping VM takes by how long the recent ones lasted, and has to cut (LOST): a
// late one is taken only if its deadline ends it in time. One that was read before, and waits, is not late.
func TestStopBoundsLateStreams(t *testing.T) {
	for name, c := range map[string]struct {
		left, waited, timeout time.Duration
		taken                 bool
	}{
		"while sent":             {left: 5100 * time.Millisecond, timeout: 12 * time.Second, taken: true},
		"late":                   {left: 4900 * time.Millisecond, timeout: 12 * time.Second},
		"late without a timeout": {left: 4900 * time.Millisecond},
		"late with a deadline":   {left: 4900 * time.Millisecond, timeout: 4 * time.Second, taken: true},
		"deadline at the end":    {left: 4900 * time.Millisecond, timeout: 4600 * time.Millisecond},
		"waited":                 {left: 4 * time.Second, waited: 1100 * time.Millisecond, timeout: 12 * time.Second, taken: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				stopAt := time.Now().Add(c.left + c.waited)
				h := &Handler{cfg: Config{StopAt: func() time.Time { return stopAt }, BalancerStopLead: 5 * time.Second}}
				call := &Call{Route: &catalogue.Route{Name: "r", Kind: catalogue.Stream, Timeout: c.timeout}, received: time.Now(), readAt: time.Now()}
				for range 200 {
					h.durations.Add(time.Now(), call.class(), 300*time.Millisecond)
				}
				time.Sleep(c.waited)
				err := h.checkStop(call)
				is.Equal(err == nil, c.taken)
				is.True(c.taken || fault.KindOf(err) == fault.Stopping)
			})
		})
	}
}
