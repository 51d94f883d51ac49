package rate

import (
	"fmt"
	"sync"
	"time"

	"toucanfall/fleet"
)

// Acquisition collects the tokens for one request from the VM's own bucket and
// from loans by other VMs. The tokens are not available to other requests. It is
// safe for concurrent use: answers may arrive at any time, also after Finish or
// Deposit.
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

// StartAcquisition starts to collect the amount need. It must finish within
// LoanLifetime. The id must be unique in the fleet.
func (bs *Buckets) StartAcquisition(now time.Time, id AskID, key Key, need Amount) *Acquisition {
	return &Acquisition{buckets: bs, id: id, key: key, need: need, deadline: now.Add(LoanLifetime), pending: make(map[AskID]fleet.VMID)}
}

// TakeOwn takes the missing amount, or as much as there is, from the VM's own
// bucket. It must be called at most once.
func (acq *Acquisition) TakeOwn(now time.Time) {
	acq.mu.Lock()
	defer acq.mu.Unlock()
	b, ok := acq.buckets.byKey.Get(acq.key)
	if !ok || passed(acq.deadline, now) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, acq.buckets.lease.Load())
	acq.fromOwn = b.takeReserved(acq.missing(), acq.id, acq.deadline)
	acq.buckets.lastLoanAt.Store(&now)
	b.checkInvariants()
}

// Missing returns the amount that is still missing.
func (acq *Acquisition) Missing() Amount {
	acq.mu.Lock()
	defer acq.mu.Unlock()
	return acq.missing()
}

func (acq *Acquisition) missing() Amount {
	missing := acq.need - acq.fromOwn
	for _, p := range acq.borrowed {
		missing -= p.amount
	}
	return missing
}

// Ask returns a request to borrow the missing amount from a VM.
func (acq *Acquisition) Ask(to fleet.VMID) Ask {
	acq.mu.Lock()
	defer acq.mu.Unlock()
	acq.askCount++
	id := AskID(fmt.Sprintf("%s/%d", acq.id, acq.askCount))
	acq.pending[id] = to
	return Ask{ID: id, Key: acq.key, From: acq.buckets.vm, Want: acq.missing()}
}

// Accept applies the first answer to a borrow request and ignores repeated ones.
// If the answer came too late, it returns true and the refund that must be sent
// back to the lender.
func (acq *Acquisition) Accept(now time.Time, a Answer) (Refund, bool) {
	acq.mu.Lock()
	defer acq.mu.Unlock()
	to, ok := acq.pending[a.ID]
	if !ok {
		return Refund{}, false
	}
	delete(acq.pending, a.ID)
	if a.Given <= 0 {
		return Refund{}, false
	}
	if acq.finished || passed(acq.deadline, now) {
		return Refund{To: to, Return: Return{ID: a.ID, Amount: a.Given}}, true
	}
	acq.borrowed = append(acq.borrowed, borrowedPart{vm: to, id: a.ID, amount: a.Given})
	return Refund{}, false
}

// Finish ends the acquisition. It admits the request and reports true if the full
// amount was collected in time; otherwise what was collected is refunded. In
// both cases the caller must send the returned refunds to the lenders.
func (acq *Acquisition) Finish(now time.Time) (Grant, []Refund, bool) {
	acq.mu.Lock()
	defer acq.mu.Unlock()
	acq.finished = true
	stillReserved := acq.releaseReservation(now)
	grant := Grant{Key: acq.key, Charged: acq.need, fromOwn: acq.fromOwn, borrowed: acq.borrowed}
	if acq.missing() <= 0 && !passed(acq.deadline, now) {
		acq.buckets.auditCharge(now, acq.key, acq.need)
		return grant, acq.landedReturns(), true
	}
	if !stillReserved {
		// The reservation has expired and the bucket may have refilled, so a
		// refund would exceed the burst share.
		grant.fromOwn = 0
	}
	grant.Charged = grant.fromOwn
	for _, p := range acq.borrowed {
		grant.Charged += p.amount
	}
	return Grant{}, acq.buckets.settle(now, grant, 0, false), false
}

// Deposit ends the acquisition and puts the borrowed tokens into the VM's own
// bucket, up to the burst share. No request is admitted: the tokens only move,
// so that the lender's bucket has capacity to refill. The caller must send the
// returned refunds to the lenders. After the deadline of the loans the borrowed
// tokens are lost.
func (acq *Acquisition) Deposit(now time.Time) []Refund {
	acq.mu.Lock()
	defer acq.mu.Unlock()
	acq.finished = true
	b, ok := acq.buckets.byKey.Get(acq.key)
	if !ok || passed(acq.deadline, now) {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, acq.buckets.lease.Load())
	for _, p := range acq.borrowed {
		b.credit(p.amount)
	}
	b.checkInvariants()
	return acq.landedReturns()
}

// landedReturns returns messages that let the lenders end their reservations,
// since the tokens have arrived.
func (acq *Acquisition) landedReturns() []Refund {
	var out []Refund
	for _, p := range acq.borrowed {
		out = append(out, Refund{To: p.vm, Return: Return{ID: p.id, Landed: true}})
	}
	return out
}

// releaseReservation ends the reservation for the tokens from the VM's own
// bucket. It reports false if there was none or it had already expired.
func (acq *Acquisition) releaseReservation(now time.Time) bool {
	b, ok := acq.buckets.byKey.Get(acq.key)
	if !ok {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, acq.buckets.lease.Load())
	return b.release(acq.id)
}
