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

// step is what happens at one call of the log, the proposer or a service.
type step string

const (
	stepOK          step = "ok"
	stepNotSent     step = "not_sent"
	stepAnswerLost  step = "answer_lost"
	stepDelayed     step = "delayed"
	stepDropped     step = "dropped"
	stepCrashBefore step = "crash_before"
	stepCrashAfter  step = "crash_after"
)

var steps = []step{stepOK, stepOK, stepOK, stepNotSent, stepAnswerLost, stepDelayed, stepDropped, stepCrashBefore, stepCrashAfter}

// faultyLog is the log as seen by one VM, with the faults that next returns.
type faultyLog struct {
	*standin.Log
	next func() step
}

func (l *faultyLog) Append(ctx context.Context, records [][]byte) (fleet.Offset, error) {
	switch l.next() {
	case stepNotSent:
		return 0, ledger.ErrNotSent
	case stepAnswerLost:
		_, _ = l.Log.Append(ctx, records)
		return 0, io.ErrUnexpectedEOF
	case stepDelayed:
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

// crashingProposer is a proposer whose request's goroutine may exit before or
// after a proposal, as if the VM crashed.
type crashingProposer struct {
	*ledger.Follower
	next func() step
}

func (p *crashingProposer) Propose(ctx context.Context, r ledger.Record) (ledger.Verdict, error) {
	s := p.next()
	if s == stepCrashBefore {
		runtime.Goexit()
	}
	v, err := p.Follower.Propose(ctx, r)
	if s == stepCrashAfter {
		runtime.Goexit()
	}
	return v, err
}

// countingService is a service that counts its runs for each idempotency key
// and each request. mu guards the counts.
type countingService struct {
	next          func() step
	mu            sync.Mutex
	runsByKey     map[string]int
	runsByRequest map[fleet.RequestID]int
}

func (svc *countingService) Send(ctx context.Context, _ string, c Call) (Answer, error) {
	s := svc.next()
	switch s {
	case stepNotSent:
		return Answer{}, fault.New(fault.NoUpstream, "refused")
	case stepCrashBefore:
		runtime.Goexit()
	case stepDropped:
		<-ctx.Done()
		return Answer{}, fault.New(fault.OutcomeUnknown, "silent")
	}
	svc.mu.Lock()
	svc.runsByKey[c.IdempotencyKey]++
	svc.runsByRequest[c.Request]++
	n := svc.runsByKey[c.IdempotencyKey]
	svc.mu.Unlock()
	switch s {
	case stepAnswerLost, stepDelayed:
		return Answer{}, fault.New(fault.OutcomeUnknown, "cut short")
	case stepCrashAfter:
		runtime.Goexit()
	}
	return Answer{Status: 201, Body: fmt.Appendf(nil, "run %d of %s", n, c.IdempotencyKey)}, nil
}

// twoServicePool is a pool with two upstreams.
type twoServicePool struct{}

func (twoServicePool) Service(_ string, avoid []fleet.UpstreamID) (*upstream.Lease, error) {
	if len(avoid) == 2 {
		return nil, fault.New(fault.NoUpstream, "none")
	}
	return upstream.NewLease(fleet.VM{ID: fleet.VMID(fmt.Sprint("orders-", len(avoid)))}), nil
}

func newRecorder() *timeline.Recorder {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return timeline.New("test", 64, logger)
}

// testVM is a VM with its own booker and follower of the log.
type testVM struct {
	booker   *Booker
	follower *ledger.Follower
}

func newVM(log *standin.Log, next func() step, svc *countingService) *testVM {
	rec := newRecorder()
	f := ledger.NewFollower(&faultyLog{Log: log, next: next}, ledger.NewState(), rec)
	return &testVM{
		booker:   New("vm", twoServicePool{}, svc, &crashingProposer{Follower: f, next: next}, f.State.Bookings, rec),
		follower: f,
	}
}

func (v *testVM) close() {
	v.booker.Close()
	v.follower.Close()
}

// callResult is what a caller received for one request; nil if the request's
// goroutine exited.
type callResult struct {
	request fleet.RequestID
	key     string
	answer  Answer
	err     error
}

// do runs one request with a deadline of 10 s.
func (v *testVM) do(id, key string) *callResult {
	var result *callResult
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		a, err := v.booker.Do(ctx, newCall(id, key))
		result = &callResult{request: fleet.RequestID(id), key: key, answer: a, err: err}
	}()
	<-done
	return result
}

// repeatableKey is the idempotency key of calls on a repeatable route.
const repeatableKey = "repeatable"

func newCall(id, key string) Call {
	return Call{
		Request:        fleet.RequestID(id),
		Team:           "quotes",
		Route:          fleet.Route{ID: "orderdesk", Kind: fleet.RouteService, Service: "orderdesk", Repeatable: key == repeatableKey},
		Method:         "POST",
		Path:           "/reservations",
		Body:           []byte(key),
		IdempotencyKey: key,
		KeyRetention:   72 * time.Hour,
	}
}

// TestPromiseBookingAtMostOnce checks that no booking runs twice when callers
// use the same keys on two VMs concurrently, while the log and the service fail
// and requests are aborted at any step.
func TestPromiseBookingAtMostOnce(t *testing.T) {
	bubble.Check(t, func(t *rapid.T) {
		results, svc := runRequests(t)
		for key, n := range svc.runsByKey {
			if n > 1 && key != repeatableKey {
				t.Fatalf("key %s ran %d times", key, n)
			}
		}
		for _, s := range results {
			if s.err == nil && s.key != repeatableKey && string(s.answer.Body) != "run 1 of "+s.key {
				t.Fatalf("request %s got %q, not the answer of the first run", s.request, s.answer.Body)
			}
		}
	})
}

// TestPromiseNotRunIsTrue checks that requests whose error says that they did
// not run have no run at the service, not even a later one.
func TestPromiseNotRunIsTrue(t *testing.T) {
	bubble.Check(t, func(t *rapid.T) {
		results, svc := runRequests(t)
		for _, s := range results {
			if fault.Lookup(fault.KindOf(s.err)).NotRun && s.err != nil && svc.runsByRequest[s.request] > 0 {
				t.Fatalf("request %s ran %d times, but got %v", s.request, svc.runsByRequest[s.request], s.err)
			}
		}
	})
}

// runRequests runs a drawn number of requests and returns what the callers
// received.
func runRequests(t *rapid.T) ([]*callResult, *countingService) {
	draw := drawSteps(t)
	svc := &countingService{next: draw, runsByKey: make(map[string]int), runsByRequest: make(map[fleet.RequestID]int)}
	log := standin.NewLog()
	vms := []*testVM{newVM(log, draw, svc), newVM(log, draw, svc)}
	time.Sleep(time.Second)
	var mu sync.Mutex
	var results []*callResult
	n := rapid.IntRange(1, 8).Draw(t, "requests")
	for i := 0; i < n; i += 2 {
		var wg sync.WaitGroup
		for j := range 2 {
			key := rapid.SampledFrom([]string{"a", "b", repeatableKey}).Draw(t, "key")
			wg.Go(func() {
				if s := vms[j].do(fmt.Sprint("r", i+j), key); s != nil {
					mu.Lock()
					defer mu.Unlock()
					results = append(results, s)
				}
			})
		}
		wg.Wait()
	}
	// By then delayed appends have reached the log and outcomes are stored.
	time.Sleep(5 * time.Minute)
	for _, v := range vms {
		v.close()
	}
	time.Sleep(time.Hour)
	return results, svc
}

// drawSteps returns a function that returns drawn steps, and stepOK after the
// last one. The steps are drawn in advance, since rapid is not safe for
// concurrent use.
func drawSteps(t *rapid.T) func() step {
	remaining := rapid.SliceOfN(rapid.SampledFrom(steps), 0, 60).Draw(t, "steps")
	var mu sync.Mutex
	return func() step {
		mu.Lock()
		defer mu.Unlock()
		if len(remaining) == 0 {
			return stepOK
		}
		s := remaining[0]
		remaining = remaining[1:]
		return s
	}
}

// TestTimedOutClaim retries with a key whose first claim reaches the log only
// after its proposer has timed out. The retry comes before or after that, and
// must run the booking exactly once.
func TestTimedOutClaim(t *testing.T) {
	for _, beforeLanding := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var delayed atomic.Bool
			delayed.Store(true)
			next := func() step {
				if delayed.Load() {
					return stepDelayed
				}
				return stepOK
			}
			svc := &countingService{next: func() step { return stepOK }, runsByKey: make(map[string]int), runsByRequest: make(map[fleet.RequestID]int)}
			log := standin.NewLog()
			v := newVM(log, next, svc)
			defer v.close()
			first := v.do("r1", "k")
			is.Equal(fault.KindOf(first.err), fault.StoreUnavailable)
			delayed.Store(false)
			if !beforeLanding {
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
			is.Equal(svc.runsByKey["k"], 1)
		})
	}
}

