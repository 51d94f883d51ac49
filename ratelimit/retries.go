package ratelimit

import (
	"context"
	"maps"
	"math"
	"strings"
	"time"

	"toucanfall/catalogue"
	"toucanfall/fleet"
)

// RetryLimit bounds the retries of each service: over all VMs together and in every window, Ratio
// times the requests for the service plus Slack. The zero value allows none.
type RetryLimit struct {
	Ratio, Slack float64
	Window       time.Duration
}

// Fractions of a RetryLimit.
const (
	// earnedFraction of the ratio is earned by each request.
	earnedFraction = 0.85
	// carriedFraction of what the requests of the last window have earned may be kept at any moment. What
	// is kept when a window begins then takes no more of the ratio than earnedFraction leaves, however
	// the requests are distributed over both windows.
	carriedFraction = (1 - earnedFraction) / earnedFraction
	// slackFraction of the slack accrues within a window or is stored before it.
	slackFraction = 0.99
	// slackBurstFraction of the slack may be stored, but at least minSlackBurst, with which a pool
	// holds more than one token, unless that is more than maxSlackBurstFraction.
	slackBurstFraction    = 0.12
	minSlackBurst         = 5
	maxSlackBurstFraction = 0.5
	// retryPoolFraction of a stored slack may be held by each of maxCountingHosts pools, which leaves
	// spareFraction for the VMs.
	retryPoolFraction = smallSharePoolFraction
)

// retryAccountPrefix begins the IDs of retry accounts. No team has it in its ID, because it is not
// valid UTF-8 and documents with the teams are.
const retryAccountPrefix = "\xff"

// retryAccount returns the ID of the account of a service's retries, which is kept beside those of
// the teams.
func retryAccount(s catalogue.ServiceID) fleet.TeamID {
	return fleet.TeamID(retryAccountPrefix + string(s))
}

// isRetryAccount reports whether an account is that of a service's retries.
func isRetryAccount(id fleet.TeamID) bool {
	return strings.HasPrefix(string(id), retryAccountPrefix)
}

// accountLimit is the rate, in tokens per second, and the burst of an account.
type accountLimit struct{ rate, burst Tokens }

// slackLimit returns the limit of what accrues to a retry account without requests.
func (l RetryLimit) slackLimit() accountLimit {
	if l.Window <= 0 {
		return accountLimit{}
	}
	burst := min(max(slackBurstFraction*l.Slack, minSlackBurst), maxSlackBurstFraction*l.Slack)
	return accountLimit{rate: Tokens((slackFraction*l.Slack - burst) / l.Window.Seconds()), burst: Tokens(burst)}
}

// accounts returns the limits of all accounts of a configuration.
func (l RetryLimit) accounts(cfg *catalogue.Config) map[fleet.TeamID]accountLimit {
	out := make(map[fleet.TeamID]accountLimit, len(cfg.Teams)+len(cfg.Services))
	for _, t := range cfg.Teams {
		out[t.ID] = accountLimit{Tokens(t.Rate), Tokens(t.Burst)}
	}
	for id := range cfg.Services {
		out[retryAccount(id)] = l.slackLimit()
	}
	return out
}

// retrySplit is splitBurst for retry accounts. Their bursts are a few tokens, of which a VM keeps no
// part that would be less than one, unless it is isolated.
func retrySplit(burst Tokens, isolated bool) burstSplit {
	if isolated {
		return burstSplit{kept: burst}
	}
	return burstSplit{spare: spareFraction * burst, pool: retryPoolFraction * burst}
}

// split returns the split of an account's burst for a VM with the given share.
func split(id fleet.TeamID, burst Tokens, share float64, isolated bool) burstSplit {
	if isRetryAccount(id) {
		return retrySplit(burst, isolated)
	}
	return splitBurst(burst, share, isolated)
}

// Slots of earnings. A slot lasts the part slotsPerWindow of the window.
const (
	slotsPerWindow = 40
	// youngSlots is how many of the newest slots are moved to the pool while a VM has less than one
	// token, which it could not use.
	youngSlots = 2
	// ownSlots is how many slots a VM keeps for its own retries. What is left of older slots is moved to
	// the pool as if it had accrued, until it is dropped after earningSlots.
	ownSlots     = 5
	earningSlots = 7
)

