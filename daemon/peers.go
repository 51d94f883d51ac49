package daemon

import (
	"context"
	"sync"

	"toucanfall/membership"
	"toucanfall/timeline"
)

// Heartbeat sends a heartbeat to the VM at an address and returns its own.
func (d *Daemon) Heartbeat(ctx context.Context, address string, b membership.Beat) (membership.Beat, error) {
	var reply membership.Beat
	err := d.peerClient.Call(ctx, address, "Peer.Heartbeat", b, &reply)
	return reply, err
}

// Timeline merges the events of this VM with those of all peers. Peers whose
// call fails are left out.
func (d *Daemon) Timeline(ctx context.Context, f timeline.Filter) []timeline.Entry {
	lists := [][]timeline.Entry{d.rec.Entries(f)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range d.members.Members() {
		wg.Go(func() {
			var list []timeline.Entry
			if d.peerClient.Call(ctx, m.VM.Address, "Peer.Timeline", f, &list) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			lists = append(lists, list)
		})
	}
	wg.Wait()
	return timeline.Merge(f, lists...)
}

// None is an empty RPC argument or reply. It has a field because gob cannot
// encode a struct without exported fields.
type None struct {
	Unused bool
}

// peerService serves heartbeats and timelines to peers over net/rpc.
type peerService struct {
	daemon *Daemon
}

// Heartbeat receives a peer's heartbeat and returns that of this VM.
func (p *peerService) Heartbeat(b membership.Beat, reply *membership.Beat) error {
	*reply = p.daemon.members.Receive(b)
	return nil
}

// Timeline returns the events of this VM that match f.
func (p *peerService) Timeline(f timeline.Filter, reply *[]timeline.Entry) error {
	*reply = p.daemon.rec.Entries(f)
	return nil
}
