package roster

import (
	"time"

	"toucanfall/fleet"
)

// Flight is a request in flight at an upstream. It must be ended.
type Flight struct {
	u      *Upstream
	what   Adapter
	tokens fleet.Tokens
	sent   time.Time
	heard  time.Time
	first  bool
}

// Begin counts a request in flight. What is empty at plain services.
func (u *Upstream) Begin(what Adapter, tokens fleet.Tokens) *Flight {
	now := time.Now()
	f := &Flight{u: u, what: what, tokens: tokens, sent: now, heard: now}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight++
	u.tokens += tokens
	u.running[what]++
	u.waiting[f] = struct{}{}
	return f
}

// Heard notes that bytes of the answer came.
func (f *Flight) Heard() {
	now := time.Now()
	u := f.u
	u.mu.Lock()
	defer u.mu.Unlock()
	f.heard = now
	u.awayFor = 0
	if f.first {
		return
	}
	f.first = true
	d := now.Sub(f.sent)
	if u.first == 0 {
		u.first = d
	}
	u.first += time.Duration(firstMemory * float64(d-u.first))
}

// End takes the request out and counts whether it failed.
func (f *Flight) End(failed bool) {
	now := time.Now()
	u := f.u
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
	u.tokens -= f.tokens
	u.running[f.what]--
	if u.running[f.what] == 0 {
		delete(u.running, f.what)
	}
	delete(u.waiting, f)
	share := u.failing(now) * (1 - failureWeight)
	if failed {
		share += failureWeight
	}
	u.failed, u.failedAt = share, now
}
