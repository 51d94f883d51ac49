package catalogue

import (
	"sync"
	"time"

	"toucanfall/fleet"
)

// Holder holds the active configuration of this VM. It never returns to a lower version. It is
// safe for concurrent use, except for OnChange and OnEvacuations.
type Holder struct {
	// now is the clock on which all times of the Holder are given, as durations since its zero.
	now func() time.Duration

	mu  sync.RWMutex
	cfg *Config
	// confirmedAt is when the configuration was last confirmed to be the newest one, 0 if never. It
	// and cfg are guarded by mu.
	confirmedAt time.Duration
	// evacuations are those of the same topic; a confirmation is of both. Guarded by mu.
	evacuations Evacuations
	// heldEvacuations holds until when those go on that are missing since the topic was restored. evacuated
	// are the evacuated data centres with these, sorted. Guarded by mu.
	heldEvacuations map[fleet.DataCentre]time.Duration
	evacuated       []fleet.DataCentre
	// onChange and onEvacuations need no lock: they do not change once a configuration is active.
	onChange      []func(*Config)
	onEvacuations []func([]fleet.DataCentre)

	// evacuationsMu is held while evacuations are changed and onEvacuations are called.
	evacuationsMu sync.Mutex
}

// NewHolder returns a Holder without a configuration. The times that its methods take and return are
// readings of the clock now, which must also count suspended time.
func NewHolder(now func() time.Duration) *Holder {
	return &Holder{now: now, heldEvacuations: make(map[fleet.DataCentre]time.Duration)}
}

// OnChange registers f to be called with each configuration that becomes active. It must be
// called before the first one does.
func (h *Holder) OnChange(f func(*Config)) {
	h.onChange = append(h.onChange, f)
}

// Apply makes c the active configuration and calls the functions registered by OnChange,
// unless the version of c is not higher than that of the active one. It reports whether c
// became active.
func (h *Holder) Apply(c *Config) bool {
	h.mu.Lock()
	if h.cfg != nil && c.Version <= h.cfg.Version {
		h.mu.Unlock()
		return false
	}
	h.cfg = c
	h.mu.Unlock()
	for _, f := range h.onChange {
		f(c)
	}
	return true
}

// Confirm records that the store answered a request which was sent at requestedAt, and that no
// newer version than the active one and no other evacuations existed then.
func (h *Holder) Confirm(requestedAt time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmedAt = max(h.confirmedAt, requestedAt)
}

// ConfirmedVersion returns the active version and when it was last confirmed to be the newest
// one. It returns false if there is no active configuration.
func (h *Holder) ConfirmedVersion() (Version, time.Duration, bool) {
	cfg, confirmedAt := h.Confirmed()
	if cfg == nil {
		return 0, 0, false
	}
	return cfg.Version, confirmedAt, true
}

// Confirmed returns the active configuration, nil if there is none, and when it was last
// confirmed to be the newest one.
func (h *Holder) Confirmed() (*Config, time.Duration) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.cfg, h.confirmedAt
}

// ConfirmVersion is like [Holder.Confirm] for a confirmation that another VM has of version v,
// where 0 stands for no configuration at all. It is ignored if this VM's active version is
// lower than v. The evacuations of the other VM must have been adopted before.
func (h *Holder) ConfirmVersion(v Version, confirmedAt time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v == 0 || h.cfg != nil && h.cfg.Version >= v {
		h.confirmedAt = max(h.confirmedAt, confirmedAt)
	}
}

// Current returns the active configuration, nil if there is none, and its staleness: the time
// since it was last confirmed to be the newest one.
func (h *Holder) Current() (*Config, time.Duration) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.cfg, h.now() - h.confirmedAt
}
