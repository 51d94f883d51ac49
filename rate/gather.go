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
type Acquisition struct {
	m     *Buckets
	id    AskID
	key   Key
	need  Amount
	until time.Time

	mu    sync.Mutex
	own   Amount
	asks  int
	parts []part
	open  map[AskID]fleet.VMID
	ended bool
}

// Gather begins to collect an amount. The id must be unique in the fleet.
func (m *Buckets) StartAcquisition(now time.Time, id AskID, key Key, need Amount) *Acquisition {
	return &Acquisition{m: m, id: id, key: key, need: need, until: now.Add(LoanLifetime), open: make(map[AskID]fleet.VMID)}
}

// TakeOwn takes what is missing from the VM's own bucket. It is called once.
func (g *Acquisition) TakeOwn(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.m.buckets.Get(g.key)
	if !ok || passed(g.until, now) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.touch(now, g.m.lease.Load())
	g.own = b.takeHeld(g.short(), g.id, g.until)
	g.m.loaned.Store(&now)
	b.check()
}

// Short returns what is still missing.
func (g *Acquisition) Missing() Amount {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.short()
}

func (g *Acquisition) short() Amount {
	short := g.need - g.own
	for _, p := range g.parts {
		short -= p.amount
	}
	return short
}

// Ask returns an ask to a VM for what is missing.
func (g *Acquisition) Ask(to fleet.VMID) Ask {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asks++
	id := AskID(fmt.Sprintf("%s/%d", g.id, g.asks))
	g.open[id] = to
	return Ask{ID: id, Key: g.key, From: g.m.vm, Want: g.short()}
}

// Accept takes the first answer to an ask. The result is what must go back to
// the lender, if the answer came too late for the request.
func (g *Acquisition) Accept(now time.Time, a Answer) (Refund, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	to, ok := g.open[a.ID]
	if !ok {
		return Refund{}, false
	}
	delete(g.open, a.ID)
	if a.Given <= 0 {
		return Refund{}, false
	}
	if g.ended || passed(g.until, now) {
		return Refund{To: to, Return: Return{ID: a.ID, Amount: a.Given}}, true
	}
	g.parts = append(g.parts, part{vm: to, id: a.ID, amount: a.Given})
	return Refund{}, false
}

// Finish ends the gathering. If everything is there in time, the request is
// admitted now; otherwise all that was collected goes back. The lenders are told
// in either case.
func (g *Acquisition) Finish(now time.Time) (Grant, []Refund, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	held := g.unhold(now)
	grant := Grant{Key: g.key, Charged: g.need, own: g.own, parts: g.parts}
	if g.short() <= 0 && !passed(g.until, now) {
		g.m.charged(now, g.key, g.need)
		return grant, g.landed(), true
	}
	if !held {
		// The bucket has filled up since, so the own part would come on top.
		grant.own = 0
	}
	grant.Charged = grant.own
	for _, p := range g.parts {
		grant.Charged += p.amount
	}
	return Grant{}, g.m.settle(now, grant, 0, false), false
}

// Keep ends the gathering and puts what was lent into the VM's own bucket, up to
// the burst share. Nothing is admitted: tokens only move to where they can be
// minted again.
func (g *Acquisition) Deposit(now time.Time) []Refund {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	b, ok := g.m.buckets.Get(g.key)
	if !ok || passed(g.until, now) {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.touch(now, g.m.lease.Load())
	for _, p := range g.parts {
		b.add(p.amount)
	}
	b.check()
	return g.landed()
}

// landed tells the lenders that their tokens are not under way any more.
func (g *Acquisition) landed() []Refund {
	var out []Refund
	for _, p := range g.parts {
		out = append(out, Refund{To: p.vm, Return: Return{ID: p.id, Landed: true}})
	}
	return out
}

// unhold ends the hold on the own part and reports whether it still stood.
func (g *Acquisition) unhold(now time.Time) bool {
	b, ok := g.m.buckets.Get(g.key)
	if !ok {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.touch(now, g.m.lease.Load())
	return b.drop(g.id)
}
