package rate

import (
	"context"
	"expvar"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/loop"
)

// Bounds of one gathering. It must end well within the life of a loan.
const (
	borrowTimeout     = 80 * time.Millisecond
	acquireTimeout    = 200 * time.Millisecond
	maxBorrowRequests = 12
	returnTimeout     = time.Second
)

var (
	borrowRequestsTotal   = expvar.NewInt("rate_asks_total")
	borrowedRequestsTotal = expvar.NewInt("rate_borrowed_requests_total")
	rejectedTotal         = expvar.NewInt("rate_refused_total")
	overBoundTotal        = expvar.NewInt("rate_over_bound_total")
)

// Peers are the other VMs.
type Peers interface {
	// Lenders returns the VMs that mint a key and answer, without this one.
	Lenders(key Key) []Lender
	// Borrow sends an ask. An error does not mean that nothing was debited.
	Borrow(ctx context.Context, to fleet.VMID, ask Ask) (Answer, error)
	// Return gives tokens back. If it is lost, so are the tokens.
	Return(ctx context.Context, to fleet.VMID, r Return) error
}

// Limits gives what a team may use over all VMs together, and the VM's own
// share of it.
type Limits interface {
	Limit(key Key) Limit
	Own(key Key) Limit
}

// Limiter admits requests within the rates of their teams.
type Limiter struct {
	buckets     *Minter
	peerLevels  *Book
	peers       Peers
	limits      Limits
	askIDPrefix string
	// returns are under way.
	returns loop.Group
}

// NewLimiter returns a limiter over a VM's tokens and its peers.
func NewLimiter(m *Minter, b *Book, peers Peers, limits Limits) *Limiter {
	// The number tells apart the asks of two starts of a VM.
	start := strconv.FormatUint(rand.Uint64(), 36)
	return &Limiter{buckets: m, peerLevels: b, peers: peers, limits: limits, askIDPrefix: string(m.vm) + "/" + start + "/"}
}

// Take charges tokens, the upper bound of what a request may use, to a team. The
// grant must be settled by [Limiter.Settle]. The error is rate_limited, with the
// time until the fleet has the tokens, or too_large if it never will.
func (l *Limiter) Take(ctx context.Context, team fleet.TeamID, tokens fleet.Tokens) (Grant, error) {
	return l.take(ctx, TeamKey(team), FromTokens(tokens))
}

func (l *Limiter) take(ctx context.Context, key Key, need Amount) (Grant, error) {
	if g, ok := l.buckets.Take(time.Now(), key, need); ok {
		return g, nil
	}
	return l.acquire(ctx, key, need)
}

// Settle refunds what a request did not use. An engine that reports more than
// the bound was charged shows that the bound is wrong, and is counted.
func (l *Limiter) Settle(g Grant, used fleet.Tokens) {
	if FromTokens(used) > g.Charged {
		overBoundTotal.Add(1)
	}
	l.sendReturns(l.buckets.Settle(time.Now(), g, FromTokens(used)))
}

// Close waits for returns that are under way. Requests that a forced stop cuts
// may settle later; what they would return is lost.
func (l *Limiter) Close() {
	l.returns.Close()
}

func (l *Limiter) acquire(ctx context.Context, key Key, need Amount) (Grant, error) {
	if limit := l.limits.Limit(key); need > limit.Burst {
		return Grant{}, fault.New(fault.TooLarge, "the request may use %d tokens, but the burst of %q is %d", need.Tokens(), key, limit.Burst.Tokens())
	}
	if retryAfter, ok := l.peerLevels.Hopeless(time.Now(), key, need); ok {
		return Grant{}, rejectRequest(key, retryAfter)
	}
	g := l.buckets.Gather(time.Now(), l.newAskID(), key, need)
	g.TakeOwn(time.Now())
	lenders := l.peers.Lenders(key)
	l.peerLevels.Estimate(time.Now(), key, lenders)
	l.collect(ctx, g, key, lenders)
	grant, refunds, ok := g.Finish(time.Now())
	l.sendReturns(refunds)
	if ok {
		borrowedRequestsTotal.Add(1)
		return grant, nil
	}
	return Grant{}, l.rejection(key, need, lenders, refunds)
}

func (l *Limiter) newAskID() AskID {
	return AskID(l.askIDPrefix + strconv.FormatUint(rand.Uint64(), 36))
}

// collect asks the lenders, the fullest first, until nothing is missing.
func (l *Limiter) collect(ctx context.Context, g *Gather, key Key, lenders []Lender) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	for _, to := range lenders[:min(len(lenders), maxBorrowRequests)] {
		if g.Short() <= 0 || ctx.Err() != nil {
			return
		}
		answer, err := l.borrow(ctx, g, to.VM)
		if err == nil {
			l.peerLevels.Saw(time.Now(), to.VM, key, answer)
		}
	}
}

// ask sends an ask, and once more with the same id if no answer came in time. An
// answer that comes later still goes back to the lender.
func (l *Limiter) borrow(ctx context.Context, g *Gather, to fleet.VMID) (Answer, error) {
	ask := g.Ask(to)
	var answer Answer
	var err error
	for range 2 {
		borrowRequestsTotal.Add(1)
		answer, err = l.borrowOnce(ctx, g, to, ask)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return answer, err
}

func (l *Limiter) borrowOnce(ctx context.Context, g *Gather, to fleet.VMID, ask Ask) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	answer, err := l.peers.Borrow(ctx, to, ask)
	if err != nil {
		return Answer{}, err
	}
	if lateReturn, ok := g.Accept(time.Now(), answer); ok {
		l.sendReturns([]Refund{lateReturn})
	}
	return answer, nil
}

func (l *Limiter) sendReturns(refunds []Refund) {
	for _, r := range refunds {
		l.returns.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
			defer cancel()
			// A return that is lost loses the tokens.
			_ = l.peers.Return(ctx, r.To, r.Return)
		})
	}
}

// refusal returns when the VMs that answer will have what is needed.
func (l *Limiter) rejection(key Key, need Amount, lenders []Lender, refunds []Refund) error {
	now := time.Now()
	self := Lender{Own: l.limits.Own(key)}
	self.Level, self.Blocked = l.buckets.fillState(now, key)
	holders := append([]Lender{self}, lenders...)
	l.peerLevels.Estimate(now, key, holders[1:])
	for _, r := range refunds {
		// What was collected is on its way back and takes no room any more.
		i := slices.IndexFunc(holders, func(x Lender) bool { return x.VM == r.To })
		holders[i].Level += r.Return.Amount
		holders[i].Blocked = 0
	}
	l.peerLevels.Refused(now, key, holders)
	return rejectRequest(key, timeUntil(holders, need, 0))
}

func rejectRequest(key Key, retryAfter time.Duration) error {
	rejectedTotal.Add(1)
	return fault.New(fault.RateLimited, "team %q is over its rate; tokens will be there in %s", key, max(retryAfter, time.Millisecond)).After(max(retryAfter, time.Millisecond))
}
