package roster

import (
	"slices"
	"sync"
	"time"

	"toucanfall/catalogue"
	"toucanfall/fleet"
	"toucanfall/servicetime"
)

// Limits and weights by which an upstream is judged by its answers.
const (
	// silentAfter is how long an upstream with requests in flight may send nothing before others
	// are preferred: a few times the longest pause between events in the capacity documentation,
	// 200 ms.
	silentAfter = 700 * time.Millisecond
	// manySilentAfter is the same for an upstream at which minManySilent or more requests get
	// nothing at the same time: engines under load send an event every 50 ms or so.
	manySilentAfter = 300 * time.Millisecond
	minManySilent   = 3
	// failureDecay is the time in which the share of failed requests decays to 0. It is multiplied
	// by the number of consecutive failures, up to maxFailureDecay: each VM tries an upstream that
	// fails everything once in that time, and one that has recovered is avoided for as long.
	failureDecay    = 3 * time.Second
	maxFailureDecay = 9 * time.Second
	// failureWeight is the weight of one answer in the share.
	failureWeight = 0.2
)

// Upstream is one start of an upstream as this VM sees it. It is safe for concurrent use; mu guards
// all fields but ID.
type Upstream struct {
	ID fleet.UpstreamID

	mu      sync.Mutex
	entry   Entry
	removed bool
	// suspectedUntil is until when the upstream is used although its entry vanished, the zero
	// time if it has not.
	suspectedUntil time.Time
	onRemoved      []func()
	// inFlight is the number of this VM's requests in flight here, running the same by adapter.
	inFlight int
	running  map[Adapter]int
	// othersInFlight is the number of the other VMs' requests in flight here, by the last report.
	othersInFlight int
	// startedSinceUpdate is the number of this VM's requests started here since that report.
	startedSinceUpdate int
	flights            map[*Flight]struct{}
	// promptTokens is a decaying sum of the prompt tokens sent here, as of promptTokensAt.
	promptTokens   float64
	promptTokensAt time.Time
	// failureShare is a decaying share of the requests that failed here, as of failureShareAt.
	failureShare   float64
	failureShareAt time.Time
	// consecutiveFailures is the number of requests that failed here in a row.
	consecutiveFailures int
	// unreachableUntil is until when the upstream is avoided because no connection could be made,
	// backoff how long the last such time was; it is 0 once a part of an answer was received.
	unreachableUntil time.Time
	backoff          time.Duration
	// notices is the state from the notices of this start.
	notices noticeState
	// cold is the cold state of this start.
	cold coldState
	// evacuated is set while the data centre is evacuated.
	evacuated bool
	// adapters holds the adapters that are loaded or being loaded, with the time from which each
	// can be used.
	adapters map[Adapter]time.Time
	// reportedModels are the ready models by the coordinator's last report, and modelsReportedAt
	// is when it was received or last confirmed. The directory entry shows the result of the
	// coordinator's orders to load or unload models only later.
	reportedModels   []fleet.ModelID
	modelsReportedAt time.Time
	// load is the load by the last answer that stated it, at loadAt; processingTime smooths its
	// relative processing time.
	load           Load
	loadAt         time.Time
	processingTime servicetime.Estimate
}

// Adapter identifies an adapter of a model, or the model itself if Adapter is empty.
type Adapter struct {
	Model   fleet.ModelID
	Adapter fleet.AdapterID
}

func newUpstream(e Entry, cold ColdLimit, evacuated bool) *Upstream {
	u := &Upstream{
		ID:       e.ID,
		entry:    e,
		running:  make(map[Adapter]int),
		flights:  make(map[*Flight]struct{}),
		adapters: make(map[Adapter]time.Time),
	}
	u.initAdapters(e)
	u.cold.limit = cold
	u.cold.extend(e.Cold, time.Now())
	u.evacuated = evacuated
	return u
}

// initAdapters adds the adapters that the entry of a new upstream lists.
func (u *Upstream) initAdapters(e Entry) {
	for _, h := range e.Holdings {
		for _, a := range h.Adapters {
			u.adapters[Adapter{h.Model, a}] = time.Time{}
		}
	}
}

func (u *Upstream) update(e Entry, cold ColdLimit, evacuated bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.entry = e
	u.cold.limit = cold
	u.cold.extend(e.Cold, time.Now())
	u.evacuated = evacuated
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

// OnRemoved calls f once the upstream is removed, or immediately if it already is. f may be called
// with the lock of the Roster held, so it must not call the Roster.
func (u *Upstream) OnRemoved(f func()) {
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

// Entry returns the upstream's entry in the directory.
func (u *Upstream) Entry() Entry {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.entry
}

// Address returns the address at which the upstream listens.
func (u *Upstream) Address() string {
	return u.Entry().Address
}

// StartTime returns when the upstream's process started, in Unix milliseconds. It identifies the
// process.
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
	return !u.evacuated && u.alive()
}

// alive reports whether the upstream could get new requests if its data centre were not evacuated.
// The caller holds mu.
func (u *Upstream) alive() bool {
	return !u.removed && !u.entry.Draining && !u.notices.leaving && (u.suspectedUntil.IsZero() || time.Now().Before(u.suspectedUntil))
}

// Evacuated reports whether the upstream gets no new requests only because its data centre is
// evacuated.
func (u *Upstream) Evacuated() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.evacuated && u.alive()
}

