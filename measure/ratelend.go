package measure

import (
	"fmt"
	"time"

	"toucanfall/fleet"
	"toucanfall/rate"
)

// admit requests tokens for a request at a VM. It returns the grant, the VM that must
// settle it, and whether the request is admitted.
func (s *rateSim) admit(vm int, key rate.Key, charge rate.Amount) (rate.Grant, int, bool) {
	if s.policy == policyOwner {
		owner := s.owner(key)
		if vm != owner && !s.canReach(vm, owner) {
			return rate.Grant{}, 0, false
		}
		g, ok := s.buckets[owner].Take(s.now, key, charge)
		return g, owner, ok
	}
	g, ok := s.buckets[vm].Take(s.now, key, charge)
	if ok || s.policy == policyStatic {
		return g, vm, ok
	}
	g, ok = s.borrow(vm, key, charge)
	return g, vm, ok
}

// borrow acquires tokens from a VM's own bucket and from lenders, as the limiter does.
func (s *rateSim) borrow(vm int, key rate.Key, charge rate.Amount) (rate.Grant, bool) {
	if _, rejected := s.peerLevels[vm].RecentlyRejected(s.now, key, charge); rejected {
		return rate.Grant{}, false
	}
	acquisition := s.buckets[vm].StartAcquisition(s.now, rate.AskID(fmt.Sprint(vm, "/", s.requests)), key, charge)
	lenders := s.lenders(vm, key)
	acquisition.TakeOwn(s.now)
	for _, l := range lenders {
		if acquisition.Missing() <= 0 {
			break
		}
		s.borrowRequests++
		answer := s.bucketsOf(l.VM).Lend(s.now, acquisition.Ask(l.VM))
		s.peerLevels[vm].ReceiveAnswer(s.now, l.VM, key, answer)
		acquisition.Accept(s.now, answer)
	}
	grant, refunds, ok := acquisition.Finish(s.now)
	s.returnRefunds(refunds)
	if !ok {
		s.peerLevels[vm].RecordRejection(s.now, key, append(lenders, rate.Lender{Own: s.buckets[vm].ActiveShare(s.now, key)}))
	}
	return grant, ok
}

// lenders returns the VMs that a VM can reach, the one with the highest estimated fill
// level first.
func (s *rateSim) lenders(vm int, key rate.Key) []rate.Lender {
	var out []rate.Lender
	for i, b := range s.buckets {
		if s.canReach(vm, i) {
			out = append(out, rate.Lender{VM: rateVM(i), Own: b.ActiveShare(s.now, key)})
		}
	}
	s.peerLevels[vm].Estimate(s.now, key, out)
	return out
}

// balance moves tokens from the fullest lender to a VM, as the limiter does between
// requests.
func (s *rateSim) balance(vm int) {
	for t := range rateTeams {
		key := rateKey(t)
		lenders := s.lenders(vm, key)
		if len(lenders) == 0 {
			continue
		}
		lender := lenders[0]
		amount := s.buckets[vm].BalanceAmount(s.now, key, lender)
		if amount == 0 {
			continue
		}
		s.borrowRequests++
		id := rate.AskID(fmt.Sprint("b/", vm, "/", s.borrowRequests))
		acquisition := s.buckets[vm].StartAcquisition(s.now, id, key, amount)
		answer := s.bucketsOf(lender.VM).Lend(s.now, acquisition.Ask(lender.VM))
		s.peerLevels[vm].ReceiveAnswer(s.now, lender.VM, key, answer)
		acquisition.Accept(s.now, answer)
		s.returnRefunds(acquisition.Deposit(s.now))
	}
}

// bucketsOf returns the buckets of a VM, or nil if it is unknown.
func (s *rateSim) bucketsOf(vm fleet.VMID) *rate.Buckets {
	for i, b := range s.buckets {
		if rateVM(i) == vm {
			return b
		}
	}
	return nil
}

// returnRefunds returns tokens to the VMs that lent them.
func (s *rateSim) returnRefunds(refunds []rate.Refund) {
	for _, r := range refunds {
		s.bucketsOf(r.To).AcceptReturn(s.now, r.Return)
	}
}

// completion is the end of an admitted request.
type completion struct {
	at      time.Time
	buckets *rate.Buckets
	grant   rate.Grant
	used    rate.Amount
}

// complete ends a request and settles its grant with the tokens used.
func (s *rateSim) complete(c completion) {
	s.now = c.at
	s.returnRefunds(c.buckets.Settle(s.now, c.grant, c.used))
}

// completionHeap is a heap of completions, ordered by time.
type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a completion.
func (h *completionHeap) Push(x any) { *h = append(*h, x.(completion)) }

// Pop removes and returns the last completion.
func (h *completionHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// tableRow returns the row of the finished simulation.
func (s *rateSim) tableRow() []string {
	var excess rate.Amount
	for _, c := range s.checkers {
		excess = max(excess, c.MaxExcess())
	}
	return []string{
		string(s.scenario), string(s.policy),
		fmt.Sprint(s.withinRate),
		fmt.Sprintf("%.3f%%", 100*float64(s.refused)/float64(max(1, s.withinRate))),
		fmt.Sprint(excess.Tokens()),
		fmt.Sprintf("%.1f%%", 100*float64(s.admitted)/float64(max(1, s.idealAdmitted))),
		fmt.Sprintf("%.2f", float64(s.borrowRequests)/float64(s.requests)),
	}
}
