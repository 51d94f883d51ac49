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

// testFleet is several VMs in one process that hold equal shares, with injected
// faults.
type testFleet struct {
	limit    Limit
	buckets  map[fleet.VMID]*Buckets
	limiters map[fleet.VMID]*Limiter
	// answersToLose is how many answers to lose after the lender's debit.
	answersToLose int
	askCount      int
}

func newTestFleet(limit Limit, vms ...fleet.VMID) *testFleet {
	g := &testFleet{limit: limit, buckets: make(map[fleet.VMID]*Buckets), limiters: make(map[fleet.VMID]*Limiter)}
	for _, vm := range vms {
		buckets := NewBuckets(vm, nil)
		buckets.RenewLease(time.Now(), time.Now().Add(24*time.Hour))
		buckets.SetShare(time.Now(), testKey, Limit{limit.Rate / Amount(len(vms)), limit.Burst / Amount(len(vms))}, true)
		g.buckets[vm] = buckets
		g.limiters[vm] = NewLimiter(buckets, NewPeerLevels(), fleetView{g, vm}, fleetView{g, vm})
	}
	return g
}

// fleetView implements Peers and Limits for one VM of a testFleet.
type fleetView struct {
	*testFleet
	vm fleet.VMID
}

func (v fleetView) Limit(Key) Limit { return v.limit }

func (v fleetView) Own(key Key) Limit { return v.buckets[v.vm].ActiveShare(time.Now(), key) }

func (v fleetView) Lenders(key Key) []Lender {
	var out []Lender
	for vm, m := range v.buckets {
		if vm != v.vm {
			out = append(out, Lender{VM: vm, Own: m.ActiveShare(time.Now(), key)})
		}
	}
	return out
}

func (v fleetView) Borrow(ctx context.Context, to fleet.VMID, ask Ask) (Answer, error) {
	v.askCount++
	a := v.buckets[to].Lend(time.Now(), ask)
	if v.answersToLose > 0 {
		v.answersToLose--
		<-ctx.Done()
		return Answer{}, errors.New("the answer was lost")
	}
	return a, nil
}

func (v fleetView) Return(_ context.Context, to fleet.VMID, r Return) error {
	v.buckets[to].AcceptReturn(time.Now(), r)
	return nil
}

func (g *testFleet) totalLevel() Amount {
	var sum Amount
	for _, m := range g.buckets {
		sum += m.Level(time.Now(), testKey)
	}
	return sum
}

// TestRequestSucceedsAfterRetryAfter checks that a rejected request succeeds after its
// retry-after time.
func TestRequestSucceedsAfterRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestFleet(Limit{100 * One, 1000 * One}, "a", "b", "c", "d")
		l := g.limiters["a"]
		_, err := l.Take(t.Context(), "quotes", 1000)
		is.NoErr(err)
		for _, n := range []fleet.Tokens{10, 500, 999} {
			_, err = l.Take(t.Context(), "quotes", n)
			is.Equal(fault.KindOf(err), fault.RateLimited)
			after := fault.From(err).RetryAfter
			// Reservations for loans can stop the lenders' refill for as long as
			// the loans last.
			is.True(after <= time.Duration(n)*10*time.Millisecond+expiryWait(0)+time.Second/100)
			time.Sleep(after)
			_, err = l.Take(t.Context(), "quotes", n)
			is.NoErr(err)
		}
		l.Close()
	})
}

func TestRequestAboveTheBurstIsTooLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestFleet(Limit{100 * One, 1000 * One}, "a", "b")
		_, err := g.limiters["a"].Take(t.Context(), "quotes", 1001)
		is.New(t).Equal(fault.KindOf(err), fault.TooLarge)
	})
}

// TestRefundReachesTheLenders takes all tokens of the fleet on one VM and checks
// that the unused ones are refunded.
func TestRefundReachesTheLenders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestFleet(Limit{0, 1000 * One}, "a", "b", "c", "d")
		grant, err := g.limiters["a"].Take(t.Context(), "quotes", 1000)
		is.NoErr(err)
		is.Equal(g.totalLevel(), Amount(0))
		g.limiters["a"].Settle(grant, 400)
		g.limiters["a"].Close()
		is.Equal(g.totalLevel(), 600*One)
	})
}

// TestBorrowRequestIsRepeatedAfterLostAnswer loses the first answer. The repeated request has
// the same id and must get the tokens that were already debited.
func TestBorrowRequestIsRepeatedAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestFleet(Limit{0, 1000 * One}, "a", "b")
		g.answersToLose = 1
		_, err := g.limiters["a"].Take(t.Context(), "quotes", 1000)
		is.NoErr(err)
		is.Equal(g.totalLevel(), Amount(0))
	})
}

// TestOverloadCausesFewBorrowRequests checks that a team far over its rate causes at most
// one round of borrow requests per rejectionTTL.
func TestOverloadCausesFewBorrowRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestFleet(Limit{100 * One, 1000 * One}, "a", "b", "c", "d")
		for range 1000 {
			_, _ = g.limiters["a"].Take(t.Context(), "quotes", 100)
			time.Sleep(time.Millisecond)
		}
		is.True(g.askCount < 100)
		g.limiters["a"].Close()
	})
}

func TestAdmissionDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	l := newTestFleet(Limit{maxAmount, maxAmount}, "a").limiters["a"]
	allocated := testing.AllocsPerRun(1000, func() {
		g, err := l.Take(context.Background(), "quotes", 600)
		is.NoErr(err)
		l.Settle(g, 200)
	})
	is.Equal(allocated, 0.0)
}

// BenchmarkAdmission charges and settles a request on a VM that has enough
// tokens.
func BenchmarkAdmission(b *testing.B) {
	l := newTestFleet(Limit{maxAmount, maxAmount}, "a").limiters["a"]
	b.ReportAllocs()
	for b.Loop() {
		g, err := l.Take(context.Background(), "quotes", 600)
		if err != nil {
			b.Fatal(err)
		}
		l.Settle(g, 200)
	}
}
