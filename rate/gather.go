package rate

import (
	"fmt"
	"sync"
	"time"

	"toucanfall/fleet"
)

// Gather collects the tokens for one request from the VM's own bucket and from
// loans by other VMs. The tokens are not available to other requests. It is safe
// for concurrent use: answers may arrive at any time, also after Finish or Keep.
type Acquisition struct {
	buckets  *Buckets
	id       AskID
	key      Key
	need     Amount
	deadline time.Time

	mu       sync.Mutex // guards the fields below
	fromOwn  Amount
	askCount int
	borrowed []borrowedPart
	pending  map[AskID]fleet.VMID
	finished bool
}

// Gather starts to collect the amount need. It must finish within LoanLife. The
// id must be unique in the fleet.
func (m *Buckets) StartAcquisition(now time.Time, id AskID, key Key, need Amount) *Acquisition {
	return &Acquisition{buckets: m, id: id, key: key, need: need, deadline: now.Add(LoanLifetime), pending: make(map[AskID]fleet.VMID)}
}

// TakeOwn takes the missing amount, or as much as there is, from the VM's own
// bucket. It must be called at most once.
func (g *Acquisition) TakeOwn(now time.Time) {
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

// Short returns the amount that is still missing.
func (g *Acquisition) Missing() Amount {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.missing()
}

func (g *Acquisition) missing() Amount {
	missing := g.need - g.fromOwn
	for _, p := range g.borrowed {
		missing -= p.amount
	}
	return missing
}

// Ask returns a request to borrow the missing amount from a VM.
func (g *Acquisition) Ask(to fleet.VMID) Ask {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.askCount++
	id := AskID(fmt.Sprintf("%s/%d", g.id, g.askCount))
	g.pending[id] = to
	return Ask{ID: id, Key: g.key, From: g.buckets.vm, Want: g.missing()}
}

// Accept applies the first answer to a borrow request and ignores repeated ones.
// If the answer came too late, it returns true and the refund that must be sent
// back to the lender.
func (g *Acquisition) Accept(now time.Time, a Answer) (Refund, bool) {
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

// Finish ends the collection. It admits the request and reports true if the full
// amount was collected in time; otherwise what was collected is refunded. In
// both cases the caller must send the returned refunds to the lenders.
func (g *Acquisition) Finish(now time.Time) (Grant, []Refund, bool) {
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
		// The reservation has expired and the bucket may have refilled, so a
		// refund would exceed the burst share.
		grant.fromOwn = 0
	}
	grant.Charged = grant.fromOwn
	for _, p := range g.borrowed {
		grant.Charged += p.amount
	}
	return Grant{}, g.buckets.settle(now, grant, 0, false), false
}

// Keep ends the collection and puts the borrowed tokens into the VM's own
// bucket, up to the burst share. No request is admitted: the tokens only move,
// so that the lender's bucket has capacity to refill. The caller must send the
// returned refunds to the lenders. After the deadline of the loans the borrowed
// tokens are lost.
func (g *Acquisition) Deposit(now time.Time) []Refund {
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

// landedReturns returns messages that let the lenders end their reservations,
// since the tokens have arrived.
func (g *Acquisition) landedReturns() []Refund {
	var out []Refund
	for _, p := range g.borrowed {
		out = append(out, Refund{To: p.vm, Return: Return{ID: p.id, Landed: true}})
	}
	return out
}

// releaseReservation ends the reservation for the tokens from the VM's own
// bucket. It reports false if there was none or it had already expired.
func (g *Acquisition) releaseReservation(now time.Time) bool {
	b, ok := g.buckets.byKey.Get(g.key)
	if !ok {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, g.buckets.lease.Load())
	return b.release(g.id)
}
