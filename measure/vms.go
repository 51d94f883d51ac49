package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

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

// vms are the parts of several VMs that tell each other of changes, with
// net/rpc over loopback between them and one log in memory.
type vmCluster struct {
	log    *standin.Log
	vmList []fleet.VM
	vms    []*measuredVM
	// levels go along with each heartbeat.
	levels rate.Digest
	wg     sync.WaitGroup
}

// measuredVM is one of them.
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

	// cut stops all that the VM sends and what it reads from the log.
	cut, logCut atomic.Bool
	// sent and received count bytes of the calls that the VM makes, and calls
	// counts the heartbeats among them.
	sent, received, calls atomic.Int64
}

// startVMs starts n VMs whose heartbeats carry the levels of some teams. They
// must be closed.
func startVMs(n, teams int) (*vmCluster, error) {
	c := &vmCluster{log: standin.NewLog()}
	for i := range teams {
		c.levels = append(c.levels, rate.Level{Key: rate.Key(fmt.Sprintf("team-%d", i)), Amount: 1_000_000})
	}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			c.close()
			return nil, fmt.Errorf("open a peer listener: %w", err)
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
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	v.rec = timeline.New(string(v.id), 1024, logger)
	v.incarnation = fleet.Incarnation(time.Now().UnixMilli())
	v.client = peer.NewClientWithDial(v.dial)
	state := ledger.NewState()
	v.keys = keyring.New(state, v.rec)
	v.follower = ledger.NewFollower(vmLog{v}, state, v.rec, v.applyWithdrawal)
	v.members = membership.New(v.id, v, v, v.heartbeat, v.rec)
	v.replicator = keyring.NewReplicator(v.id, v.keys, v, unreachableLog{}, v.rec)
	v.server = peer.NewServer(guard.NewPanicReporter(v.rec, func(string) {}).Report)
	if err := v.server.Register("VM", &vmService{v}); err != nil {
		return fmt.Errorf("register the service: %w", err)
	}
	v.cluster.wg.Go(func() {
		// The listener ends when the measurement does.
		_ = v.server.Serve(v.listener)
	})
	return nil
}

func (v *measuredVM) applyWithdrawal(_ ledger.Raw, r ledger.Record, verdict ledger.Verdict) {
	if key, ok := ledger.WithdrawnKey(r); ok && verdict.Accepted() {
		v.keys.Withdraw(keyring.Withdrawal{Key: key, By: r.Proposer, At: r.At})
	}
}

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

func (v *measuredVM) call(ctx context.Context, address, method string, args, reply any) error {
	if v.cut.Load() {
		return errCutOff
	}
	return v.client.Call(ctx, address, "VM."+method, args, reply)
}

// VMs is the platform's list.
func (v *measuredVM) VMs(context.Context) ([]fleet.VM, error) { return v.cluster.vmList, nil }

// Heartbeat calls another VM.
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

// Tell calls another VM.
func (v *measuredVM) Tell(ctx context.Context, address string, ws []keyring.Withdrawal) error {
	return v.call(ctx, address, "Tell", ws, new(bool))
}

// Compare calls another VM.
func (v *measuredVM) Compare(ctx context.Context, address string, b keyring.Buckets) (keyring.Difference, error) {
	var d keyring.Difference
	err := v.call(ctx, address, "Compare", b, &d)
	return d, err
}

// dial connects and counts what goes over the connection.
func (v *measuredVM) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, vm: v}, nil
}

// countedConn counts bytes.
type countedConn struct {
	net.Conn
	vm *measuredVM
}

// Read counts what was received.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.vm.received.Add(int64(n))
	return n, err
}

// Write counts what was sent.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.vm.sent.Add(int64(n))
	return n, err
}

// vmService is what a VM offers the others.
type vmService struct{ vm *measuredVM }

// Heartbeat takes a heartbeat and answers with the own one.
func (s *vmService) Heartbeat(b membership.Beat, reply *membership.Beat) error {
	if s.vm.cut.Load() {
		return errCutOff
	}
	*reply = s.vm.members.Receive(b)
	return nil
}

// Tell takes withdrawals.
func (s *vmService) Tell(ws []keyring.Withdrawal, _ *bool) error {
	if s.vm.cut.Load() {
		return errCutOff
	}
	s.vm.replicator.Receive(ws)
	return nil
}

// Compare answers with the withdrawals that differ.
func (s *vmService) Compare(b keyring.Buckets, reply *keyring.Difference) error {
	if s.vm.cut.Load() {
		return errCutOff
	}
	*reply = s.vm.keys.Difference(b)
	return nil
}

// noLog is the log of withdrawals in an outage that does not end.
type unreachableLog struct{}

// Reachable reports that the log does not answer.
func (unreachableLog) Reachable() bool { return false }

// Loaded reports that the state was loaded before the outage.
func (unreachableLog) Loaded() bool { return true }

// Logged returns nothing.
func (unreachableLog) Logged() []keyring.Withdrawal { return nil }

// Has reports false.
func (unreachableLog) Has(fleet.KeyID) bool { return false }

// Append fails.
func (unreachableLog) Append(context.Context, keyring.Withdrawal) error { return errCutOff }

// cutLog is the log as the follower of one VM reaches it.
type vmLog struct{ *measuredVM }

// readWait is how long a read waits for a record, as that of the platform does.
const logReadTimeout = 2 * time.Second

// Append adds records.
func (l vmLog) Append(ctx context.Context, records [][]byte) (fleet.Offset, error) {
	if l.logCut.Load() {
		return 0, fmt.Errorf("%w: %w", ledger.ErrNotSent, errCutOff)
	}
	return l.cluster.log.Append(ctx, records)
}

// Read waits for records.
func (l vmLog) Read(ctx context.Context, from fleet.Offset) ([]ledger.Raw, error) {
	ctx, cancel := context.WithTimeout(ctx, logReadTimeout)
	defer cancel()
	records, err := l.cluster.log.Read(ctx, from)
	if l.logCut.Load() {
		return nil, errCutOff
	}
	return records, err
}

// Peek returns the records that are there.
func (l vmLog) Peek(ctx context.Context, from fleet.Offset) (ledger.Page, error) {
	if l.logCut.Load() {
		return ledger.Page{}, errCutOff
	}
	return l.cluster.log.Peek(ctx, from)
}
