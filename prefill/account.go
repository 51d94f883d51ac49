package prefill

import (
	"slices"
	"time"
)

// Lifetimes in an account.
const (
	// creditLifetime is how long a credit counts that was not returned, because its VM is gone
	// or the message was lost.
	creditLifetime = 3 * time.Second
	// pauseLifetime is how long the shortest permitted pause of an engine's streams counts
	// after its last request.
	pauseLifetime = 5 * time.Second
)

// account is the account of one start of an engine. Host.mu guards it.
type account struct {
	born    int64
	credits map[CreditID]credit
	// outstanding is the number of tokens of all credits.
	outstanding float64
	// unread estimates how many of them the engine has not read yet, as of unreadAt.
	unread   float64
	unreadAt time.Time
	waiters  []*waiter
	speed    estimator
	runs     *runs
	// maxPause is the shortest permitted pause of the streams of recent requests, as of
	// maxPauseAt.
	maxPause   time.Duration
	maxPauseAt time.Time
	lastUsed   time.Time
}

// credit is a granted credit. load is the estimated number of unread tokens at its grant, its own
// included.
type credit struct {
	tokens, load float64
	granted      time.Time
}

// waiter is a request that waits for a credit. granted is closed when it gets one.
type waiter struct {
	Request
	due     time.Time
	granted chan struct{}
}

func newAccount(born int64) *account {
	return &account{born: born, credits: make(map[CreditID]credit), runs: newRuns(time.Now())}
}

// observePause records the permitted pause of a request's stream.
func (a *account) observePause(now time.Time, d time.Duration) {
	if a.maxPause == 0 || d <= a.maxPause || now.Sub(a.maxPauseAt) > pauseLifetime {
		a.maxPause, a.maxPauseAt = d, now
	}
}

// fits reports whether a prompt of n tokens fits into the window. One prompt always does.
func (a *account) fits(now time.Time, n float64) bool {
	return len(a.credits) == 0 || a.outstanding+n <= a.speed.window(now, a.maxPause)
}

// size returns the prompt tokens of a request as they count in the account. The caller of a team
// states them, so they are bounded by the window of the fastest engine.
func (r *Request) size() float64 {
	return float64(min(r.Tokens, maxWindow))
}

// grant grants a credit. A repeated request keeps one credit.
func (a *account) grant(now time.Time, r Request) {
	if c, ok := a.credits[r.ID]; ok {
		a.drop(r.ID, c)
	}
	n := r.size()
	_, perToken := a.speed.estimate(now)
	a.unread = min(max(a.unread-millis(now.Sub(a.unreadAt))/perToken, 0), a.outstanding) + n
	a.unreadAt = now
	a.outstanding += n
	a.credits[r.ID] = credit{tokens: n, load: a.unread, granted: now}
	a.runs.grant(now, &r, a.waiters)
}

// end ends a credit, or removes the waiting request. The run goes on after the first event.
func (a *account) end(now time.Time, r Return) {
	a.advance(now)
	if r.HasLoad {
		a.runs.observeLoad(now, r.Load, r.LoadAge)
	}
	c, ok := a.credits[r.ID]
	if ok {
		a.drop(r.ID, c)
	}
	if ok && r.FirstEvent > 0 {
		a.speed.add(now, c.load, r.FirstEvent)
	}
	ended := r.FirstEvent == 0 && a.runs.end(now, r.ID)
	if !ok && !ended {
		a.removeWaiter(r.ID)
	}
}

// advance records whether patient requests have waited since the last message. It is called before a
// message changes which requests wait.
func (a *account) advance(now time.Time) {
	if a.runs.enabled() {
		a.runs.patient.advance(now, slices.ContainsFunc(a.waiters, func(w *waiter) bool { return w.patient() }))
	}
}

func (a *account) drop(id CreditID, c credit) {
	delete(a.credits, id)
	a.outstanding -= c.tokens
	if len(a.credits) == 0 {
		a.outstanding = 0
	}
}

// expire drops the credits and the runs that were not returned in time.
func (a *account) expire(now time.Time) {
	a.advance(now)
	a.runs.expire(now)
	for id, c := range a.credits {
		if now.Sub(c.granted) > creditLifetime {
			a.drop(id, c)
		}
	}
}

func (a *account) removeWaiter(id CreditID) {
	for i, w := range a.waiters {
		if w.ID == id {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			return
		}
	}
}

// dispatch grants credits to waiting requests in their order while they fit.
func (a *account) dispatch(now time.Time) {
	if a.runs.enabled() {
		a.dispatchRuns(now)
		return
	}
	for len(a.waiters) > 0 {
		w := a.first(a.order(now))
		if !a.fits(now, w.size()) {
			return
		}
		a.grant(now, w.Request)
		a.removeWaiter(w.ID)
		close(w.granted)
	}
}

// dispatchRuns is dispatch where the runs of the engine are accounted for. Patient requests that wait
// only for what they leave free hold up no others.
func (a *account) dispatchRuns(now time.Time) {
	skipPatient := false
	for {
		w := a.firstRun(now, skipPatient)
		switch {
		case w == nil:
			return
		case a.shortage(now, &w.Request) == "":
			a.grant(now, w.Request)
			a.removeWaiter(w.ID)
			close(w.granted)
		case w.patient() && !skipPatient && !a.runs.starving(w.Rank):
			skipPatient = true
		default:
			return
		}
	}
}

