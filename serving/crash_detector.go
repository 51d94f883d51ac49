package serving

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"toucanfall/ingress"
	"toucanfall/internal/loop"
	"toucanfall/roster"
	"toucanfall/transport"
)

// ErrOtherInstance is the error of [StartProbe] if another upstream than the expected one answered.
var ErrOtherInstance = errors.New("another upstream answers at this address")

// ErrNoStart is the error of [StartProbe] if the upstream answered, but not with its start.
var ErrNoStart = errors.New("the upstream does not say when it started")

// StartProbe asks a model engine when it started.
type StartProbe interface {
	// EngineStart returns the start of the engine that answers on the pool, in Unix milliseconds, 0 if it
	// does not name it. The error wraps ErrOtherInstance or ErrNoStart, or says that no answer came.
	EngineStart(ctx context.Context, p *transport.Pool, u *roster.Upstream) (int64, error)
}

// Bounds of the search for crashed upstreams.
const (
	// probeTimeout bounds a probe: an engine that lives answers within some ten milliseconds.
	probeTimeout = 500 * time.Millisecond
	// probeInterval is the least time between two probes of one upstream, which an upstream that breaks
	// off many runs would otherwise get for each of them. In between only the connection is tried.
	probeInterval = 250 * time.Millisecond
	// redialDelay is the pause before an upstream that accepted a connection and closed it is tried again,
	// doubled up to maxRedials times: the system closes the sockets of a killed process one by one, the
	// listener not always first. It is also how long a connection without a probe must stay open.
	redialDelay = 10 * time.Millisecond
	maxRedials  = 4
	// caseLifetime is how long after an interruption the directory may show that the upstream has
	// crashed: entries of silent upstreams vanish after a few heartbeats of a second, and directories lag.
	caseLifetime = 10 * time.Second
	// maxCases bounds the upstreams with undecided interruptions, maxCaseRuns the runs of each.
	maxCases    = 256
	maxCaseRuns = 64
	// confirmTimeout is how long an upstream may take to show that it lives, confirmPause the pause
	// between two attempts: several intervals between probes, and the delay of an engine on a busy
	// machine.
	confirmTimeout = time.Second
	confirmPause   = 50 * time.Millisecond
)

// finding is what a check found out about an upstream.
type finding int

const (
	// alive means that the same start of the upstream answers.
	alive finding = iota
	// crashed means that the upstream is gone, or was started again.
	crashed
	// undecided means that it accepts connections, and that nothing shows which start it is.
	undecided
	// unreachable means that no connection could be made in time. The link may be cut.
	unreachable
)

// crashDetector finds out whether upstreams that broke off a run have crashed. A connection that ended
// says little of its upstream. It has crashed if it refuses connections, or if it shows that it is another
// start or another instance. What a check leaves undecided, the directory decides within caseLifetime: by
// an entry of another start, or by an entry that vanishes although the upstream was not leaving. It
// handles interrupted runs at any rate with at most one probe for each upstream in probeInterval.
type crashDetector struct {
	dial   transport.Dialer
	roster *roster.Roster
	// probe is nil if upstreams cannot be asked.
	probe StartProbe
	// answers is the budget for the answers to probe, nil if there is none.
	answers *ingress.Bytes

	mu sync.Mutex
	// checks holds the upstreams that are being checked, and the functions to call with the findings of
	// the next check: one that is in progress may have asked before the run was interrupted. probedAt holds
	// the last probe of each upstream, cases the functions to call if an undecided one has crashed. All are
	// guarded by mu.
	checks   map[*roster.Upstream][]func(finding)
	probedAt map[*roster.Upstream]time.Time
	cases    map[*roster.Upstream]*crashCase
	// aliveAt holds when the last probe began to which each upstream has answered as the same start.
	// Guarded by mu.
	aliveAt map[*roster.Upstream]time.Time
}

// crashCase holds the runs whose interruptions are undecided. They end at different times.
type crashCase struct {
	runs []caseRun
}

