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

// Bounds for collecting the tokens of one request. acquireTimeout must be well
// below LoanLifetime.
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

// Peers sends messages to the other VMs.
type Peers interface {
	// Lenders returns the reachable VMs that hold a share of a key, except this
	// one.
	Lenders(key Key) []Lender
	// Borrow sends a borrow request. After an error the lender may still have
	// debited the tokens.
	Borrow(ctx context.Context, to fleet.VMID, ask Ask) (Answer, error)
	// Return returns tokens to a lender. If the message is lost, the tokens are
	// lost too.
	Return(ctx context.Context, to fleet.VMID, r Return) error
}

// Limits returns the limit of a key over all VMs together (Limit) and this VM's
// share of it (Own).
type Limits interface {
	Limit(key Key) Limit
	Own(key Key) Limit
}

// Limiter admits requests within the limits of their teams. It is safe for
// concurrent use.
type Limiter struct {
	buckets     *Buckets
	peerLevels  *PeerLevels
	peers       Peers
	limits      Limits
	askIDPrefix string
	// returns are the Return calls in flight.
	returns loop.Group
}

// NewLimiter returns a limiter that uses the VM's own buckets and borrows from
// peers.
func NewLimiter(buckets *Buckets, peerLevels *PeerLevels, peers Peers, limits Limits) *Limiter {
	// The number distinguishes borrow requests of different starts of a VM.
	start := strconv.FormatUint(rand.Uint64(), 36)
	return &Limiter{buckets: buckets, peerLevels: peerLevels, peers: peers, limits: limits, askIDPrefix: string(buckets.vm) + "/" + start + "/"}
}

// Take charges tokens, the upper bound of what a request may use, to a team. The
// grant must be settled by [Limiter.Settle]. The error is rate_limited, with the
// time until the reachable VMs have the tokens, or too_large if the request exceeds the
// team's burst.
func (l *Limiter) Take(ctx context.Context, team fleet.TeamID, tokens fleet.Tokens) (Grant, error) {
	return l.take(ctx, TeamKey(team), FromTokens(tokens))
}

func (l *Limiter) take(ctx context.Context, key Key, need Amount) (Grant, error) {
	if g, ok := l.buckets.Take(time.Now(), key, need); ok {
		return g, nil
	}
	return l.acquire(ctx, key, need)
}

// Settle refunds the tokens that a request did not use. It counts requests that
// used more than was charged, since their upper bound was wrong.
func (l *Limiter) Settle(g Grant, used fleet.Tokens) {
	if FromTokens(used) > g.Charged {
		overBoundTotal.Add(1)
	}
	l.sendReturns(l.buckets.Settle(time.Now(), g, FromTokens(used)))
}

// Close waits for Return calls in flight. Requests that are cut off by a forced
// stop may settle later; the tokens they would return are lost.
func (l *Limiter) Close() {
	l.returns.Close()
}

func (l *Limiter) acquire(ctx context.Context, key Key, need Amount) (Grant, error) {
	if limit := l.limits.Limit(key); need > limit.Burst {
		return Grant{}, fault.New(fault.TooLarge, "the request may use %d tokens, but the burst of %q is %d", need.Tokens(), key, limit.Burst.Tokens())
	}
	if retryAfter, ok := l.peerLevels.RecentlyRejected(time.Now(), key, need); ok {
		return Grant{}, rejectRequest(key, retryAfter)
	}
	g := l.buckets.StartAcquisition(time.Now(), l.newAskID(), key, need)
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

// collect borrows from the lenders in their order until no tokens are missing.
func (l *Limiter) collect(ctx context.Context, g *Acquisition, key Key, lenders []Lender) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	for _, to := range lenders[:min(len(lenders), maxBorrowRequests)] {
		if g.Missing() <= 0 || ctx.Err() != nil {
			return
		}
		answer, err := l.borrow(ctx, g, to.VM)
		if err == nil {
			l.peerLevels.ReceiveAnswer(time.Now(), to.VM, key, answer)
		}
	}
}

// borrow sends a borrow request, and repeats it once with the same id if it fails.
// Tokens from an answer that arrives too late are returned to the lender.
func (l *Limiter) borrow(ctx context.Context, g *Acquisition, to fleet.VMID) (Answer, error) {
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

func (l *Limiter) borrowOnce(ctx context.Context, g *Acquisition, to fleet.VMID, ask Ask) (Answer, error) {
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
			// If the message is lost, the tokens are lost.
			_ = l.peers.Return(ctx, r.To, r.Return)
		})
	}
}

// rejection returns the rate_limited error, with the time until the reachable VMs
// will have the needed tokens.
func (l *Limiter) rejection(key Key, need Amount, lenders []Lender, refunds []Refund) error {
	now := time.Now()
	self := Lender{Own: l.limits.Own(key)}
	self.Level, self.Blocked = l.buckets.fillState(now, key)
	holders := append([]Lender{self}, lenders...)
	l.peerLevels.Estimate(now, key, holders[1:])
	for _, r := range refunds {
		// The collected tokens are being returned and are no longer reserved.
		i := slices.IndexFunc(holders, func(x Lender) bool { return x.VM == r.To })
		holders[i].Level += r.Return.Amount
		holders[i].Blocked = 0
	}
	l.peerLevels.RecordRejection(now, key, holders)
	return rejectRequest(key, timeUntil(holders, need, 0))
}

func rejectRequest(key Key, retryAfter time.Duration) error {
	rejectedTotal.Add(1)
	return fault.New(fault.RateLimited, "team %q is over its rate; tokens will be there in %s", key, max(retryAfter, time.Millisecond)).WithRetryAfter(max(retryAfter, time.Millisecond))
}
