// Package timeline records the events of a process in a ring buffer and merges the
// buffers of all processes into one timeline, ordered by hybrid logical clocks.
package timeline

import (
	"fmt"
	"maps"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"toucanfall/event"
)

// HeaderClock is the HTTP header that carries a stamp on requests and responses
// between processes.
const HeaderClock = "X-Clock"

// maxClockAhead is how far a received stamp may be ahead of the local wall clock.
// Without it, a process outside the system whose clock is wrong could move the stamps
// of all later events into the future.
const maxClockAhead = time.Minute

// Fields are the values of an event by their names, such as "request" or "team".
type Fields map[string]string

// Entry is one event of one process.
type Entry struct {
	At      Stamp        `json:"at"`
	Process string       `json:"process"`
	Number  event.Number `json:"number"`
	Name    string       `json:"name"`
	Fields  Fields       `json:"fields,omitempty"`
}

// Millis formats a duration in whole milliseconds, as the value of a field.
func Millis(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}

// Filter selects entries. The zero Filter selects all.
type Filter struct {
	// Name is the name of the event.
	Name string `json:"name,omitempty" query:"name"`
	// Field and Value select entries in which that field has that value.
	Field string `json:"field,omitempty" query:"field"`
	Value string `json:"value,omitempty" query:"value"`
	// Newest limits the result to that many of the latest entries, if it is above 0.
	Newest int `json:"newest,omitempty" query:"newest"`
}

// Matches reports whether e has the name and the field value of the filter. It
// ignores Newest.
func (f Filter) Matches(e Entry) bool {
	if f.Name != "" && f.Name != e.Name {
		return false
	}
	return f.Field == "" || e.Fields[f.Field] == f.Value
}

// Recorder writes events to the log and keeps the newest in a ring buffer. It is
// safe for concurrent use.
type Recorder struct {
	Clock *Clock

	process string
	logger  *logrus.Logger

	// mu guards the fields below.
	mu   sync.Mutex
	ring []Entry
	// next is the index in ring of the next entry.
	next int
	// full reports whether ring has been filled once, so that next is the oldest entry.
	full bool
}

// New returns a recorder for the named process that keeps the newest size entries.
// Size must be above 0.
func New(process string, size int, logger *logrus.Logger) *Recorder {
	return &Recorder{
		Clock:   &Clock{},
		process: process,
		logger:  logger,
		ring:    make([]Entry, size),
	}
}

// Record writes an event to the log, if its level is enabled, and keeps it. It copies
// fields.
func (r *Recorder) Record(ev event.Event, fields Fields) {
	e := Entry{
		At:      r.Clock.Now(),
		Process: r.process,
		Number:  ev.Number,
		Name:    ev.Name,
		Fields:  maps.Clone(fields),
	}
	r.store(e)
	if r.logger.IsLevelEnabled(ev.Level) {
		r.log(ev, e)
	}
}

// Observe advances the clock past the stamp in the HeaderClock header of a message
// from another process, so that events recorded from now on are ordered after those
// that the process recorded before. It fails if the header is malformed or more than
// maxClockAhead ahead of the local clock. An empty header is no error: not every hop
// sends one.
func (r *Recorder) Observe(header string) error {
	if header == "" {
		return nil
	}
	var s Stamp
	if err := s.UnmarshalText([]byte(header)); err != nil {
		return err
	}
	if ahead := time.Until(time.UnixMilli(s.WallMS)); ahead > maxClockAhead {
		return fmt.Errorf("stamp %q is %v ahead of the clock of this process", header, ahead.Round(time.Second))
	}
	r.Clock.Observe(s)
	return nil
}

// Header returns a new stamp as the value of the HeaderClock header of a message to
// another process.
func (r *Recorder) Header() string {
	// A stamp can always be encoded.
	b, _ := r.Clock.Now().MarshalText()
	return string(b)
}

func (r *Recorder) log(ev event.Event, e Entry) {
	lf := make(logrus.Fields, len(e.Fields)+2)
	for k, v := range e.Fields {
		lf[k] = v
	}
	lf["event"] = int(ev.Number)
	lf["process"] = e.Process
	r.logger.WithFields(lf).Log(ev.Level, ev.Name)
}

func (r *Recorder) store(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ring[r.next] = e
	r.next++
	if r.next == len(r.ring) {
		r.next = 0
		r.full = true
	}
}

// Entries returns the entries in the ring buffer that f selects, oldest first.
func (r *Recorder) Entries(f Filter) []Entry {
	r.mu.Lock()
	kept := append([]Entry(nil), r.ring[:r.next]...)
	if r.full {
		kept = append(append([]Entry(nil), r.ring[r.next:]...), kept...)
	}
	r.mu.Unlock()
	return Merge(f, kept)
}

// Merge returns the entries in the lists, usually one per process, that f selects,
// in the order of their stamps. Entries with the same stamp are ordered by process. If
// f.Newest is above 0, only that many of the latest entries are returned.
func Merge(f Filter, lists ...[]Entry) []Entry {
	var out []Entry
	for _, list := range lists {
		for _, e := range list {
			if f.Matches(e) {
				out = append(out, e)
			}
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return before(out[i], out[j]) })
	if f.Newest > 0 && len(out) > f.Newest {
		out = out[len(out)-f.Newest:]
	}
	return out
}

func before(a, b Entry) bool {
	if a.At != b.At {
		return a.At.Before(b.At)
	}
	return a.Process < b.Process
}
