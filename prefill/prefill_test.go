package prefill

import (
	"context"
	"errors"
	"io"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"toucanfall/fleet"
	"toucanfall/timeline"
)

func newRecorder() *timeline.Recorder {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return timeline.New("test", 1, logger)
}

const maxPause = 300 * time.Millisecond

// testPeers delivers calls to the hosts of the VMs by address. The calls of a down host get no
// answer.
type testPeers struct {
	hosts map[string]*Host
	down  map[string]*atomic.Bool
	calls atomic.Int64
}

func (p *testPeers) Call(ctx context.Context, address, _ string, args, reply any) error {
	p.calls.Add(1)
	if p.down[address].Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	s := p.hosts[address].Service()
	if in, ok := args.(Request); ok {
		return s.Acquire(in, reply.(*Answer))
	}
	return s.Return(args.(Returns), reply.(*struct{}))
}

// newTestClient returns the client of a VM whose engines are hosted by the VMs a and b.
func newTestClient() (*Client, *testPeers) {
	p := &testPeers{hosts: make(map[string]*Host), down: make(map[string]*atomic.Bool)}
	var hosts []HostVM
	for _, vm := range []string{"a", "b"} {
		p.hosts[vm], p.down[vm] = NewHost(newRecorder()), &atomic.Bool{}
		hosts = append(hosts, HostVM{VM: fleet.VMID(vm), Address: vm})
	}
	return NewClient(ClientConfig{
		VM: "c", Own: NewHost(newRecorder()), Peers: p, Events: newRecorder(),
		Hosts: func(fleet.UpstreamID) []HostVM { return hosts },
	}), p
}

func request(tokens fleet.Tokens) Request {
	return Request{Upstream: "e", Born: 1, Tokens: tokens, MaxPause: maxPause, Slack: time.Second}
}

// accountMachine plays random messages of VMs against a host.
type accountMachine struct {
	host *Host
	ids  []CreditID
}

func (m *accountMachine) acquire(t *rapid.T) {
	r := request(fleet.Tokens(rapid.IntRange(0, 9000).Draw(t, "tokens")))
	r.ID, r.Rank = CreditID{1, uint64(len(m.ids))}, rapid.IntRange(0, 5).Draw(t, "rank")
	r.Slack = time.Duration(rapid.IntRange(-1000, 5000).Draw(t, "slack")) * time.Millisecond
	r.Wait = time.Duration(rapid.IntRange(0, 900).Draw(t, "wait")) * time.Millisecond
	m.ids = append(m.ids, r.ID)
	go m.host.acquire(r)
}

func (m *accountMachine) giveBack(t *rapid.T) {
	if len(m.ids) == 0 {
		return
	}
	id := rapid.SampledFrom(m.ids).Draw(t, "id")
	took := time.Duration(rapid.IntRange(0, 4000).Draw(t, "took")) * time.Millisecond
	_ = m.host.Service().Return(Returns{[]Return{{ID: id, Upstream: "e", FirstEvent: took}}}, nil)
}

func (m *accountMachine) restartEngine(t *rapid.T) {
	born := int64(rapid.IntRange(1, 9).Draw(t, "born"))
	_, _, _ = m.host.tryAcquire(Request{ID: CreditID{2, uint64(born)}, Upstream: "e", Born: born, Tokens: 1, MaxPause: maxPause})
}

// The sums of an account fit its credits, its window stays within its bounds, and nothing waits for
// an idle engine, whatever VMs send, return late, twice or never; in the end nothing waits at all.
func TestAccountsWithRandomMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			m := &accountMachine{host: NewHost(newRecorder())}
			for range rapid.IntRange(1, 80).Draw(rt, "steps") {
				switch rapid.IntRange(0, 5).Draw(rt, "step") {
				case 0, 1, 2:
					m.acquire(rt)
				case 3:
					m.giveBack(rt)
				case 4:
					time.Sleep(time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms")) * time.Millisecond)
				case 5:
					m.restartEngine(rt)
				}
				synctest.Wait()
				checkAccounts(rt, m.host)
			}
			time.Sleep(2 * maxWait)
			checkNothingWaits(rt, m.host)
		})
	})
}

