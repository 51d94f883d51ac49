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
	now    func() time.Duration
	holder *catalogue.Holder
	roster *roster.Roster
	// members returns the number of VMs as this one has read it last.
	members func() int

	mu   sync.Mutex
	last coordinator.Vouch
	sent time.Duration
	// same is set if the coordinator had read the same directory.
	same bool
}

// own returns what this VM knows from the store.
func (v *voucher) own() coordinator.Vouch {
	version, proved, _ := v.holder.Proof()
	directory, read := v.roster.Proof()
	return coordinator.Vouch{
		Config: version, ConfigAge: v.now() - proved,
		Directory: directory, DirectoryAge: v.now() - read, Size: v.members(),
	}
}

// take takes the coordinator's word over. Its ages count from when it was asked,
// which is before it looked.
func (v *voucher) take(w coordinator.Vouch, sent time.Duration) {
	v.holder.ProveVersion(w.Config, sent-w.ConfigAge)
	same := v.roster.ProvePrint(w.Directory, sent-w.DirectoryAge)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.last, v.sent, v.same = w, sent, same
}

// config reports whether the coordinator vouches for the configuration in force.
func (v *voucher) config() bool {
	version, _, ok := v.holder.Proof()
	v.mu.Lock()
	defer v.mu.Unlock()
	return ok && v.fresh() && v.last.Config == version && v.last.ConfigAge < vouchedAge
}

// directory reports whether the coordinator has read the same directory as this VM,
// and whether it has read another one, later.
func (v *voucher) directory() (same, newer bool) {
	read := v.roster.Proved()
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.fresh() {
		return false, false
	}
	return v.same, !v.same && v.sent-v.last.DirectoryAge > read
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
