package keyring

import (
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/settings"
)

// GuardCutOff returns a guard that refuses keys of teams that do not want to be
// served while a withdrawal could not arrive: cutOff reports whether it could
// not, and the setting cut_off_keys says what the team wants.
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
