package rate

import (
	"toucanfall/fleet"
)

// VouchArgs asks a VM on the same mint list to confirm that it knows of no
// takeover of the requesting VM, named in For.
type VouchArgs struct {
	For fleet.VMID `json:"for"`
}

// VouchReply reports whether the VM confirms this; see [Confirms].
type VouchReply struct {
	Vouched bool `json:"vouched"`
}
