package control_test

import (
	"bytes"
	"context"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"toucanfall/control"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/keyring"
	"toucanfall/ledger"
	"toucanfall/membership"
	"toucanfall/operator"
	"toucanfall/timeline"
)

// vm is an operators' listener over a state whose log is in memory.
type vm struct {
	state   *ledger.State
	history operator.History
	members []membership.Member
	down    bool
	heard   map[fleet.KeyID]bool
}

func (v *vm) Propose(_ context.Context, r ledger.Record) (ledger.Verdict, error) {
	if v.down {
		return ledger.Verdict{}, fault.New(fault.StoreUnavailable, "outage")
	}
	raw := ledger.Raw{Offset: v.state.Applied() + 1}
	verdict := v.state.Apply(raw.Offset, r)
	v.history.Observe(raw, r, verdict)
	return verdict, nil
}

func (v *vm) Withdraw(_ context.Context, w keyring.Withdrawal) keyring.Reach {
	v.heard[w.Key] = true
	return keyring.Reach{Informed: []fleet.VMID{"a", "b"}, Missed: []fleet.VMID{"c"}}
}

func (v *vm) Timeline(context.Context, timeline.Filter) []timeline.Entry { return nil }

func (v *vm) Members() []membership.Member { return v.members }

func (v *vm) Pending() []keyring.Withdrawal {
	var out []keyring.Withdrawal
	for id := range v.heard {
		if _, logged := v.state.Withdrawn.Get(id); !logged {
			out = append(out, keyring.Withdrawal{Key: id})
		}
	}
	return out
}

// ctl runs toucanctl against the VM.
type ctl func(args ...string) (code int, stdout, stderr string)

func newVM(t *testing.T) (*vm, ctl) {
	t.Helper()
	is := is.New(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	rec := timeline.New("a", 16, logger)
	v := &vm{state: ledger.NewState(), heard: make(map[fleet.KeyID]bool)}
	queries := &operator.Queries{
		State:       v.state,
		Self:        func() membership.Beat { return membership.Beat{VM: "a", Applied: v.state.Applied()} },
		Members:     v,
		Withdrawals: v,
		Withdrawn:   func(id fleet.KeyID) bool { return v.heard[id] },
		History:     &v.history,
		Timelines:   v,
	}
	secret := fleet.NewSecret()
	s := httptest.NewServer(operator.New(secret.Hash(), v.state, operator.NewCommands(v, v, rec), queries).Handler())
	t.Cleanup(s.Close)
	file := filepath.Join(t.TempDir(), "credential")
	is.NoErr(os.WriteFile(file, []byte(secret), 0o600))
	return v, func(args ...string) (int, string, string) {
		var stdout, stderr bytes.Buffer
		code := control.Main(append([]string{"--vm", s.URL, "--credential-file", file}, args...), &stdout, &stderr)
		return code, stdout.String(), stderr.String()
	}
}

// steps are commands in order: arguments, exit code, and what is shown.
type step struct {
	args string
	code int
	want string
}

func (run ctl) steps(t *testing.T, steps []step) {
	t.Helper()
	for _, s := range steps {
		code, stdout, stderr := run(strings.Fields(s.args)...)
		if code != s.code || !strings.Contains(stdout+stderr, s.want) {
			t.Errorf("toucanctl %s: exit code %d, want %d with %q:\n%s%s", s.args, code, s.code, s.want, stdout, stderr)
		}
	}
}

func TestExitCodes(t *testing.T) {
	v, run := newVM(t)
	run.steps(t, []step{
		{"team put quotes --name Quotes", 0, "accepted"},
		{"team list", 0, "quotes"},
		{"team put quotes --name Other", 3, `current value at revision 1: {"id":"quotes","name":"Quotes"}`},
		{"team put quotes --name Other --base 1", 0, "accepted"},
		{"team put Quotes", 2, "must have 1 to 63 characters"},
		{"model put m --size 0", 2, "size_bytes must be above 0"},
		{"key create nobody k", 1, `team "nobody" does not exist`},
		{"key create quotes k", 0, "tf_"},
		{"settings set team/quotes:burst_tokens 200000", 0, "accepted"},
		{"settings set team/quotes:burst_tokens 5", 3, "200000"},
		{"settings set team/quotes:burst 5", 2, `unknown setting "burst"`},
		{"settings set quotes 5", 2, "must be LEVEL:NAME"},
		{"settings set fleet:deadline 5", 2, "must be a string with a unit"},
		{"settings show --explain burst_tokens --team quotes", 0, "team/quotes  200000  true"},
		{"settings show --effective --team quotes", 0, "default"},
		{"settings show --explain burst", 2, "the settings are rate_tokens_per_second"},
		{"history team/quotes:burst_tokens", 0, "conflict"},
		{"history team/quotes", 0, "every change since offset 1 is shown"},
		{"history quotes", 2, "KIND/ID"},
		{"operator put mia --access read", 0, "tf_"},
		{"operator list", 0, "mia"},
		{"timeline --team quotes --request r", 2, "exclude each other"},
		{"key", 2, "create, list or withdraw"},
		{"--help", 0, "Exit codes"},
		{"--certificate x status", 2, "belong together"},
		{"--vm http://127.0.0.1:1 status", 4, "cannot reach the VM"},
	})
	v.down = true
	run.steps(t, []step{{"team put planning", 4, "outage"}})
}

// TestWithdrawalDuringOutage asserts what the operator is told.
func TestWithdrawalDuringOutage(t *testing.T) {
	v, run := newVM(t)
	run.steps(t, []step{
		{"team put quotes", 0, ""},
		{"key create quotes k", 0, ""},
	})
	v.down = true
	run.steps(t, []step{
		{"key withdraw k", 4, "not yet in the log  a, b        c"},
		{"key withdraw k", 4, "the VMs go on trying"},
		{"key list", 0, "true       false"},
		{"status", 0, "withdrawn and not yet in the log: k"},
	})
	v.down = false
	run.steps(t, []step{
		{"key withdraw k", 0, "a, b        c"},
		{"key list", 0, "true       true"},
		{"history key/k", 0, "withdraw"},
	})
}

func TestStatusTellsWhenAnOffsetIsInForce(t *testing.T) {
	v, run := newVM(t)
	run.steps(t, []step{{"team put quotes", 0, ""}, {"team put planning", 0, ""}})
	v.members = []membership.Member{{VM: fleet.VM{ID: "b"}, Answering: true, Beat: membership.Beat{VM: "b", Applied: 1}}}
	run.steps(t, []step{
		{"status --offset 1", 0, "in force everywhere"},
		{"status --offset 2", 1, "not known of: b"},
		{"timeline", 0, "PROCESS"},
	})
	v.members = append(v.members, membership.Member{VM: fleet.VM{ID: "c"}, Beat: membership.Beat{VM: "c", Applied: 2}})
	run.steps(t, []step{
		{"status --offset 1", 1, "not known of: c"},
		{"timeline", 0, "events of c are missing"},
	})
}

// TestHistoryHidesHashes asserts that no hash of a secret is shown.
func TestHistoryHidesHashes(t *testing.T) {
	is := is.New(t)
	_, run := newVM(t)
	run.steps(t, []step{{"team put quotes", 0, ""}, {"key create quotes k", 0, ""}})
	_, stdout, _ := run("--json", "history", "key/k")
	is.True(strings.Contains(stdout, `"team": "quotes"`))
	is.True(!strings.Contains(stdout, "hash"))
}
