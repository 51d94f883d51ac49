package roster

import (
	"slices"
	"sync"
	"time"

	"toucanfall/catalogue"
	"toucanfall/fleet"
)

// Times after which an upstream is judged by its answers.
const (
	// silentAfter is how long an upstream with requests in flight may send
	// nothing before others are preferred: a few times the longest pause
	// between events in the sheets, 200 ms.
	silentAfter = 700 * time.Millisecond
	// quietAfter is the same for an upstream where manyQuiet requests or more hear
	// nothing at the same time: events come each 50 ms or so on loaded engines.
	quietAfter = 300 * time.Millisecond
	manyQuiet  = 3
	// failureMemory is how fast the share of failed requests is forgotten. It
	// grows by as much with each failure in a row, up to longMemory: an upstream
	// that fails everything is tried by each VM once in that time, and one that is
	// well again is missed for as long.
	failureMemory = 3 * time.Second
	longMemory    = 9 * time.Second
	// failureWeight is how much one answer counts in the share.
	failureWeight = 0.2
)

// Upstream is one start of an upstream as this VM sees it.
type Upstream struct {
	ID fleet.UpstreamID

	mu    sync.Mutex
	entry Entry
	gone  bool
	// doubted is until when the upstream is used though its entry is gone.
	doubted time.Time
	onGone  []func()
	// inFlight counts this VM's own requests here.
	inFlight int
	running  map[Adapter]int
	// others is what the other VMs have in flight here, as the coordinator
	// told last.
	others int
	// begun counts this VM's requests here since then.
	begun   int
	waiting map[*Flight]struct{}
	// prompts is a decaying sum of the prompt tokens that were sent here.
	prompts   float64
	promptsAt time.Time
	// failed is a decaying share of requests that failed here.
	failed   float64
	failedAt time.Time
	// failures counts the requests that failed here one after the other.
	failures int
	// away is until when no connection is tried, awayFor the last such time.
	away    time.Time
	awayFor time.Duration
	// said is what this start has said of itself in its answers.
	said said
	// adapters are those that the coordinator has loaded, with the time after
	// which they can be used.
	adapters map[Adapter]time.Time
	// models are those that the coordinator's account lists, and toldAt is when
	// it did. The entry lags behind orders.
	models []fleet.ModelID
	toldAt time.Time
}

// Adapter names an adapter of a model, or the model itself if Adapter is empty.
type Adapter struct {
	Model   fleet.ModelID
	Adapter fleet.AdapterID
}

func newUpstream(e Entry) *Upstream {
	u := &Upstream{
		ID:       e.ID,
		entry:    e,
		running:  make(map[Adapter]int),
		waiting:  make(map[*Flight]struct{}),
		adapters: make(map[Adapter]time.Time),
	}
	u.holdAdapters(e)
	return u
}

// holdAdapters takes the adapters that the entry of a new upstream lists.
func (u *Upstream) holdAdapters(e Entry) {
	for _, h := range e.Holdings {
		for _, a := range h.Adapters {
			u.adapters[Adapter{h.Model, a}] = time.Time{}
		}
	}
}

func (u *Upstream) update(e Entry) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.entry = e
	u.doubted = time.Time{}
}

func (u *Upstream) retire() {
	u.mu.Lock()
	u.gone = true
	hooks := u.onGone
	u.onGone = nil
	u.mu.Unlock()
	for _, f := range hooks {
		f()
	}
}

// OnGone calls f once the upstream is gone, at once if it is.
func (u *Upstream) OnRemoved(f func()) {
	u.mu.Lock()
	if !u.gone {
		u.onGone = append(u.onGone, f)
		u.mu.Unlock()
		return
	}
	u.mu.Unlock()
	f()
}

func (u *Upstream) doubt(until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.doubted.IsZero() {
		u.doubted = until
	}
}

func (u *Upstream) doubtOver(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.doubted.IsZero() && now.After(u.doubted)
}

// Entry returns what the upstream says of itself.
func (u *Upstream) Entry() Entry {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.entry
}

// Address returns where the upstream listens.
func (u *Upstream) Address() string {
	return u.Entry().Address
}

// Born returns the start of the upstream.
func (u *Upstream) StartTime() int64 {
	return u.Entry().Born
}

// Service returns the service that the upstream belongs to.
func (u *Upstream) Service() catalogue.ServiceID {
	return u.Entry().Service
}

