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

// Bounds of a run.
const (
	perDataCentre = 2
	draftTokens   = 12
	overload      = 60
	// wholePerHistory is how many requests must be answered whole on average,
	// or the runs show nothing.
	wholePerHistory = 2
	// settle is how long a healed fleet gets before the checks that need it
	// whole.
	settle = 30 * time.Second
	// inForceWithin is the stated target for a configuration to be in force.
	inForceWithin = 11 * time.Second
	// histories is the number of runs unless the command line gives another.
	histories = "12"
)

var dataCentres = []fleet.DataCentre{"at-1", "at-2"}

// run is one random history of a fleet.
type run struct {
	f          *joined.Fleet
	book       *joined.OutcomeChecker
	key, other fleet.Secret
	calls      sync.WaitGroup
	n          int
	accepted   float64
	revision   fleet.Revision
	// maybe holds the values whose change ended without a verdict after the
	// last accepted one. They may be in force.
	maybe []float64
}

func newRun(t *rapid.T) *run {
	f, err := joined.New(dataCentres, perDataCentre)
	if err != nil {
		t.Fatal(err)
	}
	r := &run{f: f, book: joined.NewOutcomeChecker(), key: fleet.NewSecret(), other: fleet.NewSecret()}
	time.Sleep(5 * time.Second)
	if err := f.Configure(context.Background(), r.key, r.other); err != nil {
		t.Fatal(err)
	}
	time.Sleep(settle)
	return r
}

func (r *run) vm(t *rapid.T, label string) int {
	return rapid.IntRange(0, r.f.VMs()-1).Draw(t, label)
}

// call runs a caller's request beside the faults.
func (r *run) call(f func(ctx context.Context)) {
	r.calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		f(ctx)
	})
}

// Draft asks a VM for a draft.
func (r *run) Draft(t *rapid.T) {
	r.draft(r.vm(t, "vm"), rapid.Bool().Draw(t, "stream"))
}

// Overload asks for more drafts at once than the team's burst allows.
func (r *run) Overload(t *rapid.T) {
	first := r.vm(t, "first VM")
	spread := rapid.IntRange(1, r.f.VMs()).Draw(t, "VMs")
	for i := range overload {
		r.draft((first+i%spread)%r.f.VMs(), i%2 == 0)
	}
}

func (r *run) draft(vm int, stream bool) {
	r.n++
	prompt := fmt.Sprintf("quote %d", r.n)
	c := r.f.Caller(vm, r.key)
	var onToken func(string)
	if stream {
		onToken = func(string) {}
	}
	r.call(func(ctx context.Context) {
		begin := time.Now()
		d, err := c.Complete(ctx, joined.DraftRoute, prompt, draftTokens, onToken)
		r.book.RecordCompletion(prompt, draftTokens, begin, d.Text, err)
	})
}

// Book books an item at one VM, and with luck at a second one at once.
func (r *run) Book(t *rapid.T) {
	r.n++
	item := fmt.Sprintf("item-%d", r.n)
	for i := range rapid.IntRange(1, 2).Draw(t, "callers") {
		c := r.f.Caller(r.vm(t, fmt.Sprintf("vm %d", i)), r.key)
		r.call(func(ctx context.Context) { r.book.RecordBooking(item, book(ctx, c, item)) })
	}
}

func book(ctx context.Context, c *caller.Client, item string) error {
	_, err := c.Service(ctx, joined.OrdersRoute, "POST", "/reservations", item, []byte(`{"item":"`+item+`"}`))
	return err
}

// Foreign uses the key of a team that the routes don't allow.
func (r *run) Foreign(t *rapid.T) {
	c := r.f.Caller(r.vm(t, "vm"), r.other)
	r.call(func(ctx context.Context) { r.book.RecordUnauthorized(book(ctx, c, "foreign")) })
}

// Configure changes a value and remembers it if it was accepted.
func (r *run) Configure(t *rapid.T) {
	value := float64(rapid.IntRange(100, 1000).Draw(t, "value"))
	put := &settings.Put{
		Path:  settings.Path{Level: "team/" + settings.Level(joined.OtherTeam), Name: settings.MaxTokens},
		Value: settings.Value{RawMessage: fmt.Appendf(nil, "%g", value)},
	}
	out, err := r.f.Operator(r.vm(t, "vm")).Command(context.Background(), ledger.KindSetting, r.revision, put)
	var rejected *control.RejectedError
	switch {
	case err == nil:
		r.accepted, r.revision, r.maybe = value, out.Revision, nil
	case errors.As(err, &rejected), fault.Lookup(fault.KindOf(err)).NotRun:
	default:
		r.maybe = append(r.maybe, value)
	}
}

