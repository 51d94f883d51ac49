package daemon

import (
	"context"
	"sync"
	"time"

	"toucanfall/fleet"
	"toucanfall/membership"
	"toucanfall/timeline"
)

// withdrawTimeout bounds the call that tells a peer of a withdrawal.
const withdrawTimeout = 2 * time.Second

// Heartbeat exchanges beats with the VM at an address.
func (d *Daemon) Heartbeat(ctx context.Context, address string, b membership.Beat) (membership.Beat, error) {
	var reply membership.Beat
	err := d.links.Call(ctx, address, "Peer.Heartbeat", b, &reply)
	return reply, err
}

// Withdraw refuses a key here and tells all peers.
func (d *Daemon) Withdraw(key fleet.KeyID) {
	d.keyring.Withdraw(key)
	for _, m := range d.members.Members() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
			defer cancel()
			// A peer that misses the call hears of it from the log.
			_ = d.links.Call(ctx, m.VM.Address, "Peer.Withdraw", WithdrawArgs{Key: key}, &None{})
		}()
	}
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

// WithdrawArgs tells a peer of a withdrawn key.
type WithdrawArgs struct {
	Key fleet.KeyID
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

// Withdraw takes a withdrawal that an operator gave to a peer.
func (p *peerService) Withdraw(args WithdrawArgs, _ *None) error {
	p.daemon.keyring.Withdraw(args.Key)
	return nil
}

// Timeline answers with this VM's events.
func (p *peerService) Timeline(f timeline.Filter, reply *[]timeline.Entry) error {
	*reply = p.daemon.rec.Entries(f)
	return nil
}
