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

// Told numbers the words that a VM was told by another one: up to a version of a teller.
type Told struct {
	Teller, Version uint64
}

// words are what a VM knows of what upstreams have said, numbered so that others are told
// only what is new to them.
type noticeLog struct {
	roster *roster.Roster
	events *timeline.Recorder
	sender uint64

	mu      sync.Mutex
	version uint64
	entries map[fleet.UpstreamID]noticeEntry
}

// numbered is the version at which a word was noted.
type noticeEntry struct {
	event   uint64
	leaving bool
	version uint64
}

func newNoticeLog(r *roster.Roster, events *timeline.Recorder) *noticeLog {
	return &noticeLog{roster: r, events: events, sender: rand.Uint64(), entries: make(map[fleet.UpstreamID]noticeEntry)}
}

// since returns the words that a VM has not been told, and up to where it is told with them.
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
		notice, ok := u.Word(now)
		if !ok {
			continue
		}
		entry := w.entries[u.ID]
		if entry.event != notice.Event || entry.leaving != notice.Leaving {
			w.version++
			entry = noticeEntry{notice.Event, notice.Leaving, w.version}
			w.entries[u.ID] = entry
		}
		if entry.version > t.Version {
			out = append(out, notice)
		}
	}
	return out, Told{w.sender, w.version}
}

// learn takes over words that another VM tells, as of a time, and logs what is new.
func (w *noticeLog) apply(list []roster.Word, from string, at time.Time) {
	for _, notice := range w.roster.Learn(list, at) {
		f := timeline.Fields{"upstream": string(notice.Upstream), "from": from, "leaving": strconv.FormatBool(notice.Leaving)}
		if notice.Limited {
			f["intake"] = notice.Intake.String()
		}
		w.events.Record(event.NoticeTold, f)
	}
}
