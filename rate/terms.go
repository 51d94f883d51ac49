package rate

import (
	"github.com/cespare/xxhash/v2"

	"toucanfall/fleet"
	"toucanfall/ledger"
)

// mintersPerKey is how many VMs of a data centre mint one key. More of them
// make smaller shares, from which a request has to gather more parts.
const mintersPerKey = 3

// Terms returns the share of a limit that a VM mints according to the list of
// its data centre. The fleet has the given number of data centres, each with an
// even share.
//
// VMs may act on different versions of the list. The shares that are minted at
// one time still add up to no more than the limit: a VM is active only after
// all others act on a list that has it, so every minting VM's list contains all
// that mint. Each of them is among the chosen of a superset of them all, so
// they are at most mintersPerKey, and none divides by less than their number.
func ShareOf(list ledger.MintList, vm fleet.VMID, dataCentres int, key Key, limit Limit) Limit {
	if dataCentres == 0 || !list.Active(vm) || !chosen(list, vm, key) {
		return Limit{}
	}
	parts := Amount(dataCentres * min(mintersPerKey, len(list.Minters)))
	return Limit{Rate: limit.Rate / parts, Burst: limit.Burst / parts}
}

// chosen selects minting VMs by rendezvous hashing: a change of the list moves
// only the keys of the VM that joins or leaves.
func chosen(list ledger.MintList, vm fleet.VMID, key Key) bool {
	own := weight(vm, key)
	above := 0
	for _, m := range list.Minters {
		w := weight(m.VM, key)
		if w > own || (w == own && m.VM > vm) {
			above++
		}
	}
	return above < mintersPerKey
}

func weight(vm fleet.VMID, key Key) uint64 {
	return xxhash.Sum64String(string(vm) + "\n" + string(key))
}
