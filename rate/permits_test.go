package rate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/fault"
)

// TestPermitsBoundWorkInFlight takes eight permits of the fleet on two of
// seven VMs. A ninth is refused until one is given back, however long it takes.
func TestPermitsBoundWorkInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(Limit{0, 8 * 7 * One}, "a", "b", "c", "d", "e", "f", "g")
		for _, m := range g.minters {
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
		// Shares are rounded down, so of eight permits seven are whole.
		_, err := b.Take(t.Context())
		is.Equal(fault.KindOf(err), fault.RateLimited)
		a.Release(held[6])           // most of it was lent, an hour ago
		time.Sleep(2 * quietTime) // within which a refusal is repeated
		_, err = b.Take(t.Context())
		is.NoErr(err)
		g.limiters["a"].Close()
		g.limiters["b"].Close()
	})
}

// TestLostPermitsComeBackOnlyByRecover loses the permits of a holder that died.
func TestLostPermitsComeBackOnlyByRecover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(Limit{0, 2 * One}, "a", "b")
		a, b := NewPermits(g.limiters["a"], testKey), NewPermits(g.limiters["b"], testKey)
		for range 2 {
			_, err := a.Take(t.Context())
			is.NoErr(err)
		}
		time.Sleep(time.Hour) // a died; nobody knows of its loads
		_, err := b.Take(t.Context())
		is.Equal(fault.KindOf(err), fault.RateLimited)
		b.Restore(5 * One) // never above the share of b
		_, err = b.Take(t.Context())
		is.NoErr(err)
		_, err = b.Take(t.Context())
		is.Equal(fault.KindOf(err), fault.RateLimited)
		g.limiters["b"].Close()
	})
}
