package placement

import (
	"context"
	"sync"
	"time"

	"toucanfall/fleet"
)

// Times of asking the other VMs for their demand.
const (
	askInterval = 5 * time.Second
	askTimeout  = 2 * time.Second
	// demandLife is how long the demand of a VM counts that answers no longer:
	// its callers come back through other VMs.
	demandLife = time.Minute
)

// Peers asks the other VMs of the data centre for their demand. VMs that do not
// answer are left out.
type Peers interface {
	Demands(ctx context.Context) map[fleet.VMID][]ModelDemand
}

// FleetDemand adds up the demand that this VM measures and that of the other
// VMs of its data centre. Only VMs that plan ask the others. It is safe for
// concurrent use.
type DataCentreDemand struct {
	own   *Meter
	peers Peers
	ctx   context.Context
	stop  context.CancelFunc
	wg    sync.WaitGroup

	mu    sync.Mutex
	asked time.Time
	told  map[fleet.VMID]toldDemand
}

// toldDemand is the last answer of another VM.
type toldDemand struct {
	at     time.Time
	models []ModelDemand
}

// NewFleetDemand returns the demand of a data centre. Close stops it.
func NewDataCentreDemand(own *Meter, peers Peers) *DataCentreDemand {
	ctx, stop := context.WithCancel(context.Background())
	return &DataCentreDemand{own: own, peers: peers, ctx: ctx, stop: stop, told: make(map[fleet.VMID]toldDemand)}
}

// Close stops asking and waits for the last answer.
func (d *DataCentreDemand) Close() {
	d.stop()
	d.wg.Wait()
}

// Demand returns the demand as it is known now, and asks for newer answers in
// the background if the last ones are old.
func (d *DataCentreDemand) Demand() []ModelDemand {
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
	for vm, t := range d.told {
		if now.Sub(t.at) > demandLife {
			delete(d.told, vm)
			continue
		}
		add(t.models)
	}
	if now.Sub(d.asked) >= askInterval && d.ctx.Err() == nil {
		d.asked = now
		d.wg.Go(d.ask)
	}
	out := make([]ModelDemand, 0, len(sum))
	for id, tokens := range sum {
		out = append(out, ModelDemand{Model: id, Tokens: tokens})
	}
	return out
}

func (d *DataCentreDemand) ask() {
	ctx, cancel := context.WithTimeout(d.ctx, askTimeout)
	defer cancel()
	answers := d.peers.Demands(ctx)
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for vm, models := range answers {
		d.told[vm] = toldDemand{at: now, models: models}
	}
}
