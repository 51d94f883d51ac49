package ledger

import (
	"sync/atomic"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/shard"
	"toucanfall/settings"
)

// State is the result of applying the log up to the applied offset. Only one
// goroutine may apply records; any number may read.
type State struct {
	Teams     *Table[fleet.TeamID, fleet.Team]
	Keys      *Table[fleet.KeyID, fleet.Key]
	Models    *Table[fleet.ModelID, fleet.Model]
	Adapters  *Table[fleet.AdapterID, fleet.Adapter]
	Routes    *Table[fleet.RouteID, fleet.Route]
	Operators *Table[fleet.OperatorID, Operator]
	Withdrawn *Table[fleet.KeyID, Withdrawal]
	Bookings  *Table[BookingKey, Booking]
	Minters   *Table[fleet.DataCentre, MintList]
	Placers   *Table[fleet.DataCentre, PlacerClaim]
	Engines   *Table[fleet.UpstreamID, PlacedEngine]

	settings *Table[string, settings.Put]
	// keyByHash and operatorByHash are indexes by the hash of the secret, as
	// converted by hashKey.
	keyByHash      *shard.Map[string, fleet.KeyID]
	operatorByHash *shard.Map[string, fleet.OperatorID]

	// rejected and rejectedOrder are used to reject delayed duplicates of rejected
	// records. rejectedOrder is sorted by offset.
	rejected      *Table[RecordID, Rejection]
	rejectedOrder []RecordID

	// cachedTables is the result of tables.
	cachedTables []stateTable
	applied      atomic.Uint64
	onRestore    []func()
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		Teams:          newTable[fleet.TeamID, fleet.Team]("team"),
		Keys:           newTable[fleet.KeyID, fleet.Key]("key"),
		Models:         newTable[fleet.ModelID, fleet.Model]("model"),
		Adapters:       newTable[fleet.AdapterID, fleet.Adapter]("adapter"),
		Routes:         newTable[fleet.RouteID, fleet.Route]("route"),
		Operators:      newTable[fleet.OperatorID, Operator]("operator"),
		Withdrawn:      newTable[fleet.KeyID, Withdrawal]("withdrawal"),
		Bookings:       newTable[BookingKey, Booking]("booking"),
		Minters:        newTable[fleet.DataCentre, MintList]("mint list"),
		Placers:        newTable[fleet.DataCentre, PlacerClaim]("placer"),
		Engines:        newTable[fleet.UpstreamID, PlacedEngine]("engine"),
		settings:       newTable[string, settings.Put]("setting"),
		rejected:       newTable[RecordID, Rejection]("rejection"),
		keyByHash:      shard.New[string, fleet.KeyID](),
		operatorByHash: shard.New[string, fleet.OperatorID](),
	}
}

// Applied returns the offset of the last record that was applied or skipped, or 0.
func (s *State) Applied() fleet.Offset {
	return fleet.Offset(s.applied.Load())
}

// Apply applies the record at offset to the state. An offset that is not above the
// applied one is rejected without effect, so that the applied offset never
// decreases.
func (s *State) Apply(offset fleet.Offset, r Record) Verdict {
	if offset <= s.Applied() {
		return reject(offset, fault.Internal, "offset %d was applied before", offset)
	}
	apply, ok := kinds[r.Kind]
	if !ok {
		s.Skip(offset)
		return reject(offset, fault.InvalidRequest, "unknown kind %q", r.Kind)
	}
	v, duplicate := s.rejectDuplicate(offset, r)
	if !duplicate {
		v = apply(s, offset, r)
	}
	if !duplicate && !v.Accepted() {
		s.rememberRejection(offset, r, v)
	}
	s.applied.Store(uint64(offset))
	return v
}

// Skip advances the applied offset past a record that cannot be decoded.
func (s *State) Skip(offset fleet.Offset) {
	if offset > s.Applied() {
		s.applied.Store(uint64(offset))
	}
}

// Setting returns a value of the settings tree. It is a [settings.Lookup].
func (s *State) Setting(p settings.Path) (settings.Value, bool) {
	e, ok := s.settings.Get(p.String())
	return e.Value.Value, ok
}

// SettingEntries returns all entries of the settings tree, sorted by path.
func (s *State) SettingEntries() []Entry[settings.Put] {
	return s.settings.Entries()
}

// SettingEntry returns the entry at a path of the settings tree.
func (s *State) SettingEntry(p settings.Path) (Entry[settings.Put], bool) {
	return s.settings.Get(p.String())
}
