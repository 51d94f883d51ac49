package serving

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"toucanfall/catalogue"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/quarantine"
	"toucanfall/roster"
	"toucanfall/transport"
)

// PromptParts knows which parts of prompts crash engines. The parts of a request are those of
// [Call.Parts].
type PromptParts interface {
	// Quarantined returns the first of the parts that is in quarantine, and whether there is one.
	Quarantined(parts []fleet.PartID) (fleet.PartID, bool)
	// Suspected reports whether an engine has crashed under one of the parts of which no more runs
	// went well than engines crashed.
	Suspected(parts []fleet.PartID) bool
	// RecordSound records a run that went well.
	RecordSound(parts []fleet.PartID)
	// RecordCrash records a run that ended together with its engine.
	RecordCrash(engine quarantine.EngineStart, request fleet.RequestID, parts []fleet.PartID)
}

// soundAfter is how long after the first part of its answer a run counts as one that went well: a
// part of a prompt crashes an engine that begins to write an answer on it.
const soundAfter = 500 * time.Millisecond

// checkParts returns a fault.Quarantined error if a part of the call's prompt is in quarantine.
func (h *Handler) checkParts(c *Call) error {
	if part, ok := h.cfg.Parts.Quarantined(c.Parts); ok {
		return fault.New(fault.Quarantined, "part %q of the prompt has crashed several engines", part)
	}
	return nil
}

// recordProgress records that a part of an answer has come.
func (t *attempts) recordProgress(a *attempt) {
	switch {
	case a.progressAt.IsZero():
		a.progressAt = time.Now()
	case !a.sound && time.Since(a.progressAt) >= soundAfter:
		t.recordSound(a)
	}
}

// recordSound records that a run went well.
func (t *attempts) recordSound(a *attempt) {
	if !a.sound {
		a.sound = true
		t.h.cfg.Parts.RecordSound(t.c.Parts)
	}
}

// checkCrash looks whether the upstream of an attempt that broke off has crashed, and records it. It
// returns whether the request may be retried, which retry reports apart from that: a request that may
// have crashed its engine must not run at another one, unless runs with all of its parts go well.
func (t *attempts) checkCrash(a *attempt, retry bool) bool {
	if t.c.Model == "" || a.sound || a.ctx.Err() != nil {
		return retry
	}
	crashed := t.h.crashes.check(a.u, func() {
		t.h.cfg.Parts.RecordCrash(quarantine.EngineStart{Upstream: a.u.ID, Born: a.u.StartTime()}, t.c.ID, t.c.Parts)
	})
	if !retry {
		return false
	}
	return !<-crashed || !t.h.cfg.Parts.Suspected(t.c.Parts)
}

// checkEnd returns an error if an answer that was sent to the client is a stream without a frame whose
// upstream has crashed: the crash ended the connection, and the stream with it.
func (t *attempts) checkEnd(a *attempt) error {
	if a.resp.Framing != transport.Unframed || t.c.Route.Kind != catalogue.Stream || !isEventStream(a.resp) {
		return nil
	}
	if <-t.h.crashes.check(a.u, func() {}) {
		return errors.New("the stream broke off: its upstream has crashed")
	}
	return nil
}

// crashDetector finds out whether upstreams that broke off a run have crashed. A connection that
// ended says little of its upstream: one that refuses connections right after it has ended.
type crashDetector struct {
	dial transport.Dialer

	mu sync.Mutex
	// checks holds the checks in progress, and the functions to call if the upstream has crashed.
	// Guarded by mu.
	checks map[*roster.Upstream][]func(crashed bool)
}

func newCrashDetector(dial transport.Dialer) *crashDetector {
	return &crashDetector{dial: dial, checks: make(map[*roster.Upstream][]func(bool))}
}

// check looks whether an upstream has crashed, with one connection for all calls at the same time. It
// calls onCrash if it has, and then sends the result.
func (d *crashDetector) check(u *roster.Upstream, onCrash func()) <-chan bool {
	result := make(chan bool, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	waiting, running := d.checks[u]
	d.checks[u] = append(waiting, func(crashed bool) {
		if crashed {
			onCrash()
		}
		result <- crashed
	})
	if !running {
		go d.run(u)
	}
	return result
}

// run connects to an upstream once, and reports to all that wait for the result.
func (d *crashDetector) run(u *roster.Upstream) {
	crashed := d.refusesConnections(u)
	if crashed {
		u.MarkUnreachable()
	}
	d.mu.Lock()
	waiting := d.checks[u]
	delete(d.checks, u)
	d.mu.Unlock()
	for _, report := range waiting {
		report(crashed)
	}
}

// refusesConnections reports whether nothing listens at the address of an upstream that is not
// leaving. A connection that times out says nothing: the link may be cut.
func (d *crashDetector) refusesConnections(u *roster.Upstream) bool {
	if how, _ := u.Leaving(); how != "" {
		return false
	}
	// The dialer has a timeout of its own.
	conn, err := d.dial(context.Background(), u.Address())
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
