package roster

import (
	"math"
	"time"

	"toucanfall/fleet"
)

// Flight is a request in flight at an upstream. It must be ended.
type Flight struct {
	u            *Upstream
	adapter      Adapter
	lastReceived time.Time
}

// promptMemory is how fast prompts that were sent are forgotten. An engine reads
// prompts between the tokens of its streams, so prompts that come within the
// pause that callers allow, some 200 ms by the sheets, delay one and the same
// event of each stream.
const promptDecay = 150 * time.Millisecond

// Begin counts a request in flight, with the tokens of its prompt. What is empty
// at plain services.
func (u *Upstream) Begin(adapter Adapter, prompt fleet.Tokens) *Flight {
	now := time.Now()
	f := &Flight{u: u, adapter: adapter, lastReceived: now}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.promptTokens, u.promptTokensAt = u.decayedPromptTokens(now)+float64(prompt), now
	u.inFlight++
	u.startedSinceUpdate++
	u.running[adapter]++
	u.flights[f] = struct{}{}
	return f
}

// Heard notes that bytes of the answer came.
func (f *Flight) Heard() {
	now := time.Now()
	u := f.u
	u.mu.Lock()
	defer u.mu.Unlock()
	f.lastReceived = now
	u.backoff = 0
}

// Drop takes out a request that was not sent.
func (f *Flight) Drop() {
	f.u.mu.Lock()
	defer f.u.mu.Unlock()
	f.remove()
}

// out takes the request out. The caller holds the lock.
func (f *Flight) remove() {
	u := f.u
	u.inFlight--
	u.running[f.adapter]--
	if u.running[f.adapter] == 0 {
		delete(u.running, f.adapter)
	}
	delete(u.flights, f)
}

// End takes the request out and counts whether it failed.
func (f *Flight) End(failed bool) {
	now := time.Now()
	u := f.u
	u.mu.Lock()
	defer u.mu.Unlock()
	f.remove()
	share := u.decayedFailureShare(now) * (1 - failureWeight)
	if failed {
		share += failureWeight
		u.consecutiveFailures++
	} else {
		u.consecutiveFailures = 0
	}
	u.failureShare, u.failureShareAt = share, now
}

// Reading returns a decaying sum of the prompt tokens that this VM has sent here
// lately: what the engine still has to read, and delays its streams by.
func (u *Upstream) Reading(now time.Time) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.decayedPromptTokens(now)
}

func (u *Upstream) decayedPromptTokens(now time.Time) float64 {
	return u.promptTokens * math.Exp(-float64(now.Sub(u.promptTokensAt))/float64(promptDecay))
}
