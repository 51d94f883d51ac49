package rate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/fault"
)

// TestPermitsBoundWorkInFlight takes all permits of the fleet on two of seven
// VMs. The next one is rejected until a permit is returned, even after an hour.
func TestPermitsBoundWorkInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestFleet(Limit{0, 8 * 7 * One}, "a", "b", "c", "d", "e", "f", "g")
		for _, m := range g.buckets {
			m.SetShare(time.Now(), testKey, Limit{0, 8 * One / 7}, false)
		}
		a, b := NewPermits(g.limiters["a"], testKey), NewPermits(g.limiters["b"], testKey)
		var held []Grant
		for i := range 7 {
			p := []*Permits{a, b}[i%2]
			grant, err := p.Take(t.Context())
			is.NoErr(err)
			held = append(held, grant)
		}
		time.Sleep(time.Hour)
		// Shares are rounded down, so of eight permits only seven are complete.
		_, err := b.Take(t.Context())
		is.Equal(fault.KindOf(err), fault.RateLimited)
		a.Release(held[6])           // most of this permit was borrowed an hour ago
		time.Sleep(2 * rejectionTTL) // until the cached rejection expires
		_, err = b.Take(t.Context())
		is.NoErr(err)
		g.limiters["a"].Close()
		g.limiters["b"].Close()
	})
}

// TestLostPermitsAreRestoredOnlyByRestore checks that the permits taken by a VM that
// failed become available again only by Restore.
func TestLostPermitsAreRestoredOnlyByRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestFleet(Limit{0, 2 * One}, "a", "b")
		a, b := NewPermits(g.limiters["a"], testKey), NewPermits(g.limiters["b"], testKey)
		for range 2 {
			_, err := a.Take(t.Context())
			is.NoErr(err)
		}
		time.Sleep(time.Hour) // VM a has failed and never returns its permits
		_, err := b.Take(t.Context())
		is.Equal(fault.KindOf(err), fault.RateLimited)
		b.Restore(5 * One) // limited to the share of b
		_, err = b.Take(t.Context())
		is.NoErr(err)
		_, err = b.Take(t.Context())
		is.Equal(fault.KindOf(err), fault.RateLimited)
		g.limiters["b"].Close()
	})
}
