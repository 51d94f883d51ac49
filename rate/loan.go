package rate

import (
	"errors"
	"sync"
	"time"

	"toucanfall/fleet"
)

// AskID identifies one ask for a loan. A repeated ask has the same id.
type AskID string

// Ask asks another VM for tokens of a key.
type Ask struct {
	ID   AskID      `json:"id"`
	Key  Key        `json:"key"`
	From fleet.VMID `json:"from"`
	Want Amount     `json:"want"`
}

// Check reports why an ask is not valid.
func (a Ask) Check() error {
	if a.ID == "" || a.Key == "" || a.Want <= 0 {
		return errors.New("an ask needs id, key and an amount above 0")
	}
	return nil
}

// Answer is what an ask got. Given may be less than the ask, or 0.
type Answer struct {
	ID    AskID  `json:"id"`
	Given Amount `json:"given"`
	// Level is what the lender has left.
	Level Amount `json:"level"`
	// Blocked is for how long the lender mints nothing, because what it has
	// lent takes all its room.
	Blocked time.Duration `json:"blocked"`
}

// Return gives back what a request borrowed and did not use.
type Return struct {
	ID     AskID  `json:"id"`
	Amount Amount `json:"amount"`
	// Charged tells that the request was admitted, so that the audit counted
	// the amount.
	Charged bool `json:"charged"`
	// Landed tells only that the tokens are not under way any more: they were
	// admitted, or are in the borrower's bucket. The lender may mint again.
	Landed bool `json:"landed"`
}

// Bounds of what a lender remembers.
const (
	// loanMemory is longer than a request lasts, so that its refund finds the
	// loan.
	loanMemory = 5 * time.Minute
	maxLoans   = 1 << 16
)

// loan is what a lender remembers of an ask that it answered.
type loan struct {
	key      Key
	answer   Answer
	at       time.Time
	returned bool
}

// loans remembers answered asks. A forgotten loan cannot be returned, and an ask
// that comes again after it was forgotten is debited again; both lose tokens
// and make none.
type loans struct {
	mu    sync.Mutex
	byID  map[AskID]*loan
	order []AskID
}

func newLoans() *loans {
	return &loans{byID: make(map[AskID]*loan)}
}

// forget drops loans that are too old or too many.
func (l *loans) forget(now time.Time) {
	for len(l.order) > 0 {
		oldest := l.byID[l.order[0]]
		if len(l.order) <= maxLoans && now.Sub(oldest.at) < loanMemory {
			return
		}
		delete(l.byID, l.order[0])
		l.order = l.order[1:]
	}
}

// put remembers a loan, for good if keep is set: what is not minted again must
// come back however late.
func (l *loans) put(ask Ask, answer Answer, now time.Time, keep bool) {
	l.byID[ask.ID] = &loan{key: ask.Key, answer: answer, at: now}
	if !keep {
		l.order = append(l.order, ask.ID)
	}
}

// Lend answers an ask. It debits before it returns, so that an answer that is
// lost loses tokens and never doubles them, and answers a repeated ask alike.
func (m *Buckets) Lend(now time.Time, ask Ask) Answer {
	m.loans.mu.Lock()
	defer m.loans.mu.Unlock()
	m.loans.forget(now)
	if old, ok := m.loans.byID[ask.ID]; ok {
		return old.answer
	}
	answer := Answer{ID: ask.ID}
	b, ok := m.buckets.Get(ask.Key)
	if !ok {
		return answer
	}
	b.mu.Lock()
	b.touch(now, m.lease.Load())
	// The borrower counts the life of the loan from its ask, which was earlier.
	answer.Given = b.takeHeld(ask.Want, ask.ID, now.Add(LoanLifetime+LoanLifetime/marginFraction))
	answer.Level = b.level
	answer.Blocked = b.blocked(now)
	keep := b.own.Rate == 0
	m.loaned.Store(&now)
	b.check()
	b.mu.Unlock()
	if answer.Given > 0 {
		m.loans.put(ask, answer, now, keep)
	}
	return answer
}

// TakeBack takes what a borrower did not use, once for each loan. What would
// pass the burst share is dropped.
func (m *Buckets) AcceptReturn(now time.Time, r Return) {
	m.loans.mu.Lock()
	defer m.loans.mu.Unlock()
	l, ok := m.loans.byID[r.ID]
	if !ok || l.returned {
		return
	}
	l.returned = !r.Landed
	b, ok := m.buckets.Get(l.key)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.touch(now, m.lease.Load())
	held := b.drop(r.ID)
	if r.Landed {
		return
	}
	if !held && !r.Charged {
		// The bucket has filled up since: the tokens were neither admitted nor
		// kept room for, so they would come on top of a burst.
		return
	}
	credited := b.refund(min(max(0, r.Amount), l.answer.Given))
	b.check()
	if r.Charged {
		m.charged(now, l.key, -credited)
	}
}