func checkNothingWaits(t *rapid.T, h *Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.accounts {
		if len(a.waiters) > 0 {
			t.Fatalf("%d requests still wait", len(a.waiters))
		}
	}
}

func checkAccounts(t *rapid.T, h *Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, a := range h.accounts {
		sum := 0.0
		for _, c := range a.credits {
			sum += c.tokens
		}
		if math.Abs(sum-a.outstanding) > 1e-6 {
			t.Fatalf("%s: %v tokens outstanding, credits of %v", id, a.outstanding, sum)
		}
		if w := a.speed.window(time.Now(), maxPause); w < minWindow || w > maxWindow || math.IsNaN(w) {
			t.Fatalf("%s: window of %v", id, w)
		}
		if len(a.waiters) > 0 && len(a.credits) == 0 {
			t.Fatalf("%s: %d requests wait although the engine has nothing to read", id, len(a.waiters))
		}
	}
}

// A window follows the engine's speed, tells engines apart, and recovers from observations that are
// false, whatever they are.
func TestWindowFollowsEngineSpeed(t *testing.T) {
	observe := func(e *estimator, now *time.Time, d time.Duration, msPerToken float64) {
		for end := now.Add(d); now.Before(end); *now = now.Add(100 * time.Millisecond) {
			tokens := 1000 + float64(now.UnixMilli()/100%5)*1000
			e.add(*now, tokens, fromMillis(40+tokens*msPerToken))
		}
	}
	is := is.New(t)
	now := time.Unix(0, 0)
	fast, slow := &estimator{}, &estimator{}
	prior := fast.window(now, maxPause)
	observe(fast, &now, 10*time.Second, 0.015)
	observe(slow, &now, 10*time.Second, 0.15)
	is.True(fast.window(now, maxPause) > 2*prior)
	is.True(slow.window(now, maxPause) < prior/2)
	// The engine changes its pace.
	observe(fast, &now, 30*time.Second, 0.15)
	is.True(fast.window(now, maxPause) < prior/2)
	// False observations.
	for _, tokens := range []float64{0, 1, 1e12} {
		fast.add(now, tokens, time.Hour)
		fast.add(now, tokens, 0)
	}
	observe(fast, &now, 120*time.Second, 0.05)
	w := fast.window(now, maxPause)
	is.True(w > 0.7*prior && w < 1.5*prior)
	// Without observations the prior comes back.
	now = now.Add(5 * time.Minute)
	is.True(math.Abs(fast.window(now, maxPause)-prior) < 1)
}

// Requests that can still be on time are served first, by due time if there is time for all of
// them, otherwise the urgent ones. Those that are late already follow.
func TestOrderOfWaitingPrompts(t *testing.T) {
	for _, tt := range []struct {
		name   string
		slacks []time.Duration
		want   []uint64
	}{
		{"time for all", []time.Duration{-time.Second, 60 * time.Second, 50 * time.Second, 40 * time.Second}, []uint64{3, 2, 1, 0}},
		{"no time for all", []time.Duration{-time.Second, 1300 * time.Millisecond, 1200 * time.Millisecond, 1100 * time.Millisecond}, []uint64{1, 2, 3, 0}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a, now := newAccount(1), time.Unix(0, 0)
			for i, slack := range tt.slacks {
				r := request(8000)
				r.ID, r.Rank = CreditID{1, uint64(i)}, i
				a.waiters = append(a.waiters, &waiter{Request: r, due: now.Add(slack), granted: make(chan struct{})})
			}
			for _, want := range tt.want {
				w := a.first(a.order(now))
				is.Equal(w.ID.Number, want)
				a.removeWaiter(w.ID)
			}
		})
	}
}

