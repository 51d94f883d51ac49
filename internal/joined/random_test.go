package joined_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"toucanfall/caller"
	"toucanfall/control"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/bubble"
	"toucanfall/internal/joined"
	"toucanfall/ledger"
	"toucanfall/settings"
	"toucanfall/standin"
)

// Parameters of a run.
const (
	perDataCentre    = 2
	completionTokens = 12
	overloadRequests = 60
	// minCompletePerRun is the average number of complete answers per run below which
	// the test fails, because so few answers verify nothing.
	minCompletePerRun = 2
	// settleTime is the time between the end of all faults and the checks that need a
	// healthy fleet.
	settleTime = 30 * time.Second
	// configApplyTime is the specified maximum time until every VM has applied a change.
	configApplyTime = 11 * time.Second
	// defaultRuns is the number of runs if the command line does not set one.
	defaultRuns = "12"
)

var dataCentres = []fleet.DataCentre{"at-1", "at-2"}

// run is one run of a fleet with random requests and faults.
type run struct {
	f             *joined.Fleet
	checker       *joined.OutcomeChecker
	key, otherKey fleet.Secret
	calls         sync.WaitGroup
	sequence      int
	accepted      float64
	revision      fleet.Revision
	// uncertain holds the values proposed after the last accepted one whose change ended
	// without a verdict. One of them may be the current value.
	uncertain []float64
}

func newRun(t *rapid.T) *run {
	f, err := joined.New(dataCentres, perDataCentre)
	if err != nil {
		t.Fatal(err)
	}
	r := &run{f: f, checker: joined.NewOutcomeChecker(), key: fleet.NewSecret(), otherKey: fleet.NewSecret()}
	time.Sleep(5 * time.Second)
	if err := f.Configure(context.Background(), r.key, r.otherKey); err != nil {
		t.Fatal(err)
	}
	time.Sleep(settleTime)
	return r
}

func (r *run) randomVM(t *rapid.T, label string) int {
	return rapid.IntRange(0, r.f.VMs()-1).Draw(t, label)
}

// goCall sends a caller's request concurrently with the next actions.
func (r *run) goCall(f func(ctx context.Context)) {
	r.calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		f(ctx)
	})
}

// Draft sends a completion request to a VM.
func (r *run) Draft(t *rapid.T) {
	r.complete(r.randomVM(t, "vm"), rapid.Bool().Draw(t, "stream"))
}

// Overload sends more concurrent completion requests than the team's burst allows.
func (r *run) Overload(t *rapid.T) {
	first := r.randomVM(t, "first VM")
	spread := rapid.IntRange(1, r.f.VMs()).Draw(t, "VMs")
	for i := range overloadRequests {
		r.complete((first+i%spread)%r.f.VMs(), i%2 == 0)
	}
}

func (r *run) complete(vm int, stream bool) {
	r.sequence++
	prompt := fmt.Sprintf("quote %d", r.sequence)
	c := r.f.Caller(vm, r.key)
	var onToken func(string)
	if stream {
		onToken = func(string) {}
	}
	r.goCall(func(ctx context.Context) {
		begin := time.Now()
		d, err := c.Complete(ctx, joined.CompletionRoute, prompt, completionTokens, onToken)
		r.checker.RecordCompletion(prompt, completionTokens, begin, d.Text, err)
	})
}

// Book books an item at one or two VMs concurrently under the same idempotency key.
func (r *run) Book(t *rapid.T) {
	r.sequence++
	item := fmt.Sprintf("item-%d", r.sequence)
	for i := range rapid.IntRange(1, 2).Draw(t, "callers") {
		c := r.f.Caller(r.randomVM(t, fmt.Sprintf("vm %d", i)), r.key)
		r.goCall(func(ctx context.Context) { r.checker.RecordBooking(item, reserve(ctx, c, item)) })
	}
}

func reserve(ctx context.Context, c *caller.Client, item string) error {
	_, err := c.Service(ctx, joined.OrdersRoute, "POST", "/reservations", item, []byte(`{"item":"`+item+`"}`))
	return err
}

// Foreign sends a request with the key of a team that may not use the route.
func (r *run) Foreign(t *rapid.T) {
	c := r.f.Caller(r.randomVM(t, "vm"), r.otherKey)
	r.goCall(func(ctx context.Context) { r.checker.RecordUnauthorized(reserve(ctx, c, "foreign")) })
}

// Configure changes a setting and records the value if the change was accepted.
func (r *run) Configure(t *rapid.T) {
	value := float64(rapid.IntRange(100, 1000).Draw(t, "value"))
	put := &settings.Put{
		Path:  settings.Path{Level: "team/" + settings.Level(joined.OtherTeam), Name: settings.MaxTokens},
		Value: settings.Value{RawMessage: fmt.Appendf(nil, "%g", value)},
	}
	out, err := r.f.Operator(r.randomVM(t, "vm")).Command(context.Background(), ledger.KindSetting, r.revision, put)
	var rejected *control.RejectedError
	switch {
	case err == nil:
		r.accepted, r.revision, r.uncertain = value, out.Revision, nil
	case errors.As(err, &rejected), fault.Lookup(fault.KindOf(err)).NotRun:
	default:
		r.uncertain = append(r.uncertain, value)
	}
}

