package crew

import (
	"context"
	"fmt"
	"time"

	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/timeline"
)

// claim makes the claim on the coordinator's duty when it is this VM's turn.
func (c *Crew) claim(ctx context.Context) {
	c.mu.Lock()
	waiting := c.dutySince != 0 && c.fence == 0
	since := c.dutySince
	c.mu.Unlock()
	if !waiting {
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
	if !own && !last.Released && c.cfg.Now()-since < c.wait(last.Holder) {
		return
	}
	at, err := c.cfg.Store.WriteClaim(ctx, c.cfg.Self.VM(), false, last.Next)
	if err != nil {
		c.cfg.Events.Record(event.ClaimFailed, timeline.Fields{"reason": err.Error()})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dutySince == since {
		// Offsets begin at 0, which is no fence.
		c.fence = at + 1
		c.cfg.Events.Record(event.DutyTaken, timeline.Fields{"fence": fmt.Sprint(c.fence)})
	}
}

// wait returns how long to wait after the duty was dealt to this VM, until its
// claim. A holder that is no member any more has not joined for its Life and has
// given no order for some time: it was stopped, or is out of touch, and engines
// that check fencing tokens refuse what it may still send. One that is still a
// member has lost its duty to a new deal, and its lease has to run out.
func (c *Crew) wait(before fleet.VMID) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.cfg.Fenced {
		return c.cfg.Lease
	}
	if c.roll.has(before) {
		return c.cfg.Lease
	}
	return 0
}

// Duty returns the fencing token under which this VM may give orders now, and
// false if it may not.
func (c *Crew) FencingToken() (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fence == 0 || c.cfg.Now()-c.confirmed > dutyLife {
		return 0, false
	}
	return c.fence, true
}

// Refused tells that an engine has seen a higher fencing token than this VM's:
// the duty has to be claimed anew.
func (c *Crew) FenceRejected(fence int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fence == fence {
		c.fence = 0
		c.dutySince = c.cfg.Now()
	}
}
