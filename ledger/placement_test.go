package ledger

import (
	"testing"

	"github.com/matryer/is"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/settings"
	"toucanfall/timeline"
)

// placing drives the fold of placement records.
type placing struct {
	is    *is.I
	state *State
	next  fleet.Offset
	epoch fleet.Epoch
	taken int64
}

func newPlacing(t *testing.T, fencing string) *placing {
	p := &placing{is: is.New(t), state: NewState(), next: 1}
	path := settings.Path{Level: settings.LevelFleet, Name: settings.Fencing}
	p.accept(p.apply(KindSetting, 0, settings.Put{Path: path, Value: settings.Value{RawMessage: []byte(`"` + fencing + `"`)}}))
	v := p.apply(KindPlacerClaim, 0, PlacerClaim{DataCentre: "at-1", VM: "entry-1"})
	p.accept(v)
	p.epoch = fleet.Epoch(v.Offset)
	return p
}

func (p *placing) apply(kind Kind, base fleet.Revision, body any) Verdict {
	r, err := NewRecord(kind, "test", timeline.Stamp{}, base, body)
	p.is.NoErr(err)
	v := p.state.Apply(p.next, r)
	p.next++
	p.is.Equal(p.state.FindPlacementViolation(), "")
	return v
}

func (p *placing) accept(v Verdict) {
	p.is.Helper()
	p.is.Equal(v.Message, "")
}

func (p *placing) intent(engine fleet.UpstreamID, kind IntentKind, model fleet.ModelID, size fleet.Bytes) Verdict {
	e, _ := p.state.Engines.Get(engine)
	return p.apply(KindPlacementIntent, e.Revision, PlacementIntent{
		Epoch: p.epoch, Engine: engine, Kind: kind, Weights: Weights{Model: model, Version: "v1"}, Size: size,
	})
}

// report applies a report with the given models ready.
func (p *placing) report(engine fleet.UpstreamID, fence fleet.Offset, models ...fleet.ModelID) Verdict {
	p.taken++
	o := PlacementOutcome{
		DataCentre: "at-1", Epoch: p.epoch, Engine: engine, StartedMS: 1, TakenMS: p.taken, Capacity: 100, Fence: fence,
	}
	for _, m := range models {
		o.Reported = append(o.Reported, ReportedWeights{Weights: Weights{Model: m, Version: "v1"}, Size: 40, Ready: true})
	}
	e, _ := p.state.Engines.Get(engine)
	return p.apply(KindPlacementOutcome, e.Revision, o)
}

func TestUnloadFreesMemoryOnlyOnceReportedGone(t *testing.T) {
	p := newPlacing(t, FencingChecked)
	p.accept(p.report("e1", 0, "m1", "m2"))
	p.accept(p.report("e2", 0, "m1"))
	v := p.intent("e1", IntentUnload, "m1", 0)
	p.accept(v)
	p.is.Equal(p.intent("e1", IntentLoad, "m3", 40).Fault, fault.Conflict)
	// A report from before the order shows the model, one that has not seen
	// the number may be overtaken by an older load.
	p.accept(p.report("e1", 0, "m1", "m2"))
	p.is.Equal(p.intent("e1", IntentLoad, "m3", 40).Fault, fault.Conflict)
	p.accept(p.report("e1", v.Offset-1, "m2"))
	p.is.Equal(p.intent("e1", IntentLoad, "m3", 40).Fault, fault.Conflict)
	p.accept(p.report("e1", v.Offset, "m2"))
	p.accept(p.intent("e1", IntentLoad, "m3", 40))
}

func TestLastReadyCopyIsNotUnloaded(t *testing.T) {
	p := newPlacing(t, FencingChecked)
	p.accept(p.report("e1", 0, "m1"))
	p.accept(p.report("e2", 0, "m1"))
	p.accept(p.intent("e1", IntentUnload, "m1", 0))
	p.is.Equal(p.intent("e2", IntentUnload, "m1", 0).Fault, fault.Conflict)
}

func TestUnfencedEngineKeepsWhatWasOrdered(t *testing.T) {
	p := newPlacing(t, "ignored")
	p.accept(p.report("e1", 0, "m1"))
	p.accept(p.report("e2", 0, "m1"))
	p.is.Equal(p.intent("e1", IntentUnload, "m1", 0).Fault, fault.Conflict)
	p.accept(p.intent("e1", IntentLoad, "m2", 40))
	p.accept(p.report("e1", p.next))
	p.is.Equal(p.intent("e1", IntentLoad, "m3", 40).Fault, fault.Conflict)
	e, _ := p.state.Engines.Get("e1")
	lost := PlacementClear{Engine: "e1", Weights: Weights{Model: "m2", Version: "v1"}}
	p.accept(p.apply(KindPlacementClear, e.Revision, lost))
	p.accept(p.intent("e1", IntentLoad, "m3", 40))
}

func TestForgottenFenceEndsUnloading(t *testing.T) {
	p := newPlacing(t, FencingChecked)
	p.accept(p.report("e1", 9, "m1"))
	p.accept(p.report("e2", 9, "m1"))
	p.accept(p.report("e1", 3, "m1"))
	p.is.Equal(p.intent("e1", IntentUnload, "m1", 0).Fault, fault.Conflict)
}

func TestOldEpochAndStaleViewAreRefused(t *testing.T) {
	p := newPlacing(t, FencingChecked)
	p.accept(p.report("e1", 0, "m1"))
	old := p.epoch
	v := p.apply(KindPlacerClaim, fleet.Revision(old), PlacerClaim{DataCentre: "at-1", VM: "entry-2"})
	p.accept(v)
	p.is.Equal(p.apply(KindPlacerClaim, fleet.Revision(old), PlacerClaim{DataCentre: "at-1", VM: "entry-3"}).Fault, fault.Conflict)
	p.is.Equal(p.intent("e1", IntentLoad, "m2", 1).Fault, fault.Conflict)
	p.epoch = fleet.Epoch(v.Offset)
	e, _ := p.state.Engines.Get("e1")
	p.accept(p.intent("e1", IntentLoad, "m2", 1))
	p.is.Equal(p.apply(KindPlacementIntent, e.Revision, PlacementIntent{
		Epoch: p.epoch, Engine: "e1", Kind: IntentLoad, Weights: Weights{Model: "m3", Version: "v1"}, Size: 1,
	}).Fault, fault.Conflict)
}

func TestRevivedCopyCountsOnceOldUnloadIsRuledOut(t *testing.T) {
	p := newPlacing(t, FencingChecked)
	p.accept(p.report("e1", 0, "m1"))
	p.accept(p.report("e2", 0, "m1"))
	p.accept(p.intent("e1", IntentUnload, "m1", 0))
	v := p.intent("e1", IntentLoad, "m1", 40)
	p.accept(v)
	p.is.Equal(p.state.ReadyCopies("m1"), 1)
	p.is.Equal(p.intent("e2", IntentUnload, "m1", 0).Fault, fault.Conflict)
	p.accept(p.report("e1", v.Offset, "m1"))
	p.is.Equal(p.state.ReadyCopies("m1"), 2)
}

func TestLateReportIsRefused(t *testing.T) {
	p := newPlacing(t, FencingChecked)
	p.accept(p.report("e1", 0, "m1"))
	p.taken--
	p.is.Equal(p.report("e1", 0).Fault, fault.Conflict)
}
