package catalogue

import (
	"sync"
	"time"
)

// Holder has the configuration in force on this VM. It never goes back to a
// lower version.
type Holder struct {
	now func() time.Duration

	mu      sync.RWMutex
	cfg     *Config
	proved  time.Duration
	changed []func(*Config)
}

// NewHolder returns a holder without a configuration. The clock now must go on
// while the machine sleeps.
func NewHolder(now func() time.Duration) *Holder {
	return &Holder{now: now}
}

// OnChange calls f with each configuration that comes into force. It must be
// called before the first one does.
func (h *Holder) OnChange(f func(*Config)) {
	h.changed = append(h.changed, f)
}

// Apply brings c into force unless it is older than the one in force, and
// reports whether it did.
func (h *Holder) Apply(c *Config) bool {
	h.mu.Lock()
	if h.cfg != nil && c.Version <= h.cfg.Version {
		h.mu.Unlock()
		return false
	}
	h.cfg = c
	h.mu.Unlock()
	for _, f := range h.changed {
		f(c)
	}
	return true
}

// Prove records that the store answered a question that was asked at the time
// asked, and that no version was missing then.
func (h *Holder) Confirm(asked time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.proved = max(h.proved, asked)
}

// Proof returns the version in force and when it was last known to be the newest
// one, and false if there is none.
func (h *Holder) ConfirmedVersion() (Version, time.Duration, bool) {
	cfg, proved := h.Confirmed()
	if cfg == nil {
		return 0, 0, false
	}
	return cfg.Version, proved, true
}

// Proved returns the configuration in force, nil if there is none, and when it was last
// known to be the newest one.
func (h *Holder) Confirmed() (*Config, time.Duration) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.cfg, h.proved
}

// ProveVersion is like [Holder.Prove] for a proof that another VM has of a
// version, 0 for none at all. It counts for nothing if this VM does not have that
// version.
func (h *Holder) ConfirmVersion(v Version, proved time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v == 0 || h.cfg != nil && h.cfg.Version >= v {
		h.proved = max(h.proved, proved)
	}
}

// Current returns the configuration in force, nil if there is none, and how
// long ago it was known to be the newest one.
func (h *Holder) Current() (*Config, time.Duration) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.cfg, h.now() - h.proved
}
