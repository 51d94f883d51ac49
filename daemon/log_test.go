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

// downLog is a log in an outage.
type downLog struct{}

var errDown = errors.New("the log is down")

func (downLog) Append(context.Context, [][]byte) (fleet.Offset, error) { return 0, errDown }

func (downLog) Read(context.Context, fleet.Offset) ([]ledger.Raw, error) { return nil, errDown }

func (downLog) Peek(context.Context, fleet.Offset) (ledger.Page, error) {
	return ledger.Page{}, errDown
}

// memberFunc is a list of members.
type memberFunc func() []membership.Member

func (f memberFunc) Members() []membership.Member { return f() }

func testRecorder() *timeline.Recorder {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return timeline.New("test", 64, logger)
}

// relayPair is a VM that reads the log, and one that only reaches that VM.
type relayPair struct {
	is       *is.I
	ahead    *ledger.Follower
	cut      *ledger.Follower
	cutRelay *relay
	cutKeys  *keyring.Keyring
}

func newRelayPair(t *testing.T) *relayPair {
	p := &relayPair{is: is.New(t)}
	p.ahead = ledger.NewFollower(standin.NewLog(), ledger.NewState(), testRecorder())
	t.Cleanup(p.ahead.Close)
	server := peer.NewServer(func(_ string, p *guard.Panic) { t.Error(p) })
	p.is.NoErr(server.Register("Log", &logService{follower: p.ahead}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	p.is.NoErr(err)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = l.Close(); server.Close() })

	rec := testRecorder()
	state := ledger.NewState()
	p.cutKeys = keyring.New(state, rec)
	d := &Daemon{keyring: p.cutKeys}
	state.OnRestore(func() { d.heedRestored(state) })
	p.cut = ledger.NewFollower(downLog{}, state, rec, d.heedWithdrawal)
	t.Cleanup(p.cut.Close)
	links := peer.NewClient(nil)
	t.Cleanup(links.Close)
	members := memberFunc(func() []membership.Member {
		return []membership.Member{{
			VM:        fleet.VM{Address: l.Addr().String()},
			Beat:      membership.Beat{Applied: p.ahead.State.Applied()},
			Answering: true,
		}}
	})
	p.cutRelay = &relay{follower: p.cut, members: members, caller: links, rec: rec}
	return p
}

func (p *relayPair) propose(kind ledger.Kind, body any) {
	p.is.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for !p.ahead.Ready() || !p.ahead.Reachable() {
		time.Sleep(time.Millisecond)
	}
	r, err := ledger.NewRecord(kind, "tester", timeline.Stamp{}, 0, body)
	p.is.NoErr(err)
	v, err := p.ahead.Propose(ctx, r)
	p.is.NoErr(err)
	p.is.NoErr(v.Err())
}

func (p *relayPair) same() {
	p.is.Helper()
	p.is.Equal(p.cut.State.Applied(), p.ahead.State.Applied())
	p.is.Equal(p.cut.State.Digest(), p.ahead.State.Digest())
}

func TestCutVMKeepsUpThroughItsPeer(t *testing.T) {
	p := newRelayPair(t)
	p.propose(ledger.KindTeam, fleet.Team{ID: "quotes"})
	key := fleet.Key{ID: "k1", Team: "quotes", Hash: fleet.Secret("one").Hash()}
	p.propose(ledger.KindKey, key)
	p.is.True(!p.cut.Ready())
	p.cutRelay.round(context.Background())
	p.is.True(p.cut.Ready()) // started from the peer's snapshot
	p.same()

	p.propose(ledger.KindWithdraw, ledger.Withdrawal{Key: "k1"})
	p.cutRelay.round(context.Background())
	p.same()
	p.is.True(p.cutKeys.Withdrawn("k1")) // relayed records are observed
}

// TestSnapshotOfPeerCarriesWithdrawals covers keys that were withdrawn before
// the snapshot that a VM starts from.
func TestSnapshotOfPeerCarriesWithdrawals(t *testing.T) {
	p := newRelayPair(t)
	p.propose(ledger.KindWithdraw, ledger.Withdrawal{Key: "k1"})
	p.cutRelay.round(context.Background())
	p.same()
	p.is.True(p.cutKeys.Withdrawn("k1"))
}

// TestCutVMFarBehindTakesSnapshot lets a peer forget the records that a cut VM
// needs.
func TestCutVMFarBehindTakesSnapshot(t *testing.T) {
	p := newRelayPair(t)
	p.propose(ledger.KindTeam, fleet.Team{ID: "quotes"})
	p.cutRelay.round(context.Background())
	for i := range 5 {
		name := fmt.Sprintf("%01000000d", i)
		p.propose(ledger.KindTeam, fleet.Team{ID: fleet.TeamID(fmt.Sprint("t", i)), Name: name})
	}
	_, ok := p.ahead.RecentRecords(p.cut.State.Applied())
	p.is.True(!ok)
	p.cutRelay.round(context.Background())
	p.same()
}
