package roster

import (
	"math"
	"time"

	"toucanfall/fleet"
)

// Flight is a request in flight at an upstream. It must be ended.
type Flight struct {
	u     *Upstream
	what  Adapter
	heard time.Time
}

// promptMemory is how fast prompts that were sent are forgotten. An engine reads
// prompts between the tokens of its streams, so prompts that come within the
// pause that callers allow, some 200 ms by the sheets, delay one and the same
// event of each stream.
const promptMemory = 150 * time.Millisecond

// Begin counts a request in flight, with the tokens of its prompt. What is empty
// at plain services.
func (u *Upstream) Begin(what Adapter, prompt fleet.Tokens) *Flight {
	now := time.Now()
	f := &Flight{u: u, what: what, heard: now}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.prompts, u.promptsAt = u.reading(now)+float64(prompt), now
	u.inFlight++
	u.begun++
	u.running[what]++
	u.waiting[f] = struct{}{}
	return f
}

// Heard notes that bytes of the answer came.
func (f *Flight) Received() {
	now := time.Now()
	u := f.u
	u.mu.Lock()
	defer u.mu.Unlock()
	f.heard = now
	u.awayFor = 0
}

// Drop takes out a request that was not sent.
func (f *Flight) Drop() {
	f.u.mu.Lock()
	defer f.u.mu.Unlock()
	f.out()
}

// out takes the request out. The caller holds the lock.
func (f *Flight) out() {
	u := f.u
	u.inFlight--
	u.running[f.what]--
	if u.running[f.what] == 0 {
		delete(u.running, f.what)
	}
	delete(u.waiting, f)
}

// End takes the request out and counts whether it failed.
func (f *Flight) End(failed bool) {
	now := time.Now()
	u := f.u
	u.mu.Lock()
	defer u.mu.Unlock()
	f.out()
	share := u.failing(now) * (1 - failureWeight)
	if failed {
		share += failureWeight
		u.failures++
	} else {
		u.failures = 0
	}
	u.failed, u.failedAt = share, now
}

// Reading returns a decaying sum of the prompt tokens that this VM has sent here
// lately: what the engine still has to read, and delays its streams by.
func (u *Upstream) PendingPromptTokens(now time.Time) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.reading(now)
}

func (u *Upstream) reading(now time.Time) float64 {
	return u.prompts * math.Exp(-float64(now.Sub(u.promptsAt))/float64(promptMemory))
}
