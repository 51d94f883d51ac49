package serving

import (
	"cmp"
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
	// keptProbeTimeout is the part of it for a connection that was open before, on which nothing may arrive any more.
	keptProbeTimeout = 200 * time.Millisecond
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
	// casePause is how often an undecided upstream is looked at again, and minClosings how many times in a row
	// its port must then close a connection to count as crashed. One that has too many connections takes one
	// within that time.
	casePause   = 250 * time.Millisecond
	minClosings = 4
	// maxCases bounds the upstreams with undecided interruptions, maxCaseRuns the runs of each.
	maxCases    = 256
	maxCaseRuns = 64
	// confirmTimeout is how long an upstream may take to show that it lives if the request can be sent to another
	// one instead, confirmPause the pause between two looks: several intervals between probes, and the delay of an
	// engine on a busy machine.
	confirmTimeout = time.Second
	confirmPause   = 25 * time.Millisecond
	// finalConfirmTimeout is the same if the client gets an error instead. Clients leave a stream after 2 s without
	// an event at the earliest.
	finalConfirmTimeout = 2 * time.Second
)

// finding is what a check found out about an upstream.
type finding int

const (
	// alive means that the same start of the upstream answers.
	alive finding = iota
	// answered means that it answers under its id, and does not say when it was started, as plain services do.
	answered
	// crashed means that the upstream is gone, or was started again.
	crashed
	// closing means that its port accepted each connection and closed it without an answer, as one behind a
	// forwarder that has crashed does, or one that has too many connections.
	closing
	// undecided means that it accepts connections, and that nothing shows which start it is.
	undecided
	// unreachable means that no connection could be made in time. The link may be cut.
	unreachable
)

// showsLife reports whether an upstream has answered under its id.
func (f finding) showsLife() bool {
	return f == alive || f == answered
}

// crashDetector finds out whether upstreams that broke off a run have crashed. A connection that ended
// says little of its upstream. It has crashed if it refuses connections and has ended all others, or if it shows that
// it is another start or another instance. What a check leaves undecided, the directory decides within caseLifetime: by
// an entry of another start, by a later one at the same address, or by an entry that vanishes although the
// upstream was not leaving. It handles interrupted runs at any rate with at most one probe for each upstream in
// probeInterval.
type crashDetector struct {
	dial   transport.Dialer
	roster *roster.Roster
	probe  StartProbe
	// answers is the budget for the answers to probe, nil if there is none.
	answers *ingress.Bytes
	// pool returns the connections to an upstream.
	pool func(*roster.Upstream) *transport.Pool

	mu sync.Mutex
	// checks holds the upstreams that are being checked, and the functions to call with the findings of
	// the next check: one that is in progress may have asked before the run was interrupted. probedAt holds
	// the last probe of each upstream, cases the functions to call if an undecided one has crashed. All are
	// guarded by mu.
	checks   map[*roster.Upstream][]func(finding)
	probedAt map[*roster.Upstream]time.Time
	cases    map[*roster.Upstream]*crashCase
	// lastProbes holds the result of the last probe of each upstream. Guarded by mu.
	lastProbes map[*roster.Upstream]probed
}

// crashCase holds the runs whose interruptions are undecided. They end at different times.
type crashCase struct {
	runs []caseRun
	// closing is set while the port of the upstream has closed each connection, closings counts those that watch
	// has made since.
	closing  bool
	closings int
}

type caseRun struct {
	interruptedAt time.Time
	found         finding
	onCrash       func()
}

// vanishCounts reports whether the end of the entry shows a crash. If the link may be cut it does not: the upstream
// may have lost the store as well. Nor does it if the upstream has answered since.
func (r caseRun) vanishCounts() bool {
	return r.found == closing || r.found == undecided
}

func newCrashDetector(dial transport.Dialer, r *roster.Roster, probe StartProbe, answers *ingress.Bytes, pool func(*roster.Upstream) *transport.Pool) *crashDetector {
	return &crashDetector{
		dial: dial, roster: r, probe: probe, answers: answers, pool: pool, checks: make(map[*roster.Upstream][]func(finding)),
		probedAt: make(map[*roster.Upstream]time.Time), cases: make(map[*roster.Upstream]*crashCase),
		lastProbes: make(map[*roster.Upstream]probed),
	}
}

