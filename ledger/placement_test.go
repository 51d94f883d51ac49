package ledger

import (
	"testing"

	"github.com/matryer/is"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/settings"
	"toucanfall/timeline"
)

// placementFixture applies placement records to a state and checks the invariants
// of placement after each.
type placementFixture struct {
	is         *is.I
	state      *State
	nextOffset fleet.Offset
	epoch      fleet.Epoch
	reportMS   int64
}

func newPlacementFixture(t *testing.T, fencing string) *placementFixture {
	p := &placementFixture{is: is.New(t), state: NewState(), nextOffset: 1}
	path := settings.Path{Level: settings.LevelFleet, Name: settings.Fencing}
	p.requireAccepted(p.apply(KindSetting, 0, settings.Put{Path: path, Value: settings.Value{RawMessage: []byte(`"` + fencing + `"`)}}))
	v := p.apply(KindPlacerClaim, 0, PlacerClaim{DataCentre: "at-1", VM: "entry-1"})
	p.requireAccepted(v)
	p.epoch = fleet.Epoch(v.Offset)
	return p
}

func (p *placementFixture) apply(kind Kind, base fleet.Revision, body any) Verdict {
	r, err := NewRecord(kind, "test", timeline.Stamp{}, base, body)
	p.is.NoErr(err)
	v := p.state.Apply(p.nextOffset, r)
	p.nextOffset++
	p.is.Equal(p.state.FindPlacementViolation(), "")
	return v
}

func (p *placementFixture) requireAccepted(v Verdict) {
	p.is.Helper()
	p.is.Equal(v.Message, "")
}

func (p *placementFixture) applyIntent(engine fleet.UpstreamID, kind IntentKind, model fleet.ModelID, size fleet.Bytes) Verdict {
	e, _ := p.state.Engines.Get(engine)
	return p.apply(KindPlacementIntent, e.Revision, PlacementIntent{
		Epoch: p.epoch, Engine: engine, Kind: kind, Weights: Weights{Model: model, Version: "v1"}, Size: size,
	})
}

// applyReport applies a report that lists the given models as ready.
func (p *placementFixture) applyReport(engine fleet.UpstreamID, fence fleet.Offset, models ...fleet.ModelID) Verdict {
	p.reportMS++
	o := PlacementOutcome{
		DataCentre: "at-1", Epoch: p.epoch, Engine: engine, StartedMS: 1, TakenMS: p.reportMS, Capacity: 100, Fence: fence,
	}
	for _, m := range models {
		o.Reported = append(o.Reported, ReportedWeights{Weights: Weights{Model: m, Version: "v1"}, Size: 40, Ready: true})
	}
	e, _ := p.state.Engines.Get(engine)
	return p.apply(KindPlacementOutcome, e.Revision, o)
}

func TestUnloadFreesMemoryOnlyOnceReported(t *testing.T) {
	p := newPlacementFixture(t, FencingChecked)
	p.requireAccepted(p.applyReport("e1", 0, "m1", "m2"))
	p.requireAccepted(p.applyReport("e2", 0, "m1"))
	v := p.applyIntent("e1", IntentUnload, "m1", 0)
	p.requireAccepted(v)
	p.is.Equal(p.applyIntent("e1", IntentLoad, "m3", 40).Fault, fault.Conflict)
	// A report from before the order lists the model. After a report with a lower
	// fence an older load may still arrive.
	p.requireAccepted(p.applyReport("e1", 0, "m1", "m2"))
	p.is.Equal(p.applyIntent("e1", IntentLoad, "m3", 40).Fault, fault.Conflict)
	p.requireAccepted(p.applyReport("e1", v.Offset-1, "m2"))
	p.is.Equal(p.applyIntent("e1", IntentLoad, "m3", 40).Fault, fault.Conflict)
	p.requireAccepted(p.applyReport("e1", v.Offset, "m2"))
	p.requireAccepted(p.applyIntent("e1", IntentLoad, "m3", 40))
}

