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
	manySilentAfter = 300 * time.Millisecond
	minManySilent   = 3
	// failureMemory is how fast the share of failed requests is forgotten. It
	// grows by as much with each failure in a row, up to longMemory: an upstream
	// that fails everything is tried by each VM once in that time, and one that is
	// well again is missed for as long.
	failureDecay    = 3 * time.Second
	maxFailureDecay = 9 * time.Second
	// failureWeight is how much one answer counts in the share.
	failureWeight = 0.2
)

// Upstream is one start of an upstream as this VM sees it.
type Upstream struct {
	ID fleet.UpstreamID

	mu      sync.Mutex
	entry   Entry
	removed bool
	// doubted is until when the upstream is used though its entry is gone.
	suspectedUntil time.Time
	onRemoved      []func()
	// inFlight counts this VM's own requests here.
	inFlight int
	running  map[Adapter]int
	// others is what the other VMs have in flight here, as the coordinator
	// told last.
	othersInFlight int
	// begun counts this VM's requests here since then.
	startedSinceUpdate int
	flights            map[*Flight]struct{}
	// prompts is a decaying sum of the prompt tokens that were sent here.
	promptTokens   float64
	promptTokensAt time.Time
	// failed is a decaying share of requests that failed here.
	failureShare   float64
	failureShareAt time.Time
	// failures counts the requests that failed here one after the other.
	consecutiveFailures int
	// away is until when no connection is tried, awayFor the last such time.
	unreachableUntil time.Time
	backoff          time.Duration
	// said is what this start has said of itself in its answers.
	notices noticeState
	// adapters are those that the coordinator has loaded, with the time after
	// which they can be used.
	adapters map[Adapter]time.Time
	// models are those that the coordinator's account lists, and toldAt is when
	// it did. The entry lags behind orders.
	reportedModels   []fleet.ModelID
	modelsReportedAt time.Time
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
		flights:  make(map[*Flight]struct{}),
		adapters: make(map[Adapter]time.Time),
	}
	u.initAdapters(e)
	return u
}

// holdAdapters takes the adapters that the entry of a new upstream lists.
func (u *Upstream) initAdapters(e Entry) {
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
	u.suspectedUntil = time.Time{}
}

func (u *Upstream) markRemoved() {
	u.mu.Lock()
	u.removed = true
	hooks := u.onRemoved
	u.onRemoved = nil
	u.mu.Unlock()
	for _, f := range hooks {
		f()
	}
}

// OnGone calls f once the upstream is gone, at once if it is.
func (u *Upstream) OnGone(f func()) {
	u.mu.Lock()
	if !u.removed {
		u.onRemoved = append(u.onRemoved, f)
		u.mu.Unlock()
		return
	}
	u.mu.Unlock()
	f()
}

func (u *Upstream) suspect(until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.suspectedUntil.IsZero() {
		u.suspectedUntil = until
	}
}

func (u *Upstream) suspicionExpired(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.suspectedUntil.IsZero() && now.After(u.suspectedUntil)
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
func (u *Upstream) Born() int64 {
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
	return !u.removed && !u.entry.Draining && !u.notices.leaving && (u.suspectedUntil.IsZero() || time.Now().Before(u.suspectedUntil))
}

// Leaving returns how the upstream is known to leave, "" if it is not, and for how
// long it is used all the same.
func (u *Upstream) Leaving() (how string, usableFor time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.entry.Draining:
		return "draining", 0
	case u.removed:
		return "removed", 0
	case !u.suspectedUntil.IsZero():
		return "removed", time.Until(u.suspectedUntil)
	}
	return "", 0
}

// toldFor is how long the coordinator's account goes before the entry: several
// messages of the coordinator, and longer than the directory lags.
const modelReportTTL = 2 * time.Second

// SetModels takes over the models that the coordinator's account lists as ready.
func (u *Upstream) SetModels(list []fleet.ModelID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reportedModels, u.modelsReportedAt = list, time.Now()
}

// Confirm tells that the coordinator's account has not changed, and reports
// whether it was ever told.
func (u *Upstream) Confirm() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.modelsReportedAt.IsZero() {
		return false
	}
	u.modelsReportedAt = time.Now()
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
	minBackoff = 400 * time.Millisecond
	maxBackoff = 3 * time.Second
)

// Unreachable notes that no connection could be made. The upstream is left
// alone for a time that doubles with each failure.
func (u *Upstream) Unreachable() {
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Before(u.unreachableUntil) {
		return
	}
	u.backoff = min(max(2*u.backoff, minBackoff), maxBackoff)
	u.unreachableUntil = now.Add(u.backoff)
}

// Away reports whether the upstream is left alone.
func (u *Upstream) Away(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Before(u.unreachableUntil)
}

// Holds reports whether the upstream can serve the model.
func (u *Upstream) Holds(m fleet.ModelID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Since(u.modelsReportedAt) < modelReportTTL {
		return slices.Contains(u.reportedModels, m)
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
func (u *Upstream) SetOthers(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.othersInFlight, u.startedSinceUpdate = n, 0
}

// InFlight returns this VM's requests here, and those of all VMs.
func (u *Upstream) InFlight() (own, all int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.inFlight, u.inFlight + u.othersInFlight
}

// Begun returns how many requests this VM has sent here since it was told what
// others have in flight.
func (u *Upstream) Begun() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.startedSinceUpdate
}

// Failing returns the decaying share of requests that failed here lately.
func (u *Upstream) Failing(now time.Time) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.decayedFailureShare(now)
}

func (u *Upstream) decayedFailureShare(now time.Time) float64 {
	decay := min(failureDecay*time.Duration(max(u.consecutiveFailures, 1)), maxFailureDecay)
	age := now.Sub(u.failureShareAt)
	if u.failureShare == 0 || age >= decay {
		return 0
	}
	return u.failureShare * (1 - float64(age)/float64(decay))
}

// Silent reports whether nothing comes from the upstream that owes something:
// every request that waits for its first byte has waited too long, or many
// requests have heard nothing for longer than events take.
func (u *Upstream) Silent(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	silent, manySilent := 0, 0
	for f := range u.flights {
		if now.Sub(f.lastReceived) > silentAfter {
			silent++
		}
		if now.Sub(f.lastReceived) > manySilentAfter {
			manySilent++
		}
	}
	n := len(u.flights)
	return silent > 0 && silent == n || manySilent >= minManySilent && manySilent == n
}
