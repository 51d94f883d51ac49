package coordinator

import (
	"time"

	"toucanfall/fleet"
)

// GatherName is the name at peers of the service that takes the messages of other VMs
// together.
const GatherName = "Gather"

// gatherLife is how old what a VM knows of the coordinator may be for others to hear of
// it: several of its messages.
const maxRelayedAge = time.Second

// Gathering takes the messages of other VMs as peers call it, and answers with what its
// VM was told. So the coordinator of a large fleet hears from few VMs.
type Gathering struct{ c *Client }

// Gathering returns what peers may call.
func (c *Client) Gathering() *Gathering {
	return &Gathering{c}
}

// Sync takes a VM's message, to be sent on with this VM's next one.
func (g *Gathering) Sync(in Sync, out *SyncAnswer) error {
	return g.c.relaySync(in, out)
}

func (c *Client) relaySync(in Sync, out *SyncAnswer) error {
	c.recordRelayed(in)
	c.notices.apply(in.Words, string(in.VM), time.Now())
	sum := c.relayedInFlight()
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastReceived) > maxRelayedAge {
		return errNoCoordinator
	}
	own := c.relayedTraffic[in.VM].inFlight
	for _, u := range c.cfg.Roster.Upstreams() {
		mine, _ := u.InFlight()
		if n := c.others[u.ID] + mine + sum[u.ID] - own[u.ID]; n > 0 {
			out.Others = append(out.Others, Traffic{Upstream: u.ID, InFlight: n})
		}
	}
	out.Words, out.Told = c.notices.since(in.Told)
	out.Known = c.known
	for _, e := range c.holdings {
		if in.Known.Term != c.known.Term || e.version > in.Known.Version {
			out.Holdings = append(out.Holdings, e.EngineHoldings)
		}
	}
	return nil
}

// take keeps a VM's message until this VM's next one.
func (c *Client) recordRelayed(in Sync) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relayedTraffic[in.VM] = newTraffic(in, time.Now())
	for _, d := range in.Demand {
		c.demand[modelKey{d.Service, d.Model}] += d.Tokens
	}
	for _, u := range in.Uses {
		c.uses[u] = true
	}
}

// gathers reports whether other VMs send over this one.
func (c *Client) isRelay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.relayedTraffic) > 0
}

// sum adds up what the VMs that send over this one have in flight, and forgets those that
// have sent nothing lately.
func (c *Client) relayedInFlight() map[fleet.UpstreamID]int {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[fleet.UpstreamID]int)
	for vm, t := range c.relayedTraffic {
		if now.After(t.expires) {
			delete(c.relayedTraffic, vm)
			continue
		}
		for u, n := range t.inFlight {
			out[u] += n
		}
	}
	return out
}
