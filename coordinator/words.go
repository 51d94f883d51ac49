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
type words struct {
	roster *roster.Roster
	events *timeline.Recorder
	teller uint64

	mu      sync.Mutex
	version uint64
	noted   map[fleet.UpstreamID]numbered
}

// numbered is the version at which a word was noted.
type numbered struct {
	event   uint64
	leaving bool
	version uint64
}

func newWords(r *roster.Roster, events *timeline.Recorder) *words {
	return &words{roster: r, events: events, teller: rand.Uint64(), noted: make(map[fleet.UpstreamID]numbered)}
}

// since returns the words that a VM has not been told, and up to where it is told with them.
func (w *words) since(t Told) ([]roster.Word, Told) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	roster.Retain(w.roster, w.noted)
	if t.Teller != w.teller {
		t.Version = 0
	}
	var out []roster.Word
	for _, u := range w.roster.Upstreams() {
		word, ok := u.SharedNotice(now)
		if !ok {
			continue
		}
		n := w.noted[u.ID]
		if n.event != word.Event || n.leaving != word.Leaving {
			w.version++
			n = numbered{word.Event, word.Leaving, w.version}
			w.noted[u.ID] = n
		}
		if n.version > t.Version {
			out = append(out, word)
		}
	}
	return out, Told{w.teller, w.version}
}

// learn takes over words that another VM tells, as of a time, and logs what is new.
func (w *words) learn(list []roster.Word, from string, at time.Time) {
	for _, word := range w.roster.ApplySharedNotices(list, at) {
		f := timeline.Fields{"upstream": string(word.Upstream), "from": from, "leaving": strconv.FormatBool(word.Leaving)}
		if word.Limited {
			f["intake"] = word.Intake.String()
		}
		w.events.Record(event.NoticeTold, f)
	}
}
