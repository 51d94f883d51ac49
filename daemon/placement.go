package daemon

import (
	"context"
	"slices"

	"toucanfall/dialect"
	"toucanfall/draft"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/membership"
	"toucanfall/placement"
)

// newPlacer starts the VM's placer, which acts if it holds the claim of the
// data centre.
func (d *Daemon) newPlacer(state *ledger.State) {
	// Orders come over connections of their own, so that a busy or lost
	// connection of drafts does not hold them up.
	engines := dialect.NewEngines(d.newTransport())
	d.asked = placement.NewDataCentreDemand(d.demand, demandPeers{d})
	d.placer = placement.New(placement.Config{
		VM:          d.cfg.VM,
		DataCentre:  d.cfg.DataCentre,
		DataCentres: d.cfg.DataCentres,
		State:       state,
		Log:         placerLog{d.follower},
		Upstreams:   d.pool,
		Engines:     engines,
		VMs:         placerVMs{d.members},
		Demand:      d.asked,
		Permits:     placement.NewStaticPermits(len(d.cfg.DataCentres)),
		Recorder:    d.rec,
	})
}

// placerLog is the log as a placer sees it: out of reach until the VM has the
// ordered state.
type placerLog struct {
	*ledger.Follower
}

// Reachable reports whether the log answers and the state is loaded.
func (l placerLog) Reachable() bool {
	return l.Ready() && l.Follower.Reachable()
}

// placerVMs tells which entry VMs can be placers.
type placerVMs struct {
	members *membership.Membership
}

// Answers reports whether a VM answers and is not about to leave.
func (v placerVMs) Answers(vm fleet.VMID) bool {
	return slices.ContainsFunc(v.members.Members(), func(m membership.Member) bool {
		return m.VM.ID == vm && m.Answering && !m.Beat.Leaving
	})
}

// meteredDrafter notes the demand of the drafts that it passes on.
type meteredDrafter struct {
	drafter *draft.Drafter
	demand  *placement.Meter
}

// Run passes a draft on and notes its tokens. A draft for which there was no
// engine counts with the tokens that it might have had.
func (m meteredDrafter) Run(ctx context.Context, job draft.Job, sink draft.Sink) (draft.Result, error) {
	r, err := m.drafter.Run(ctx, job, sink)
	n := r.Tokens
	if fault.KindOf(err) == fault.NoUpstream {
		n = job.MaxTokens
	}
	m.demand.Add(job.Route.Model, fleet.Tokens(n))
	return r, err
}
