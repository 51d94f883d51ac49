package rate

import (
	"toucanfall/fleet"
)

// VouchArgs asks a VM of the same mint list to vouch for the asking one.
type VouchArgs struct {
	For fleet.VMID `json:"for"`
}

// VouchReply says whether the VM vouches.
type VouchReply struct {
	Vouched bool `json:"vouched"`
}
