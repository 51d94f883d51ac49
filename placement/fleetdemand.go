package placement

import (
	"context"
	"sync"
	"time"

	"toucanfall/fleet"
)

// Times of asking the other VMs for their demand.
const (
	peerPollInterval = 5 * time.Second
	peerPollTimeout  = 2 * time.Second
	// demandLife is how long the demand of a VM counts that answers no longer:
	// its callers come back through other VMs.
	peerDemandTTL = time.Minute
)

// Peers asks the other VMs of the data centre for their demand. VMs that do not
// answer are left out.
type Peers interface {
	Demands(ctx context.Context) map[fleet.VMID][]ModelDemand
}

// FleetDemand adds up the demand that this VM measures and that of the other
// VMs of its data centre. Only VMs that plan ask the others. It is safe for
// concurrent use.
type FleetDemand struct {
	own   *Meter
	peers Peers
	ctx   context.Context
	stop  context.CancelFunc
	wg    sync.WaitGroup

	mu          sync.Mutex
	lastPoll    time.Time
	lastAnswers map[fleet.VMID]peerDemand
}

// toldDemand is the last answer of another VM.
type peerDemand struct {
	receivedAt time.Time
	models     []ModelDemand
}

// NewFleetDemand returns the demand of a data centre. Close stops it.
func NewFleetDemand(own *Meter, peers Peers) *FleetDemand {
	ctx, stop := context.WithCancel(context.Background())
	return &FleetDemand{own: own, peers: peers, ctx: ctx, stop: stop, lastAnswers: make(map[fleet.VMID]peerDemand)}
}

// Close stops asking and waits for the last answer.
func (d *FleetDemand) Close() {
	d.stop()
	d.wg.Wait()
}

// Demand returns the demand as it is known now, and asks for newer answers in
// the background if the last ones are old.
func (d *FleetDemand) Demand() []ModelDemand {
	sum := make(map[fleet.ModelID]fleet.TokensPerSecond)
	add := func(models []ModelDemand) {
		for _, m := range models {
			sum[m.Model] += m.Tokens
		}
	}
	add(d.own.Demand())
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for vm, answer := range d.lastAnswers {
		if now.Sub(answer.receivedAt) > peerDemandTTL {
			delete(d.lastAnswers, vm)
			continue
		}
		add(answer.models)
	}
	if now.Sub(d.lastPoll) >= peerPollInterval && d.ctx.Err() == nil {
		d.lastPoll = now
		d.wg.Go(d.pollPeers)
	}
	out := make([]ModelDemand, 0, len(sum))
	for id, tokens := range sum {
		out = append(out, ModelDemand{Model: id, Tokens: tokens})
	}
	return out
}

func (d *FleetDemand) pollPeers() {
	ctx, cancel := context.WithTimeout(d.ctx, peerPollTimeout)
	defer cancel()
	answers := d.peers.Demands(ctx)
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for vm, models := range answers {
		d.lastAnswers[vm] = peerDemand{receivedAt: now, models: models}
	}
}
