package roster

import (
	"math"
	"time"

	"toucanfall/fleet"
)

// Flight is a request in flight at an upstream. It must be ended with End or Drop.
type Flight struct {
	u            *Upstream
	adapter      Adapter
	lastReceived time.Time // Guarded by u.mu.
}

// promptDecay is the time constant with which the sum of sent prompt tokens decays. An engine
// reads prompts between the tokens of its streams: prompts that arrive within the pause that
// callers allow, about 200 ms by the capacity documentation, delay the same event of each
// stream.
const promptDecay = 150 * time.Millisecond

// Begin counts a request as in flight, with the tokens of its prompt. adapter is the zero value at
// plain services.
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

// Received records that a part of the answer was received. It also ends the doubling of the time for
// which the upstream is avoided after failed connections.
func (f *Flight) Received() {
	now := time.Now()
	u := f.u
	u.mu.Lock()
	defer u.mu.Unlock()
	f.lastReceived = now
	u.backoff = 0
}

// Drop removes a request that was not sent, or whose outcome does not count.
func (f *Flight) Drop() {
	f.u.mu.Lock()
	defer f.u.mu.Unlock()
	f.remove()
}

// remove removes the request from the counts of its upstream. The caller holds u.mu.
func (f *Flight) remove() {
	u := f.u
	u.inFlight--
	u.running[f.adapter]--
	if u.running[f.adapter] == 0 {
		delete(u.running, f.adapter)
	}
	delete(u.flights, f)
}

// End removes the request, and counts it as failed or successful.
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

// PendingPromptTokens returns a decaying sum of the prompt tokens that this VM has sent here
// recently. It estimates how much the engine still has to read, which delays its streams.
func (u *Upstream) PendingPromptTokens(now time.Time) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.decayedPromptTokens(now)
}

// decayedPromptTokens is PendingPromptTokens for a caller that holds mu.
func (u *Upstream) decayedPromptTokens(now time.Time) float64 {
	return u.promptTokens * math.Exp(-float64(now.Sub(u.promptTokensAt))/float64(promptDecay))
}
