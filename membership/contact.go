package membership

import (
	"sync"
	"time"

	"toucanfall/event"
	"toucanfall/timeline"
)

// CutOffAfter is how long a VM may reach neither the log nor a VM that does
// until it counts as cut off. It spans two reads of a quiet log.
const CutOffAfter = 5 * time.Second

// Contact tells whether this VM is cut off from the log and from all VMs that
// reach it.
type CutOffDetector struct {
	lastRead func() time.Time
	rec      *timeline.Recorder

	mu   sync.Mutex
	last time.Time
	cut  bool
}

// NewContact returns the contact of a VM that read the log last when lastRead
// says so.
func NewCutOffDetector(lastRead func() time.Time, rec *timeline.Recorder) *CutOffDetector {
	return &CutOffDetector{lastRead: lastRead, rec: rec, last: time.Now()}
}

// Heard takes what another VM answered.
func (c *CutOffDetector) Observe(m Member) {
	if !m.Beat.LogReachable {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.LastHeard.After(c.last) {
		c.last = m.LastHeard
	}
}

// CutOff reports whether the VM is cut off. Times are compared by the
// monotonic clock, so a VM that was paused counts as cut off until it hears
// of the log again.
func (c *CutOffDetector) CutOff() bool {
	read := c.lastRead()
	c.mu.Lock()
	if read.After(c.last) {
		c.last = read
	}
	was := c.cut
	c.cut = time.Since(c.last) >= CutOffAfter
	now := c.cut
	c.mu.Unlock()
	switch {
	case now && !was:
		c.rec.Record(event.VMCutOff, nil)
	case was && !now:
		c.rec.Record(event.VMReconnected, nil)
	}
	return now
}
