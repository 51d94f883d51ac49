package coordinator

import (
	"time"

	"toucanfall/fleet"
)

// GatherName is the name at peers of the service that takes the messages of other VMs
// together.
const RelayServiceName = "Gather"

// gatherLife is how old what a VM knows of the coordinator may be for others to hear of
// it: several of its messages.
const gatherLife = time.Second

// Gathering takes the messages of other VMs as peers call it, and answers with what its
// VM was told. So the coordinator of a large fleet hears from few VMs.
type RelayService struct{ c *Client }

// Gathering returns what peers may call.
func (c *Client) RelayService() *RelayService {
	return &RelayService{c}
}

// Sync takes a VM's message, to be sent on with this VM's next one.
func (g *RelayService) Sync(in Sync, out *SyncAnswer) error {
	return g.c.gather(in, out)
}

func (c *Client) gather(in Sync, out *SyncAnswer) error {
	c.take(in)
	c.words.learn(in.Words, string(in.VM), time.Now())
	sum := c.sum()
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.heard) > gatherLife {
		return errNoCoordinator
	}
	own := c.gathered[in.VM].inFlight
	for _, u := range c.cfg.Roster.Upstreams() {
		mine, _ := u.InFlight()
		if n := c.others[u.ID] + mine + sum[u.ID] - own[u.ID]; n > 0 {
			out.Others = append(out.Others, Traffic{Upstream: u.ID, InFlight: n})
		}
	}
	out.Words, out.Told = c.words.since(in.Told)
	out.Known = c.known
	for _, e := range c.held {
		if in.Known.Term != c.known.Term || e.version > in.Known.Version {
			out.Holdings = append(out.Holdings, e.EngineHoldings)
		}
	}
	return nil
}

// take keeps a VM's message until this VM's next one.
func (c *Client) take(in Sync) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gathered[in.VM] = newTraffic(in, time.Now())
	for _, d := range in.Demand {
		c.demand[modelKey{d.Service, d.Model}] += d.Tokens
	}
	for _, u := range in.Uses {
		c.uses[u] = true
	}
}

// gathers reports whether other VMs send over this one.
func (c *Client) gathers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.gathered) > 0
}

// sum adds up what the VMs that send over this one have in flight, and forgets those that
// have sent nothing lately.
func (c *Client) sum() map[fleet.UpstreamID]int {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[fleet.UpstreamID]int)
	for vm, t := range c.gathered {
		if now.After(t.until) {
			delete(c.gathered, vm)
			continue
		}
		for u, n := range t.inFlight {
			out[u] += n
		}
	}
	return out
}