// Usable reports whether the upstream may get new requests.
func (u *Upstream) Usable() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.gone && !u.entry.Draining && !u.said.leaving && (u.doubted.IsZero() || time.Now().Before(u.doubted))
}

// Leaving returns how the upstream is known to leave, "" if it is not, and for how
// long it is used all the same.
func (u *Upstream) Leaving() (how string, doubted time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.entry.Draining:
		return "draining", 0
	case u.gone:
		return "removed", 0
	case !u.doubted.IsZero():
		return "removed", time.Until(u.doubted)
	}
	return "", 0
}

// toldFor is how long the coordinator's account goes before the entry: several
// messages of the coordinator, and longer than the directory lags.
const toldFor = 2 * time.Second

// SetModels takes over the models that the coordinator's account lists as ready.
func (u *Upstream) SetModels(list []fleet.ModelID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.models, u.toldAt = list, time.Now()
}

// Confirm tells that the coordinator's account has not changed, and reports
// whether it was ever told.
func (u *Upstream) ConfirmModels() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.toldAt.IsZero() {
		return false
	}
	u.toldAt = time.Now()
	return true
}

// Running returns the models and adapters of this VM's requests here.
func (u *Upstream) Running() []Adapter {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]Adapter, 0, len(u.running))
	for a := range u.running {
		out = append(out, a)
	}
	return out
}

// Times for which an upstream that could not be connected to is left alone.
const (
	firstAway = 400 * time.Millisecond
	maxAway   = 3 * time.Second
)

// Unreachable notes that no connection could be made. The upstream is left
// alone for a time that doubles with each failure.
func (u *Upstream) MarkUnreachable() {
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Before(u.away) {
		return
	}
	u.awayFor = min(max(2*u.awayFor, firstAway), maxAway)
	u.away = now.Add(u.awayFor)
}

// Away reports whether the upstream is left alone.
func (u *Upstream) Unreachable(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Before(u.away)
}

// Holds reports whether the upstream can serve the model.
func (u *Upstream) Holds(m fleet.ModelID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Since(u.toldAt) < toldFor {
		return slices.Contains(u.models, m)
	}
	return slices.ContainsFunc(u.entry.Holdings, func(h Holding) bool { return h.Model == m })
}

// HasAdapter reports whether the adapter can be used at a time.
func (u *Upstream) HasAdapter(a Adapter, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	from, ok := u.adapters[a]
	return ok && !now.Before(from)
}

// SetAdapters takes over the adapters that the coordinator's account lists.
// They can be used at once, but for those that are known to come later.
func (u *Upstream) SetAdapters(list []Adapter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	next := make(map[Adapter]time.Time, len(list))
	for _, a := range list {
		next[a] = u.adapters[a]
	}
	u.adapters = next
}

// AddAdapter notes an adapter that can be used from a time on.
func (u *Upstream) AddAdapter(a Adapter, from time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.adapters[a] = from
}

// DropAdapter forgets an adapter that the upstream turned out not to hold.
func (u *Upstream) DropAdapter(a Adapter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.adapters, a)
}

// SetOthers takes over what other VMs have in flight here.
func (u *Upstream) SetOthersInFlight(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.others, u.begun = n, 0
}

// InFlight returns this VM's requests here, and those of all VMs.
func (u *Upstream) InFlight() (own, all int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.inFlight, u.inFlight + u.others
}

// Begun returns how many requests this VM has sent here since it was told what
// others have in flight.
func (u *Upstream) StartedSinceUpdate() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.begun
}

// Failing returns the decaying share of requests that failed here lately.
func (u *Upstream) FailureShare(now time.Time) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.failing(now)
}

func (u *Upstream) failing(now time.Time) float64 {
	memory := min(failureMemory*time.Duration(max(u.failures, 1)), longMemory)
	age := now.Sub(u.failedAt)
	if u.failed == 0 || age >= memory {
		return 0
	}
	return u.failed * (1 - float64(age)/float64(memory))
}

// Silent reports whether nothing comes from the upstream that owes something:
// every request that waits for its first byte has waited too long, or many
// requests have heard nothing for longer than events take.
func (u *Upstream) Silent(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	late, quiet := 0, 0
	for f := range u.waiting {
		if now.Sub(f.heard) > silentAfter {
			late++
		}
		if now.Sub(f.heard) > quietAfter {
			quiet++
		}
	}
	n := len(u.waiting)
	return late > 0 && late == n || quiet >= manyQuiet && quiet == n
}
