package roster

import (
	"time"
)

// Flight is a request in flight at an upstream. It must be ended.
type Flight struct {
	u     *Upstream
	what  Adapter
	heard time.Time
}

// Begin counts a request in flight. What is empty at plain services.
func (u *Upstream) Begin(what Adapter) *Flight {
	now := time.Now()
	f := &Flight{u: u, what: what, heard: now}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight++
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
}

// End takes the request out and counts whether it failed.
func (f *Flight) End(failed bool) {
	now := time.Now()
	u := f.u
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
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
