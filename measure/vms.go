package measure

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"toucanfall/fleet"
	"toucanfall/internal/guard"
	"toucanfall/keyring"
	"toucanfall/ledger"
	"toucanfall/membership"
	"toucanfall/peer"
	"toucanfall/rate"
	"toucanfall/standin"
	"toucanfall/timeline"
)

// vmCluster runs the parts of several VMs that propagate changes, connected by net/rpc
// over loopback, with one log in memory.
type vmCluster struct {
	log    *standin.Log
	vmList []fleet.VM
	vms    []*measuredVM
	// levels are the fill levels sent with each heartbeat.
	levels rate.Digest
	wg     sync.WaitGroup
}

// measuredVM is a VM of a vmCluster.
type measuredVM struct {
	cluster     *vmCluster
	id          fleet.VMID
	listener    net.Listener
	server      *peer.Server
	client      *peer.Client
	incarnation fleet.Incarnation
	rec         *timeline.Recorder
	follower    *ledger.Follower
	keys        *keyring.Keyring
	members     *membership.Membership
	replicator  *keyring.Replicator

	// cut makes calls from and to the VM fail, and logCut its calls to the log.
	cut, logCut atomic.Bool
	// sent and received count the bytes of the calls that the VM makes, and calls
	// the heartbeats among them.
	sent, received, calls atomic.Int64
}

// startVMs starts n VMs whose heartbeats carry the fill levels of a number of teams. The
// cluster must be closed.
func startVMs(n, teams int) (*vmCluster, error) {
	c := &vmCluster{log: standin.NewLog()}
	for i := range teams {
		c.levels = append(c.levels, rate.Level{Key: rate.Key(fmt.Sprintf("team-%d", i)), Amount: 1_000_000})
	}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			c.close()
			return nil, fmt.Errorf("listen for peers: %w", err)
		}
		id := fleet.VMID(fmt.Sprintf("entry-at-%d-%d", i%3+1, i))
		c.vmList = append(c.vmList, fleet.VM{ID: id, Role: fleet.RoleEntry, DataCentre: "at-1", Address: l.Addr().String(), State: fleet.VMLive})
		c.vms = append(c.vms, &measuredVM{cluster: c, id: id, listener: l})
	}
	for _, v := range c.vms {
		if err := v.start(); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

func (c *vmCluster) close() {
	for _, v := range c.vms {
		_ = v.listener.Close()
		if v.server == nil {
			continue
		}
		v.replicator.Close()
		v.members.Close()
		v.follower.Close()
		v.client.Close()
		v.server.Close()
	}
	c.wg.Wait()
}

func (v *measuredVM) start() error {
	v.rec = timeline.New(string(v.id), 1024, newDiscardLogger())
	v.incarnation = fleet.Incarnation(time.Now().UnixMilli())
	v.client = peer.NewClientWithDial(v.dial)
	state := ledger.NewState()
	v.keys = keyring.New(state, v.rec)
	v.follower = ledger.NewFollower(vmLog{v}, state, v.rec, v.applyWithdrawal)
	v.members = membership.New(v.id, v, v, v.heartbeat, v.rec)
	v.replicator = keyring.NewReplicator(v.id, v.keys, v, unreachableLog{}, v.rec)
	v.server = peer.NewServer(guard.NewPanicReporter(v.rec, func(string) {}).Report)
	if err := v.server.Register("VM", &vmService{v}); err != nil {
		return fmt.Errorf("register the RPC service: %w", err)
	}
	v.cluster.wg.Go(func() {
		// Serve returns an error when close closes the listener.
		_ = v.server.Serve(v.listener)
	})
	return nil
}

// applyWithdrawal applies a withdrawal of a key that the log has accepted.
func (v *measuredVM) applyWithdrawal(_ ledger.Raw, r ledger.Record, verdict ledger.Verdict) {
	if key, ok := ledger.WithdrawnKey(r); ok && verdict.Accepted() {
		v.keys.Withdraw(keyring.Withdrawal{Key: key, By: r.Proposer, At: r.At})
	}
}

// heartbeat returns the VM's current heartbeat message.
func (v *measuredVM) heartbeat() membership.Beat {
	return membership.Beat{
		VM:           v.id,
		DataCentre:   "at-1",
		Incarnation:  v.incarnation,
		Applied:      v.follower.State.Applied(),
		LogReachable: v.follower.Reachable(),
		Withdrawals:  v.keys.Digest(),
		Levels:       v.cluster.levels,
		At:           v.rec.Clock.Now(),
	}
}

var errCutOff = errors.New("the VM is cut off")

// call calls a method of another VM. It fails if the VM is cut off.
func (v *measuredVM) call(ctx context.Context, address, method string, args, reply any) error {
	if v.cut.Load() {
		return errCutOff
	}
	return v.client.Call(ctx, address, "VM."+method, args, reply)
}

// VMs returns the platform's VM list.
func (v *measuredVM) VMs(context.Context) ([]fleet.VM, error) { return v.cluster.vmList, nil }

// Heartbeat sends a heartbeat to another VM and returns the one in its reply.
func (v *measuredVM) Heartbeat(ctx context.Context, address string, b membership.Beat) (membership.Beat, error) {
	var reply membership.Beat
	v.calls.Add(1)
	err := v.call(ctx, address, "Heartbeat", b, &reply)
	return reply, err
}

// Peers returns the other VMs.
func (v *measuredVM) Peers() ([]keyring.Peer, bool) {
	var out []keyring.Peer
	for _, m := range v.members.Members() {
		out = append(out, keyring.Peer{VM: m.VM.ID, Address: m.VM.Address, Digest: m.Beat.Withdrawals, Answering: m.Answering})
	}
	return out, v.members.ListRead()
}

// Tell sends withdrawals to another VM.
func (v *measuredVM) Tell(ctx context.Context, address string, ws []keyring.Withdrawal) error {
	return v.call(ctx, address, "Tell", ws, new(bool))
}

// Compare sends digests of withdrawals to another VM and returns the withdrawals that
// differ.
func (v *measuredVM) Compare(ctx context.Context, address string, b keyring.Buckets) (keyring.Difference, error) {
	var d keyring.Difference
	err := v.call(ctx, address, "Compare", b, &d)
	return d, err
}

// dial opens a connection whose bytes are counted.
func (v *measuredVM) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, vm: v}, nil
}

