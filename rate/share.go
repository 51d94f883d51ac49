package rate

import (
	"github.com/cespare/xxhash/v2"

	"toucanfall/fleet"
	"toucanfall/ledger"
)

// holdersPerKey is how many VMs of a data centre hold a share of one key. With
// more of them the shares are smaller, and a request has to borrow from more
// VMs.
const holdersPerKey = 3

// ShareOf returns the VM's share of a limit according to the mint list of its
// data centre; it is zero if the VM holds no share of the key. Each of the
// dataCentres data centres has an equal share.
//
// VMs may act on different versions of the list. The shares that are active at
// the same time still add up to at most the limit: a VM becomes active only
// after all others act on a list that contains it, so the list of every share
// holder contains all share holders. Each of them is selected from a superset of
// all of them, so there are at most holdersPerKey, and none divides the limit by
// less than their number.
func ShareOf(list ledger.MintList, vm fleet.VMID, dataCentres int, key Key, limit Limit) Limit {
	if dataCentres == 0 || !list.Active(vm) || !isShareHolder(list, vm, key) {
		return Limit{}
	}
	divisor := Amount(dataCentres * min(holdersPerKey, len(list.Minters)))
	return Limit{Rate: limit.Rate / divisor, Burst: limit.Burst / divisor}
}

// isShareHolder reports whether the VM holds a share of the key. It uses
// rendezvous hashing, so that a change of the list moves only the keys of the VM
// that joins or leaves.
func isShareHolder(list ledger.MintList, vm fleet.VMID, key Key) bool {
	own := rendezvousWeight(vm, key)
	higher := 0
	for _, m := range list.Minters {
		w := rendezvousWeight(m.VM, key)
		if w > own || (w == own && m.VM > vm) {
			higher++
		}
	}
	return higher < holdersPerKey
}

func rendezvousWeight(vm fleet.VMID, key Key) uint64 {
	return xxhash.Sum64String(string(vm) + "\n" + string(key))
}