type caseRun struct {
	interruptedAt time.Time
	// vanishCounts is set if the end of the entry shows a crash. If the link may be cut it does not: the
	// upstream may have lost the store as well.
	vanishCounts bool
	onCrash      func()
}

func newCrashDetector(dial transport.Dialer, r *roster.Roster, probe StartProbe, answers *ingress.Bytes) *crashDetector {
	return &crashDetector{
		dial: dial, roster: r, probe: probe, answers: answers, checks: make(map[*roster.Upstream][]func(finding)),
		probedAt: make(map[*roster.Upstream]time.Time), cases: make(map[*roster.Upstream]*crashCase),
		aliveAt: make(map[*roster.Upstream]time.Time),
	}
}

// confirm reports whether an upstream shows within confirmTimeout that it still lives, leaving or not. All
// calls at the same time share the probes. A connection that is accepted shows nothing: on a busy machine
// the system closes the listener of a killed process some time after its connections.
func (d *crashDetector) confirm(u *roster.Upstream) bool {
	began := time.Now()
	for time.Since(began) < confirmTimeout {
		if d.probe == nil {
			return !d.refuses(u)
		}
		f, _ := d.ask(u)
		switch {
		case f == crashed:
			return false
		case d.aliveSince(u, began):
			return true
		}
		time.Sleep(confirmPause)
	}
	return false
}

// aliveSince reports whether an upstream has answered to a probe that began at a time or later.
func (d *crashDetector) aliveSince(u *roster.Upstream, at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.aliveAt[u].Before(at)
}

// recordAlive records that an upstream has answered to a probe that began at a time, and drops what is too
// old to be asked for.
func (d *crashDetector) recordAlive(u *roster.Upstream, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for other, last := range d.aliveAt {
		if at.Sub(last) > confirmTimeout {
			delete(d.aliveAt, other)
		}
	}
	d.aliveAt[u] = at
}

// check looks whether an upstream has crashed, and sends the result. All calls during one check share the
// next one. It calls onCrash if it has, or if the directory shows that later.
func (d *crashDetector) check(u *roster.Upstream, onCrash func()) <-chan bool {
	result, at := make(chan bool, 1), time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	waiting, running := d.checks[u]
	d.checks[u] = append(waiting, func(f finding) {
		switch f {
		case crashed:
			onCrash()
		case undecided, unreachable:
			d.await(u, caseRun{at, f == undecided, onCrash})
		}
		result <- f == crashed
	})
	if !running {
		go d.run(u)
	}
	return result
}

// run checks an upstream until nobody waits for a result.
func (d *crashDetector) run(u *roster.Upstream) {
	for waiting := d.next(u); len(waiting) > 0; waiting = d.next(u) {
		f := d.find(u)
		if f == crashed {
			u.MarkUnreachable()
		}
		for _, report := range waiting {
			report(f)
		}
	}
}

// next returns the functions to call with the findings of the check that begins, none if the upstream need
// not be checked again.
func (d *crashDetector) next(u *roster.Upstream) []func(finding) {
	d.mu.Lock()
	defer d.mu.Unlock()
	waiting := d.checks[u]
	d.checks[u] = nil
	if len(waiting) == 0 {
		delete(d.checks, u)
	}
	return waiting
}

// find looks whether an upstream has crashed. One that is leaving has not: it may end at any time.
func (d *crashDetector) find(u *roster.Upstream) finding {
	if leaves(u) {
		return alive
	}
	f, closes := d.ask(u)
	for i := 0; closes && i < maxRedials; i++ {
		time.Sleep(redialDelay << i)
		if d.refuses(u) {
			return crashed
		}
	}
	return f
}

// leaves reports whether the directory or the upstream itself says that it leaves, or has left.
func leaves(u *roster.Upstream) bool {
	how, _ := u.Leaving()
	return how != "" || u.NoticeStatus(time.Now()).Leaving
}

