package ledger

import (
	"errors"
	"fmt"

	"toucanfall/fault"
	"toucanfall/fleet"
)

// The kinds of records about placement.
const (
	KindPlacerClaim      Kind = "placer_claim"
	KindPlacementIntent  Kind = "placement_intent"
	KindPlacementOutcome Kind = "placement_outcome"
	KindPlacementClear   Kind = "placement_clear"
)

// PlacerClaim makes a VM the placer of a data centre, which decides what weights
// its engines load. The record is based on the current epoch; its own offset
// becomes the next epoch.
type PlacerClaim struct {
	DataCentre fleet.DataCentre `json:"data_centre"`
	VM         fleet.VMID       `json:"vm"`
}

// UnmarshalJSON decodes and checks a claim.
func (c *PlacerClaim) UnmarshalJSON(b []byte) error {
	type plain PlacerClaim
	return fleet.DecodeChecked(b, (*plain)(c), c.check)
}

func (c *PlacerClaim) check() error {
	if err := fleet.CheckID("data centre", c.DataCentre); err != nil {
		return err
	}
	return fleet.CheckID("vm", c.VM)
}

// IntentKind is the kind of change that an intent makes to an engine.
type IntentKind string

// The kinds of intents. Each applies to a model, or to an adapter if one is
// named.
const (
	IntentLoad   IntentKind = "load"
	IntentUnload IntentKind = "unload"
)

// Weights identifies weights that an engine can load: a version of a model, or an
// adapter for that version.
type Weights struct {
	Model   fleet.ModelID   `json:"model"`
	Version string          `json:"version"`
	Adapter fleet.AdapterID `json:"adapter,omitempty"`
}

// String returns the weights in the form model@version or model@version+adapter.
func (w Weights) String() string {
	if w.Adapter == "" {
		return fmt.Sprintf("%s@%s", w.Model, w.Version)
	}
	return fmt.Sprintf("%s@%s+%s", w.Model, w.Version, w.Adapter)
}

// PlacementIntent announces an order to an engine before it is sent. Its record
// is based on the revision of the engine, so that of two intents that are based
// on the same state the second is rejected.
type PlacementIntent struct {
	Epoch   fleet.Epoch      `json:"epoch"`
	Engine  fleet.UpstreamID `json:"engine"`
	Kind    IntentKind       `json:"kind"`
	Weights Weights          `json:"weights"`
	Size    fleet.Bytes      `json:"size_bytes"`
}

// UnmarshalJSON decodes and checks an intent.
func (p *PlacementIntent) UnmarshalJSON(b []byte) error {
	type plain PlacementIntent
	return fleet.DecodeChecked(b, (*plain)(p), p.check)
}

func (p *PlacementIntent) check() error {
	switch p.Kind {
	case IntentLoad:
		if p.Size <= 0 {
			return fmt.Errorf("a load needs a size_bytes above 0, not %d", p.Size)
		}
	case IntentUnload:
	default:
		return fmt.Errorf("unknown kind of intent %q", p.Kind)
	}
	if p.Engine == "" || p.Weights.Model == "" || p.Weights.Version == "" {
		return errors.New("an intent needs engine, model and version")
	}
	return nil
}

// PlacementOutcome contains a report of an engine, or states that the engine is
// silent or was removed. Its record is based on the revision of the engine.
type PlacementOutcome struct {
	DataCentre fleet.DataCentre `json:"data_centre"`
	Epoch      fleet.Epoch      `json:"epoch"`
	Engine     fleet.UpstreamID `json:"engine"`
	// Silent is set if the engine does not report. Its weights do not count as
	// ready, but their memory stays reserved.
	Silent bool `json:"silent,omitempty"`
	// Gone is set if the engine was permanently removed from the platform's VM
	// list.
	Gone bool `json:"gone,omitempty"`
	// StartedMS and TakenMS are the times of the engine's start and of the report,
	// in milliseconds by the engine's clock. Reports that are not newer than the
	// last applied one are rejected.
	StartedMS int64       `json:"started_ms,omitempty"`
	TakenMS   int64       `json:"taken_ms,omitempty"`
	Capacity  fleet.Bytes `json:"capacity_bytes,omitempty"`
	// Fence is the highest fencing token that the engine has received.
	Fence    fleet.Offset      `json:"fence,omitempty"`
	Reported []ReportedWeights `json:"shown,omitempty"`
}

// ReportedWeights are weights that an engine reported to be in its memory.
type ReportedWeights struct {
	Weights Weights     `json:"weights"`
	Size    fleet.Bytes `json:"size_bytes"`
	Ready   bool        `json:"ready"`
}