// confirm returns what shows within a time, and before ctx ends, whether an upstream still lives, leaving or not. p has
// the connections to it. All calls at the same time share the probes. A connection that is accepted shows nothing: on a
// busy machine the system closes the listener of a killed process some time after its connections. Nor does one that
// is refused while others are open: a process that leaves closes its listener first, and then ends what it runs. Another
// process may have opened the port meanwhile.
func (d *crashDetector) confirm(ctx context.Context, u *roster.Upstream, p *transport.Pool, within time.Duration) Evidence {
	o := p.Observe()
	var last Evidence
	for began := time.Now(); time.Since(began) < within; loop.Sleep(ctx, confirmPause) {
		switch {
		case ctx.Err() != nil:
			return cmp.Or(last, EvidenceCancelled)
		case o.HasProgress():
			return EvidenceTraffic
		case d.takeProbe(u):
			go d.probeNow(u, p)
		}
		e := d.probedSince(u, began)
		if e.showsWhole() || e.showsCut(o.IsOpen()) {
			return e
		}
		last = cmp.Or(e, last)
	}
	return cmp.Or(last, EvidenceNoAnswer)
}

// probed is the result of a probe that began at a time.
type probed struct {
	at    time.Time
	shows Evidence
}

// probedSince returns what the last probe of an upstream has shown, "" if it began before a time.
func (d *crashDetector) probedSince(u *roster.Upstream, at time.Time) Evidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	if last := d.lastProbes[u]; !last.at.Before(at) {
		return last.shows
	}
	return ""
}

// recordProbe records the result of a probe, and drops those that are too old to be asked for.
func (d *crashDetector) recordProbe(u *roster.Upstream, result probed) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for other, last := range d.lastProbes {
		if result.at.Sub(last.at) > finalConfirmTimeout {
			delete(d.lastProbes, other)
		}
	}
	if result.at.After(d.lastProbes[u].at) {
		d.lastProbes[u] = result
	}
}

// check looks whether an upstream has crashed, and sends the result. All calls during one check share the
// next one. It calls onCrash if it has, or if the directory shows that later, and before that onClosing if its port
// closes each connection.
func (d *crashDetector) check(u *roster.Upstream, onCrash, onClosing func()) <-chan finding {
	result, at := make(chan finding, 1), time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	waiting, running := d.checks[u]
	d.checks[u] = append(waiting, func(f finding) {
		if f == closing {
			onClosing()
		}
		switch f {
		case crashed:
			onCrash()
		case answered, closing, undecided, unreachable:
			d.await(u, caseRun{at, f, onCrash})
		}
		result <- f
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
		if f == crashed || f == closing {
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
	p := d.pool(u)
	o := p.Observe()
	r := d.ask(u, p)
	switch {
	case r.evidence.showsCut(false):
		return d.findEnded(r.evidence, o)
	case !r.closes:
		return r.found
	}
	always := true
	for i := range maxRedials {
		time.Sleep(redialDelay << i)
		refused, closes := d.redial(u)
		if refused {
			return d.findEnded(EvidenceRefused, o)
		}
		always = always && closes
	}
	if always && !o.IsOpen() {
		return closing
	}
	return r.found
}

// findEnded looks whether an upstream has crashed whose port shows that it no longer listens. One whose other
// connections stay open may only have closed its listener.
func (d *crashDetector) findEnded(e Evidence, o *transport.Observation) finding {
	for i := range maxRedials {
		if e.showsCut(o.IsOpen()) {
			return crashed
		}
		time.Sleep(redialDelay << i)
	}
	if e.showsCut(o.IsOpen()) {
		return crashed
	}
	return undecided
}

// leaves reports whether the directory or the upstream itself says that it leaves, or has left.
func leaves(u *roster.Upstream) bool {
	how, _ := u.Leaving()
	return how != "" || u.NoticeStatus(time.Now()).Leaving
}

// probeResult is the result of a probe.
type probeResult struct {
	found finding
	// closes is set if the upstream accepted the connection and ended it without an answer.
	closes bool
	// evidence is what the probe shows, "" if it shows nothing.
	evidence Evidence
}

// ask probes an upstream. If it must not be probed now, a new connection is only opened.
func (d *crashDetector) ask(u *roster.Upstream, p *transport.Pool) probeResult {
	if d.takeProbe(u) {
		return d.probeNow(u, p)
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, r := d.connect(ctx, u)
	if conn == nil {
		return r
	}
	defer func() { _ = conn.Close() }()
	return probeResult{found: undecided, closes: endsWithin(conn, redialDelay)}
}

// connect opens a connection to an upstream, or returns what the failure shows.
func (d *crashDetector) connect(ctx context.Context, u *roster.Upstream) (net.Conn, probeResult) {
	conn, err := d.dial(ctx, u.Address())
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, probeResult{found: crashed, evidence: refusal(u)}
	case err != nil:
		return nil, probeResult{found: unreachable, evidence: failedConnection(err, false)}
	}
	return conn, probeResult{}
}

// probeNow probes an upstream on an idle connection of p, or on a new one if there is none on which it answers, and
// records the result.
func (d *crashDetector) probeNow(u *roster.Upstream, p *transport.Pool) probeResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	began := time.Now()
	r := d.askKept(ctx, u, p)
	if r.evidence == "" {
		r = d.askNew(ctx, u)
	}
	d.recordProbe(u, probed{began, r.evidence})
	return r
}

// askNew probes an upstream on a new connection.
func (d *crashDetector) askNew(ctx context.Context, u *roster.Upstream) probeResult {
	conn, r := d.connect(ctx, u)
	if conn == nil {
		return r
	}
	defer func() { _ = conn.Close() }()
	own := transport.NewPool(u.Address(), func(context.Context, string) (net.Conn, error) { return conn, nil }, nil)
	defer own.Close()
	own.LimitAnswers(d.answers)
	r, err := d.probeOn(ctx, own, u, EvidenceNewConnection)
	if r.evidence == "" {
		r.closes, r.evidence = err != nil && ctx.Err() == nil, failedConnection(err, true)
	}
	return r
}

// askKept probes an upstream on an idle connection of p, if there is one. The evidence is empty if no answer came: the
// upstream may have closed the connection because it was idle.
func (d *crashDetector) askKept(ctx context.Context, u *roster.Upstream, p *transport.Pool) probeResult {
	kept, giveBack := p.Borrow()
	if kept == nil {
		return probeResult{found: undecided}
	}
	defer giveBack()
	ctx, cancel := context.WithTimeout(ctx, keptProbeTimeout)
	defer cancel()
	r, _ := d.probeOn(ctx, kept, u, EvidenceKeptConnection)
	return r
}

// probeOn probes an upstream on the only connection of p. by is the evidence that an answer is.
func (d *crashDetector) probeOn(ctx context.Context, p *transport.Pool, u *roster.Upstream, by Evidence) (probeResult, error) {
	start, err := d.probe.EngineStart(ctx, p, u)
	known := u.StartTime()
	switch {
	case errors.Is(err, ErrOtherInstance), err == nil && start != 0 && known != 0 && start != known:
		return probeResult{found: crashed, evidence: otherStart(by)}, err
	case err != nil && !errors.Is(err, ErrNoStart):
		return probeResult{found: undecided}, err
	}
	if err == nil && start != 0 && start == known {
		return probeResult{found: alive, evidence: by}, nil
	}
	return probeResult{found: answered, evidence: by}, nil
}

// endsWithin reports whether a connection is closed by the other side within a time.
func endsWithin(conn net.Conn, d time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(d)) // Fails only on a closed connection, as does the read.
	_, err := conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// redial reports whether nothing listens at the address of an upstream, and whether the port accepts a connection and
// closes it.
func (d *crashDetector) redial(u *roster.Upstream) (refused, closes bool) {
	// The dialer has a timeout of its own.
	conn, err := d.dial(context.Background(), u.Address())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED), false
	}
	defer func() { _ = conn.Close() }()
	return false, endsWithin(conn, redialDelay)
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
	if c, ok := d.cases[u]; ok && r.found == closing {
		c.closing = true
	}
}

