package placement

import (
	"context"
	"sync"
	"time"

	"toucanfall/fleet"
)

// Times for polling the other VMs for their demand.
const (
	peerPollInterval = 5 * time.Second
	peerPollTimeout  = 2 * time.Second
	// peerDemandTTL is how long the demand of a VM that has stopped answering
	// is counted. Its callers retry through other VMs, which then measure
	// their demand.
	peerDemandTTL = time.Minute
)

// Peers queries the other VMs of the data centre for their demand. VMs that do
// not answer before ctx ends are missing from the result.
type Peers interface {
	Demands(ctx context.Context) map[fleet.VMID][]ModelDemand
}

// DataCentreDemand sums the demand that this VM measures and the demand
// reported by the other VMs of its data centre. It polls them only when Demand
// is called, so only the VM that plans placements causes polls. It is safe for
// concurrent use.
type DataCentreDemand struct {
	own   *Meter
	peers Peers
	ctx   context.Context
	stop  context.CancelFunc
	wg    sync.WaitGroup

	// mu guards the fields below.
	mu          sync.Mutex
	lastPoll    time.Time
	lastAnswers map[fleet.VMID]peerDemand
}

// peerDemand is the last answer of another VM.
type peerDemand struct {
	receivedAt time.Time
	models     []ModelDemand
}

// NewDataCentreDemand returns the demand of a data centre, measured by own and
// reported by peers. Close must be called to end its polls.
func NewDataCentreDemand(own *Meter, peers Peers) *DataCentreDemand {
	ctx, stop := context.WithCancel(context.Background())
	return &DataCentreDemand{own: own, peers: peers, ctx: ctx, stop: stop, lastAnswers: make(map[fleet.VMID]peerDemand)}
}

// Close cancels a running poll and waits for it to end.
func (d *DataCentreDemand) Close() {
	d.stop()
	d.wg.Wait()
}

// Demand returns the demand for each model from the answers received so far.
// If the last poll began at least peerPollInterval ago, it starts another in the
// background.
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

// pollPeers queries the other VMs once and stores their answers.
func (d *DataCentreDemand) pollPeers() {
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