// UnmarshalJSON decodes and checks an outcome.
func (o *PlacementOutcome) UnmarshalJSON(b []byte) error {
	type plain PlacementOutcome
	return fleet.DecodeChecked(b, (*plain)(o), o.check)
}

func (o *PlacementOutcome) check() error {
	if o.Engine == "" || o.DataCentre == "" {
		return errors.New("an outcome needs engine and data centre")
	}
	return nil
}

// PlacementClear is an operator's statement that no order for the weights can
// reach the engine any more. It releases their memory.
type PlacementClear struct {
	Engine  fleet.UpstreamID `json:"engine"`
	Weights Weights          `json:"weights"`
}

// UnmarshalJSON decodes and checks a clearance.
func (c *PlacementClear) UnmarshalJSON(b []byte) error {
	type plain PlacementClear
	return fleet.DecodeChecked(b, (*plain)(c), c.Check)
}

// Check returns an error if the engine or the model is missing.
func (c *PlacementClear) Check() error {
	if c.Engine == "" || c.Weights.Model == "" {
		return errors.New("a clearance needs engine and model")
	}
	return nil
}

// applyPlacerClaim accepts a claim that is based on the current epoch.
func applyPlacerClaim(s *State, offset fleet.Offset, r Record, b PlacerClaim) Verdict {
	return s.Placers.put(offset, r, b.DataCentre, b)
}

// Epoch returns the current epoch of a data centre; 0 if it has no placer.
func (s *State) Epoch(dc fleet.DataCentre) fleet.Epoch {
	e, _ := s.Placers.Get(dc)
	return fleet.Epoch(e.Revision)
}

func applyPlacementIntent(s *State, offset fleet.Offset, r Record, b PlacementIntent) Verdict {
	old, ok := s.Engines.Get(b.Engine)
	if !ok || old.Value.Gone {
		return reject(offset, fault.NotFound, "engine %q is not known", b.Engine)
	}
	if current := s.Epoch(old.Value.DataCentre); b.Epoch != current {
		return reject(offset, fault.Conflict, "epoch %d is not the current epoch %d", b.Epoch, current)
	}
	next := old.Value.clone()
	next.Number = offset
	var err error
	if b.Kind == IntentLoad {
		err = next.load(s, offset, b)
	} else {
		err = next.unload(s, offset, b)
	}
	if err != nil {
		return reject(offset, fault.Conflict, "engine %q: %v", b.Engine, err)
	}
	return s.Engines.put(offset, r, b.Engine, next)
}

func applyPlacementOutcome(s *State, offset fleet.Offset, r Record, b PlacementOutcome) Verdict {
	if current := s.Epoch(b.DataCentre); b.Epoch != current {
		return reject(offset, fault.Conflict, "epoch %d is not the current epoch %d", b.Epoch, current)
	}
	old, ok := s.Engines.Get(b.Engine)
	if ok && old.Value.Gone {
		return reject(offset, fault.Conflict, "engine %q is gone", b.Engine)
	}
	next := old.Value.clone()
	if !ok {
		next = PlacedEngine{ID: b.Engine, DataCentre: b.DataCentre}
	}
	if !b.Silent && !b.Gone && !next.isNewer(b) {
		return reject(offset, fault.Conflict, "the report of engine %q is not newer than the last one", b.Engine)
	}
	s.fillSizes(b.Reported)
	next.applyReport(s.fenced(next.DataCentre), b)
	return s.Engines.put(offset, r, b.Engine, next)
}

// fillSizes sets the sizes of adapters, which engines do not report, to those that
// operators configured.
func (s *State) fillSizes(reported []ReportedWeights) {
	for i, w := range reported {
		if a, ok := s.Adapters.Get(w.Weights.Adapter); ok && w.Size == 0 {
			reported[i].Size = a.Value.Size
		}
	}
}

func applyPlacementClear(s *State, offset fleet.Offset, r Record, b PlacementClear) Verdict {
	old, ok := s.Engines.Get(b.Engine)
	if !ok {
		return reject(offset, fault.NotFound, "engine %q is not known", b.Engine)
	}
	next := old.Value.clone()
	i := next.heldIndex(b.Weights)
	if i < 0 {
		return reject(offset, fault.NotFound, "engine %q has no memory reserved for %s", b.Engine, b.Weights)
	}
	if next.Held[i].Shown {
		return reject(offset, fault.Conflict, "engine %q still reports %s; only what it does not report can be cleared", b.Engine, b.Weights)
	}
	next.Held = append(next.Held[:i], next.Held[i+1:]...)
	next.Number = offset
	return s.Engines.put(offset, r, b.Engine, next)
}
