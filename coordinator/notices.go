package coordinator

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/roster"
	"toucanfall/timeline"
)

// Told is the position in a VM's shared notices up to which another VM has received them.
// Teller identifies the sender's notice log, Version counts its entries.
type Told struct {
	Teller, Version uint64
}

// noticeLog numbers the shared notices that a VM knows, so that each receiver is sent only
// those that are new to it.
type noticeLog struct {
	roster *roster.Roster
	events *timeline.Recorder
	// sender is a random number that identifies this log.
	sender uint64

	// mu guards version and entries.
	mu      sync.Mutex
	version uint64
	entries map[fleet.UpstreamID]noticeEntry
}

// noticeEntry is the notice of an upstream that was last numbered, and its version.
type noticeEntry struct {
	event     uint64
	leaving   bool
	coldEvent uint64
	version   uint64
}

func newNoticeLog(r *roster.Roster, events *timeline.Recorder) *noticeLog {
	return &noticeLog{roster: r, events: events, sender: rand.Uint64(), entries: make(map[fleet.UpstreamID]noticeEntry)}
}

// since returns the notices after a position, and the position after them. A position of
// another log counts as the start.
func (w *noticeLog) since(t Told) ([]roster.Word, Told) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	roster.Retain(w.roster, w.entries)
	if t.Teller != w.sender {
		t.Version = 0
	}
	var out []roster.Word
	for _, u := range w.roster.Upstreams() {
		notice, ok := u.SharedNotice(now)
		if !ok {
			continue
		}
		entry := w.entries[u.ID]
		if entry.event != notice.Event || entry.leaving != notice.Leaving || entry.coldEvent != notice.ColdEvent {
			w.version++
			entry = noticeEntry{notice.Event, notice.Leaving, notice.ColdEvent, w.version}
			w.entries[u.ID] = entry
		}
		if entry.version > t.Version {
			out = append(out, notice)
		}
	}
	return out, Told{w.sender, w.version}
}

// apply passes notices from another VM to the roster, as of a time, and logs those that
// change it.
func (w *noticeLog) apply(list []roster.Word, from string, at time.Time) {
	for _, notice := range w.roster.ApplySharedNotices(list, at) {
		f := timeline.Fields{"upstream": string(notice.Upstream), "from": from, "leaving": strconv.FormatBool(notice.Leaving)}
		if notice.Limited {
			f["intake"] = notice.Intake.String()
		}
		if notice.Cold > 0 {
			f["cold_ms"] = timeline.Millis(notice.Cold)
		}
		w.events.Record(event.NoticeTold, f)
	}
}
