package ledger

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/settings"
	"toucanfall/timeline"
)

// stateFixture applies records to a state at consecutive offsets.
type stateFixture struct {
	t     *testing.T
	state *State
}

func (f stateFixture) newRecord(kind Kind, base fleet.Revision, body any) Record {
	r, err := NewRecord(kind, "tester", timeline.Stamp{}, base, body)
	is.New(f.t).NoErr(err)
	return r
}

func (f stateFixture) apply(r Record) Verdict {
	return f.state.Apply(f.state.Applied()+1, r)
}

func (f stateFixture) put(kind Kind, base fleet.Revision, body any) Verdict {
	return f.apply(f.newRecord(kind, base, body))
}

func settingPut(level settings.Level, n int) settings.Put {
	path := settings.Path{Level: level, Name: settings.MaxTokens}
	return settings.Put{Path: path, Value: settings.Value{RawMessage: json.RawMessage(fmt.Sprint(n))}}
}

func testKey(id fleet.KeyID, team fleet.TeamID, secret string) fleet.Key {
	return fleet.Key{ID: id, Team: team, Hash: fleet.Secret(secret).Hash()}
}

// fillTables adds at least one entry to every table.
func (f stateFixture) fillTables() {
	f.put(KindTeam, 0, fleet.Team{ID: "quotes"})
	f.put(KindKey, 0, testKey("k1", "quotes", "one"))
	f.put(KindWithdraw, 0, Withdrawal{Key: "k1"})
	f.put(KindModel, 0, fleet.Model{ID: "m1", Version: "1", Size: 1})
	f.put(KindAdapter, 0, fleet.Adapter{ID: "a1", Model: "m1", Size: 1})
	f.put(KindRoute, 0, fleet.Route{ID: "textdesk", Kind: fleet.RouteDraft, Open: true, Model: "m1"})
	f.put(KindOperator, 0, Operator{ID: "ada", Hash: fleet.Secret("o").Hash(), Access: AccessRead})
	f.put(KindSetting, 0, settingPut(settings.LevelFleet, 7))
	f.put(KindBookingClaim, 0, BookingClaim{Key: "b1", Request: "r1"})
	f.put(KindBookingClaim, 0, BookingClaim{Key: "b2", Request: "r2"})
	f.put(KindBookingOutcome, 0, BookingOutcome{Key: "b2", Request: "r2", Status: BookingDone, Body: []byte("ok")})
	f.put(KindPlacerClaim, 0, PlacerClaim{DataCentre: "at-1", VM: "vm-1"})
	f.put(KindMintJoin, 0, MintJoin{DataCentre: "at-1", VM: "vm-1"})
	f.state.Engines.put(f.state.Applied()+1, Record{}, "e1", PlacedEngine{ID: "e1", Held: []HeldWeights{{Size: 1, Ready: true}}})
	f.put(KindAdapter, 0, fleet.Adapter{ID: "a2", Model: "m2", Size: 1}) // rejected
}

func snapshotOf(s *State) (Snapshot, error) {
	return (&Follower{State: s}).Snapshot()
}

func TestSnapshotRestoresCompleteState(t *testing.T) {
	is := is.New(t)
	f := stateFixture{t, NewState()}
	f.fillTables()
	sn, err := snapshotOf(f.state)
	is.NoErr(err)
	for _, table := range f.state.tables() {
		is.True(table.len() > 0) // the test fills every table
	}

	other := stateFixture{t, NewState()}
	// Entries that the snapshot does not contain must be removed.
	other.put(KindTeam, 0, fleet.Team{ID: "gone"})
	called := 0
	other.state.OnRestore(func() { called++ })
	is.NoErr(other.state.restore(sn))
	is.Equal(called, 1)
	is.Equal(other.state.Applied(), f.state.Applied())
	is.Equal(other.state.Digest(), f.state.Digest())
	_, ok := other.state.KeyByHash(fleet.Secret("one").Hash())
	is.True(ok) // the index by hash was rebuilt
	_, ok = other.state.OperatorByHash(fleet.Secret("o").Hash())
	is.True(ok)
	is.True(errors.Is(other.state.restore(sn), ErrNotNewer)) // the applied offset never decreases
}

func TestDamagedSnapshotChangesNothing(t *testing.T) {
	is := is.New(t)
	f := stateFixture{t, NewState()}
	f.fillTables()
	sn, err := snapshotOf(f.state)
	is.NoErr(err)
	before := NewState().Digest()
	for _, i := range []int{0, len(sn.Data) / 2, len(sn.Data) - 2} {
		torn := sn
		torn.Data = append([]byte(nil), sn.Data...)
		torn.Data[i] ^= 1
		s := NewState()
		is.True(s.restore(torn) != nil)
		is.Equal(s.Digest(), before)
	}
}

