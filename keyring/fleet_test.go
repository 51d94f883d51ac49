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

	"toucanfall/dialect"
	"toucanfall/draft"
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

var errCut = errors.New("the link is cut")

// world is a fleet whose VMs, log and list are connected in memory. "log" is
// the name of the log in cuts.
type world struct {
	t   *testing.T
	log *standin.Log
	// withdrawn is when the key was withdrawn.
	withdrawn time.Time
	// peerDelay is the time that a call of another VM takes.
	peerDelay time.Duration

	mu   sync.Mutex
	vms  []fleet.VM
	up   map[string]*vm
	cuts map[[2]string]bool
}

// vm is one VM with all parts that a key passes through.
type vm struct {
	w        *world
	name     string
	born     fleet.Incarnation
	rec      *timeline.Recorder
	follower *ledger.Follower
	ring     *keyring.Keyring
	contact  *membership.CutOffDetector
	members  *membership.Membership
	spread   *keyring.Replicator
	commands *operator.Commands
	entry    *entry.Server
}

func newWorld(t *testing.T, names ...string) *world {
	w := &world{t: t, log: standin.NewLog(), up: make(map[string]*vm), cuts: make(map[[2]string]bool)}
	for _, name := range names {
		w.vms = append(w.vms, fleet.VM{ID: fleet.VMID(name), Role: fleet.RoleEntry, Address: name, State: fleet.VMLive})
	}
	for _, name := range names {
		w.start(name)
	}
	return w
}

// cut cuts a site off from others, or heals the links.
func (w *world) cut(cut bool, site string, others ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, other := range others {
		w.cuts[[2]string{min(site, other), max(site, other)}] = cut
	}
}

