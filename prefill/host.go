package prefill

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/timeline"
)

// Limits of a host.
const (
	// maxWait bounds how long a request is held.
	maxWait = time.Second
	// maxWaiting bounds the requests that wait at one engine.
	maxWaiting = 1000
	// accountLifetime is how long the account of an engine is kept after its last message.
	accountLifetime = 30 * time.Second
	pruneInterval   = 5 * time.Second
)

// Host keeps the accounts of the engines that VMs assign to this VM. It is safe for concurrent
// use.
type Host struct {
	events *timeline.Recorder

	mu sync.Mutex
	// The fields below are guarded by mu.
	accounts map[fleet.UpstreamID]*account
	prunedAt time.Time
	loggedAt time.Time
}

// NewHost returns a host without accounts, which logs to events.
func NewHost(events *timeline.Recorder) *Host {
	return &Host{events: events, accounts: make(map[fleet.UpstreamID]*account)}
}

// Service holds the methods that net/rpc serves to other VMs.
type Service struct{ h *Host }

// Service returns the methods to register with net/rpc.
func (h *Host) Service() *Service {
	return &Service{h}
}

// Acquire grants a credit, or waits for one as long as the request says. It fails if the
// request is invalid.
func (s *Service) Acquire(in Request, out *Answer) error {
	if in.Tokens < 0 || in.MaxPause <= 0 || in.Upstream == "" {
		return fmt.Errorf("invalid request for a credit: %d tokens, pause %s, upstream %q", in.Tokens, in.MaxPause, in.Upstream)
	}
	if in.Capacity.Slots < 0 || in.Capacity.Tokens < 0 || in.Output < 0 {
		return fmt.Errorf("invalid request for a credit: capacity of %d slots and %d tokens, answer of %d tokens", in.Capacity.Slots, in.Capacity.Tokens, in.Output)
	}
	*out = s.h.acquire(in)
	return nil
}

// Return ends credits.
func (s *Service) Return(in Returns, _ *struct{}) error {
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	s.h.applyReturns(time.Now(), in.Returned)
	return nil
}

func (h *Host) acquire(in Request) Answer {
	w, a, answer := h.tryAcquire(in)
	if w == nil {
		return answer
	}
	t := time.NewTimer(min(in.Wait, maxWait))
	defer t.Stop()
	select {
	case <-w.granted:
	case <-t.C:
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	select {
	case <-w.granted:
		return a.granted(now)
	default:
	}
	answer = a.denied(now, w)
	a.removeWaiter(w.ID)
	a.expire(now)
	a.dispatch(now)
	return answer
}

// granted returns the answer to a request that was granted a credit.
func (a *account) granted(now time.Time) Answer {
	return a.withRuns(now, Answer{Granted: true})
}

// denied returns the answer to a request that has to wait.
func (a *account) denied(now time.Time, w *waiter) Answer {
	out := Answer{Wait: a.forecast(now, w)}
	if a.runs.enabled() {
		out.Reason = a.shortage(now, &w.Request)
	}
	return a.withRuns(now, out)
}

// withRuns adds the numbers of requests that run and wait to an answer.
func (a *account) withRuns(now time.Time, out Answer) Answer {
	if a.runs.enabled() {
		out.HasRuns, out.Running, out.Waiting = true, a.runs.running(now), len(a.waiters)
	}
	return out
}

// tryAcquire grants a credit or returns the answer, or a waiter if the request is to wait.
func (h *Host) tryAcquire(in Request) (*waiter, *account, Answer) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyReturns(now, in.Returned)
	h.prune(now)
	a := h.accountOf(in)
	a.lastUsed = now
	a.observePause(now, in.MaxPause)
	a.runs.observe(now, &in)
	a.expire(now)
	a.dispatch(now)
	w := &waiter{Request: in, due: now.Add(in.Slack), granted: make(chan struct{})}
	w.Returned = nil
	if a.isNext(now, w) {
		a.grant(now, w.Request)
		return nil, a, a.granted(now)
	}
	answer := a.denied(now, w)
	inVain := in.Capacity != Capacity{} && answer.Wait > in.Patience
	if in.Wait <= 0 || len(a.waiters) >= maxWaiting || inVain {
		return nil, a, answer
	}
	a.waiters = append(a.waiters, w)
	h.logAccounts(now)
	return w, a, Answer{}
}

