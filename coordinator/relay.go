package coordinator

import (
	"time"

	"toucanfall/fleet"
)

// RelayServiceName is the name under which net/rpc serves the methods of RelayService.
const RelayServiceName = "Gather"

// maxRelayedAge is the greatest age of the coordinator's last answer at which a relay still
// passes it on. It allows for several lost messages.
const maxRelayedAge = time.Second

// RelayService holds the methods that a relay serves to other VMs by net/rpc. It collects
// their messages for its own next one and answers from the coordinator's last answer, so
// that the coordinator of a large fleet gets messages from few VMs.
type RelayService struct{ c *Client }

// RelayService returns the methods to register with net/rpc.
func (c *Client) RelayService() *RelayService {
	return &RelayService{c}
}

// Sync collects a VM's message for this VM's next one, and answers from the coordinator's
// last answer. It fails if that is older than maxRelayedAge.
func (g *RelayService) Sync(in Sync, out *SyncAnswer) error {
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

// recordRelayed keeps a VM's message until this VM's next one.
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

// isRelay reports whether other VMs send their messages through this one.
func (c *Client) isRelay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.relayedTraffic) > 0
}

// relayedInFlight adds up the requests in flight of the VMs that send through this one, by
// upstream, and drops those whose last message has expired.
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