// ask probes an upstream on a connection of its own. closes is set if the upstream accepted the connection
// and ended it without an answer.
func (d *crashDetector) ask(u *roster.Upstream) (_ finding, closes bool) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	began := time.Now()
	conn, err := d.dial(ctx, u.Address())
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return crashed, false
	case err != nil:
		return unreachable, false
	}
	defer func() { _ = conn.Close() }()
	if d.probe == nil || !d.takeProbe(u) {
		return undecided, endsWithin(conn, redialDelay)
	}
	p := transport.NewPool(u.Address(), func(context.Context, string) (net.Conn, error) { return conn, nil }, nil)
	defer p.Close()
	p.LimitAnswers(d.answers)
	start, err := d.probe.EngineStart(ctx, p, u)
	switch known := u.StartTime(); {
	case errors.Is(err, ErrOtherInstance), err == nil && start != 0 && known != 0 && start != known:
		return crashed, false
	case err == nil, errors.Is(err, ErrNoStart):
		d.recordAlive(u, began)
		if err == nil && start != 0 && start == known {
			return alive, false
		}
	}
	return undecided, err != nil && ctx.Err() == nil
}

// endsWithin reports whether a connection is closed by the other side within a time.
func endsWithin(conn net.Conn, d time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(d)) // Fails only on a closed connection, as does the read.
	_, err := conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// refuses reports whether nothing listens at the address of an upstream.
func (d *crashDetector) refuses(u *roster.Upstream) bool {
	// The dialer has a timeout of its own.
	conn, err := d.dial(context.Background(), u.Address())
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// takeProbe reports whether an upstream may be probed now, and counts the probe.
func (d *crashDetector) takeProbe(u *roster.Upstream) bool {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for other, at := range d.probedAt {
		if now.Sub(at) >= probeInterval {
			delete(d.probedAt, other)
		}
	}
	if _, ok := d.probedAt[u]; ok {
		return false
	}
	d.probedAt[u] = now
	return true
}

// await leaves a run to the directory, unless too many wait already.
func (d *crashDetector) await(u *roster.Upstream, r caseRun) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.cases[u]
	switch {
	case ok && len(c.runs) < maxCaseRuns:
		c.runs = append(c.runs, r)
	case !ok && len(d.cases) < maxCases:
		d.cases[u] = &crashCase{runs: []caseRun{r}}
		go d.watch(u)
	}
}

// watch waits until an upstream is removed from the roster, or all of its runs are too old.
func (d *crashDetector) watch(u *roster.Upstream) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	u.OnRemoved(cancel)
	for ctx.Err() == nil {
		loop.Sleep(ctx, caseLifetime/20)
		if d.expire(u) {
			return
		}
	}
	restarted, vanished := d.removal(u)
	d.mu.Lock()
	runs := d.cases[u].runs
	delete(d.cases, u)
	d.mu.Unlock()
	for _, r := range runs {
		if time.Since(r.interruptedAt) < caseLifetime && (restarted || vanished && r.vanishCounts) {
			r.onCrash()
		}
	}
}

// expire drops the runs of a case that are too old, and the case if none is left.
func (d *crashDetector) expire(u *roster.Upstream) (ended bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.cases[u]
	c.runs = slices.DeleteFunc(c.runs, func(r caseRun) bool { return time.Since(r.interruptedAt) >= caseLifetime })
	if len(c.runs) > 0 {
		return false
	}
	delete(d.cases, u)
	return true
}

// removal returns why an upstream was removed from the roster: another start has taken its place, or its
// entry vanished. Neither is reported of an upstream that was leaving.
func (d *crashDetector) removal(u *roster.Upstream) (restarted, vanished bool) {
	if u.Entry().Draining || u.NoticeStatus(time.Now()).Leaving {
		return false, false
	}
	next, ok := d.roster.Get(u.ID)
	if !ok {
		return false, true
	}
	return next.StartTime() != 0 && u.StartTime() != 0 && next.StartTime() != u.StartTime(), false
}
