package serving

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/fleet"
	"toucanfall/roster"
	"toucanfall/transport"
)

// fakeEngines are engines whose ports open or not, and that answer probes or not.
type fakeEngines struct {
	roster *roster.Roster
	// mu guards the fields below while more than one goroutine runs.
	mu sync.Mutex
	// dialErr is the error of connections, dials counts them.
	dialErr error
	dials   int
	// start and startErr answer the probes; probes counts them.
	start    int64
	startErr error
	probes   int
	crashes  atomic.Int32
	// closes is set if connections are closed at once, closings counts the interruptions found so.
	closes   bool
	closings int
}

var errNoAnswer = errors.New("no answer")

func (e *fakeEngines) dial(context.Context, string) (net.Conn, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dials++
	if e.dialErr != nil {
		return nil, e.dialErr
	}
	client, server := net.Pipe()
	if e.closes {
		_ = server.Close()
	}
	return client, nil
}

func (e *fakeEngines) EngineStart(context.Context, *transport.Pool, *roster.Upstream) (int64, error) {
	e.probes++
	return e.start, e.startErr
}

func (e *fakeEngines) setCloses(closes bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closes = closes
}

func (e *fakeEngines) put(id string, born int64, draining bool) *roster.Upstream {
	e.roster.Put(roster.Entry{ID: fleet.UpstreamID(id), Service: "s", Address: "192.0.2.1:80", Born: born, Draining: draining})
	u, _ := e.roster.Get(fleet.UpstreamID(id))
	return u
}

func (e *fakeEngines) interrupt(d *crashDetector, u *roster.Upstream) bool {
	found := <-d.check(u, func() { e.crashes.Add(1) }, func() { e.closings++ })
	synctest.Wait()
	return found == crashed
}

// noConnections returns an empty pool.
func noConnections(u *roster.Upstream) *transport.Pool {
	return transport.NewPool(u.Address(), transport.Dial, nil)
}

const born = 1700000000000

// Guards against engines that are never counted as crashed because their port opens (BUDGET of prompt parts):
// engines that were restarted at once, that are silent, or that are behind a forwarder. And guards against
// false counts: each of them makes sound requests be refused (LOST).
func TestCrashEvidence(t *testing.T) {
	timeout := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	restart := func(e *fakeEngines) { e.put("u", born+1, false) }
	vanish := func(e *fakeEngines) { e.roster.Remove("u", 0) }
	accept := func(e *fakeEngines) { e.setCloses(false) }
	replace := func(e *fakeEngines) { e.put("v", born+1, false) }
	drainAndReplace := func(e *fakeEngines) {
		e.put("u", born, true)
		replace(e)
	}
	leave := func(e *fakeEngines) {
		e.put("u", born, true)
		time.Sleep(300 * time.Millisecond)
		e.roster.Remove("u", 0)
	}
	for name, c := range map[string]struct {
		dialErr  error
		start    int64
		startErr error
		closes   bool
		// then is what the directory shows after an interruption, and after how long.
		then  func(*fakeEngines)
		after time.Duration
		// immediate is set if the check finds the crash, later if the directory shows it.
		immediate, later bool
	}{
		"refuses connections":          {dialErr: fmt.Errorf("dial: %w", syscall.ECONNREFUSED), immediate: true},
		"restarted at once":            {start: born + 1, immediate: true},
		"another instance":             {startErr: fmt.Errorf("probe: %w", ErrOtherInstance), immediate: true},
		"forwarder, then restarted":    {startErr: errNoAnswer, then: restart, after: time.Second, later: true},
		"forwarder, then vanished":     {startErr: errNoAnswer, then: vanish, after: 5 * time.Second, later: true},
		"report without start":         {then: restart, after: time.Second, later: true},
		"plain service":                {startErr: fmt.Errorf("probe: %w", ErrNoStart), then: vanish, after: time.Second},
		"port stays open":              {startErr: errNoAnswer, closes: true, later: true},
		"too many connections":         {startErr: errNoAnswer, closes: true, then: accept, after: 600 * time.Millisecond},
		"port opens, replaced":         {startErr: errNoAnswer, then: replace, after: time.Second, later: true},
		"silent, replaced":             {dialErr: timeout, then: replace, after: 3 * time.Second, later: true},
		"planned leave, replaced":      {startErr: errNoAnswer, then: drainAndReplace, after: time.Second},
		"replaced much later":          {startErr: errNoAnswer, then: replace, after: caseLifetime + time.Second},
		"reset, engine lives":          {start: born},
		"reset, engine leaves later":   {start: born, then: leave, after: time.Second},
		"reset, engine vanishes later": {start: born, then: vanish, after: time.Second},
		"slow engine":                  {startErr: errNoAnswer},
		"cut link":                     {dialErr: timeout},
		"cut link, entry vanishes":     {dialErr: timeout, then: vanish, after: 3 * time.Second},
		"cut link, then restarted":     {dialErr: timeout, then: restart, after: 3 * time.Second, later: true},
		"planned leave":                {startErr: errNoAnswer, then: leave, after: time.Second},
		"restarted much later":         {startErr: errNoAnswer, then: restart, after: caseLifetime + time.Second},
		"moved":                        {startErr: errNoAnswer, then: func(e *fakeEngines) { e.roster.Put(roster.Entry{ID: "u", Address: "192.0.2.9:80", Born: born}) }, after: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := &fakeEngines{roster: roster.New(), dialErr: c.dialErr, start: c.start, startErr: c.startErr, closes: c.closes}
				d := newCrashDetector(e.dial, e.roster, e, nil, noConnections)
				is.Equal(e.interrupt(d, e.put("u", born, false)), c.immediate)
				is.Equal(e.crashes.Load() == 1, c.immediate)
				is.Equal(e.closings == 1, c.closes)
				if c.then != nil {
					time.Sleep(c.after)
					c.then(e)
				}
				time.Sleep(2 * caseLifetime)
				synctest.Wait()
				is.Equal(e.crashes.Load() == 1, c.immediate || c.later)
				is.Equal(len(d.cases), 0)
			})
		})
	}
}