// Kill ends a VM at once, and Stop as planned; the next one starts it.
func (r *run) Kill(t *rapid.T) { r.end(t, r.f.Kill) }

// Stop ends a VM as planned.
func (r *run) Stop(t *rapid.T) { r.end(t, r.f.Stop) }

func (r *run) end(t *rapid.T, end func(int)) {
	i := r.vm(t, "vm")
	if r.f.Running(i) {
		end(i)
		return
	}
	if err := r.f.Start(i, dataCentres); err != nil {
		t.Fatal(err)
	}
}

// Cut cuts a VM off from the platform or from another VM, or heals the link.
func (r *run) Cut(t *rapid.T) {
	a, b := r.f.Site(r.vm(t, "a")), r.other1(t)
	if rapid.Bool().Draw(t, "heal") {
		r.f.Network.Heal(a, b)
		return
	}
	r.f.Network.Cut(a, b)
}

// Silence makes the open connections of a link silent for good.
func (r *run) Silence(t *rapid.T) {
	r.f.Network.Silence(r.f.Site(r.vm(t, "a")), r.other1(t))
}

// sites that a VM's link can lead to, beside other VMs.
var sites = []string{"platform", "engine-0", "engine-1", "engine-2", "engine-3", "orders-0", "orders-1", "callers"}

func (r *run) other1(t *rapid.T) string {
	if rapid.Bool().Draw(t, "to a VM") {
		return r.f.Site(r.vm(t, "b"))
	}
	return rapid.SampledFrom(sites).Draw(t, "site")
}

// Log makes the log fail, lose answers, or work again.
func (r *run) Log(t *rapid.T) {
	r.f.Faults.Set(rapid.SampledFrom([]standin.FaultSettings{
		{}, {Outage: true}, {DropAfterEffect: 2}, {DelayMS: 300},
	}).Draw(t, "faults"))
}

// Pass lets time go by.
func (r *run) Pass(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
}

func (r *run) Check(*rapid.T) {}

// heal ends all faults and starts all VMs.
func (r *run) heal(t *rapid.T) {
	r.f.Faults.Set(standin.FaultSettings{})
	for i := range r.f.VMs() {
		for j := range r.f.VMs() {
			r.f.Network.Heal(r.f.Site(i), r.f.Site(j))
		}
		for _, s := range sites {
			r.f.Network.Heal(r.f.Site(i), s)
		}
		if !r.f.Running(i) {
			if err := r.f.Start(i, dataCentres); err != nil {
				t.Fatal(err)
			}
		}
	}
	r.calls.Wait()
	time.Sleep(settle)
}

// finish heals the fleet and checks what must hold of a whole one.
func (r *run) finish(t *rapid.T) {
	r.heal(t)
	for i := range overload { // of a whole fleet
		r.draft(i%r.f.VMs(), i%2 == 0)
	}
	r.calls.Wait()
	if _, err := r.f.Operator(0).Command(context.Background(), ledger.KindWithdraw, 0, &ledger.Withdrawal{Key: "quotes-1"}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(inForceWithin)
	for i := range r.f.VMs() {
		r.book.RecordWithdrawnKey(i, book(context.Background(), r.f.Caller(i, r.key), "withdrawn"))
		if r.accepted != 0 {
			r.checkSetting(t, i)
		}
	}
	r.book.CheckRate()
	r.book.CheckUpstreams(r.f.Services, r.f.Engines, string(r.key), string(r.other))
	for _, breach := range r.book.Violations() {
		t.Error(breach)
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
		if value != r.accepted && !slices.Contains(r.maybe, value) {
			t.Errorf("VM %d has %g in force, but %g was accepted", vm, value, r.accepted)
		}
	}
}

// TestRandomFleet runs whole fleets under faults of every part at once.
func TestRandomFleet(t *testing.T) {
	bubble.SetFlagDefault(t, "rapid.checks", histories)
	runs, attempts, whole := 0, 0, 0
	refused := make(map[fault.Kind]int)
	bubble.Check(t, func(rt *rapid.T) {
		r := newRun(rt)
		defer r.f.Close()
		rt.Repeat(rapid.StateMachineActions(r))
		r.finish(rt)
		a, w := r.book.Counts()
		runs++
		attempts += a
		whole += w
		for kind, n := range r.book.Errors() {
			refused[kind] += n
		}
	})
	t.Logf("%d of %d requests were answered whole; refused: %v", whole, attempts, refused)
	is.New(t).True(whole >= wholePerHistory*runs)
}
