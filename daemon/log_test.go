package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"toucanfall/fleet"
	"toucanfall/internal/guard"
	"toucanfall/keyring"
	"toucanfall/ledger"
	"toucanfall/membership"
	"toucanfall/peer"
	"toucanfall/standin"
	"toucanfall/timeline"
)

// unavailableLog is a log whose calls all fail.
type unavailableLog struct{}

var errUnavailable = errors.New("the log is unavailable")

func (unavailableLog) Append(context.Context, [][]byte) (fleet.Offset, error) {
	return 0, errUnavailable
}

func (unavailableLog) Read(context.Context, fleet.Offset) ([]ledger.Raw, error) {
	return nil, errUnavailable
}

func (unavailableLog) Peek(context.Context, fleet.Offset) (ledger.Page, error) {
	return ledger.Page{}, errUnavailable
}

// memberFunc implements memberList by a function.
type memberFunc func() []membership.Member

func (f memberFunc) Members() []membership.Member { return f() }

func newTestRecorder() *timeline.Recorder {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return timeline.New("test", 64, logger)
}

// relayPair is a VM that reads the log, and a disconnected VM that reaches only
// the first VM.
type relayPair struct {
	is                *is.I
	connected         *ledger.Follower
	disconnected      *ledger.Follower
	disconnectedRelay *relay
	disconnectedKeys  *keyring.Keyring
}

// newRelayPair starts both VMs. Tests call the relay's pollPeer themselves.
func newRelayPair(t *testing.T) *relayPair {
	p := &relayPair{is: is.New(t)}
	p.connected = ledger.NewFollower(standin.NewLog(), ledger.NewState(), newTestRecorder())
	t.Cleanup(p.connected.Close)
	server := peer.NewServer(func(_ string, p *guard.Panic) { t.Error(p) })
	p.is.NoErr(server.Register("Log", &logService{follower: p.connected}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	p.is.NoErr(err)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = l.Close(); server.Close() })

	rec := newTestRecorder()
	state := ledger.NewState()
	p.disconnectedKeys = keyring.New(state, rec)
	d := &Daemon{keyring: p.disconnectedKeys}
	state.OnRestore(func() { d.applyRestoredWithdrawals(state) })
	p.disconnected = ledger.NewFollower(unavailableLog{}, state, rec, d.applyWithdrawal)
	t.Cleanup(p.disconnected.Close)
	client := peer.NewClient(nil)
	t.Cleanup(client.Close)
	members := memberFunc(func() []membership.Member {
		return []membership.Member{{
			VM:        fleet.VM{Address: l.Addr().String()},
			Beat:      membership.Beat{Applied: p.connected.State.Applied()},
			Answering: true,
		}}
	})
	p.disconnectedRelay = &relay{follower: p.disconnected, members: members, caller: client, rec: rec}
	return p
}

// propose appends a record through the connected VM and waits until it is
// accepted.
func (p *relayPair) propose(kind ledger.Kind, body any) {
	p.is.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for !p.connected.Ready() || !p.connected.Reachable() {
		time.Sleep(time.Millisecond)
	}
	r, err := ledger.NewRecord(kind, "tester", timeline.Stamp{}, 0, body)
	p.is.NoErr(err)
	v, err := p.connected.Propose(ctx, r)
	p.is.NoErr(err)
	p.is.NoErr(v.Err())
}

// requireSameState checks that both VMs have applied the same records.
func (p *relayPair) requireSameState() {
	p.is.Helper()
	p.is.Equal(p.disconnected.State.Applied(), p.connected.State.Applied())
	p.is.Equal(p.disconnected.State.Digest(), p.connected.State.Digest())
}

// TestDisconnectedVMCatchesUpThroughPeer guards against a VM that cannot reach the log
// and misses records or key withdrawals that its peer has.
func TestDisconnectedVMCatchesUpThroughPeer(t *testing.T) {
	p := newRelayPair(t)
	p.propose(ledger.KindTeam, fleet.Team{ID: "quotes"})
	key := fleet.Key{ID: "k1", Team: "quotes", Hash: fleet.Secret("one").Hash()}
	p.propose(ledger.KindKey, key)
	p.is.True(!p.disconnected.Ready())
	p.disconnectedRelay.pollPeer(context.Background())
	p.is.True(p.disconnected.Ready()) // started from the peer's snapshot
	p.requireSameState()

	p.propose(ledger.KindWithdraw, ledger.Withdrawal{Key: "k1"})
	p.disconnectedRelay.pollPeer(context.Background())
	p.requireSameState()
	p.is.True(p.disconnectedKeys.Withdrawn("k1")) // relayed records are observed
}

// TestPeerSnapshotAppliesWithdrawals guards against accepting keys that were
// withdrawn before the snapshot from which a VM starts.
func TestPeerSnapshotAppliesWithdrawals(t *testing.T) {
	p := newRelayPair(t)
	p.propose(ledger.KindWithdraw, ledger.Withdrawal{Key: "k1"})
	p.disconnectedRelay.pollPeer(context.Background())
	p.requireSameState()
	p.is.True(p.disconnectedKeys.Withdrawn("k1"))
}

// TestDisconnectedVMFarBehindLoadsSnapshot guards against a disconnected VM that cannot
// catch up because its peer no longer keeps the records it needs.
func TestDisconnectedVMFarBehindLoadsSnapshot(t *testing.T) {
	p := newRelayPair(t)
	p.propose(ledger.KindTeam, fleet.Team{ID: "quotes"})
	p.disconnectedRelay.pollPeer(context.Background())
	for i := range 5 {
		name := fmt.Sprintf("%01000000d", i)
		p.propose(ledger.KindTeam, fleet.Team{ID: fleet.TeamID(fmt.Sprint("t", i)), Name: name})
	}
	_, ok := p.connected.RecentRecords(p.disconnected.State.Applied())
	p.is.True(!ok)
	p.disconnectedRelay.pollPeer(context.Background())
	p.requireSameState()
}
