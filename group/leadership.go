package group

import (
	"context"
	"fmt"
	"slices"
	"time"

	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/internal/logpos"
	"toucanfall/timeline"
)

// claimant returns this process as the holder of a claim.
func (m *Membership) claimant() Claimant {
	return Claimant{VM: m.cfg.Self.VM(), Process: m.cfg.Self.Process()}
}

// claim writes this VM's claim to be the coordinator if it holds partition 0, has no claim yet
// and need not wait.
func (m *Membership) claim(ctx context.Context) {
	m.mu.Lock()
	needed := m.leaderSince != 0 && m.fence == 0
	since := m.leaderSince
	m.mu.Unlock()
	if !needed {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	last, err := m.cfg.Store.ReadClaim(ctx)
	if err != nil {
		m.cfg.Events.Record(event.ClaimFailed, timeline.Fields{"reason": err.Error()})
		return
	}
	m.checkClaimHistory(ctx, last)
	if m.mustWait(last, since) {
		return
	}
	at, err := m.cfg.Store.WriteClaim(ctx, m.claimant(), false, last.Next)
	if err != nil {
		m.cfg.Events.Record(event.ClaimFailed, timeline.Fields{"reason": err.Error()})
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaderSince == since {
		// Positions begin at 0, but a fence of 0 means none.
		m.fence = at + 1
		m.cfg.Events.Record(event.DutyTaken, timeline.Fields{"fence": fmt.Sprint(m.fence)})
	}
}

// releaseFormerClaim releases the newest claim if it is that of the former process of this VM that
// holds partition 0. That process cannot do so, and its successor would wait for the end of its
// lease. The former process is dead (see endFormerMemberships), so it gives no orders after the
// release. A release that fails is not repeated: without it the successor waits.
func (m *Membership) releaseFormerClaim(ctx context.Context) {
	m.mu.Lock()
	former := m.formerCoordinator
	m.formerCoordinator = ""
	m.mu.Unlock()
	if former == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	holder := Claimant{VM: former.VM(), Process: former.Process()}
	last, err := m.cfg.Store.ReadClaim(ctx)
	if err == nil && last.Holder == holder && !last.Released && !last.copied() {
		_, err = m.cfg.Store.WriteClaim(ctx, holder, true, last.Next)
	}
	if err != nil {
		m.cfg.Events.Record(event.ClaimFailed, timeline.Fields{"reason": "release for a former process: " + err.Error()})
	}
}

// checkClaimHistory ends the wait after the start if the claim history shows that no former process
// of this VM has given orders lately. It reads the history only after a claim that has ended, while
// nothing else keeps this process waiting, and only once unless the read fails: former processes
// make no claims any more.
func (m *Membership) checkClaimHistory(ctx context.Context, last Claim) {
	m.mu.Lock()
	now := m.cfg.Now()
	needed := !m.historyRead && now < m.startWaitUntil && now >= m.ordersAllowedAt &&
		last.Holder != (Claimant{}) && last.Holder.VM != m.cfg.Self.VM() && last.ended()
	m.mu.Unlock()
	if !needed {
		return
	}
	history, err := m.cfg.Store.ReadClaimHistory(ctx, last.Next)
	if err != nil {
		m.cfg.Events.Record(event.ClaimFailed, timeline.Fields{"reason": "claim history: " + err.Error()})
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.historyRead = true
	if !mayHaveHeldClaim(m.cfg.Self.VM(), history, logpos.Position(last.Next).Era()) {
		m.startWaitUntil = 0
	}
}

// mayHaveHeldClaim reports whether a VM may have held a claim while the records of the history were
// written. A holder stops giving orders before the next record of another VM. So the holder of the
// record before the first one counts too, however old its claim is; it is known if the first record
// is a release, which directly follows the claim that it ends. Between the records of two eras of the store
// others may be lost.
func mayHaveHeldClaim(vm fleet.VMID, history []ClaimRecord, era int64) bool {
	if slices.ContainsFunc(history, func(r ClaimRecord) bool { return r.Holder.VM == vm || r.Era != era }) {
		return true
	}
	return len(history) == 0 || history[0].Offset != 0 && !history[0].Released
}

// mustWait reports whether this VM, to which partition 0 was assigned at since, has to wait before
// it makes a claim after the claim last, and records until when. It need not wait after a claim of
// its own VM: if another VM has acted, that was before this claim.
//
// A holder that has not released its claim may act until leadershipLease after the request of its
// last confirmed join, and partition 0 was assigned to this VM after that join. Whether the holder
// is in a member list says nothing about it: a late leave of its VM's former process has ended the
// membership of a holder that was alive, and both VMs gave orders.
func (m *Membership) mustWait(last Claim, since time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.claimAt = 0
	until := m.copyWait(last, since)
	own := last.Holder == (Claimant{}) || last.Holder.VM == m.cfg.Self.VM()
	if own && until == 0 {
		return false
	}
	ordersAllowedAt := m.ordersAllowedAt
	if own {
		ordersAllowedAt = m.ownClaimAllowedAt
	}
	until = max(until, ordersAllowedAt, m.startWaitUntil)
	if !own && !last.ended() {
		until = max(until, since+m.successorWait())
	}
	if m.cfg.Now() >= until {
		return false
	}
	m.claimAt = until
	return true
}

// successorWait returns how long after its assignment a successor waits if the previous holder has
// not released its claim. Engines that check fencing tokens reject commands that arrive after the
// successor's; where they do not, commands of both could alternate within the lease.
func (m *Membership) successorWait() time.Duration {
	if m.cfg.Fenced {
		return leadershipLease + commandFlight
	}
	return m.cfg.Lease
}

// ordersAllowedAfter returns when a process may give orders again whose VM has given some until
// the time at, if another VM has made a claim since. Its last command may have arrived at an engine
// commandFlight later.
func (m *Membership) ordersAllowedAfter(at time.Duration) time.Duration {
	return at + commandFlight + m.cfg.Lease
}

// FencingToken returns the fencing token under which this VM may give orders now, and false if
// it may not because it has no claim or its leadership lease has expired.
func (m *Membership) FencingToken() (int64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fence == 0 || m.cfg.Now()-m.confirmedAt > leadershipLease {
		return 0, false
	}
	return m.fence, true
}

// FenceRejected reports that an engine has seen a higher fencing token than fence, the one of
// this VM, which then has to make a new claim. It ignores a fence that is no longer current.
func (m *Membership) FenceRejected(fence int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fence == fence {
		m.loseClaim(m.cfg.Now())
		m.leaderSince = m.cfg.Now()
	}
}
