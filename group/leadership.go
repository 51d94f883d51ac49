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
func (c *Crew) claim(ctx context.Context) {
	c.mu.Lock()
	needed := c.leaderSince != 0 && c.fence == 0
	since := c.leaderSince
	c.mu.Unlock()
	if !needed {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	last, err := c.cfg.Store.ReadClaim(ctx)
	if err != nil {
		c.cfg.Events.Record(event.ClaimFailed, timeline.Fields{"reason": err.Error()})
		return
	}
	own := last.Holder == c.cfg.Self.VM() || last.Holder == ""
	if !own && !last.Released && c.cfg.Now()-since < c.claimDelay(last.Holder) {
		return
	}
	at, err := c.cfg.Store.WriteClaim(ctx, c.cfg.Self.VM(), false, last.Next)
	if err != nil {
		c.cfg.Events.Record(event.ClaimFailed, timeline.Fields{"reason": err.Error()})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderSince == since {
		// Offsets begin at 0, but a fence of 0 means none.
		c.fence = at + 1
		c.cfg.Events.Record(event.DutyTaken, timeline.Fields{"fence": fmt.Sprint(c.fence)})
	}
}

// claimDelay returns how long to wait with the claim after partition 0 was assigned to this
// VM. A previous holder that is no longer a member has not joined for its session timeout and
// has given no orders for some time: it was stopped or is out of contact, and engines that
// check fencing tokens reject what it may still send. One that is still a member has lost
// partition 0 in a new assignment, and its lease has to expire first.
func (c *Crew) claimDelay(previous fleet.VMID) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.cfg.Fenced {
		return c.cfg.Lease
	}
	if c.memberList.contains(previous) {
		return c.cfg.Lease
	}
	return 0
}

// FencingToken returns the fencing token under which this VM may give orders now, and false if
// it may not because it has no claim or its leadership lease has expired.
func (c *Crew) FencingToken() (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fence == 0 || c.cfg.Now()-c.confirmedAt > leadershipLease {
		return 0, false
	}
	return c.fence, true
}

// FenceRejected reports to the crew that an engine has seen a higher fencing token than fence,
// the one of this VM, which then has to make a new claim. It ignores a fence that is no longer
// current.
func (c *Crew) FenceRejected(fence int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fence == fence {
		c.fence = 0
		c.leaderSince = c.cfg.Now()
	}
}
