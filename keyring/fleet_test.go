package keyring_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"toucanfall/completion"
	"toucanfall/dialect"
	"toucanfall/entry"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/keyring"
	"toucanfall/ledger"
	"toucanfall/membership"
	"toucanfall/operator"
	"toucanfall/settings"
	"toucanfall/standin"
	"toucanfall/timeline"
)

var errLinkCut = errors.New("the link is cut")

// cluster connects VMs, a log and a VM list in memory. In cuts the log is
// named "log".
type cluster struct {
	t   *testing.T
	log *standin.Log
	// withdrawn is when the key was withdrawn.
	withdrawn time.Time
	// peerDelay is how long a call to another VM takes.
	peerDelay time.Duration

	mu      sync.Mutex
	vms     []fleet.VM
	running map[string]*vm
	cuts    map[[2]string]bool
}

// vm is one VM with the components that check a key and distribute its withdrawal.
type vm struct {
	cluster        *cluster
	name           string
	incarnation    fleet.Incarnation
	rec            *timeline.Recorder
	follower       *ledger.Follower
	keyring        *keyring.Keyring
	cutOffDetector *membership.CutOffDetector
	members        *membership.Membership
	replicator     *keyring.Replicator
	commands       *operator.Commands
	entry          *entry.Server
}

func newCluster(t *testing.T, names ...string) *cluster {
	cl := &cluster{t: t, log: standin.NewLog(), running: make(map[string]*vm), cuts: make(map[[2]string]bool)}
	for _, name := range names {
		cl.vms = append(cl.vms, fleet.VM{ID: fleet.VMID(name), Role: fleet.RoleEntry, Address: name, State: fleet.VMLive})
	}
	for _, name := range names {
		cl.start(name)
	}
	return cl
}

// setCut cuts or restores the links between a node and others.
func (cl *cluster) setCut(cut bool, node string, others ...string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, other := range others {
		cl.cuts[[2]string{min(node, other), max(node, other)}] = cut
	}
}

