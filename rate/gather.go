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
	m     *Minter
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

// Gather begins to collect an amount, first from the VM's own bucket. The id
// must be unique in the fleet.
func (m *Minter) Gather(now time.Time, id AskID, key Key, need Amount) *Gather {
	g := &Gather{m: m, id: id, key: key, need: need, until: now.Add(LoanLife), open: make(map[AskID]fleet.VMID)}
	if b, ok := m.buckets.Get(key); ok {
		b.mu.Lock()
		b.touch(now, m.lease.Load())
		g.own = b.takeHeld(need, id, g.until)
		m.loaned.Store(&now)
		b.check()
		b.mu.Unlock()
	}
	return g
}

// Short returns what is still missing.
func (g *Gather) Short() Amount {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.short()
}

func (g *Gather) short() Amount {
	short := g.need - g.own
	for _, p := range g.parts {
		short -= p.amount
	}
	return short
}

// Ask returns an ask to a VM for what is missing.
func (g *Gather) Ask(to fleet.VMID) Ask {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asks++
	id := AskID(fmt.Sprintf("%s/%d", g.id, g.asks))
	g.open[id] = to
	return Ask{ID: id, Key: g.key, From: g.m.vm, Want: g.short()}
}

// Accept takes the first answer to an ask. The result is what must go back to
// the lender, if the answer came too late for the request.
func (g *Gather) Accept(now time.Time, a Answer) (Refund, bool) {
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
// admitted now; otherwise all that was collected goes back.
func (g *Gather) Finish(now time.Time) (Grant, []Refund, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	held := g.unhold(now)
	grant := Grant{Key: g.key, Charged: g.need, own: g.own, parts: g.parts}
	if g.short() <= 0 && !passed(g.until, now) {
		g.m.charged(now, g.key, g.need)
		return grant, nil, true
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

// unhold ends the hold on the own part and reports whether it still stood.
func (g *Gather) unhold(now time.Time) bool {
	b, ok := g.m.buckets.Get(g.key)
	if !ok {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.touch(now, g.m.lease.Load())
	return b.drop(g.id)
}
