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
	askTimeout = 80 * time.Millisecond
	gatherTime = 200 * time.Millisecond
	maxAsks    = 12
	returnTime = time.Second
)

var (
	asksTotal     = expvar.NewInt("rate_asks_total")
	borrowedTotal = expvar.NewInt("rate_borrowed_requests_total")
	refusedTotal  = expvar.NewInt("rate_refused_total")
	overusedTotal = expvar.NewInt("rate_over_bound_total")
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
	minter *Buckets
	book   *PeerLevels
	peers  Peers
	limits Limits
	prefix string
	// returns are under way.
	returns loop.Group
}

// NewLimiter returns a limiter over a VM's tokens and its peers.
func NewLimiter(m *Buckets, b *PeerLevels, peers Peers, limits Limits) *Limiter {
	// The number tells apart the asks of two starts of a VM.
	start := strconv.FormatUint(rand.Uint64(), 36)
	return &Limiter{minter: m, book: b, peers: peers, limits: limits, prefix: string(m.vm) + "/" + start + "/"}
}

// Take charges tokens, the upper bound of what a request may use, to a team. The
// grant must be settled by [Limiter.Settle]. The error is rate_limited, with the
// time until the fleet has the tokens, or too_large if it never will.
func (l *Limiter) Take(ctx context.Context, team fleet.TeamID, tokens fleet.Tokens) (Grant, error) {
	return l.take(ctx, TeamKey(team), FromTokens(tokens))
}

func (l *Limiter) take(ctx context.Context, key Key, need Amount) (Grant, error) {
	if g, ok := l.minter.Take(time.Now(), key, need); ok {
		return g, nil
	}
	return l.gather(ctx, key, need)
}

// Settle refunds what a request did not use. An engine that reports more than
// the bound was charged shows that the bound is wrong, and is counted.
func (l *Limiter) Settle(g Grant, used fleet.Tokens) {
	if FromTokens(used) > g.Charged {
		overusedTotal.Add(1)
	}
	l.giveBack(l.minter.Settle(time.Now(), g, FromTokens(used)))
}

// Close waits for returns that are under way. Requests that a forced stop cuts
// may settle later; what they would return is lost.
func (l *Limiter) Close() {
	l.returns.Close()
}

func (l *Limiter) gather(ctx context.Context, key Key, need Amount) (Grant, error) {
	if limit := l.limits.Limit(key); need > limit.Burst {
		return Grant{}, fault.New(fault.TooLarge, "the request may use %d tokens, but the burst of %q is %d", need.Tokens(), key, limit.Burst.Tokens())
	}
	if after, ok := l.book.RecentlyRejected(time.Now(), key, need); ok {
		return Grant{}, refuse(key, after)
	}
	g := l.minter.StartAcquisition(time.Now(), l.askID(), key, need)
	g.TakeOwn(time.Now())
	lenders := l.peers.Lenders(key)
	l.book.Estimate(time.Now(), key, lenders)
	l.collect(ctx, g, key, lenders)
	grant, refunds, ok := g.Finish(time.Now())
	l.giveBack(refunds)
	if ok {
		borrowedTotal.Add(1)
		return grant, nil
	}
	return Grant{}, l.refusal(key, need, lenders, refunds)
}

func (l *Limiter) askID() AskID {
	return AskID(l.prefix + strconv.FormatUint(rand.Uint64(), 36))
}

// collect asks the lenders, the fullest first, until nothing is missing.
func (l *Limiter) collect(ctx context.Context, g *Acquisition, key Key, lenders []Lender) {
	ctx, cancel := context.WithTimeout(ctx, gatherTime)
	defer cancel()
	for _, to := range lenders[:min(len(lenders), maxAsks)] {
		if g.Missing() <= 0 || ctx.Err() != nil {
			return
		}
		answer, err := l.ask(ctx, g, to.VM)
		if err == nil {
			l.book.ReceiveAnswer(time.Now(), to.VM, key, answer)
		}
	}
}

// ask sends an ask, and once more with the same id if no answer came in time. An
// answer that comes later still goes back to the lender.
func (l *Limiter) ask(ctx context.Context, g *Acquisition, to fleet.VMID) (Answer, error) {
	ask := g.Ask(to)
	var answer Answer
	var err error
	for range 2 {
		asksTotal.Add(1)
		answer, err = l.askOnce(ctx, g, to, ask)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return answer, err
}

func (l *Limiter) askOnce(ctx context.Context, g *Acquisition, to fleet.VMID, ask Ask) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := l.peers.Borrow(ctx, to, ask)
	if err != nil {
		return Answer{}, err
	}
	if late, ok := g.Accept(time.Now(), answer); ok {
		l.giveBack([]Refund{late})
	}
	return answer, nil
}

func (l *Limiter) giveBack(refunds []Refund) {
	for _, r := range refunds {
		l.returns.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), returnTime)
			defer cancel()
			// A return that is lost loses the tokens.
			_ = l.peers.Return(ctx, r.To, r.Return)
		})
	}
}

// refusal returns when the VMs that answer will have what is needed.
func (l *Limiter) refusal(key Key, need Amount, lenders []Lender, refunds []Refund) error {
	now := time.Now()
	own := Lender{Own: l.limits.Own(key)}
	own.Level, own.Blocked = l.minter.level(now, key)
	all := append([]Lender{own}, lenders...)
	l.book.Estimate(now, key, all[1:])
	for _, r := range refunds {
		// What was collected is on its way back and takes no room any more.
		i := slices.IndexFunc(all, func(x Lender) bool { return x.VM == r.To })
		all[i].Level += r.Return.Amount
		all[i].Blocked = 0
	}
	l.book.RecordRejection(now, key, all)
	return refuse(key, waitFor(all, need, 0))
}

func refuse(key Key, after time.Duration) error {
	refusedTotal.Add(1)
	return fault.New(fault.RateLimited, "team %q is over its rate; tokens will be there in %s", key, max(after, time.Millisecond)).WithRetryAfter(max(after, time.Millisecond))
}
