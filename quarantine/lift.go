package quarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"toucanfall/fleet"
)

// Part is a part in quarantine, with the engines that crashed under it. Origin is where a request with this
// fingerprint came from, nil for parts of prompts.
type Part struct {
	ID      fleet.PartID
	Engines []EngineStart
	Origin  *Origin
}

// Quarantined returns the parts that the reports of a log, in their order, have in quarantine, sorted by
// id: those that a VM that starts now refuses. Reports older than Lifetime are ignored. It handles a
// snapshot of the log; VMs that have run for longer may have released some of the parts since.
func Quarantined(reports []Report) []Part {
	// An account needs times above decisionTime and countLifetime.
	const now = Lifetime
	a, oldest := newAccount(), time.Now().Add(-Lifetime).UnixMilli()
	for _, r := range reports {
		if r.At >= oldest && r.Validate() == nil {
			a.apply(r, now, true)
		}
	}
	var out []Part
	for id, p := range a.parts {
		if p.quarantined {
			out = append(out, Part{ID: id, Engines: p.starts(), Origin: p.origin})
		}
	}
	slices.SortFunc(out, func(x, y Part) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// NewLift returns the report that ends the quarantine of a part on all VMs. vm is the VM at which the
// operator gives the order.
func NewLift(vm fleet.VMID, part fleet.PartID) Report {
	return Report{VM: vm, Number: rand.Uint64(), Instance: rand.Uint64(), Kind: Lift, At: time.Now().UnixMilli(), Parts: []PartCount{{Part: part}}}
}