func (w *world) reach(a, b string) (*vm, error) {
	w.mu.Lock()
	delay := w.peerDelay
	w.mu.Unlock()
	if b != "log" {
		time.Sleep(delay)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cuts[[2]string{min(a, b), max(a, b)}] {
		return nil, errCut
	}
	v := w.up[b]
	if v == nil && b != "log" {
		return nil, errCut
	}
	return v, nil
}

// start runs a VM without any state, in place of one of the same name.
func (w *world) start(name string) *vm {
	w.stop(name)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	state := ledger.NewState()
	v := &vm{w: w, name: name, born: fleet.Incarnation(time.Now().UnixMilli()), rec: timeline.New(name, 512, logger)}
	v.ring = keyring.New(state, v.rec, keyring.RejectWhenCutOff("", func() bool { return v.contact.CutOff() }, state.Setting))
	v.follower = ledger.NewFollower(v, state, v.rec, func(_ ledger.Raw, r ledger.Record, verdict ledger.Verdict) {
		if key, ok := ledger.WithdrawnKey(r); ok && verdict.Accepted() {
			v.ring.Withdraw(keyring.Withdrawal{Key: key, By: r.Proposer, At: r.At})
			v.ring.MarkLogged(key)
		}
	})
	v.contact = membership.NewCutOffDetector(v.follower.LastRead, v.rec)
	v.members = membership.New(fleet.VMID(name), v, v, v.beat, v.rec, v.contact.Observe)
	v.spread = keyring.NewReplicator(fleet.VMID(name), v.ring, v, logAppender{v}, v.rec)
	v.commands = operator.NewCommands(v.follower, v.spread, v.rec)
	v.entry = entry.New(entry.Config{
		State:    state,
		Keyring:  v.ring,
		Drafter:  endless{},
		Limiter:  endless{},
		Queue:    endless{},
		Recorder: v.rec,
		Ready:    v.ready,
		Draining:  func() bool { return false },
	})
	w.mu.Lock()
	w.up[name] = v
	w.mu.Unlock()
	return v
}

func (w *world) stop(name string) {
	w.mu.Lock()
	v := w.up[name]
	delete(w.up, name)
	w.mu.Unlock()
	if v != nil {
		v.spread.Close()
		v.members.Close()
		v.follower.Close()
	}
}

// close stops all VMs and asserts the invariants of those that still ran.
func (w *world) close() {
	for _, known := range w.vms {
		if v := w.up[string(known.ID)]; v != nil {
			if err := errors.Join(v.ring.Check(), v.members.Check()); err != nil {
				w.t.Error(err)
			}
		}
		w.stop(string(known.ID))
	}
}

func (v *vm) ready() error {
	if !v.Loaded() || !v.ring.Loaded() {
		return fault.New(fault.NotReady, "no state")
	}
	return nil
}

func (v *vm) beat() membership.Beat {
	return membership.Beat{
		VM:           fleet.VMID(v.name),
		Incarnation:  v.born,
		LogReachable: v.follower.Reachable(),
		Withdrawals:  v.ring.Digest(),
		At:           v.rec.Clock.Now(),
	}
}

// VMs is the platform's list, which all VMs reach.
func (v *vm) VMs(context.Context) ([]fleet.VM, error) { return v.w.vms, nil }

// Heartbeat calls another VM.
func (v *vm) Heartbeat(_ context.Context, address string, b membership.Beat) (membership.Beat, error) {
	other, err := v.w.reach(v.name, address)
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
	other, err := v.w.reach(v.name, address)
	if err == nil {
		other.spread.Receive(ws)
	}
	return err
}

// Compare calls another VM.
func (v *vm) Compare(_ context.Context, address string, b keyring.Buckets) (keyring.Difference, error) {
	other, err := v.w.reach(v.name, address)
	if err != nil {
		return keyring.Difference{}, err
	}
	return other.ring.Difference(b), nil
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

// logAppender tells keyring.Log from ledger.Log, which both have an Append.
type logAppender struct{ *vm }

func (v logAppender) Append(ctx context.Context, w keyring.Withdrawal) error {
	r, err := ledger.NewRecord(ledger.KindWithdraw, w.By, w.At, 0, ledger.Withdrawal{Key: w.Key})
	if err != nil {
		return err
	}
	_, err = v.follower.Propose(ctx, r)
	return err
}

// Append and Read make the VM a ledger.Log that can be cut off.
func (v *vm) Append(ctx context.Context, records [][]byte) (fleet.Offset, error) {
	if _, err := v.w.reach(v.name, "log"); err != nil {
		return 0, fmt.Errorf("%w: %w", ledger.ErrNotSent, err)
	}
	return v.w.log.Append(ctx, records)
}

func (v *vm) Read(ctx context.Context, from fleet.Offset) ([]ledger.Raw, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if _, err := v.w.reach(v.name, "log"); err != nil {
		return nil, err
	}
	records, err := v.w.log.Read(ctx, from)
	if _, cut := v.w.reach(v.name, "log"); cut != nil {
		return nil, cut
	}
	return records, err
}

// Peek reads what is there.
func (v *vm) Peek(ctx context.Context, from fleet.Offset) (ledger.Page, error) {
	if _, err := v.w.reach(v.name, "log"); err != nil {
		return ledger.Page{}, err
	}
	return v.w.log.Peek(ctx, from)
}

// endless is an engine that generates until its caller is gone, before which
// nothing is limited.
type endless struct{}

// Take admits everything.
func (e endless) Take(context.Context, fleet.TeamID, fleet.Tokens) (entry.Grant, error) {
	return e, nil
}

// Settle ignores what was used.
func (endless) Settle(fleet.Tokens) {}

// Enter admits at once.
func (endless) Enter(context.Context, entry.QueuedRequest) (func(), error) { return func() {}, nil }

func (endless) Run(ctx context.Context, _ draft.Job, sink draft.Sink) (draft.Result, error) {
	for {
		if err := sink.Token(dialect.Chunk{Text: "x"}); err != nil {
			return draft.Result{}, err
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return draft.Result{}, ctx.Err()
		}
	}
}

// do carries out an operator's command on the VM.
func (v *vm) do(kind ledger.Kind, body any) operator.Outcome {
	v.w.t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		v.w.t.Fatal(err)
	}
	o, err := v.commands.Do(context.Background(), "mia", kind, operator.Command{Body: b})
	if err != nil || !o.Accepted() {
		v.w.t.Fatal(err, o.Err())
	}
	return o
}

func (v *vm) withdraw(key fleet.KeyID) operator.Outcome {
	return v.do(ledger.KindWithdraw, ledger.Withdrawal{Key: key})
}

// setUp makes a team, a route and keys, and returns the secrets of the keys.
func (w *world) setUp(cutOff string, keys ...fleet.KeyID) map[fleet.KeyID]fleet.Secret {
	time.Sleep(5100 * time.Millisecond)
	v := w.up["a"]
	v.do(ledger.KindTeam, &fleet.Team{ID: "quotes", Name: "Quotes"})
	v.do(ledger.KindModel, &fleet.Model{ID: "m", Version: "v1", Size: 1})
	v.do(ledger.KindRoute, &fleet.Route{ID: "textdesk", Kind: fleet.RouteDraft, Teams: []fleet.TeamID{"quotes"}, Model: "m"})
	v.do(ledger.KindSetting, &settings.Put{
		Path:  settings.Path{Level: "team/quotes", Name: settings.CutOffKeys},
		Value: settings.Value{RawMessage: json.RawMessage(fmt.Sprintf("%q", cutOff))},
	})
	secrets := make(map[fleet.KeyID]fleet.Secret)
	for _, id := range keys {
		secrets[id] = fleet.NewSecret()
		v.do(ledger.KindKey, &fleet.Key{ID: id, Team: "quotes", Hash: secrets[id].Hash()})
	}
	time.Sleep(time.Second)
	return secrets
}

// stream sends a draft until it ends or hang-up, and returns what was answered.
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

// answer sends a short draft and returns the kind of the refusal, "" if it was
// served.
func (v *vm) answer(secret fleet.Secret) fault.Kind {
	rec := v.stream(time.Millisecond, secret)
	if rec.Code == http.StatusOK {
		return ""
	}
	var body fault.Body
	if err := json.Unmarshal(rec.Body.Bytes(), &body); err != nil {
		v.w.t.Error(err)
	}
	return body.Error.Code
}

// logged returns who withdrew a key according to the log.
func (w *world) logged(key fleet.KeyID) []string {
	var by []string
	raws, err := w.log.Read(context.Background(), 1)
	if err != nil {
		w.t.Fatal(err)
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