// TestKeyExpires checks that a key can be used for a new booking after it
// expires, and that expired bookings are dropped.
func TestKeyExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		svc := &countingService{next: func() step { return stepOK }, runsByKey: make(map[string]int), runsByRequest: make(map[fleet.RequestID]int)}
		v := newVM(standin.NewLog(), svc.next, svc)
		defer v.close()
		time.Sleep(time.Second)
		is.NoErr(v.do("r1", "k").err)
		time.Sleep(71 * time.Hour)
		is.True(v.do("r2", "k").answer.Stored)
		time.Sleep(2 * time.Hour)
		is.True(!v.do("r3", "k").answer.Stored)
		is.Equal(svc.runsByKey["k"], 2)
		time.Sleep(80 * time.Hour)
		_, err := v.booker.Lookup("quotes", "orderdesk", "k")
		is.Equal(fault.KindOf(err), fault.NotFound)
		is.Equal(len(v.booker.bookings.Keys()), 0)
	})
}

// TestRepeatableCallKeepsOutcomeUnknown checks that a request is not reported as not run
// if its first attempt may have run and the second found no upstream.
func TestRepeatableCallKeepsOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		list := []step{stepAnswerLost, stepNotSent}
		next := func() step {
			s := list[0]
			list = list[1:]
			return s
		}
		svc := &countingService{next: next, runsByKey: make(map[string]int), runsByRequest: make(map[fleet.RequestID]int)}
		v := newVM(standin.NewLog(), func() step { return stepOK }, svc)
		defer v.close()
		is.Equal(fault.KindOf(v.do("r1", repeatableKey).err), fault.OutcomeUnknown)
		is.Equal(len(list), 0)
	})
}
