package booking

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/bubble"
	"toucanfall/ledger"
	"toucanfall/standin"
	"toucanfall/timeline"
	"toucanfall/upstream"
)

// step is what happens at one call of the log or of a service.
type step string

const (
	stepOK       step = "ok"
	stepNotSent  step = "not_sent"
	stepLost     step = "answer_lost"
	stepLate     step = "lands_late"
	stepDropped  step = "dropped"
	stepDieFirst step = "vm_dies_before"
	stepDieAfter step = "vm_dies_after"
)

var steps = []step{stepOK, stepOK, stepOK, stepNotSent, stepLost, stepLate, stepDropped, stepDieFirst, stepDieAfter}

// faultyLog is the log as one VM sees it.
type faultyLog struct {
	*standin.Log
	next func() step
}

func (l *faultyLog) Append(ctx context.Context, records [][]byte) (fleet.Offset, error) {
	switch l.next() {
	case stepNotSent:
		return 0, ledger.ErrNotSent
	case stepLost:
		_, _ = l.Log.Append(ctx, records)
		return 0, io.ErrUnexpectedEOF
	case stepLate:
		go func() {
			time.Sleep(20 * time.Second)
			_, _ = l.Log.Append(context.Background(), records)
		}()
		<-ctx.Done()
		return 0, ctx.Err()
	case stepDropped:
		<-ctx.Done()
		return 0, ctx.Err()
	default:
		return l.Log.Append(ctx, records)
	}
}

// mortal is a proposer on a VM that may die around a proposal.
type mortal struct {
	*ledger.Follower
	next func() step
}

func (m *mortal) Propose(ctx context.Context, r ledger.Record) (ledger.Verdict, error) {
	s := m.next()
	if s == stepDieFirst {
		runtime.Goexit()
	}
	v, err := m.Follower.Propose(ctx, r)
	if s == stepDieAfter {
		runtime.Goexit()
	}
	return v, err
}

// orders counts the runs of each item at a service.
type orders struct {
	next func() step
	mu   sync.Mutex
	runs map[string]int
	by   map[fleet.RequestID]int
}

func (o *orders) Send(ctx context.Context, _ string, c Call) (Answer, error) {
	s := o.next()
	switch s {
	case stepNotSent:
		return Answer{}, fault.New(fault.NoUpstream, "refused")
	case stepDieFirst:
		runtime.Goexit()
	case stepDropped:
		<-ctx.Done()
		return Answer{}, fault.New(fault.OutcomeUnknown, "silent")
	}
	o.mu.Lock()
	o.runs[c.IdempotencyKey]++
	o.by[c.Request]++
	n := o.runs[c.IdempotencyKey]
	o.mu.Unlock()
	switch s {
	case stepLost, stepLate:
		return Answer{}, fault.New(fault.OutcomeUnknown, "cut short")
	case stepDieAfter:
		runtime.Goexit()
	}
	return Answer{Status: 201, Body: fmt.Appendf(nil, "run %d of %s", n, c.IdempotencyKey)}, nil
}

type onePool struct{}

func (onePool) Service(_ string, avoid []fleet.UpstreamID) (*upstream.Lease, error) {
	if len(avoid) == 2 {
		return nil, fault.New(fault.NoUpstream, "none")
	}
	return upstream.NewLease(fleet.VM{ID: fleet.VMID(fmt.Sprint("orders-", len(avoid)))}), nil
}

func recorder() *timeline.Recorder {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return timeline.New("test", 64, logger)
}

// testVM is one VM of a test.
type testVM struct {
	booker   *Booker
	follower *ledger.Follower
}

func newVM(log *standin.Log, next func() step, o *orders) *testVM {
	rec := recorder()
	f := ledger.NewFollower(&faultyLog{Log: log, next: next}, ledger.NewState(), rec)
	return &testVM{
		booker:   New("vm", onePool{}, o, &mortal{Follower: f, next: next}, f.State.Bookings, rec),
		follower: f,
	}
}

func (v *testVM) close() {
	v.booker.Close()
	v.follower.Close()
}

// outcome is what a caller saw of one request; nil if its VM died.
type outcome struct {
	request fleet.RequestID
	key     string
	answer  Answer
	err     error
}

func (v *testVM) do(id, key string) *outcome {
	var seen *outcome
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		a, err := v.booker.Do(ctx, call(id, key))
		seen = &outcome{request: fleet.RequestID(id), key: key, answer: a, err: err}
	}()
	<-done
	return seen
}

// repeatable is the key of calls on a route that may be repeated.
const repeatable = "repeatable"

func call(id, key string) Call {
	return Call{
		Request:        fleet.RequestID(id),
		Team:           "quotes",
		Route:          fleet.Route{ID: "orderdesk", Kind: fleet.RouteService, Service: "orderdesk", Repeatable: key == repeatable},
		Method:         "POST",
		Path:           "/reservations",
		Body:           []byte(key),
		IdempotencyKey: key,
		KeyRetention:         72 * time.Hour,
	}
}

