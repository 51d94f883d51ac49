package rate

import (
	"errors"
	"sync"
	"time"

	"toucanfall/fleet"
)

// AskID identifies a borrow request. A repeated request has the same id.
type AskID string

// Ask is a request to borrow tokens of a key from another VM.
type Ask struct {
	ID   AskID      `json:"id"`
	Key  Key        `json:"key"`
	From fleet.VMID `json:"from"`
	Want Amount     `json:"want"`
}

// Check returns an error if the request is invalid.
func (a Ask) Check() error {
	if a.ID == "" || a.Key == "" || a.Want <= 0 {
		return errors.New("an ask needs id, key and an amount above 0")
	}
	return nil
}

// Answer is the answer to an [Ask]. Given may be less than the amount wanted, or
// 0.
type Answer struct {
	ID    AskID  `json:"id"`
	Given Amount `json:"given"`
	// Level is the lender's remaining fill level.
	Level Amount `json:"level"`
	// Blocked is for how long the lender's bucket does not refill, because
	// reservations for loans take all its capacity.
	Blocked time.Duration `json:"blocked"`
}

// Return returns borrowed tokens that a request did not use, or only ends the
// lender's reservation; see Landed.
type Return struct {
	ID     AskID  `json:"id"`
	Amount Amount `json:"amount"`
	// Charged reports that the request was admitted, so that the audit has
	// counted the amount.
	Charged bool `json:"charged"`
	// Landed reports only that the tokens have arrived: they were admitted or
	// are in the borrower's bucket. The lender ends its reservation, so that its
	// bucket can refill.
	Landed bool `json:"landed"`
}

// Bounds for the loans that a lender keeps.
const (
	// loanRetention is longer than a request lasts, so that the loan still exists
	// when the refund arrives.
	loanRetention = 5 * time.Minute
	maxLoans      = 1 << 16
)

// loan is a lender's record of a borrow request that it answered.
type loan struct {
	key      Key
	answer   Answer
	lentAt   time.Time
	returned bool
}

// loans holds the loans that a VM has made. A loan that was evicted cannot be
// returned, and a borrow request repeated after that is debited again. Both lose
// tokens but never create any. Callers of the methods must hold mu, which guards
// all fields.
type loans struct {
	mu    sync.Mutex
	byID  map[AskID]*loan
	order []AskID
}

func newLoans() *loans {
	return &loans{byID: make(map[AskID]*loan)}
}

// evict removes the oldest loans while they are older than loanRetention or there
// are more than maxLoans. Permanent loans are kept.
func (l *loans) evict(now time.Time) {
	for len(l.order) > 0 {
		oldest := l.byID[l.order[0]]
		if len(l.order) <= maxLoans && now.Sub(oldest.lentAt) < loanRetention {
			return
		}
		delete(l.byID, l.order[0])
		l.order = l.order[1:]
	}
}

// put adds a loan. A permanent loan is never evicted: at a rate of zero the
// tokens do not refill, so a return must be accepted at any time.
func (l *loans) put(ask Ask, answer Answer, now time.Time, permanent bool) {
	l.byID[ask.ID] = &loan{key: ask.Key, answer: answer, lentAt: now}
	if !permanent {
		l.order = append(l.order, ask.ID)
	}
}

// Lend answers a borrow request. It debits the bucket before it returns, so that
// a lost answer loses tokens and never duplicates them. A repeated request gets
// the same answer.
func (bs *Buckets) Lend(now time.Time, ask Ask) Answer {
	bs.loans.mu.Lock()
	defer bs.loans.mu.Unlock()
	bs.loans.evict(now)
	if previous, ok := bs.loans.byID[ask.ID]; ok {
		return previous.answer
	}
	answer := Answer{ID: ask.ID}
	b, ok := bs.byKey.Get(ask.Key)
	if !ok {
		return answer
	}
	b.mu.Lock()
	b.advance(now, bs.lease.Load())
	// The borrower's LoanLifetime started earlier, before it sent the request.
	// The margin covers clocks that run at different speeds.
	answer.Given = b.takeReserved(ask.Want, ask.ID, now.Add(LoanLifetime+LoanLifetime/clockMarginDivisor))
	answer.Level = b.fillLevel
	answer.Blocked = b.blocked(now)
	permanent := b.share.Rate == 0
	bs.lastLoanAt.Store(&now)
	b.checkInvariants()
	b.mu.Unlock()
	if answer.Given > 0 {
		bs.loans.put(ask, answer, now, permanent)
	}
	return answer
}

// AcceptReturn credits the tokens that a borrower did not use, once for each
// loan. Tokens above the burst share are discarded.
func (bs *Buckets) AcceptReturn(now time.Time, r Return) {
	bs.loans.mu.Lock()
	defer bs.loans.mu.Unlock()
	l, ok := bs.loans.byID[r.ID]
	if !ok || l.returned {
		return
	}
	l.returned = !r.Landed
	b, ok := bs.byKey.Get(l.key)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, bs.lease.Load())
	stillReserved := b.release(r.ID)
	if r.Landed {
		return
	}
	if !stillReserved && !r.Charged {
		// The tokens were not admitted and are no longer reserved. The bucket may
		// have refilled since, so they could exceed the burst.
		return
	}
	credited := b.refund(min(max(0, r.Amount), l.answer.Given))
	b.checkInvariants()
	if r.Charged {
		bs.auditCharge(now, l.key, -credited)
	}
}
