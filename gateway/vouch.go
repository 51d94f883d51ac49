package gateway

import (
	"sync"
	"time"

	"toucanfall/catalogue"
	"toucanfall/coordinator"
	"toucanfall/roster"
)

// Bounds of the coordinator's word.
const (
	// vouchLife is how long after it was asked for the word counts: a few
	// messages of a fleet of 65 VMs.
	vouchLife = 2 * time.Second
	// vouchedAge is how old the coordinator's own proof of the configuration may
	// be. It asks twice as often as that.
	vouchedAge = 1600 * time.Millisecond
)

// voucher keeps what the coordinator knows from the store.
type voucher struct {
	now     func() time.Duration
	holder  *catalogue.Holder
	roster  *roster.Roster
	readAge func() time.Duration
	// members returns the number of VMs as this one has read it last.
	members func() int

	mu   sync.Mutex
	last coordinator.Vouch
	sent time.Duration
}

// own returns what this VM knows from the store.
func (v *voucher) own() coordinator.Vouch {
	version, proved, _ := v.holder.Proof()
	return coordinator.Vouch{
		Config: version, ConfigAge: v.now() - proved,
		Directory: v.roster.Fingerprint(), DirectoryAge: v.readAge(), Size: v.members(),
	}
}

// take takes the coordinator's word over. Its ages count from when it was asked,
// which is before it looked.
func (v *voucher) take(w coordinator.Vouch, sent time.Duration) {
	v.mu.Lock()
	v.last, v.sent = w, sent
	v.mu.Unlock()
	v.holder.ProveVersion(w.Config, sent-w.ConfigAge)
}

// config reports whether the coordinator vouches for the configuration in force.
func (v *voucher) config() bool {
	version, _, ok := v.holder.Proof()
	v.mu.Lock()
	defer v.mu.Unlock()
	return ok && v.fresh() && v.last.Config == version && v.last.ConfigAge < vouchedAge
}

// directory returns when the roster that this VM has was last known to be that
// of the directory, 0 if the coordinator does not say so, and whether the
// coordinator knows another one.
func (v *voucher) directory() (read time.Duration, other bool) {
	mine := v.roster.Fingerprint()
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.fresh() {
		return 0, false
	}
	if v.last.Directory != mine {
		return 0, true
	}
	return v.sent - v.last.DirectoryAge, false
}

// size returns the number of VMs of the fleet.
func (v *voucher) size() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.fresh() {
		return max(v.last.Size, 1)
	}
	return v.members()
}

func (v *voucher) fresh() bool {
	return v.sent != 0 && v.now()-v.sent < vouchLife
}
