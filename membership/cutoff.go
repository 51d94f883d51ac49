package membership

import (
	"sync"
	"time"

	"toucanfall/event"
	"toucanfall/timeline"
)

// CutOffAfter is how long a VM must have reached neither the log nor a VM that
// reaches the log to be considered cut off. It covers two reads of an idle log.
const CutOffAfter = 5 * time.Second

// CutOffDetector detects that this VM is cut off from the log and from all VMs
// that reach the log. It is safe for concurrent use.
type CutOffDetector struct {
	lastRead func() time.Time
	rec      *timeline.Recorder

	mu sync.Mutex // guards the fields below
	// lastContact is the latest known time at which the log was reachable, from
	// here or by another VM.
	lastContact time.Time
	// cutOff is the last result of CutOff, to record changes.
	cutOff bool
}

// NewCutOffDetector returns a detector that counts the creation as contact.
// lastRead returns when this VM last read the log. Changes are recorded as events
// in rec.
func NewCutOffDetector(lastRead func() time.Time, rec *timeline.Recorder) *CutOffDetector {
	return &CutOffDetector{lastRead: lastRead, rec: rec, lastContact: time.Now()}
}

// Observe processes another VM's answer to a heartbeat. The answer counts as
// contact at the time the heartbeat was sent, if that VM reaches the log.
func (d *CutOffDetector) Observe(m Member) {
	if !m.Beat.LogReachable {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if m.LastHeard.After(d.lastContact) {
		d.lastContact = m.LastHeard
	}
}

// CutOff reports whether this VM is cut off, and records an event if that changed
// since the last call. Times are compared by the monotonic clock. It runs on while
// the process is paused, so a paused process then counts as cut off until it has
// contact again; it may stand still while the whole VM is suspended.
func (d *CutOffDetector) CutOff() bool {
	lastRead := d.lastRead()
	d.mu.Lock()
	if lastRead.After(d.lastContact) {
		d.lastContact = lastRead
	}
	wasCutOff := d.cutOff
	d.cutOff = time.Since(d.lastContact) >= CutOffAfter
	isCutOff := d.cutOff
	d.mu.Unlock()
	switch {
	case isCutOff && !wasCutOff:
		d.rec.Record(event.VMCutOff, nil)
	case wasCutOff && !isCutOff:
		d.rec.Record(event.VMReconnected, nil)
	}
	return isCutOff
}