// Kill kills the process of a VM, or starts it if it is not running.
func (r *run) Kill(t *rapid.T) { r.stopOrStart(t, r.f.Kill) }

// Stop shuts the process of a VM down gracefully, or starts it if it is not running.
func (r *run) Stop(t *rapid.T) { r.stopOrStart(t, r.f.Stop) }

func (r *run) stopOrStart(t *rapid.T, end func(int)) {
	i := r.randomVM(t, "vm")
	if r.f.Running(i) {
		end(i)
		return
	}
	if err := r.f.Start(i, dataCentres); err != nil {
		t.Fatal(err)
	}
}

// Cut cuts or restores the link between a VM and another node.
func (r *run) Cut(t *rapid.T) {
	a, b := r.f.Site(r.randomVM(t, "a")), r.randomTarget(t)
	if rapid.Bool().Draw(t, "heal") {
		r.f.Network.Heal(a, b)
		return
	}
	r.f.Network.Cut(a, b)
}

// Silence makes the open connections of a link drop all data from now on, without closing
// them.
func (r *run) Silence(t *rapid.T) {
	r.f.Network.Silence(r.f.Site(r.randomVM(t, "a")), r.randomTarget(t))
}

// linkTargets are the nodes other than VMs to which a VM has links.
var linkTargets = []string{"platform", "engine-0", "engine-1", "engine-2", "engine-3", "orders-0", "orders-1", "callers"}

func (r *run) randomTarget(t *rapid.T) string {
	if rapid.Bool().Draw(t, "to a VM") {
		return r.f.Site(r.randomVM(t, "b"))
	}
	return rapid.SampledFrom(linkTargets).Draw(t, "site")
}

// Log makes the platform's log fail, drop or delay responses, or work normally.
func (r *run) Log(t *rapid.T) {
	r.f.Faults.Set(rapid.SampledFrom([]standin.FaultSettings{
		{}, {Outage: true}, {DropAfterEffect: 2}, {DelayMS: 300},
	}).Draw(t, "faults"))
}

// Pass advances the clock by 1 ms to 8 s.
func (r *run) Pass(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
}

func (r *run) Check(*rapid.T) {}

// heal ends all faults, starts all VMs, and waits for all calls and for settleTime.
func (r *run) heal(t *rapid.T) {
	r.f.Faults.Set(standin.FaultSettings{})
	for i := range r.f.VMs() {
		for j := range r.f.VMs() {
			r.f.Network.Heal(r.f.Site(i), r.f.Site(j))
		}
		for _, s := range linkTargets {
			r.f.Network.Heal(r.f.Site(i), s)
		}
		if !r.f.Running(i) {
			if err := r.f.Start(i, dataCentres); err != nil {
				t.Fatal(err)
			}
		}
	}
	r.calls.Wait()
	time.Sleep(settleTime)
}

// finish heals the fleet and checks all guarantees, also those that need a healthy fleet.
func (r *run) finish(t *rapid.T) {
	r.heal(t)
	for i := range overloadRequests { // the fleet is healthy
		r.complete(i%r.f.VMs(), i%2 == 0)
	}
	r.calls.Wait()
	if _, err := r.f.Operator(0).Command(context.Background(), ledger.KindWithdraw, 0, &ledger.Withdrawal{Key: "quotes-1"}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(configApplyTime)
	for i := range r.f.VMs() {
		r.checker.RecordWithdrawnKey(i, reserve(context.Background(), r.f.Caller(i, r.key), "withdrawn"))
		if r.accepted != 0 {
			r.checkSetting(t, i)
		}
	}
	r.checker.CheckRate()
	r.checker.CheckUpstreams(r.f.Services, r.f.Engines, string(r.key), string(r.otherKey))
	for _, violation := range r.checker.Violations() {
		t.Error(violation)
	}
}

func (r *run) checkSetting(t *rapid.T, vm int) {
	var list []settings.EffectiveValue
	params := map[string][]string{"team": {string(joined.OtherTeam)}}
	if err := r.f.Operator(vm).Query(context.Background(), "effective", params, &list); err != nil {
		t.Fatal(err)
	}
	for _, e := range list {
		if e.Name != settings.MaxTokens {
			continue
		}
		var value float64
		if err := json.Unmarshal(e.Value.RawMessage, &value); err != nil {
			t.Fatal(err)
		}
		if value != r.accepted && !slices.Contains(r.uncertain, value) {
			t.Errorf("VM %d applies %g, but %g was accepted", vm, value, r.accepted)
		}
	}
}

// TestRandomFleet runs complete fleets with random concurrent faults in every part and checks
// the system's guarantees.
func TestRandomFleet(t *testing.T) {
	bubble.SetFlagDefault(t, "rapid.checks", defaultRuns)
	runs, attempts, complete := 0, 0, 0
	refused := make(map[fault.Kind]int)
	bubble.Check(t, func(rt *rapid.T) {
		r := newRun(rt)
		defer r.f.Close()
		rt.Repeat(rapid.StateMachineActions(r))
		r.finish(rt)
		a, w := r.checker.Counts()
		runs++
		attempts += a
		complete += w
		for kind, n := range r.checker.Errors() {
			refused[kind] += n
		}
	})
	t.Logf("%d of %d requests got a complete answer; errors: %v", complete, attempts, refused)
	is.New(t).True(complete >= minCompletePerRun*runs)
}