// accountOf returns the account of a request's engine. A newer start replaces an older one,
// whose requests are all granted: they fail at the engine.
func (h *Host) accountOf(in Request) *account {
	a, ok := h.accounts[in.Upstream]
	if ok && in.Born <= a.born {
		return a
	}
	if ok {
		for _, w := range a.waiters {
			close(w.granted)
		}
		a.waiters = nil
	}
	a = newAccount(in.Born)
	h.accounts[in.Upstream] = a
	return a
}

// applyReturns ends credits. The caller holds mu.
func (h *Host) applyReturns(now time.Time, list []Return) {
	for _, r := range list {
		if a, ok := h.accounts[r.Upstream]; ok {
			a.lastUsed = now
			a.end(now, r)
			a.dispatch(now)
		}
	}
}

// prune drops the accounts that are not used any more. The caller holds mu.
func (h *Host) prune(now time.Time) {
	if now.Sub(h.prunedAt) < pruneInterval {
		return
	}
	h.prunedAt = now
	for id, a := range h.accounts {
		if len(a.waiters) == 0 && now.Sub(a.lastUsed) > accountLifetime {
			delete(h.accounts, id)
		}
	}
}

// logInterval is the shortest time between two log entries with the accounts.
const logInterval = time.Second

// logAccounts logs the accounts with outstanding tokens. The caller holds mu.
func (h *Host) logAccounts(now time.Time) {
	if now.Sub(h.loggedAt) < logInterval {
		return
	}
	h.loggedAt = now
	h.logRuns(now)
	var b strings.Builder
	for _, id := range slices.Sorted(maps.Keys(h.accounts)) {
		if a := h.accounts[id]; len(a.credits) > 0 {
			_, perToken := a.speed.estimate(now)
			fmt.Fprintf(&b, "%s=%.0f/%.0f,%d,%.3f ", id, a.outstanding, a.speed.window(now, a.maxPause), len(a.waiters), perToken)
		}
	}
	h.events.Record(event.PrefillViewed, timeline.Fields{"engines": b.String()})
}

// logRuns logs the accounts of the engines whose runs are accounted for. The caller holds mu.
func (h *Host) logRuns(now time.Time) {
	var b strings.Builder
	for _, u := range h.usage(now) {
		fmt.Fprintf(&b, "%s=%d/%d,%.0f/%d,%d,%d ", u.Upstream, u.Running, u.Capacity.Slots, u.Tokens, u.Capacity.Tokens, u.Foreign, u.Waiting)
	}
	if b.Len() > 0 {
		h.events.Record(event.CapacityViewed, timeline.Fields{"engines": b.String()})
	}
}

// Usage is the use of an engine whose runs this host accounts for.
type Usage struct {
	Upstream fleet.UpstreamID
	Capacity Capacity
	// Running is the number of requests that run at the engine. Foreign of them are not in the account.
	Running, Foreign int
	// Tokens is the memory of the runs in the account.
	Tokens float64
	// Waiting is the number of requests that wait at the host.
	Waiting int
}

// Usage returns the use of the engines whose runs this host accounts for, sorted by engine.
func (h *Host) Usage() []Usage {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.usage(time.Now())
}

// usage is Usage for a caller that holds mu.
func (h *Host) usage(now time.Time) []Usage {
	var out []Usage
	for _, id := range slices.Sorted(maps.Keys(h.accounts)) {
		a := h.accounts[id]
		if !a.runs.enabled() {
			continue
		}
		a.expire(now)
		out = append(out, Usage{
			Upstream: id, Capacity: a.runs.capacity, Running: a.runs.running(now), Foreign: a.runs.foreignRuns(now),
			Tokens: a.runs.tokens, Waiting: len(a.waiters),
		})
	}
	return out
}