// TestPromiseBookingAtMostOnce lets callers book the same keys on two VMs at
// once while the log and the service fail and requests die at any step.
func TestPromiseBookingAtMostOnce(t *testing.T) {
	bubble.Check(t, func(t *rapid.T) {
		seen, o := book(t)
		for key, n := range o.runs {
			if n > 1 && key != repeatable {
				t.Fatalf("key %s ran %d times", key, n)
			}
		}
		for _, s := range seen {
			if s.err == nil && s.key != repeatable && string(s.answer.Body) != "run 1 of "+s.key {
				t.Fatalf("request %s got %q", s.request, s.answer.Body)
			}
		}
	})
}

// TestPromiseNotRunIsTrue holds every refusal that says not run against the
// runs that the service counted, also those that came later.
func TestPromiseNotRunIsTrue(t *testing.T) {
	bubble.Check(t, func(t *rapid.T) {
		seen, o := book(t)
		for _, s := range seen {
			if fault.Lookup(fault.KindOf(s.err)).NotRun && s.err != nil && o.by[s.request] > 0 {
				t.Fatalf("request %s ran %d times, but got %v", s.request, o.by[s.request], s.err)
			}
		}
	})
}

// book runs a drawn number of requests and returns what callers saw.
func book(t *rapid.T) ([]*outcome, *orders) {
	draw := drawer(t)
	o := &orders{next: draw, runs: make(map[string]int), by: make(map[fleet.RequestID]int)}
	log := standin.NewLog()
	vms := []*testVM{newVM(log, draw, o), newVM(log, draw, o)}
	time.Sleep(time.Second)
	var mu sync.Mutex
	var seen []*outcome
	n := rapid.IntRange(1, 8).Draw(t, "requests")
	for i := 0; i < n; i += 2 {
		var wg sync.WaitGroup
		for j := range 2 {
			key := rapid.SampledFrom([]string{"a", "b", repeatable}).Draw(t, "key")
			wg.Go(func() {
				if s := vms[j].do(fmt.Sprint("r", i+j), key); s != nil {
					mu.Lock()
					defer mu.Unlock()
					seen = append(seen, s)
				}
			})
		}
		wg.Wait()
	}
	// Whatever lands late has landed, and every outcome is reported.
	time.Sleep(5 * time.Minute)
	for _, v := range vms {
		v.close()
	}
	time.Sleep(time.Hour)
	return seen, o
}

// drawer returns a source of steps that is drawn up front, since rapid is not
// safe for concurrent use.
func drawer(t *rapid.T) func() step {
	list := rapid.SliceOfN(rapid.SampledFrom(steps), 0, 60).Draw(t, "steps")
	var mu sync.Mutex
	return func() step {
		mu.Lock()
		defer mu.Unlock()
		if len(list) == 0 {
			return stepOK
		}
		s := list[0]
		list = list[1:]
		return s
	}
}

// TestGivenUpClaim repeats a key whose first claim reached the log only after
// its proposer had given up.
func TestGivenUpClaim(t *testing.T) {
	for _, early := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var late atomic.Bool
			late.Store(true)
			next := func() step {
				if late.Load() {
					return stepLate
				}
				return stepOK
			}
			o := &orders{next: func() step { return stepOK }, runs: make(map[string]int), by: make(map[fleet.RequestID]int)}
			log := standin.NewLog()
			v := newVM(log, next, o)
			defer v.close()
			first := v.do("r1", "k")
			is.Equal(fault.KindOf(first.err), fault.StoreUnavailable)
			late.Store(false)
			if !early {
				time.Sleep(time.Minute)
			}
			time.Sleep(5 * time.Second)
			second := v.do("r2", "k")
			is.NoErr(second.err)
			is.Equal(string(second.answer.Body), "run 1 of k")
			time.Sleep(time.Minute)
			third := v.do("r3", "k")
			is.NoErr(third.err)
			is.True(third.answer.Stored)
			is.Equal(o.runs["k"], 1)
		})
	}
}

// TestKeyExpires shows that a key is new again after its time.
func TestKeyExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &orders{next: func() step { return stepOK }, runs: make(map[string]int), by: make(map[fleet.RequestID]int)}
		v := newVM(standin.NewLog(), o.next, o)
		defer v.close()
		time.Sleep(time.Second)
		is.NoErr(v.do("r1", "k").err)
		time.Sleep(71 * time.Hour)
		is.True(v.do("r2", "k").answer.Stored)
		time.Sleep(2 * time.Hour)
		is.True(!v.do("r3", "k").answer.Stored)
		is.Equal(o.runs["k"], 2)
		time.Sleep(80 * time.Hour)
		_, err := v.booker.Lookup("quotes", "orderdesk", "k")
		is.Equal(fault.KindOf(err), fault.NotFound)
		is.Equal(len(v.booker.bookings.Keys()), 0)
	})
}

// TestRepeatedCallKeepsDoubt does not refuse a request as not run because its
// second attempt found no upstream after the first may have run.
func TestRepeatedCallKeepsDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		list := []step{stepLost, stepNotSent}
		next := func() step {
			s := list[0]
			list = list[1:]
			return s
		}
		o := &orders{next: next, runs: make(map[string]int), by: make(map[fleet.RequestID]int)}
		v := newVM(standin.NewLog(), func() step { return stepOK }, o)
		defer v.close()
		is.Equal(fault.KindOf(v.do("r1", repeatable).err), fault.OutcomeUnknown)
		is.Equal(len(list), 0)
	})
}
