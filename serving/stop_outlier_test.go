package serving

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/catalogue"
	"toucanfall/servicetime"
)

// Guards against a stopping VM that refuses all requests of a route, while the balancer still sends them, because
// one of the last 400 timed out at an upstream that hung.
func TestStopTakesRequestsDespiteSingleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stopAt := time.Now().Add(7600 * time.Millisecond) // That of stop_within 8 s, right after SIGTERM.
		h := &Handler{cfg: Config{StopAt: func() time.Time { return stopAt }, BalancerStopLead: 5 * time.Second}}
		call := &Call{Route: &catalogue.Route{Name: "r", Timeout: 12 * time.Second}, received: time.Now()}
		class := servicetime.NewClass("r", 0)
		for range 399 {
			h.durations.Add(time.Now(), class, 100*time.Millisecond)
		}
		is.NoErr(h.checkStop(call))
		h.durations.Add(time.Now(), class, 12*time.Second)
		is.NoErr(h.checkStop(call))
	})
}