// watch waits until an upstream is removed from the roster, or all of its runs are too old.
func (d *crashDetector) watch(u *roster.Upstream) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	u.OnRemoved(cancel)
	shown := false
	for ctx.Err() == nil && !shown {
		loop.Sleep(ctx, casePause)
		if d.expire(u) {
			return
		}
		shown = !leaves(u) && (d.replaced(u) || d.staysClosed(u))
	}
	restarted, vanished := d.removal(u)
	restarted = restarted || shown
	d.mu.Lock()
	runs := d.cases[u].runs
	delete(d.cases, u)
	d.mu.Unlock()
	for _, r := range runs {
		if time.Since(r.interruptedAt) < caseLifetime && (restarted || vanished && r.vanishCounts()) {
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

// staysClosed reports whether the port of an upstream, which has closed each connection so far, refuses another one, or
// closes it as the last of minClosings.
func (d *crashDetector) staysClosed(u *roster.Upstream) bool {
	d.mu.Lock()
	c := d.cases[u]
	closing := c.closing
	d.mu.Unlock()
	if !closing {
		return false
	}
	refused, closes := d.redial(u)
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.closings++; !closes {
		c.closing, c.closings = false, 0
	}
	return refused || c.closings >= minClosings
}

// replaced reports whether the directory has another upstream at the address of one, which was started later.
func (d *crashDetector) replaced(u *roster.Upstream) bool {
	return slices.ContainsFunc(d.roster.Upstreams(), func(next *roster.Upstream) bool {
		return next.ID != u.ID && next.Address() == u.Address() && next.StartTime() > u.StartTime() && u.StartTime() != 0
	})
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
