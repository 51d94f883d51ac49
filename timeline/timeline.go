// Package timeline records the events of a process in a ring and merges the
// rings of all processes into one time line, ordered by hybrid logical clocks.
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

// HeaderClock carries a stamp on requests and answers between processes.
const HeaderClock = "X-Clock"

// maxAhead is how far the stamp of a process outside the system may be ahead of
// the own wall clock. One wrong clock must not put all later events off.
const maxAhead = time.Minute

// Fields are the values of an event, such as "request" or "team".
type Fields map[string]string

// Entry is one event of one process.
type Entry struct {
	At      Stamp        `json:"at"`
	Process string       `json:"process"`
	Number  event.Number `json:"number"`
	Name    string       `json:"name"`
	Fields  Fields       `json:"fields,omitempty"`
}

// Millis writes a duration in milliseconds, as a value of an event.
func Millis(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}

// Filter selects entries. An empty field selects all.
type Filter struct {
	Name   string `json:"name,omitempty" query:"name"`
	Field  string `json:"field,omitempty" query:"field"`
	Value  string `json:"value,omitempty" query:"value"`
	Newest int    `json:"newest,omitempty" query:"newest"`
}

// Matches reports whether the filter selects e.
func (f Filter) Matches(e Entry) bool {
	if f.Name != "" && f.Name != e.Name {
		return false
	}
	return f.Field == "" || e.Fields[f.Field] == f.Value
}

// Recorder writes events to the log and keeps the newest in a ring. It is safe
// for concurrent use.
type Recorder struct {
	Clock *Clock

	process string
	logger  *logrus.Logger

	mu   sync.Mutex
	ring []Entry
	next int
	full bool
}

// New returns a recorder for the named process that keeps size entries.
func New(process string, size int, logger *logrus.Logger) *Recorder {
	return &Recorder{
		Clock:   &Clock{},
		process: process,
		logger:  logger,
		ring:    make([]Entry, size),
	}
}

// Record logs an event and keeps it.
func (r *Recorder) Record(ev event.Event, fields Fields) {
	e := Entry{
		At:      r.Clock.Now(),
		Process: r.process,
		Number:  ev.Number,
		Name:    ev.Name,
		Fields:  maps.Clone(fields),
	}
	r.keep(e)
	if r.logger.IsLevelEnabled(ev.Level) {
		r.log(ev, e)
	}
}

// Observe moves the clock past the stamp of a header that came with a message of
// another process, so that what is recorded next is ordered after what that
// process recorded before. An empty header is no error: not every hop sends one.
func (r *Recorder) Observe(header string) error {
	if header == "" {
		return nil
	}
	var s Stamp
	if err := s.UnmarshalText([]byte(header)); err != nil {
		return err
	}
	if ahead := time.Until(time.UnixMilli(s.WallMS)); ahead > maxAhead {
		return fmt.Errorf("stamp %q is %v ahead of the clock of this process", header, ahead.Round(time.Second))
	}
	r.Clock.Observe(s)
	return nil
}

// Header returns a stamp for a message to another process.
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

func (r *Recorder) keep(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ring[r.next] = e
	r.next++
	if r.next == len(r.ring) {
		r.next = 0
		r.full = true
	}
}

// Entries returns the kept entries that f selects, oldest first.
func (r *Recorder) Entries(f Filter) []Entry {
	r.mu.Lock()
	kept := append([]Entry(nil), r.ring[:r.next]...)
	if r.full {
		kept = append(append([]Entry(nil), r.ring[r.next:]...), kept...)
	}
	r.mu.Unlock()
	return Merge(f, kept)
}

// Merge returns the entries of several processes that f selects, in the order
// of their stamps. Entries with the same stamp are ordered by process.
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