// Guards against a delayed duplicate that reverts a later change, for each kind of
// record.
func TestDuplicateRecordChangesNothing(t *testing.T) {
	f := stateFixture{t, NewState()}
	f.fillTables()
	claim := BookingClaim{Key: "b3", Request: "r3"}
	tests := []struct{ first, next Record }{
		{f.newRecord(KindTeam, 0, fleet.Team{ID: "t2"}), Record{Kind: KindTeam, Body: json.RawMessage(`{"id":"t2","name":"new"}`)}},
		{f.newRecord(KindKey, 0, testKey("k2", "quotes", "two")), f.newRecord(KindWithdraw, 0, Withdrawal{Key: "k2"})},
		{f.newRecord(KindWithdraw, 0, Withdrawal{Key: "k9"}), f.newRecord(KindKey, 0, testKey("k9", "quotes", "nine"))},
		{f.newRecord(KindModel, 0, fleet.Model{ID: "m3", Version: "1", Size: 1}), f.newRecord(KindModel, 0, fleet.Model{ID: "m3", Version: "2", Size: 1})},
		{f.newRecord(KindAdapter, 0, fleet.Adapter{ID: "a3", Model: "m1", Size: 1}), f.newRecord(KindAdapter, 0, fleet.Adapter{ID: "a3", Model: "m1", Size: 2})},
		{f.newRecord(KindRoute, 0, fleet.Route{ID: "r3", Kind: fleet.RouteService, Open: true, Service: "s"}), f.newRecord(KindRoute, 0, fleet.Route{ID: "r3", Kind: fleet.RouteService, Open: true, Service: "s2"})},
		{f.newRecord(KindOperator, 0, Operator{ID: "bob", Hash: fleet.Secret("b").Hash(), Access: AccessRead}), f.newRecord(KindOperator, 0, Operator{ID: "bob", Hash: fleet.Secret("c").Hash(), Access: AccessRead})},
		{f.newRecord(KindSetting, 0, settingPut("team/t2", 1)), f.newRecord(KindSetting, 0, settingPut("team/t2", 2))},
		{f.newRecord(KindBookingClaim, 0, claim), f.newRecord(KindBookingOutcome, 0, BookingOutcome{Key: "b3", Request: "r3", Status: BookingDone})},
		{f.newRecord(KindBookingOutcome, 0, BookingOutcome{Key: "b1", Request: "r1", Status: BookingDone}), f.newRecord(KindBookingOutcome, 0, BookingOutcome{Key: "b1", Request: "r1", Status: BookingUnknown})},
	}
	for _, tt := range tests {
		t.Run(string(tt.first.Kind), func(t *testing.T) {
			is := is.New(t)
			v := f.apply(tt.first)
			is.NoErr(v.Err())
			tt.next.ID = "next" + tt.first.ID
			tt.next.Base = v.Revision
			f.apply(tt.next)
			before := encodedTables(t, f.state)
			f.apply(tt.first)
			is.Equal(encodedTables(t, f.state), before)
		})
	}
}

// encodedTables returns all tables as JSON, without the rejections.
func encodedTables(t *testing.T, s *State) string {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	for _, table := range s.tables() {
		if table.name() != s.rejected.name() {
			is.New(t).NoErr(table.encode(enc))
		}
	}
	return out.String()
}

// Guards against accepting a duplicate of a record that was rejected because
// something was missing, if that exists when the duplicate arrives.
func TestDuplicateOfRejectedRecordIsRejected(t *testing.T) {
	is := is.New(t)
	f := stateFixture{t, NewState()}
	r := f.newRecord(KindKey, 0, testKey("k1", "quotes", "one"))
	is.Equal(f.apply(r).Fault, fault.NotFound)
	is.NoErr(f.put(KindTeam, 0, fleet.Team{ID: "quotes"}).Err())
	is.Equal(f.apply(r).Fault, fault.NotFound)
	is.Equal(f.state.Keys.Keys(), nil)
}

func TestSecretBelongsToOneID(t *testing.T) {
	is := is.New(t)
	f := stateFixture{t, NewState()}
	f.fillTables()
	is.Equal(f.put(KindKey, 0, testKey("k2", "quotes", "one")).Fault, fault.Conflict)
	is.Equal(f.put(KindOperator, 0, Operator{ID: "eve", Hash: fleet.Secret("o").Hash(), Access: AccessWrite}).Fault, fault.Conflict)
}

func TestConflictReturnsCurrentValue(t *testing.T) {
	is := is.New(t)
	f := stateFixture{t, NewState()}
	first := f.put(KindTeam, 0, fleet.Team{ID: "quotes", Name: "current"})
	for _, base := range []fleet.Revision{0, 99} {
		v := f.put(KindTeam, base, fleet.Team{ID: "quotes", Name: "late"})
		is.Equal(v.Fault, fault.Conflict)
		is.Equal(v.Revision, first.Revision)
		is.Equal(string(v.Current), `{"id":"quotes","name":"current"}`)
	}
}