func TestLastReadyCopyIsNotUnloaded(t *testing.T) {
	p := newPlacementFixture(t, FencingChecked)
	p.requireAccepted(p.applyReport("e1", 0, "m1"))
	p.requireAccepted(p.applyReport("e2", 0, "m1"))
	p.requireAccepted(p.applyIntent("e1", IntentUnload, "m1", 0))
	p.is.Equal(p.applyIntent("e2", IntentUnload, "m1", 0).Fault, fault.Conflict)
}

func TestUnfencedEngineKeepsReservations(t *testing.T) {
	p := newPlacementFixture(t, "ignored")
	p.requireAccepted(p.applyReport("e1", 0, "m1"))
	p.requireAccepted(p.applyReport("e2", 0, "m1"))
	p.is.Equal(p.applyIntent("e1", IntentUnload, "m1", 0).Fault, fault.Conflict)
	p.requireAccepted(p.applyIntent("e1", IntentLoad, "m2", 40))
	p.requireAccepted(p.applyReport("e1", p.nextOffset))
	p.is.Equal(p.applyIntent("e1", IntentLoad, "m3", 40).Fault, fault.Conflict)
	e, _ := p.state.Engines.Get("e1")
	lost := PlacementClear{Engine: "e1", Weights: Weights{Model: "m2", Version: "v1"}}
	p.requireAccepted(p.apply(KindPlacementClear, e.Revision, lost))
	p.requireAccepted(p.applyIntent("e1", IntentLoad, "m3", 40))
}

func TestLostFencePreventsUnloading(t *testing.T) {
	p := newPlacementFixture(t, FencingChecked)
	p.requireAccepted(p.applyReport("e1", 9, "m1"))
	p.requireAccepted(p.applyReport("e2", 9, "m1"))
	p.requireAccepted(p.applyReport("e1", 3, "m1"))
	p.is.Equal(p.applyIntent("e1", IntentUnload, "m1", 0).Fault, fault.Conflict)
}

func TestOldEpochAndStaleRevisionAreRejected(t *testing.T) {
	p := newPlacementFixture(t, FencingChecked)
	p.requireAccepted(p.applyReport("e1", 0, "m1"))
	old := p.epoch
	v := p.apply(KindPlacerClaim, fleet.Revision(old), PlacerClaim{DataCentre: "at-1", VM: "entry-2"})
	p.requireAccepted(v)
	p.is.Equal(p.apply(KindPlacerClaim, fleet.Revision(old), PlacerClaim{DataCentre: "at-1", VM: "entry-3"}).Fault, fault.Conflict)
	p.is.Equal(p.applyIntent("e1", IntentLoad, "m2", 1).Fault, fault.Conflict)
	p.epoch = fleet.Epoch(v.Offset)
	e, _ := p.state.Engines.Get("e1")
	p.requireAccepted(p.applyIntent("e1", IntentLoad, "m2", 1))
	p.is.Equal(p.apply(KindPlacementIntent, e.Revision, PlacementIntent{
		Epoch: p.epoch, Engine: "e1", Kind: IntentLoad, Weights: Weights{Model: "m3", Version: "v1"}, Size: 1,
	}).Fault, fault.Conflict)
}

func TestCopyIsReadyOnceCancelledUnloadCannotArrive(t *testing.T) {
	p := newPlacementFixture(t, FencingChecked)
	p.requireAccepted(p.applyReport("e1", 0, "m1"))
	p.requireAccepted(p.applyReport("e2", 0, "m1"))
	p.requireAccepted(p.applyIntent("e1", IntentUnload, "m1", 0))
	v := p.applyIntent("e1", IntentLoad, "m1", 40)
	p.requireAccepted(v)
	p.is.Equal(p.state.ReadyCopies("m1"), 1)
	p.is.Equal(p.applyIntent("e2", IntentUnload, "m1", 0).Fault, fault.Conflict)
	p.requireAccepted(p.applyReport("e1", v.Offset, "m1"))
	p.is.Equal(p.state.ReadyCopies("m1"), 2)
}

func TestStaleReportIsRejected(t *testing.T) {
	p := newPlacementFixture(t, FencingChecked)
	p.requireAccepted(p.applyReport("e1", 0, "m1"))
	p.reportMS--
	p.is.Equal(p.applyReport("e1", 0).Fault, fault.Conflict)
}