// shortage returns what a request lacks, "" if it can be granted a credit now.
func (a *account) shortage(now time.Time, r *Request) Reason {
	if !a.fits(now, r.size()) {
		return ShortOfReading
	}
	return a.runs.shortage(now, r)
}

// firstRun returns the waiting request that is the next to run, nil if there is none.
func (a *account) firstRun(now time.Time, skipPatient bool) *waiter {
	o := a.order(now)
	var best *waiter
	for _, w := range a.waiters {
		if skipPatient && w.patient() && !a.runs.starving(w.Rank) {
			continue
		}
		if best == nil || a.runsBefore(o, w, best) {
			best = w
		}
	}
	return best
}

// runsBefore reports whether w runs before other: ranks that were passed over too often come first,
// requests that are late already last. The rest are ordered by rank, by the active runs of their team
// in that rank, and by due time.
func (a *account) runsBefore(o order, w, other *waiter) bool {
	if x, y := a.runs.starving(w.Rank), a.runs.starving(other.Rank); x != y {
		return x
	}
	return a.usuallyBefore(o, w, other)
}

// usuallyBefore is runsBefore without the turns of ranks that were passed over.
func (a *account) usuallyBefore(o order, w, other *waiter) bool {
	if x, y := w.due.Before(o.onTimeFrom), other.due.Before(o.onTimeFrom); x != y {
		return y
	}
	if w.Rank != other.Rank {
		return w.Rank < other.Rank
	}
	if x, y := a.runs.byTeam[teamRank{w.Team, w.Rank}], a.runs.byTeam[teamRank{other.Team, other.Rank}]; x != y {
		return x < y
	}
	return w.due.Before(other.due)
}

// order is the order of the requests that wait at an engine.
type order struct {
	// onTimeFrom is the earliest due time that a request still meets that is granted a credit now.
	onTimeFrom time.Time
	// urgentUntil is when the engine will have read all prompts that wait.
	urgentUntil time.Time
}

// order returns the order at a time.
func (a *account) order(now time.Time) order {
	latency, perToken := a.speed.estimate(now)
	waiting := 0.0
	for _, w := range a.waiters {
		waiting += w.size()
	}
	onTimeFrom := now.Add(fromMillis(latency + a.outstanding*perToken))
	return order{onTimeFrom: onTimeFrom, urgentUntil: onTimeFrom.Add(fromMillis(waiting * perToken))}
}

// first returns the waiting request that is the next to be granted a credit.
func (a *account) first(o order) *waiter {
	best := a.waiters[0]
	for _, w := range a.waiters[1:] {
		if o.precedes(w, best) {
			best = w
		}
	}
	return best
}

// isNext reports whether a new request is granted a credit at once.
func (a *account) isNext(now time.Time, w *waiter) bool {
	if !a.runs.enabled() {
		return a.fits(now, w.size()) && a.isFirst(now, w)
	}
	if a.shortage(now, &w.Request) != "" {
		return false
	}
	// The others that would precede it may wait only for what patient requests leave free.
	o := a.order(now)
	first := a.firstRun(now, !w.patient())
	return first == nil || a.runsBefore(o, w, first)
}

// isFirst reports whether a request precedes all that wait.
func (a *account) isFirst(now time.Time, w *waiter) bool {
	if len(a.waiters) == 0 {
		return true
	}
	o := a.order(now)
	return o.precedes(w, a.first(o))
}

// precedes reports whether w is granted a credit before other. Requests that can still be on time
// precede late ones. Among those that would be late behind all others, and among late ones, the
// more urgent rank comes first; the rest are ordered by due time.
func (o order) precedes(w, other *waiter) bool {
	group, otherGroup := o.group(w), o.group(other)
	switch {
	case group != otherGroup:
		return group < otherGroup
	case group != relaxed && w.Rank != other.Rank:
		return w.Rank < other.Rank
	}
	return w.due.Before(other.due)
}

// Groups of waiting requests, in their order.
const (
	urgent = iota
	relaxed
	late
)

func (o order) group(w *waiter) int {
	switch {
	case w.due.Before(o.onTimeFrom):
		return late
	case w.due.Before(o.urgentUntil):
		return urgent
	}
	return relaxed
}

// forecast returns how long a request has to wait behind the waiting requests that precede it.
func (a *account) forecast(now time.Time, w *waiter) time.Duration {
	ahead := a.outstanding + w.size() - a.speed.window(now, a.maxPause)
	o := a.order(now)
	others, memory := 0.0, 0.0
	for _, other := range a.waiters {
		if other != w && a.precedes(o, other, w) {
			ahead += other.size()
			others++
			memory += other.memory()
		}
	}
	_, perToken := a.speed.estimate(now)
	wait := fromMillis(max(ahead, 1) * perToken)
	if a.runs.enabled() {
		wait = max(wait, a.runs.forecast(now, &w.Request, others, memory))
	}
	return wait
}

// precedes reports whether w is granted a credit before other. A rank that was passed over gets only its
// next grant out of turn, which a forecast leaves out.
func (a *account) precedes(o order, w, other *waiter) bool {
	if a.runs.enabled() {
		return a.usuallyBefore(o, w, other)
	}
	return o.precedes(w, other)
}