// earnings holds retry tokens that recent requests have earned, by the time at which they were earned.
// It is guarded by the lock of the Buckets or Pool that it belongs to.
type earnings struct {
	perRequest Tokens
	slotLength time.Duration
	// newest is the number of the current slot. The slot with the number n is slots[n%earningSlots].
	newest int64
	slots  [earningSlots]Tokens
	// earned holds what was earned here in each slot of the last window, used or not. The slot with the number
	// n is earned[n%slotsPerWindow].
	earned [slotsPerWindow]Tokens
	// alwaysKept may be kept whatever was earned.
	alwaysKept Tokens
}

// newEarnings returns the earnings of a retry account, which are empty. alwaysKept may be kept whatever
// was earned.
func (l RetryLimit) newEarnings(alwaysKept Tokens) *earnings {
	return &earnings{perRequest: Tokens(earnedFraction * l.Ratio), slotLength: max(l.Window/slotsPerWindow, 1), alwaysKept: alwaysKept}
}

// unusableTokens is what a VM may keep whatever its requests have earned. It is less than a retry takes, and goes
// to the pool with the next deposit: of a rarely used service a VM could keep next to nothing otherwise.
const unusableTokens = 0.999

// advance drops the tokens that are too old, and those beyond what may be kept.
func (e *earnings) advance(now time.Duration) {
	current := int64(now / e.slotLength)
	if current-e.newest >= slotsPerWindow {
		e.slots, e.earned = [earningSlots]Tokens{}, [slotsPerWindow]Tokens{}
		e.newest = current
	}
	for e.newest < current {
		e.newest++
		e.slots[e.newest%earningSlots] = 0
		e.earned[e.newest%slotsPerWindow] = 0
	}
	e.trim()
}

// add adds tokens that were earned a number of slots ago.
func (e *earnings) add(n Tokens, age int64) {
	*e.slot(age) += n
	*e.earnedSlot(age) += n
	e.trim()
}

// trim drops the tokens beyond what may be kept, the oldest first.
func (e *earnings) trim() {
	if excess := e.sum() - max(carriedFraction*sumOf(e.earned[:]), e.alwaysKept); excess > 0 {
		e.take(excess)
	}
}

// sum returns the number of tokens.
func (e *earnings) sum() Tokens {
	return sumOf(e.slots[:])
}

func sumOf(slots []Tokens) Tokens {
	var sum Tokens
	for _, n := range slots {
		sum += n
	}
	return sum
}

// slot returns the slot that is a number of slots older than the current one.
func (e *earnings) slot(age int64) *Tokens {
	return &e.slots[(e.newest+earningSlots-age)%earningSlots]
}

// earnedSlot returns what was earned in the slot that is a number of slots older than the current one.
func (e *earnings) earnedSlot(age int64) *Tokens {
	return &e.earned[(e.newest+slotsPerWindow-age)%slotsPerWindow]
}

// take removes n tokens, or as many as there are, the oldest first, and returns their number.
func (e *earnings) take(n Tokens) Tokens {
	var taken Tokens
	for age := int64(earningSlots - 1); age >= 0 && taken < n; age-- {
		s := e.slot(age)
		part := min(*s, n-taken)
		*s -= part
		taken += part
	}
	return taken
}

// takeSlots removes the tokens of the slots from the age first to the one before end, and returns
// their number.
func (e *earnings) takeSlots(first, end int64) Tokens {
	var taken Tokens
	for age := first; age < end; age++ {
		taken += *e.slot(age)
		*e.slot(age) = 0
	}
	return taken
}

// moveSlots is takeSlots for tokens that are to be added to other earnings, where they count as earned.
func (e *earnings) moveSlots(first, end int64) Tokens {
	for age := first; age < end; age++ {
		*e.earnedSlot(age) -= *e.slot(age)
	}
	return e.takeSlots(first, end)
}

// putBack returns tokens of a retry that was not sent. They may have come from anywhere, so they are
// kept no longer than the oldest earned ones.
func (e *earnings) putBack(n Tokens) {
	*e.slot(ownSlots) += n
}

// earn adds what a request earns for the retries of its service.
func (p *Buckets) earn(id fleet.TeamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b, ok := p.buckets[id]; ok && b.earned != nil {
		b.earned.advance(p.now())
		b.earned.add(b.earned.perRequest, 0)
	}
}

