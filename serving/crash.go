package serving

import (
	"context"
	"errors"
	"time"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/quarantine"
)

// PromptParts knows which parts of prompts crash engines, and which requests as a whole. The parts of a request are
// its fingerprint and those of [Call.Parts].
type PromptParts interface {
	// Quarantined returns the first of the parts that is in quarantine, and whether there is one.
	Quarantined(parts []fleet.PartID) (fleet.PartID, bool)
	// Suspected reports whether an engine has crashed under one of the parts of which no more runs
	// went well than engines crashed.
	Suspected(parts []fleet.PartID) bool
	// RecordSound records a run that went well.
	RecordSound(parts []fleet.PartID)
	// RecordCrash records a run that ended together with its engine, and where the request came from.
	RecordCrash(engine quarantine.EngineStart, request fleet.RequestID, origin quarantine.Origin, parts []fleet.PartID)
}

// soundAfter is how long after the first part of its answer a run counts as one that went well: a
// part of a prompt crashes an engine that begins to write an answer on it.
const soundAfter = 500 * time.Millisecond

// minRunTime is the least time from the writing of a request to the end of its connection after which an upstream
// whose port closes each connection counts as crashed under the request. One that has too many connections closes
// them at once.
const minRunTime = 10 * time.Millisecond

// checkParts returns a fault.Quarantined error if the request or a part of its prompt is in quarantine.
func (h *Handler) checkParts(c *Call) error {
	part, ok := h.cfg.Parts.Quarantined(c.quarantineParts)
	switch {
	case !ok:
		return nil
	case quarantine.IsFingerprint(part):
		return fault.New(fault.Quarantined, "this request, known as %q, has crashed several engines", part)
	}
	return fault.New(fault.Quarantined, "part %q of the prompt has crashed several engines", part)
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
		t.h.cfg.Parts.RecordSound(t.c.quarantineParts)
	}
}

// checkCrash looks whether the upstream of an attempt that broke off has crashed, and records it. It
// returns whether the request may be retried, which retry reports apart from that: a request that may
// have crashed its engine must not run at another one, unless runs with all of its parts go well. For the
// request as a whole the first crash allows one retry, as most engines crash for other reasons; a port that closes
// each connection is evidence enough, because a wrong one costs this request alone. The result for an upstream
// that fell silent is not awaited: another one has the request already, or its time is over.
func (t *attempts) checkCrash(a *attempt, retry bool) bool {
	if a.sound || a.ctx.Err() != nil && !a.silent() {
		return retry
	}
	again := t.interrupted || t.requestSuspected()
	t.interrupted = true
	began := !a.progressAt.IsZero() || time.Since(t.c.received) >= a.trace.writtenAfter+minRunTime
	found := t.h.crashes.check(a.u, func() { t.recordCrash(a, t.c.quarantineParts) }, func() {
		if began {
			t.recordCrash(a, []fleet.PartID{t.c.fingerprint})
		}
	})
	switch {
	case !retry || a.ctx.Err() != nil:
		return retry
	case !again && t.c.Model == "":
		return true // Requests to plain services are short, and most broken connections are no crash.
	}
	f := <-found
	if again {
		return f.showsLife() || f != crashed && !t.requestSuspected()
	}
	return f != crashed || !t.h.cfg.Parts.Suspected(t.c.Parts)
}

// recordCrash records that the upstream of an attempt has crashed under the request.
func (t *attempts) recordCrash(a *attempt, parts []fleet.PartID) {
	engine := quarantine.EngineStart{Upstream: a.u.ID, Born: a.u.StartTime()}
	t.h.cfg.Parts.RecordCrash(engine, t.c.ID, quarantine.Origin{Team: t.c.Team, Route: t.c.Route.Name}, parts)
}

// requestSuspected reports whether an engine has crashed under the same request, and no more of its runs went well.
func (t *attempts) requestSuspected() bool {
	return t.h.cfg.Parts.Suspected([]fleet.PartID{t.c.fingerprint})
}

// silent reports whether an attempt has ended because its upstream sent nothing: the watchdog has
// cancelled it, or the time of the call is over.
func (a *attempt) silent() bool {
	err := a.parent.Err()
	return err == nil || errors.Is(err, context.DeadlineExceeded)
}
