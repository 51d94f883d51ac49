package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"

	"toucanfall/fleet"
)

// Times of writing reports again that are lost because the log came back from a copy.
const (
	// rewriteAge is the greatest age of such a report. Copies are some seconds old.
	rewriteAge = time.Minute
	// rewriteSpread is the time over which the VMs spread their writes.
	rewriteSpread = 2 * time.Second
)

// writtenReport is a report of this VM that was written to the log at a time.
type writtenReport struct {
	report Report
	at     time.Duration
}

// LogRestored makes this VM write its recent reports again, because the log has lost its newest records.
// VMs that know them ignore them.
func (t *Tracker) LogRestored() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rewriteAt == 0 {
		t.rewriteAt = t.cfg.Now() + rand.N(rewriteSpread)
	}
}

// recordWritten removes a written report from the queue and keeps it for the time in which it can get lost.
// The caller holds mu.
func (t *Tracker) recordWritten(r Report) {
	now := t.cfg.Now()
	if len(t.queue) > 0 && t.queue[0].Number == r.Number {
		t.queue = t.queue[1:]
	}
	t.written = slices.DeleteFunc(t.written, func(w writtenReport) bool { return now-w.at > rewriteAge })
	t.written = append(t.written, writtenReport{r, now})
	t.written = t.written[max(len(t.written)-maxQueued, 0):]
}

// queueRewrites queues the recent reports before the others if the log was restored. The caller holds mu.
func (t *Tracker) queueRewrites(now time.Duration) {
	if t.rewriteAt == 0 || now < t.rewriteAt {
		return
	}
	t.rewriteAt = 0
	var lost []Report
	for _, w := range t.written {
		if now-w.at <= rewriteAge {
			lost = append(lost, w.report)
		}
	}
	t.written = nil
	t.queue = append(lost, t.queue...)
	t.queue = t.queue[max(len(t.queue)-maxQueued, 0):]
}

// forgetWritten drops the reports about a part that was lifted: written again, they would follow the lift and
// put the part into quarantine on VMs that start later. The caller holds mu.
func (t *Tracker) forgetWritten(part fleet.PartID) {
	t.written = slices.DeleteFunc(t.written, func(w writtenReport) bool {
		return slices.ContainsFunc(w.report.Parts, func(p PartCount) bool { return p.Part == part })
	})
}