// countedConn is a connection that counts the bytes of a VM.
type countedConn struct {
	net.Conn
	vm *measuredVM
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.vm.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.vm.sent.Add(int64(n))
	return n, err
}

// vmService is the RPC service of a VM for its peers. Its methods fail if the VM is cut
// off.
type vmService struct{ vm *measuredVM }

// Heartbeat receives a heartbeat and replies with the VM's own one.
func (s *vmService) Heartbeat(b membership.Beat, reply *membership.Beat) error {
	if s.vm.cut.Load() {
		return errCutOff
	}
	*reply = s.vm.members.Receive(b)
	return nil
}

// Tell receives withdrawals.
func (s *vmService) Tell(ws []keyring.Withdrawal, _ *bool) error {
	if s.vm.cut.Load() {
		return errCutOff
	}
	s.vm.replicator.Receive(ws)
	return nil
}

// Compare replies with the withdrawals that differ.
func (s *vmService) Compare(b keyring.Buckets, reply *keyring.Difference) error {
	if s.vm.cut.Load() {
		return errCutOff
	}
	*reply = s.vm.keys.Difference(b)
	return nil
}

// unreachableLog is a log of withdrawals during a permanent outage, so that withdrawals
// propagate between VMs only.
type unreachableLog struct{}

// Reachable reports that the log does not answer.
func (unreachableLog) Reachable() bool { return false }

// Loaded reports that the state was loaded before the outage.
func (unreachableLog) Loaded() bool { return true }

// Logged returns no withdrawals.
func (unreachableLog) Logged() []keyring.Withdrawal { return nil }

// Has reports false.
func (unreachableLog) Has(fleet.KeyID) bool { return false }

// Append returns an error.
func (unreachableLog) Append(context.Context, keyring.Withdrawal) error { return errCutOff }

// vmLog is the log as the follower of one VM accesses it.
type vmLog struct{ *measuredVM }

// logReadTimeout is the time for which a read waits for a record, the same as the
// platform's.
const logReadTimeout = 2 * time.Second

// Append appends records. It fails with ledger.ErrNotSent if the log is cut.
func (l vmLog) Append(ctx context.Context, records [][]byte) (fleet.Offset, error) {
	if l.logCut.Load() {
		return 0, fmt.Errorf("%w: %w", ledger.ErrNotSent, errCutOff)
	}
	return l.cluster.log.Append(ctx, records)
}

// Read returns the records from an offset on, and waits for one if there are none.
func (l vmLog) Read(ctx context.Context, from fleet.Offset) ([]ledger.Raw, error) {
	ctx, cancel := context.WithTimeout(ctx, logReadTimeout)
	defer cancel()
	records, err := l.cluster.log.Read(ctx, from)
	if l.logCut.Load() {
		return nil, errCutOff
	}
	return records, err
}

// Peek returns the existing records from an offset on without waiting.
func (l vmLog) Peek(ctx context.Context, from fleet.Offset) (ledger.Page, error) {
	if l.logCut.Load() {
		return ledger.Page{}, errCutOff
	}
	return l.cluster.log.Peek(ctx, from)
}