func (cl *cluster) connect(a, b string) (*vm, error) {
	cl.mu.Lock()
	delay := cl.peerDelay
	cl.mu.Unlock()
	if b != "log" {
		time.Sleep(delay)
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.cuts[[2]string{min(a, b), max(a, b)}] {
		return nil, errLinkCut
	}
	v := cl.running[b]
	if v == nil && b != "log" {
		return nil, errLinkCut
	}
	return v, nil
}

// start starts a VM without state, after stopping any VM of the same name.
func (cl *cluster) start(name string) *vm {
	cl.stop(name)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	state := ledger.NewState()
	v := &vm{cluster: cl, name: name, incarnation: fleet.Incarnation(time.Now().UnixMilli()), rec: timeline.New(name, 512, logger)}
	v.keyring = keyring.New(state, v.rec, keyring.RejectWhenCutOff("", func() bool { return v.cutOffDetector.CutOff() }, state.Setting))
	v.follower = ledger.NewFollower(v, state, v.rec, func(_ ledger.Raw, r ledger.Record, verdict ledger.Verdict) {
		if key, ok := ledger.WithdrawnKey(r); ok && verdict.Accepted() {
			v.keyring.Withdraw(keyring.Withdrawal{Key: key, By: r.Proposer, At: r.At})
			v.keyring.MarkLogged(key)
		}
	})
	v.cutOffDetector = membership.NewCutOffDetector(v.follower.LastRead, v.rec)
	v.members = membership.New(fleet.VMID(name), v, v, v.beat, v.rec, v.cutOffDetector.Observe)
	v.replicator = keyring.NewReplicator(fleet.VMID(name), v.keyring, v, logAppender{v}, v.rec)
	v.commands = operator.NewCommands(v.follower, v.replicator, v.rec)
	v.entry = entry.New(entry.Config{
		State:     state,
		Keyring:   v.keyring,
		Completer: endlessEngine{},
		Limiter:   endlessEngine{},
		Queue:     endlessEngine{},
		Recorder:  v.rec,
		Ready:     v.ready,
		Draining:  func() bool { return false },
	})
	cl.mu.Lock()
	cl.running[name] = v
	cl.mu.Unlock()
	return v
}

func (cl *cluster) stop(name string) {
	cl.mu.Lock()
	v := cl.running[name]
	delete(cl.running, name)
	cl.mu.Unlock()
	if v != nil {
		v.replicator.Close()
		v.members.Close()
		v.follower.Close()
	}
}

// close checks the invariants of the running VMs and stops them.
func (cl *cluster) close() {
	for _, known := range cl.vms {
		if v := cl.running[string(known.ID)]; v != nil {
			if err := errors.Join(v.keyring.Check(), v.members.Check()); err != nil {
				cl.t.Error(err)
			}
		}
		cl.stop(string(known.ID))
	}
}

func (v *vm) ready() error {
	if !v.Loaded() || !v.keyring.Loaded() {
		return fault.New(fault.NotReady, "no state")
	}
	return nil
}

func (v *vm) beat() membership.Beat {
	return membership.Beat{
		VM:           fleet.VMID(v.name),
		Incarnation:  v.incarnation,
		LogReachable: v.follower.Reachable(),
		Withdrawals:  v.keyring.Digest(),
		At:           v.rec.Clock.Now(),
	}
}

// VMs returns the platform's VM list, which every VM can always read.
func (v *vm) VMs(context.Context) ([]fleet.VM, error) { return v.cluster.vms, nil }

// Heartbeat calls another VM.
func (v *vm) Heartbeat(_ context.Context, address string, b membership.Beat) (membership.Beat, error) {
	other, err := v.cluster.connect(v.name, address)
	if err != nil {
		return membership.Beat{}, err
	}
	return other.members.Receive(b), nil
}

// Peers returns the other VMs.
func (v *vm) Peers() ([]keyring.Peer, bool) {
	var out []keyring.Peer
	for _, m := range v.members.Members() {
		out = append(out, keyring.Peer{VM: m.VM.ID, Address: m.VM.Address, Digest: m.Beat.Withdrawals, Answering: m.Answering})
	}
	return out, v.members.ListRead()
}

// Tell calls another VM.
func (v *vm) Tell(_ context.Context, address string, ws []keyring.Withdrawal) error {
	other, err := v.cluster.connect(v.name, address)
	if err == nil {
		other.replicator.Receive(ws)
	}
	return err
}

// Compare calls another VM.
func (v *vm) Compare(_ context.Context, address string, b keyring.Buckets) (keyring.Difference, error) {
	other, err := v.cluster.connect(v.name, address)
	if err != nil {
		return keyring.Difference{}, err
	}
	return other.keyring.Difference(b), nil
}

// The methods of keyring.Log.

func (v *vm) Reachable() bool { return v.follower.Reachable() }

func (v *vm) Loaded() bool { return v.follower.Ready() }

func (v *vm) Logged() []keyring.Withdrawal {
	var out []keyring.Withdrawal
	for _, e := range v.follower.State.Withdrawn.Entries() {
		out = append(out, keyring.Withdrawal{Key: e.Value.Key, By: e.Proposer})
	}
	return out
}

func (v *vm) Has(id fleet.KeyID) bool {
	_, ok := v.follower.State.Withdrawn.Get(id)
	return ok
}

// logAppender implements keyring.Log. It is separate from vm, which implements
// ledger.Log, because both interfaces have a method Append.
type logAppender struct{ *vm }

func (v logAppender) Append(ctx context.Context, w keyring.Withdrawal) error {
	r, err := ledger.NewRecord(ledger.KindWithdraw, w.By, w.At, 0, ledger.Withdrawal{Key: w.Key})
	if err != nil {
		return err
	}
	_, err = v.follower.Propose(ctx, r)
	return err
}

// Append and Read implement a ledger.Log whose link can be cut.
func (v *vm) Append(ctx context.Context, records [][]byte) (fleet.Offset, error) {
	if _, err := v.cluster.connect(v.name, "log"); err != nil {
		return 0, fmt.Errorf("%w: %w", ledger.ErrNotSent, err)
	}
	return v.cluster.log.Append(ctx, records)
}

func (v *vm) Read(ctx context.Context, from fleet.Offset) ([]ledger.Raw, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if _, err := v.cluster.connect(v.name, "log"); err != nil {
		return nil, err
	}
	records, err := v.cluster.log.Read(ctx, from)
	if _, cut := v.cluster.connect(v.name, "log"); cut != nil {
		return nil, cut
	}
	return records, err
}

// Peek reads the records that are available, without waiting.
func (v *vm) Peek(ctx context.Context, from fleet.Offset) (ledger.Page, error) {
	if _, err := v.cluster.connect(v.name, "log"); err != nil {
		return ledger.Page{}, err
	}
	return v.cluster.log.Peek(ctx, from)
}

// endlessEngine generates tokens until its caller disconnects. As limiter and
// queue it admits every request immediately.
type endlessEngine struct{}

// Take admits every request.
func (e endlessEngine) Take(context.Context, fleet.TeamID, fleet.Tokens) (entry.Grant, error) {
	return e, nil
}

// Settle ignores the tokens used.
func (endlessEngine) Settle(fleet.Tokens) {}

// Enter admits immediately.
func (endlessEngine) Enter(context.Context, entry.QueuedRequest) (func(), error) {
	return func() {}, nil
}

func (endlessEngine) Run(ctx context.Context, _ completion.Job, sink completion.Sink) (completion.Result, error) {
	for {
		if err := sink.Token(dialect.Chunk{Text: "x"}); err != nil {
			return completion.Result{}, err
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return completion.Result{}, ctx.Err()
		}
	}
}

// execute runs an operator's command on the VM and requires that it is accepted.
func (v *vm) execute(kind ledger.Kind, body any) operator.Outcome {
	v.cluster.t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		v.cluster.t.Fatal(err)
	}
	o, err := v.commands.Do(context.Background(), "mia", kind, operator.Command{Body: b})
	if err != nil || !o.Accepted() {
		v.cluster.t.Fatal(err, o.Err())
	}
	return o
}