func (u *Upstream) setEvacuated(evacuated map[fleet.DataCentre]bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	next := evacuated[u.entry.DataCentre]
	if u.evacuated && !next {
		u.cold.extend(u.cold.limit.Time, time.Now())
	}
	u.evacuated = next
}

// Leaving returns "draining" or "removed" if that is what the directory says of the upstream, else "".
// If the removal is only suspected, usableFor is how much longer the upstream is used, otherwise 0.
// Notices of the upstream itself are not considered.
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

// modelReportTTL is how long the coordinator's report takes precedence over the directory entry. It
// is longer than the time in which the coordinator sends several messages, and longer than the time
// by which the directory lags.
const modelReportTTL = 2 * time.Second

// SetModels sets the models that the coordinator reports as ready.
func (u *Upstream) SetModels(list []fleet.ModelID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reportedModels, u.modelsReportedAt = list, time.Now()
}

// ConfirmModels records that the coordinator's report has not changed, and returns false if there has
// been none.
func (u *Upstream) ConfirmModels() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.modelsReportedAt.IsZero() {
		return false
	}
	u.modelsReportedAt = time.Now()
	return true
}

// Running returns the models and adapters of this VM's requests in flight here.
func (u *Upstream) Running() []Adapter {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]Adapter, 0, len(u.running))
	for a := range u.running {
		out = append(out, a)
	}
	return out
}

// Bounds of the backoff after a failed connection.
const (
	minBackoff = 400 * time.Millisecond
	maxBackoff = 3 * time.Second
)

// MarkUnreachable records that no connection could be made. The upstream is avoided for a time that
// doubles with each failure, from minBackoff up to maxBackoff. A failure within that time does not
// extend it.
func (u *Upstream) MarkUnreachable() {
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Before(u.unreachableUntil) {
		return
	}
	u.backoff = min(max(2*u.backoff, minBackoff), maxBackoff)
	u.unreachableUntil = now.Add(u.backoff)
}

// Unreachable reports whether the upstream is avoided after a failed connection.
func (u *Upstream) Unreachable(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Before(u.unreachableUntil)
}

// Holds reports whether the upstream can serve the model, by the coordinator's report if it is
// recent, otherwise by the directory entry.
func (u *Upstream) Holds(m fleet.ModelID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Since(u.modelsReportedAt) < modelReportTTL {
		return slices.Contains(u.reportedModels, m)
	}
	return slices.ContainsFunc(u.entry.Holdings, func(h Holding) bool { return h.Model == m })
}

// HasAdapter reports whether the adapter can be used at the time now.
func (u *Upstream) HasAdapter(a Adapter, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	from, ok := u.adapters[a]
	return ok && !now.Before(from)
}

// SetAdapters sets the adapters that the coordinator reports. They can be used immediately, except
// for those that AddAdapter has given a later time.
func (u *Upstream) SetAdapters(list []Adapter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	next := make(map[Adapter]time.Time, len(list))
	for _, a := range list {
		next[a] = u.adapters[a]
	}
	u.adapters = next
}

// AddAdapter adds an adapter that can be used from the time from.
func (u *Upstream) AddAdapter(a Adapter, from time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.adapters[a] = from
}

// DropAdapter removes an adapter that the upstream turned out not to hold.
func (u *Upstream) DropAdapter(a Adapter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.adapters, a)
}

// SetOthersInFlight sets the number of the other VMs' requests in flight here.
func (u *Upstream) SetOthersInFlight(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.othersInFlight, u.startedSinceUpdate = n, 0
}

// InFlight returns the number of requests in flight here, this VM's own and those of all VMs.
func (u *Upstream) InFlight() (own, all int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.inFlight, u.inFlight + u.othersInFlight
}

// StartedSinceUpdate returns how many requests this VM has started here since the last call of
// SetOthersInFlight.
func (u *Upstream) StartedSinceUpdate() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.startedSinceUpdate
}

// FailureShare returns the decaying share of requests that failed here recently, from 0 to 1.
func (u *Upstream) FailureShare(now time.Time) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.decayedFailureShare(now)
}

// decayedFailureShare is FailureShare for a caller that holds mu.
func (u *Upstream) decayedFailureShare(now time.Time) float64 {
	decay := min(failureDecay*time.Duration(max(u.consecutiveFailures, 1)), maxFailureDecay)
	age := now.Sub(u.failureShareAt)
	if u.failureShare == 0 || age >= decay {
		return 0
	}
	return u.failureShare * (1 - float64(age)/float64(decay))
}

// Silent reports whether the upstream has requests in flight but sends nothing: all of them have
// received nothing for silentAfter, or there are at least minManySilent and all have received
// nothing for manySilentAfter.
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
