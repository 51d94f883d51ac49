package daemon

import (
	"context"
	"sync"

	"toucanfall/fleet"
	"toucanfall/placement"
)

// demandService serves the demand that this VM measures to placers on other
// VMs, over net/rpc.
type demandService struct {
	meter *placement.Meter
}

// Demand returns the demand that this VM measured, by model.
func (s *demandService) Demand(_ None, reply *[]placement.ModelDemand) error {
	*reply = s.meter.Demand()
	return nil
}

// demandPeers queries the demand of the other VMs in this data centre. It
// implements [placement.Peers].
type demandPeers struct {
	daemon *Daemon
}

// Demands queries all available VMs concurrently. VMs whose call fails are
// missing from the result.
func (p demandPeers) Demands(ctx context.Context) map[fleet.VMID][]placement.ModelDemand {
	out := make(map[fleet.VMID][]placement.ModelDemand)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range p.daemon.members.Members() {
		if m.VM.DataCentre != p.daemon.cfg.DataCentre || !m.Answering {
			continue
		}
		wg.Go(func() {
			var models []placement.ModelDemand
			if p.daemon.peerClient.Call(ctx, m.VM.Address, "Placement.Demand", None{}, &models) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[m.VM.ID] = models
		})
	}
	wg.Wait()
	return out
}