// An engine that says itself, or of which the directory says, that it leaves is not asked.
func TestLeavingEngineIsNotAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &fakeEngines{roster: roster.New(), dialErr: syscall.ECONNREFUSED}
		d := newCrashDetector(e.dial, e.roster, e, nil, noConnections)
		is.True(!e.interrupt(d, e.put("u", born, true)))
		is.Equal(e.dials+int(e.crashes.Load()), 0)
	})
}

// Guards against a probe for each interrupted run, which have a price, and against cases without a bound.
func TestProbesAndCasesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &fakeEngines{roster: roster.New()}
		d := newCrashDetector(e.dial, e.roster, e, nil, noConnections)
		u, started := e.put("u", born, false), time.Now()
		for range 2 * maxCaseRuns {
			e.interrupt(d, u)
		}
		is.True(e.probes <= 1+int(time.Since(started)/probeInterval))
		is.Equal(len(d.cases[u].runs), maxCaseRuns)
		for i := range 2 * maxCases {
			e.interrupt(d, e.put(fmt.Sprint("u-", i), born, false))
		}
		is.True(len(d.cases) <= maxCases)
		time.Sleep(2 * caseLifetime)
		synctest.Wait()
		is.Equal(len(d.cases), 0)
	})
}

// Guards against an answer that an upstream gave before it crashed, and that decides about a run that the
// crash interrupted: calls during a check wait for the next one.
func TestCheckBeginsAfterInterruption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &fakeEngines{roster: roster.New(), start: born}
		slow := make(chan struct{})
		dial := func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := e.dial(ctx, address)
			if e.dials == 1 {
				<-slow
			}
			return conn, err
		}
		d := newCrashDetector(dial, e.roster, e, nil, noConnections)
		u := e.put("u", born, false)
		before := d.check(u, func() {}, func() {})
		synctest.Wait()
		e.dialErr = syscall.ECONNREFUSED
		after := d.check(u, func() {}, func() {})
		close(slow)
		is.Equal(<-before, alive)
		is.Equal(<-after, crashed)
	})
}

// Guards against an upstream that counts as crashed because it closes connections for a moment, long after another
// interruption (LOST): only closings in a row count.
func TestClosingsAreCountedInARow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &fakeEngines{roster: roster.New(), startErr: errNoAnswer}
		d := newCrashDetector(e.dial, e.roster, e, nil, noConnections)
		u := e.put("u", born, false)
		e.interrupt(d, u)
		time.Sleep(2 * time.Second)
		e.setCloses(true)
		e.interrupt(d, u)
		time.Sleep(300 * time.Millisecond)
		e.setCloses(false)
		time.Sleep(2 * caseLifetime)
		synctest.Wait()
		is.Equal(e.closings, 1)
		is.Equal(int(e.crashes.Load()), 0)
	})
}
