package daemon

import (
	"context"
	"sync"

	"toucanfall/membership"
	"toucanfall/timeline"
)

// Heartbeat exchanges beats with the VM at an address.
func (d *Daemon) Heartbeat(ctx context.Context, address string, b membership.Beat) (membership.Beat, error) {
	var reply membership.Beat
	err := d.links.Call(ctx, address, "Peer.Heartbeat", b, &reply)
	return reply, err
}

// Timeline merges the events of this VM and of all peers that answer.
func (d *Daemon) Timeline(ctx context.Context, f timeline.Filter) []timeline.Entry {
	lists := [][]timeline.Entry{d.rec.Entries(f)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range d.members.Members() {
		wg.Go(func() {
			var list []timeline.Entry
			if d.links.Call(ctx, m.VM.Address, "Peer.Timeline", f, &list) != nil {
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

// None is an empty argument or reply. The field is there because gob refuses
// types without any.
type None struct {
	Unused bool
}

// peerService is what this VM offers its peers over net/rpc.
type peerService struct {
	daemon *Daemon
}

// Heartbeat takes a peer's beat and answers with the own one.
func (p *peerService) Heartbeat(b membership.Beat, reply *membership.Beat) error {
	*reply = p.daemon.members.Receive(b)
	return nil
}

// Timeline answers with this VM's events.
func (p *peerService) Timeline(f timeline.Filter, reply *[]timeline.Entry) error {
	*reply = p.daemon.rec.Entries(f)
	return nil
}
