package keyring

import (
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/settings"
)

// RejectWhenCutOff returns a [Guard] that rejects the keys of a team while this
// VM is cut off and withdrawals cannot reach it, if the team's setting
// cut_off_keys asks for that. cutOff reports whether the VM is cut off; it is
// called for every check of a key. The guard fails with
// [fault.StoreUnavailable].
func RejectWhenCutOff(dc fleet.DataCentre, cutOff func() bool, lookup settings.Lookup) Guard {
	return func(key fleet.Key) error {
		if !cutOff() {
			return nil
		}
		scope := settings.Scope{DataCentre: dc, Team: key.Team}
		if settings.Text(lookup, scope, settings.CutOffKeys) != settings.CutOffRefuse {
			return nil
		}
		return fault.New(fault.StoreUnavailable, "this VM is cut off, and the setting %s of team %q refuses keys then", settings.CutOffKeys, key.Team)
	}
}