// A host that is killed, frozen or cut off delays a request by no more than callTimeout, once in
// probeInterval at most. Another VM then keeps the account, or none does, and the first one is used
// again soon after it is back.
func TestLossOfHostIsNotFelt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, peers := newTestClient()
		ctx := t.Context()
		acquire := func() (time.Duration, *Credit) {
			began := time.Now()
			credit, _, ok := c.Acquire(ctx, request(1000))
			is.True(ok)
			credit.Release()
			return time.Since(began), credit
		}
		peers.down["a"].Store(true)
		d, credit := acquire()
		is.Equal(d, callTimeout)
		is.Equal(credit.host.VM, fleet.VMID("b"))
		for range 50 {
			d, credit = acquire()
			is.Equal(d, time.Duration(0))
			is.Equal(credit.host.VM, fleet.VMID("b"))
			time.Sleep(100 * time.Millisecond)
		}
		peers.down["b"].Store(true)
		_, credit = acquire()
		is.Equal(credit, nil)
		for range 50 {
			d, credit = acquire()
			is.Equal(d, time.Duration(0))
			is.Equal(credit, nil)
			time.Sleep(100 * time.Millisecond)
		}
		peers.down["a"].Store(false)
		time.Sleep(probeInterval + callTimeout)
		acquire()
		synctest.Wait()
		_, credit = acquire()
		is.Equal(credit.host.VM, fleet.VMID("a"))
		time.Sleep(2 * creditLifetime)
	})
}

// The credits of a VM that is gone expire, so that they block no others.
func TestCreditsOfLostVMExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := NewHost(newRecorder())
		lost := request(9000)
		lost.ID = CreditID{1, 1}
		is.True(h.acquire(lost).Granted)
		r := request(9000)
		r.ID = CreditID{2, 1}
		is.True(!h.acquire(r).Granted)
		time.Sleep(creditLifetime + time.Millisecond)
		is.True(h.acquire(r).Granted)
	})
}

// A caller that leaves while its request waits holds no credit.
func TestCallerThatLeavesHoldsNoCredit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, peers := newTestClient()
		first, _, ok := c.Acquire(t.Context(), request(9000))
		is.True(ok)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		r := request(9000)
		r.Wait = 900 * time.Millisecond
		_, _, ok = c.Acquire(ctx, r)
		is.True(!ok)
		is.True(errors.Is(ctx.Err(), context.DeadlineExceeded))
		first.FirstEvent()
		time.Sleep(time.Second)
		h := peers.hosts["a"]
		h.mu.Lock()
		defer h.mu.Unlock()
		is.Equal(len(h.accounts["e"].credits), 0)
		is.Equal(len(h.accounts["e"].waiters), 0)
	})
}

// Invalid requests are refused by themselves, and those for an earlier start of an engine do not
// replace the account of the newer one.
func TestInvalidRequestsChangeNothing(t *testing.T) {
	is := is.New(t)
	h := NewHost(newRecorder())
	good := request(1000)
	good.Born = 5
	is.True(h.acquire(good).Granted)
	for _, r := range []Request{
		{Upstream: "e", Tokens: -1, MaxPause: maxPause}, {Upstream: "e", Tokens: 1}, {Tokens: 1, MaxPause: maxPause},
	} {
		is.True(h.Service().Acquire(r, &Answer{}) != nil)
	}
	old := request(1000)
	old.ID = CreditID{3, 3}
	is.True(h.acquire(old).Granted)
	is.Equal(h.accounts["e"].born, int64(5))
	is.Equal(h.accounts["e"].outstanding, 2000.0)
	is.NoErr(h.Service().Return(Returns{[]Return{{ID: CreditID{9, 9}, Upstream: "x"}, {ID: CreditID{9, 9}, Upstream: "e"}}}, nil))
	is.Equal(h.accounts["e"].outstanding, 2000.0)
}