// takeEarned removes all tokens that the requests for a service have earned on this VM, and returns
// their number.
func (p *Buckets) takeEarned(id fleet.TeamID) Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, ok := p.buckets[id]
	if !ok || b.earned == nil {
		return 0
	}
	b.earned.advance(p.now())
	return b.earned.takeSlots(0, earningSlots)
}

// takeYoung removes the newest tokens that requests have earned for the accounts that match selects
// and have less than one token on this VM. They are to be added to the pool.
func (p *Buckets) takeYoung(match func(fleet.TeamID) bool) map[fleet.TeamID]Tokens {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[fleet.TeamID]Tokens)
	for id, b := range p.buckets {
		if b.earned == nil || !match(id) {
			continue
		}
		b.earned.advance(now)
		if sum := b.earned.sum(); sum == 0 || sum >= 1 {
			continue
		}
		if n := shorten(b.earned.moveSlots(0, youngSlots)); n > 0 {
			out[id] = n
		}
	}
	return out
}

// putBackEarned returns the token of a retry that was not sent.
func (p *Buckets) putBackEarned(id fleet.TeamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b, ok := p.buckets[id]; ok && b.earned != nil {
		b.earned.advance(p.now())
		b.earned.putBack(1)
	}
}

// shorten rounds a number of tokens down to 13 significant bits, with which it takes 4 bytes in a
// message in place of 9.
func shorten(n Tokens) Tokens {
	return Tokens(math.Float64frombits(math.Float64bits(float64(n)) &^ (1<<40 - 1)))
}

// addEarned adds tokens that requests have earned to the pool. The caller holds mu.
func (p *Pool) addEarned(earned map[fleet.TeamID]Tokens) {
	for id, n := range earned {
		if e, ok := p.earned[id]; ok {
			e.advance(p.now())
			e.add(max(n, 0), youngSlots)
		}
	}
}

// earnedSum returns the number of tokens of an account in the pool that requests have earned. The
// caller holds mu.
func (p *Pool) earnedSum(id fleet.TeamID) Tokens {
	e, ok := p.earned[id]
	if !ok {
		return 0
	}
	e.advance(p.now())
	return e.sum()
}

// takeEarned removes up to n of these tokens, and returns their number. The caller holds mu and has
// called earnedSum.
func (p *Pool) takeEarned(id fleet.TeamID, n Tokens) Tokens {
	if e, ok := p.earned[id]; ok {
		return e.take(n)
	}
	return 0
}

// configureEarned makes the pool hold what requests earn for the retry accounts of a configuration.
// The caller holds mu.
func (p *Pool) configureEarned(limits map[fleet.TeamID]accountLimit) {
	maps.DeleteFunc(p.earned, func(id fleet.TeamID, _ *earnings) bool { _, ok := limits[id]; return !ok })
	for id := range limits {
		if _, ok := p.earned[id]; !ok && isRetryAccount(id) {
			p.earned[id] = p.retries.newEarnings(0)
		}
	}
}

// CountRequest counts a request for a service, which earns a part of a retry.
func (c *Client) CountRequest(s catalogue.ServiceID) {
	c.cfg.Buckets.earn(retryAccount(s))
}

// TakeRetry reports whether a request for a service may be sent once more, and if so charges the
// account of the service's retries, fetching a token from its pool if this VM has none.
func (c *Client) TakeRetry(ctx context.Context, s catalogue.ServiceID) bool {
	return c.take(ctx, retryAccount(s), 1)
}

// ReturnRetry returns a retry that was charged but not sent.
func (c *Client) ReturnRetry(s catalogue.ServiceID) {
	c.cfg.Buckets.putBackEarned(retryAccount(s))
}

// Bounds of the backoff of retry accounts, whose tokens are few. All VMs together ask the pool of one
// about retryPoolAsks times a second at most.
const (
	retryPoolAsks       = 700
	maxRetryPoolBackoff = 500 * time.Millisecond
)

// poolBackoff returns how long a pool that had too few tokens of an account is not asked again.
func (c *Client) poolBackoff(id fleet.TeamID) time.Duration {
	if !isRetryAccount(id) {
		return emptyPoolBackoff
	}
	share := max(c.cfg.Buckets.Share(), time.Second.Seconds()/(retryPoolAsks*maxRetryPoolBackoff.Seconds()))
	return max(time.Duration(float64(time.Second)/(retryPoolAsks*share)), emptyPoolBackoff)
}
