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
type Contact struct {
	lastRead func() time.Time
	rec      *timeline.Recorder

	mu          sync.Mutex
	lastContact time.Time
	cutOff      bool
}

// NewContact returns the contact of a VM that read the log last when lastRead
// says so.
func NewContact(lastRead func() time.Time, rec *timeline.Recorder) *Contact {
	return &Contact{lastRead: lastRead, rec: rec, lastContact: time.Now()}
}

// Heard takes what another VM answered.
func (c *Contact) Heard(m Member) {
	if !m.Beat.LogReachable {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.LastHeard.After(c.lastContact) {
		c.lastContact = m.LastHeard
	}
}

// CutOff reports whether the VM is cut off. Times are compared by the
// monotonic clock, so a VM that was paused counts as cut off until it hears
// of the log again.
func (c *Contact) CutOff() bool {
	lastRead := c.lastRead()
	c.mu.Lock()
	if lastRead.After(c.lastContact) {
		c.lastContact = lastRead
	}
	wasCutOff := c.cutOff
	c.cutOff = time.Since(c.lastContact) >= CutOffAfter
	isCutOff := c.cutOff
	c.mu.Unlock()
	switch {
	case isCutOff && !wasCutOff:
		c.rec.Record(event.VMCutOff, nil)
	case wasCutOff && !isCutOff:
		c.rec.Record(event.VMReconnected, nil)
	}
	return isCutOff
}
