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

// Times of the relay.
const (
	relayInterval = 250 * time.Millisecond
	// relayTimeout bounds one call, of which a snapshot is the longest.
	relayTimeout = 5 * time.Second
)

// logService is what a VM offers peers that cannot read the log, over net/rpc.
type logService struct {
	follower *ledger.Follower
}

// RecordsArgs asks for the records after an offset.
type RecordsArgs struct {
	After fleet.Offset
}

// RecordsReply holds records without a gap. Gone is set if the peer does not
// keep them any more.
type RecordsReply struct {
	Records []ledger.Raw
	Gone    bool
}

// Records gives the records that follow the caller's applied offset.
func (s *logService) Records(args RecordsArgs, reply *RecordsReply) error {
	records, ok := s.follower.RecentRecords(args.After)
	*reply = RecordsReply{Records: records, Gone: !ok}
	return nil
}

// Snapshot gives the whole state of a VM that is ready.
func (s *logService) Snapshot(_ None, reply *ledger.Snapshot) error {
	if !s.follower.Ready() {
		return fault.New(fault.NotReady, "this VM has no state either")
	}
	sn, err := s.follower.Snapshot()
	*reply = sn
	return err
}

// memberList gives what is known of the other VMs.
type memberList interface {
	Members() []membership.Member
}

// peerCaller calls a method of the peer at an address.
type peerCaller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// relay keeps a VM that cannot read the log up to date through its peers.
type relay struct {
	follower *ledger.Follower
	members  memberList
	caller   peerCaller
	rec      *timeline.Recorder
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// newRelay starts the relay. Close stops it.
func newRelay(f *ledger.Follower, members memberList, caller peerCaller, rec *timeline.Recorder) *relay {
	ctx, cancel := context.WithCancel(context.Background())
	r := &relay{follower: f, members: members, caller: caller, rec: rec, cancel: cancel}
	r.wg.Go(func() { loop.EveryAfterDelay(ctx, relayInterval, r.round) })
	return r
}

// Close stops the relay and waits for its goroutine.
func (r *relay) Close() {
	r.cancel()
	r.wg.Wait()
}

// round asks the peer that is furthest ahead, if the log does not answer here.
func (r *relay) round(ctx context.Context) {
	if r.follower.Reachable() {
		return
	}
	address, ok := r.furthest()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	err := r.take(ctx, address)
	if err != nil && !errors.Is(err, ledger.ErrNotNewer) {
		r.rec.Record(event.RelayFailed, timeline.Fields{"peer": address, "reason": err.Error()})
	}
}

// furthest returns the address of the answering peer with the highest applied
// offset. A VM that is ready needs only peers that are ahead of it.
func (r *relay) furthest() (string, bool) {
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

func (r *relay) take(ctx context.Context, address string) error {
	if !r.follower.Ready() {
		return r.takeSnapshot(ctx, address)
	}
	var reply RecordsReply
	args := RecordsArgs{After: r.follower.State.Applied()}
	if err := r.caller.Call(ctx, address, "Log.Records", args, &reply); err != nil {
		return err
	}
	if reply.Gone {
		return r.takeSnapshot(ctx, address)
	}
	return r.follower.ApplyRecords(reply.Records)
}

func (r *relay) takeSnapshot(ctx context.Context, address string) error {
	var sn ledger.Snapshot
	if err := r.caller.Call(ctx, address, "Log.Snapshot", None{}, &sn); err != nil {
		return err
	}
	return r.follower.LoadPeerSnapshot(sn, address)
}

// newLog starts to follow the log, to write snapshots, and to take from peers
// what the log does not give.
func (d *Daemon) newLog(log ledger.Log, state *ledger.State) {
	state.OnRestore(func() { d.heedRestored(state) })
	d.follower = ledger.NewFollower(log, state, d.rec, d.heedWithdrawal, d.history.Observe)
	interval := func() time.Duration {
		return settings.Duration(state.Setting, settings.Scope{}, settings.SnapshotInterval)
	}
	d.snapshots = ledger.NewSnapshotWriter(d.follower, string(d.cfg.VM), interval)
}

// newRelay offers the log to peers and starts the relay from them.
func (d *Daemon) newRelay() error {
	if err := d.peers.Register("Log", &logService{follower: d.follower}); err != nil {
		return fmt.Errorf("register the log service: %w", err)
	}
	d.relay = newRelay(d.follower, d.members, d.links, d.rec)
	return nil
}

// heedRestored refuses the withdrawn keys of a snapshot, whose records the
// observers of the log do not see.
func (d *Daemon) heedRestored(state *ledger.State) {
	for _, e := range state.Withdrawn.Entries() {
		d.keyring.Withdraw(keyring.Withdrawal{Key: e.Value.Key, By: e.Proposer})
		d.keyring.MarkLogged(e.Value.Key)
	}
}
