package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/loop"
	"toucanfall/keyring"
	"toucanfall/ledger"
	"toucanfall/membership"
	"toucanfall/settings"
	"toucanfall/timeline"
)

// Timing of the relay.
const (
	relayInterval = 250 * time.Millisecond
	// relayTimeout bounds the calls of one step. A snapshot takes longest.
	relayTimeout = 5 * time.Second
)

// logService serves records and snapshots over net/rpc to peers that cannot
// read the log.
type logService struct {
	follower *ledger.Follower
}

// RecordsArgs requests the records after an offset.
type RecordsArgs struct {
	After fleet.Offset
}

// RecordsReply holds consecutive records. Gone is set if the peer no longer
// keeps the requested ones.
type RecordsReply struct {
	Records []ledger.Raw
	Gone    bool
}

// Records returns the recent records that follow the caller's applied offset.
func (s *logService) Records(args RecordsArgs, reply *RecordsReply) error {
	records, ok := s.follower.RecentRecords(args.After)
	*reply = RecordsReply{Records: records, Gone: !ok}
	return nil
}

// Snapshot returns the complete state of this VM, or a NotReady fault before
// the state is loaded.
func (s *logService) Snapshot(_ None, reply *ledger.Snapshot) error {
	if !s.follower.Ready() {
		return fault.New(fault.NotReady, "this VM has no state either")
	}
	sn, err := s.follower.Snapshot()
	*reply = sn
	return err
}

// memberList lists the other VMs with their last heartbeats.
type memberList interface {
	Members() []membership.Member
}

// peerCaller calls an RPC method of the peer at an address.
type peerCaller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// relay keeps the state of a VM that cannot read the log up to date, by reading
// records and snapshots from its peers.
type relay struct {
	follower *ledger.Follower
	members  memberList
	caller   peerCaller
	rec      *timeline.Recorder
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// newRelay starts a relay with its goroutine. Close stops it.
func newRelay(f *ledger.Follower, members memberList, caller peerCaller, rec *timeline.Recorder) *relay {
	ctx, cancel := context.WithCancel(context.Background())
	r := &relay{follower: f, members: members, caller: caller, rec: rec, cancel: cancel}
	r.wg.Go(func() { loop.EveryAfterDelay(ctx, relayInterval, r.pollPeer) })
	return r
}

// Close stops the relay and waits for its goroutine.
func (r *relay) Close() {
	r.cancel()
	r.wg.Wait()
}

// pollPeer catches up with the most advanced peer if this VM cannot reach the
// log. It records a failure, unless the peer merely had nothing newer.
func (r *relay) pollPeer(ctx context.Context) {
	if r.follower.Reachable() {
		return
	}
	address, ok := r.mostAdvancedPeer()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	err := r.catchUp(ctx, address)
	if err != nil && !errors.Is(err, ledger.ErrNotNewer) {
		r.rec.Record(event.RelayFailed, timeline.Fields{"peer": address, "reason": err.Error()})
	}
}

// mostAdvancedPeer returns the address of the available peer with the highest
// applied offset. Once this VM has the state, the peer must be ahead of it.
func (r *relay) mostAdvancedPeer() (string, bool) {
	best, found := membership.Member{}, false
	for _, m := range r.members.Members() {
		if m.Answering && (!found || m.Beat.Applied > best.Beat.Applied) {
			best, found = m, true
		}
	}
	if r.follower.Ready() && best.Beat.Applied <= r.follower.State.Applied() {
		return "", false
	}
	return best.VM.Address, found
}

// catchUp reads the records after this VM's applied offset from a peer. It
// loads a snapshot instead if the VM has no state or the peer no longer keeps
// the records.
func (r *relay) catchUp(ctx context.Context, address string) error {
	if !r.follower.Ready() {
		return r.loadSnapshot(ctx, address)
	}
	var reply RecordsReply
	args := RecordsArgs{After: r.follower.State.Applied()}
	if err := r.caller.Call(ctx, address, "Log.Records", args, &reply); err != nil {
		return err
	}
	if reply.Gone {
		return r.loadSnapshot(ctx, address)
	}
	return r.follower.ApplyRecords(reply.Records)
}

// loadSnapshot replaces this VM's state by a snapshot of a peer.
func (r *relay) loadSnapshot(ctx context.Context, address string) error {
	var sn ledger.Snapshot
	if err := r.caller.Call(ctx, address, "Log.Snapshot", None{}, &sn); err != nil {
		return err
	}
	return r.follower.LoadPeerSnapshot(sn, address)
}

// newLog starts the log follower and the snapshot writer.
func (d *Daemon) newLog(log ledger.Log, state *ledger.State) {
	state.OnRestore(func() { d.applyRestoredWithdrawals(state) })
	d.follower = ledger.NewFollower(log, state, d.rec, d.applyWithdrawal, d.history.Observe)
	interval := func() time.Duration {
		return settings.Duration(state.Setting, settings.Scope{}, settings.SnapshotInterval)
	}
	d.snapshots = ledger.NewSnapshotWriter(d.follower, string(d.cfg.VM), interval)
}

// newRelay registers the log service for peers and starts the relay.
func (d *Daemon) newRelay() error {
	if err := d.peers.Register("Log", &logService{follower: d.follower}); err != nil {
		return fmt.Errorf("register the log service: %w", err)
	}
	d.relay = newRelay(d.follower, d.members, d.peerClient, d.rec)
	return nil
}

// applyRestoredWithdrawals withdraws the keys that a loaded snapshot lists as
// withdrawn. Observers of the log do not see the records behind a snapshot.
func (d *Daemon) applyRestoredWithdrawals(state *ledger.State) {
	for _, e := range state.Withdrawn.Entries() {
		d.keyring.Withdraw(keyring.Withdrawal{Key: e.Value.Key, By: e.Proposer})
		d.keyring.MarkLogged(e.Value.Key)
	}
}
