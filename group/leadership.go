package group

import (
	"context"
	"fmt"
	"time"

	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/timeline"
)

// claim writes this VM's claim to be the coordinator if it holds partition 0, has no claim yet
// and need not wait for the previous holder.
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
	own := last.Holder == m.cfg.Self.VM() || last.Holder == ""
	if !own && !last.Released && m.cfg.Now()-since < m.claimDelay(last.Holder) {
		return
	}
	at, err := m.cfg.Store.WriteClaim(ctx, m.cfg.Self.VM(), false, last.Next)
	if err != nil {
		m.cfg.Events.Record(event.ClaimFailed, timeline.Fields{"reason": err.Error()})
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaderSince == since {
		// Offsets begin at 0, but a fence of 0 means none.
		m.fence = at + 1
		m.cfg.Events.Record(event.DutyTaken, timeline.Fields{"fence": fmt.Sprint(m.fence)})
	}
}

// claimDelay returns how long to wait with the claim after partition 0 was assigned to this
// VM. A previous holder that is no longer a member has not joined for its session timeout and
// has given no orders for some time: it was stopped or is out of contact, and engines that
// check fencing tokens reject what it may still send. One that is still a member has lost
// partition 0 in a new assignment, and its lease has to expire first.
func (m *Membership) claimDelay(previous fleet.VMID) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.cfg.Fenced {
		return m.cfg.Lease
	}
	if m.memberList.contains(previous) {
		return m.cfg.Lease
	}
	return 0
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
		m.fence = 0
		m.leaderSince = m.cfg.Now()
	}
}
