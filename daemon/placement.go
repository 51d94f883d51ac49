package daemon

import (
	"context"
	"slices"

	"toucanfall/completion"
	"toucanfall/dialect"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/membership"
	"toucanfall/placement"
)

// newPlacer starts the VM's placer, which places models only while it holds the
// placer claim of the data centre.
func (d *Daemon) newPlacer(state *ledger.State) {
	// Orders use separate connections, so that busy or lost completion
	// connections do not delay them.
	engines := dialect.NewEngines(d.newTransport())
	d.dataCentreDemand = placement.NewDataCentreDemand(d.demandMeter, demandPeers{d})
	d.placer = placement.New(placement.Config{
		VM:          d.cfg.VM,
		DataCentre:  d.cfg.DataCentre,
		DataCentres: d.cfg.DataCentres,
		State:       state,
		Log:         placerLog{d.follower},
		Upstreams:   d.pool,
		Engines:     engines,
		VMs:         placerVMs{d.members},
		Demand:      d.dataCentreDemand,
		Permits:     placement.NewStaticPermits(len(d.cfg.DataCentres)),
		Recorder:    d.rec,
	})
}

// placerLog is the log for the placer. It counts as unreachable until the VM
// has loaded the replicated state.
type placerLog struct {
	*ledger.Follower
}

// Reachable reports whether the log answers and the state is loaded.
func (l placerLog) Reachable() bool {
	return l.Ready() && l.Follower.Reachable()
}

// placerVMs reports which entry VMs can be placers.
type placerVMs struct {
	members *membership.Membership
}

// Answers reports whether a VM answers heartbeats and is not shutting down.
func (v placerVMs) Answers(vm fleet.VMID) bool {
	return slices.ContainsFunc(v.members.Members(), func(m membership.Member) bool {
		return m.VM.ID == vm && m.Answering && !m.Beat.Leaving
	})
}

// meteredClient measures the token demand of the completion requests that it
// runs.
type meteredClient struct {
	client *completion.Client
	meter  *placement.Meter
}

// Run runs a completion request and adds its tokens to the demand of its model.
// A request that found no engine counts with its token limit.
func (m meteredClient) Run(ctx context.Context, job completion.Job, sink completion.Sink) (completion.Result, error) {
	r, err := m.client.Run(ctx, job, sink)
	n := r.Tokens
	if fault.KindOf(err) == fault.NoUpstream {
		n = job.MaxTokens
	}
	m.meter.Add(job.Route.Model, fleet.Tokens(n))
	return r, err
}
