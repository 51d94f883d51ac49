package rate

import (
	"fmt"
	"sync"
	"time"

	"toucanfall/fleet"
)

// Gather collects the tokens of one request from the VM's own bucket and from
// loans. What it holds is for this request only. Late answers may come at any
// time, also after the end.
type Gather struct {
	buckets  *Minter
	id       AskID
	key      Key
	need     Amount
	deadline time.Time

	mu       sync.Mutex
	fromOwn  Amount
	askCount int
	borrowed []borrowedPart
	pending  map[AskID]fleet.VMID
	finished bool
}

// Gather begins to collect an amount. The id must be unique in the fleet.
func (m *Minter) Gather(now time.Time, id AskID, key Key, need Amount) *Gather {
	return &Gather{buckets: m, id: id, key: key, need: need, deadline: now.Add(LoanLife), pending: make(map[AskID]fleet.VMID)}
}

// TakeOwn takes what is missing from the VM's own bucket. It is called once.
func (g *Gather) TakeOwn(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.buckets.byKey.Get(g.key)
	if !ok || passed(g.deadline, now) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, g.buckets.lease.Load())
	g.fromOwn = b.takeReserved(g.missing(), g.id, g.deadline)
	g.buckets.lastLoanAt.Store(&now)
	b.checkInvariants()
}

// Short returns what is still missing.
func (g *Gather) Short() Amount {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.missing()
}

func (g *Gather) missing() Amount {
	missing := g.need - g.fromOwn
	for _, p := range g.borrowed {
		missing -= p.amount
	}
	return missing
}

// Ask returns an ask to a VM for what is missing.
func (g *Gather) Ask(to fleet.VMID) Ask {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.askCount++
	id := AskID(fmt.Sprintf("%s/%d", g.id, g.askCount))
	g.pending[id] = to
	return Ask{ID: id, Key: g.key, From: g.buckets.vm, Want: g.missing()}
}

// Accept takes the first answer to an ask. The result is what must go back to
// the lender, if the answer came too late for the request.
func (g *Gather) Accept(now time.Time, a Answer) (Refund, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	to, ok := g.pending[a.ID]
	if !ok {
		return Refund{}, false
	}
	delete(g.pending, a.ID)
	if a.Given <= 0 {
		return Refund{}, false
	}
	if g.finished || passed(g.deadline, now) {
		return Refund{To: to, Return: Return{ID: a.ID, Amount: a.Given}}, true
	}
	g.borrowed = append(g.borrowed, borrowedPart{vm: to, id: a.ID, amount: a.Given})
	return Refund{}, false
}

// Finish ends the gathering. If everything is there in time, the request is
// admitted now; otherwise all that was collected goes back. The lenders are told
// in either case.
func (g *Gather) Finish(now time.Time) (Grant, []Refund, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.finished = true
	stillReserved := g.releaseReservation(now)
	grant := Grant{Key: g.key, Charged: g.need, fromOwn: g.fromOwn, borrowed: g.borrowed}
	if g.missing() <= 0 && !passed(g.deadline, now) {
		g.buckets.auditCharge(now, g.key, g.need)
		return grant, g.landedReturns(), true
	}
	if !stillReserved {
		// The bucket has filled up since, so the own part would come on top.
		grant.fromOwn = 0
	}
	grant.Charged = grant.fromOwn
	for _, p := range g.borrowed {
		grant.Charged += p.amount
	}
	return Grant{}, g.buckets.settle(now, grant, 0, false), false
}

// Keep ends the gathering and puts what was lent into the VM's own bucket, up to
// the burst share. Nothing is admitted: tokens only move to where they can be
// minted again.
func (g *Gather) Keep(now time.Time) []Refund {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.finished = true
	b, ok := g.buckets.byKey.Get(g.key)
	if !ok || passed(g.deadline, now) {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, g.buckets.lease.Load())
	for _, p := range g.borrowed {
		b.credit(p.amount)
	}
	b.checkInvariants()
	return g.landedReturns()
}

// landed tells the lenders that their tokens are not under way any more.
func (g *Gather) landedReturns() []Refund {
	var out []Refund
	for _, p := range g.borrowed {
		out = append(out, Refund{To: p.vm, Return: Return{ID: p.id, Landed: true}})
	}
	return out
}

// unhold ends the hold on the own part and reports whether it still stood.
func (g *Gather) releaseReservation(now time.Time) bool {
	b, ok := g.buckets.byKey.Get(g.key)
	if !ok {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, g.buckets.lease.Load())
	return b.release(g.id)
}