func (v *vm) withdraw(key fleet.KeyID) operator.Outcome {
	return v.execute(ledger.KindWithdraw, ledger.Withdrawal{Key: key})
}

// setUp creates a team with the given setting cut_off_keys, a route and keys, and
// returns the secrets of the keys.
func (cl *cluster) setUp(cutOff string, keys ...fleet.KeyID) map[fleet.KeyID]fleet.Secret {
	time.Sleep(5100 * time.Millisecond)
	v := cl.running["a"]
	v.execute(ledger.KindTeam, &fleet.Team{ID: "quotes", Name: "Quotes"})
	v.execute(ledger.KindModel, &fleet.Model{ID: "m", Version: "v1", Size: 1})
	v.execute(ledger.KindRoute, &fleet.Route{ID: "textdesk", Kind: fleet.RouteDraft, Teams: []fleet.TeamID{"quotes"}, Model: "m"})
	v.execute(ledger.KindSetting, &settings.Put{
		Path:  settings.Path{Level: "team/quotes", Name: settings.CutOffKeys},
		Value: settings.Value{RawMessage: json.RawMessage(fmt.Sprintf("%q", cutOff))},
	})
	secrets := make(map[fleet.KeyID]fleet.Secret)
	for _, id := range keys {
		secrets[id] = fleet.NewSecret()
		v.execute(ledger.KindKey, &fleet.Key{ID: id, Team: "quotes", Hash: secrets[id].Hash()})
	}
	time.Sleep(time.Second)
	return secrets
}

// stream sends a streamed completion request, disconnects after hangUp, and
// returns the response.
func (v *vm) stream(hangUp time.Duration, secret fleet.Secret) *httptest.ResponseRecorder {
	ctx, cancel := context.WithTimeout(context.Background(), hangUp)
	defer cancel()
	body := `{"model": "textdesk", "stream": true, "messages": [{"role": "user", "content": "hi"}]}`
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+string(secret))
	r.Header.Set("Content-Type", "application/json")
	rec := httptest.NewRecorder()
	v.entry.Handler().ServeHTTP(rec, r)
	return rec
}

// probe sends a completion request and returns the error code of the response,
// or "" if the request was served.
func (v *vm) probe(secret fleet.Secret) fault.Kind {
	rec := v.stream(time.Millisecond, secret)
	if rec.Code == http.StatusOK {
		return ""
	}
	var body fault.Body
	if err := json.Unmarshal(rec.Body.Bytes(), &body); err != nil {
		v.cluster.t.Error(err)
	}
	return body.Error.Code
}

// loggedBy returns the proposers of a key's withdrawals in the log.
func (cl *cluster) loggedBy(key fleet.KeyID) []string {
	var by []string
	raws, err := cl.log.Read(context.Background(), 1)
	if err != nil {
		cl.t.Fatal(err)
	}
	for _, raw := range raws {
		r, err := ledger.DecodeRecord(raw.Data)
		if err != nil {
			continue
		}
		if id, ok := ledger.WithdrawnKey(r); ok && id == key {
			by = append(by, r.Proposer)
		}
	}
	return slices.Compact(by)
}
