package measure

import (
	"fmt"
	"time"

	"toucanfall/fleet"
	"toucanfall/rate"
)

// admit returns a grant and the VM that has to settle it.
func (s *rateSim) admit(vm int, key rate.Key, need rate.Amount) (rate.Grant, int, bool) {
	if s.p == policyOwner {
		owner := s.owner(key)
		if vm != owner && !s.reaches(vm, owner) {
			return rate.Grant{}, 0, false
		}
		g, ok := s.minters[owner].Take(s.now, key, need)
		return g, owner, ok
	}
	g, ok := s.minters[vm].Take(s.now, key, need)
	if ok || s.p == policyStatic {
		return g, vm, ok
	}
	g, ok = s.gather(vm, key, need)
	return g, vm, ok
}

// gather borrows as the limiter does.
func (s *rateSim) gather(vm int, key rate.Key, need rate.Amount) (rate.Grant, bool) {
	if _, hopeless := s.books[vm].RecentlyRejected(s.now, key, need); hopeless {
		return rate.Grant{}, false
	}
	g := s.minters[vm].StartAcquisition(s.now, rate.AskID(fmt.Sprint(vm, "/", s.all)), key, need)
	lenders := s.lenders(vm, key)
	g.TakeOwn(s.now)
	for _, l := range lenders {
		if g.Missing() <= 0 {
			break
		}
		s.asks++
		a := s.minter(l.VM).Lend(s.now, g.Ask(l.VM))
		s.books[vm].ReceiveAnswer(s.now, l.VM, key, a)
		g.Accept(s.now, a)
	}
	grant, refunds, ok := g.Finish(s.now)
	s.giveBack(refunds)
	if !ok {
		s.books[vm].RecordRejection(s.now, key, append(lenders, rate.Lender{Own: s.minters[vm].ActiveShare(s.now, key)}))
	}
	return grant, ok
}

// lenders returns the VMs that a VM reaches, the fullest first.
func (s *rateSim) lenders(vm int, key rate.Key) []rate.Lender {
	var out []rate.Lender
	for i, m := range s.minters {
		if s.reaches(vm, i) {
			out = append(out, rate.Lender{VM: rateVM(i), Own: m.ActiveShare(s.now, key)})
		}
	}
	s.books[vm].Estimate(s.now, key, out)
	return out
}

// balance moves tokens as the limiter does between requests.
func (s *rateSim) balance(vm int) {
	for t := range rateTeams {
		key := rateKey(t)
		lenders := s.lenders(vm, key)
		if len(lenders) == 0 {
			continue
		}
		to := lenders[0]
		want := s.minters[vm].BalanceAmount(s.now, key, to)
		if want == 0 {
			continue
		}
		s.asks++
		id := rate.AskID(fmt.Sprint("b/", vm, "/", s.asks))
		g := s.minters[vm].StartAcquisition(s.now, id, key, want)
		a := s.minter(to.VM).Lend(s.now, g.Ask(to.VM))
		s.books[vm].ReceiveAnswer(s.now, to.VM, key, a)
		g.Accept(s.now, a)
		s.giveBack(g.Deposit(s.now))
	}
}

func (s *rateSim) minter(vm fleet.VMID) *rate.Buckets {
	for i, m := range s.minters {
		if rateVM(i) == vm {
			return m
		}
	}
	return nil
}

func (s *rateSim) giveBack(refunds []rate.Refund) {
	for _, r := range refunds {
		s.minter(r.To).AcceptReturn(s.now, r.Return)
	}
}

// ending is the end of a request.
type ending struct {
	at     time.Time
	minter *rate.Buckets
	grant  rate.Grant
	used   rate.Amount
}

func (s *rateSim) end(e ending) {
	s.now = e.at
	s.giveBack(e.minter.Settle(s.now, e.grant, e.used))
}

// endings is a heap by time.
type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push adds an ending.
func (e *endings) Push(x any) { *e = append(*e, x.(ending)) }

// Pop takes the last one out.
func (e *endings) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (s *rateSim) row() []string {
	var excess rate.Amount
	for _, c := range s.checks {
		excess = max(excess, c.MaxExcess())
	}
	return []string{
		string(s.c), string(s.p),
		fmt.Sprint(s.within),
		fmt.Sprintf("%.3f%%", 100*float64(s.refused)/float64(max(1, s.within))),
		fmt.Sprint(excess.Tokens()),
		fmt.Sprintf("%.1f%%", 100*float64(s.admitted)/float64(max(1, s.wanted))),
		fmt.Sprintf("%.2f", float64(s.asks)/float64(s.all)),
	}
}
