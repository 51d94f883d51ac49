package rate

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/fault"
	"toucanfall/fleet"
)

// group is a few VMs in one process, with an even share each and faults on the
// way.
type group struct {
	limit    Limit
	minters  map[fleet.VMID]*Buckets
	limiters map[fleet.VMID]*Limiter
	// lose makes answers get lost after they took effect.
	lose int
	asks int
}

func newGroup(limit Limit, vms ...fleet.VMID) *group {
	g := &group{limit: limit, minters: make(map[fleet.VMID]*Buckets), limiters: make(map[fleet.VMID]*Limiter)}
	for _, vm := range vms {
		m := NewBuckets(vm, nil)
		m.RenewLease(time.Now(), time.Now().Add(24*time.Hour))
		m.SetShare(time.Now(), testKey, Limit{limit.Rate / Amount(len(vms)), limit.Burst / Amount(len(vms))}, true)
		g.minters[vm] = m
		g.limiters[vm] = NewLimiter(m, NewPeerLevels(), view{g, vm}, view{g, vm})
	}
	return g
}

// view is the group as one VM sees it.
type view struct {
	*group
	self fleet.VMID
}

func (v view) Limit(Key) Limit { return v.limit }

func (v view) Own(key Key) Limit { return v.minters[v.self].ActiveShare(time.Now(), key) }

func (v view) Lenders(key Key) []Lender {
	var out []Lender
	for vm, m := range v.minters {
		if vm != v.self {
			out = append(out, Lender{VM: vm, Own: m.ActiveShare(time.Now(), key)})
		}
	}
	return out
}

func (v view) Borrow(ctx context.Context, to fleet.VMID, ask Ask) (Answer, error) {
	v.asks++
	a := v.minters[to].Lend(time.Now(), ask)
	if v.lose > 0 {
		v.lose--
		<-ctx.Done()
		return Answer{}, errors.New("the answer was lost")
	}
	return a, nil
}

func (v view) Return(_ context.Context, to fleet.VMID, r Return) error {
	v.minters[to].AcceptReturn(time.Now(), r)
	return nil
}

func (g *group) level() Amount {
	var sum Amount
	for _, m := range g.minters {
		sum += m.Level(time.Now(), testKey)
	}
	return sum
}

// TestRetryAfterIsTrue comes back after the time that a refusal gave.
func TestRetryAfterIsTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(Limit{100 * One, 1000 * One}, "a", "b", "c", "d")
		l := g.limiters["a"]
		_, err := l.Take(t.Context(), "quotes", 1000)
		is.NoErr(err)
		for _, n := range []fleet.Tokens{10, 500, 999} {
			_, err = l.Take(t.Context(), "quotes", n)
			is.Equal(fault.KindOf(err), fault.RateLimited)
			after := fault.From(err).RetryAfter
			// Loans under way may keep the lenders from minting for their life.
			is.True(after <= time.Duration(n)*10*time.Millisecond+waitOut(0)+time.Second/100)
			time.Sleep(after)
			_, err = l.Take(t.Context(), "quotes", n)
			is.NoErr(err)
		}
		l.Close()
	})
}

func TestRequestAboveTheBurstIsTooLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(Limit{100 * One, 1000 * One}, "a", "b")
		_, err := g.limiters["a"].Take(t.Context(), "quotes", 1001)
		is.New(t).Equal(fault.KindOf(err), fault.TooLarge)
	})
}

// TestRefundReachesTheLenders takes everything on one VM and uses none of it.
func TestRefundReachesTheLenders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(Limit{0, 1000 * One}, "a", "b", "c", "d")
		grant, err := g.limiters["a"].Take(t.Context(), "quotes", 1000)
		is.NoErr(err)
		is.Equal(g.level(), Amount(0))
		g.limiters["a"].Settle(grant, 400)
		g.limiters["a"].Close()
		is.Equal(g.level(), 600*One)
	})
}

// TestLostAnswerIsAskedForAgain loses the first answer; the repeated ask has the
// same id and gets what was debited.
func TestLostAnswerIsAskedForAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(Limit{0, 1000 * One}, "a", "b")
		g.lose = 1
		_, err := g.limiters["a"].Take(t.Context(), "quotes", 1000)
		is.NoErr(err)
		is.Equal(g.level(), Amount(0))
	})
}

// TestOverloadCostsFewAsks refuses a team that is far over its rate at the cost
// of one round of asks in a while.
func TestOverloadCostsFewAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(Limit{100 * One, 1000 * One}, "a", "b", "c", "d")
		for range 1000 {
			_, _ = g.limiters["a"].Take(t.Context(), "quotes", 100)
			time.Sleep(time.Millisecond)
		}
		is.True(g.asks < 100)
		g.limiters["a"].Close()
	})
}

func TestAdmissionDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	l := newGroup(Limit{maxAmount, maxAmount}, "a").limiters["a"]
	allocated := testing.AllocsPerRun(1000, func() {
		g, err := l.Take(context.Background(), "quotes", 600)
		is.NoErr(err)
		l.Settle(g, 200)
	})
	is.Equal(allocated, 0.0)
}

// BenchmarkAdmission charges and settles a request on a VM that has tokens.
func BenchmarkAdmission(b *testing.B) {
	l := newGroup(Limit{maxAmount, maxAmount}, "a").limiters["a"]
	b.ReportAllocs()
	for b.Loop() {
		g, err := l.Take(context.Background(), "quotes", 600)
		if err != nil {
			b.Fatal(err)
		}
		l.Settle(g, 200)
	}
}
