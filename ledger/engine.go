package ledger

import (
	"fmt"
	"slices"

	"toucanfall/fleet"
	"toucanfall/settings"
)

// FencingChecked is the value of the fencing setting for engines that reject an
// order with an outdated fencing token, even after a restart.
const FencingChecked = "checked"

// percent is the full scale of percentage settings.
const percent = 100

// PlacedEngine accounts for the memory of one engine. Held contains all weights
// that the engine can have in memory at any time, whichever of the orders sent
// so far arrive, even if they are delayed or repeated.
type PlacedEngine struct {
	ID         fleet.UpstreamID `json:"id"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	Capacity   fleet.Bytes      `json:"capacity_bytes"`
	// Number is the fencing token for orders to the engine: the offset of the
	// last accepted intent or clearance.
	Number fleet.Offset `json:"number"`
	// Fence is the highest fencing token that the engine had received by its
	// last report.
	Fence fleet.Offset `json:"fence"`
	// StartedMS and TakenMS are the times of the engine's start and of its last
	// report, in milliseconds by the engine's clock.
	StartedMS int64 `json:"started_ms"`
	TakenMS   int64 `json:"taken_ms"`
	// Silent is set while the engine does not report, and Gone once it was removed
	// from the platform's VM list.
	Silent bool `json:"silent,omitempty"`
	Gone   bool `json:"gone,omitempty"`
	// FenceLost is set once the engine reported a lower fencing token than
	// before. From then on it is treated as an engine that ignores fencing.
	FenceLost bool          `json:"fence_lost,omitempty"`
	Held      []HeldWeights `json:"held,omitempty"`
}

// HeldWeights are weights for which memory of an engine is reserved.
type HeldWeights struct {
	Weights Weights     `json:"weights"`
	Size    fleet.Bytes `json:"size_bytes"`
	// Load is the offset of the intent to load; 0 if the engine reported the
	// weights without one.
	Load fleet.Offset `json:"load"`
	// Unload is the offset of the intent to unload; 0 if there is none.
	Unload fleet.Offset `json:"unload,omitempty"`
	// Revived is the offset of the intent that cancelled an unload. Until the
	// engine has received its number, a delayed order can still unload the
	// weights.
	Revived fleet.Offset `json:"revived,omitempty"`
	// Shown and Ready report whether the engine's last report listed the weights,
	// and listed them as ready.
	Shown bool `json:"shown,omitempty"`
	Ready bool `json:"ready,omitempty"`
}

func (e *PlacedEngine) clone() PlacedEngine {
	c := *e
	c.Held = slices.Clone(e.Held)
	return c
}

func (e *PlacedEngine) heldIndex(w Weights) int {
	return slices.IndexFunc(e.Held, func(h HeldWeights) bool { return h.Weights == w })
}

// Reserved returns the memory in bytes that is reserved for all weights that the
// engine has loaded or may load.
func (e *PlacedEngine) Reserved() fleet.Bytes {
	var n fleet.Bytes
	for _, h := range e.Held {
		n += h.Size
	}
	return n
}

// Serves reports whether held weights are ready and no delayed order can unload
// them.
func (e *PlacedEngine) Serves(h HeldWeights) bool {
	return !e.Silent && !e.Gone && h.Ready && h.Unload == 0 && e.Fence >= h.Revived
}

// fenced reports whether the engines of a data centre reject outdated fencing
// tokens.
func (s *State) fenced(dc fleet.DataCentre) bool {
	return settings.Text(s.Setting, settings.Scope{DataCentre: dc}, settings.Fencing) == FencingChecked
}

// Fenced reports whether an engine rejects orders with an outdated fencing
// token.
func (s *State) Fenced(e PlacedEngine) bool {
	return s.fenced(e.DataCentre) && !e.FenceLost
}

// WeightCapacity returns the memory in bytes that an engine has for weights:
// its capacity minus the share that the settings reserve for the KV cache.
func (s *State) WeightCapacity(e PlacedEngine) fleet.Bytes {
	kv := settings.Number(s.Setting, settings.Scope{DataCentre: e.DataCentre}, settings.KVRoomPercent)
	return fleet.Bytes(float64(e.Capacity) * (percent - kv) / percent)
}

// load reserves memory for weights. If they are due to be unloaded, it cancels
// the unload instead. It fails if the weights are already placed, if checkModel
// fails or if the memory is insufficient.
func (e *PlacedEngine) load(s *State, offset fleet.Offset, intent PlacementIntent) error {
	if err := e.checkModel(intent.Weights); err != nil {
		return err
	}
	if i := e.heldIndex(intent.Weights); i >= 0 {
		if e.Held[i].Unload == 0 {
			return fmt.Errorf("%s is placed already", intent.Weights)
		}
		e.Held[i].Unload = 0
		e.Held[i].Load, e.Held[i].Revived = offset, offset
		return nil
	}
	capacity := s.WeightCapacity(*e)
	if reserved := e.Reserved(); reserved+intent.Size > capacity {
		return fmt.Errorf("%s needs %d bytes, but %d of %d are reserved", intent.Weights, intent.Size, reserved, capacity)
	}
	e.Held = append(e.Held, HeldWeights{Weights: intent.Weights, Size: intent.Size, Load: offset})
	slices.SortFunc(e.Held, compareHeld)
	return nil
}

func compareHeld(a, b HeldWeights) int {
	switch x, y := a.Weights.String(), b.Weights.String(); {
	case x < y:
		return -1
	case x > y:
		return 1
	default:
		return 0
	}
}

// checkModel rejects a second version of a model on an engine, and an adapter
// without its model.
func (e *PlacedEngine) checkModel(w Weights) error {
	for _, h := range e.Held {
		if h.Weights.Model != w.Model {
			continue
		}
		if h.Weights.Version != w.Version {
			return fmt.Errorf("version %s of model %q is placed there", h.Weights.Version, w.Model)
		}
		if w.Adapter != "" && h.Weights.Adapter == "" && h.Unload == 0 {
			return nil
		}
	}
	if w.Adapter != "" {
		return fmt.Errorf("model %q is not placed there", w.Model)
	}
	return nil
}

// unload marks weights as due to be unloaded, and with a model also its adapters.
// It fails for an engine that accepts outdated orders: a delayed order could
// load the weights again, so their memory could never be considered free. It
// also fails for the last ready copy of a model.
func (e *PlacedEngine) unload(s *State, offset fleet.Offset, intent PlacementIntent) error {
	i := e.heldIndex(intent.Weights)
	if i < 0 || e.Held[i].Unload != 0 {
		return fmt.Errorf("%s is not placed there", intent.Weights)
	}
	if !s.Fenced(*e) {
		return fmt.Errorf("%s cannot be unloaded for good, since the engine takes old orders", intent.Weights)
	}
	if intent.Weights.Adapter == "" && e.Serves(e.Held[i]) && s.ReadyCopies(intent.Weights.Model) <= 1 {
		return fmt.Errorf("%s is the last ready copy of its model", intent.Weights)
	}
	for i, h := range e.Held {
		withModel := intent.Weights.Adapter == "" && h.Weights.Model == intent.Weights.Model && h.Unload == 0
		if withModel || h.Weights == intent.Weights {
			e.Held[i].Unload = offset
		}
	}
	return nil
}

// ReadyCopies returns the number of ready copies of a model in all data centres.
func (s *State) ReadyCopies(model fleet.ModelID) int {
	n := 0
	for _, id := range s.Engines.Keys() {
		e, _ := s.Engines.Get(id)
		for _, h := range e.Value.Held {
			if h.Weights.Model == model && h.Weights.Adapter == "" && e.Value.Serves(h) {
				n++
			}
		}
	}
	return n
}

// isNewer reports whether a report was made after the last applied one.
func (e *PlacedEngine) isNewer(report PlacementOutcome) bool {
	if report.StartedMS != e.StartedMS {
		return report.StartedMS > e.StartedMS
	}
	return report.TakenMS > e.TakenMS
}

// applyReport applies a report of the engine. The memory of weights is released
// only if they are due to be unloaded, the engine has received the number of
// that intent, so that no older order can load them again, and the same report
// no longer lists them.
func (e *PlacedEngine) applyReport(fenced bool, report PlacementOutcome) {
	e.Silent = report.Silent
	if report.Gone {
		e.Gone = true
		e.Held = nil
		return
	}
	if report.Silent {
		return
	}
	if report.Fence < e.Fence {
		e.FenceLost = true
	}
	e.StartedMS, e.TakenMS, e.Capacity, e.Fence = report.StartedMS, report.TakenMS, report.Capacity, report.Fence
	enforced := fenced && !e.FenceLost
	e.Held = slices.DeleteFunc(e.Held, func(h HeldWeights) bool {
		unloaded := enforced && h.Unload != 0 && e.Fence >= h.Unload
		return unloaded && !report.reports(h.Weights)
	})
	for i := range e.Held {
		e.Held[i].Shown, e.Held[i].Ready = false, false
	}
	for _, w := range report.Reported {
		e.markReported(w)
	}
	slices.SortFunc(e.Held, compareHeld)
}

func (o *PlacementOutcome) reports(w Weights) bool {
	return slices.ContainsFunc(o.Reported, func(s ReportedWeights) bool { return s.Weights == w })
}

// markReported marks weights as listed in the report. It also reserves memory for
// weights that no intent announced.
func (e *PlacedEngine) markReported(w ReportedWeights) {
	i := e.heldIndex(w.Weights)
	if i < 0 {
		e.Held = append(e.Held, HeldWeights{Weights: w.Weights, Size: w.Size})
		i = len(e.Held) - 1
	}
	h := &e.Held[i]
	h.Shown, h.Ready = true, w.Ready
	h.Size = max(h.Size, w.Size)
}

// FindPlacementViolation returns a description of the first violated invariant
// of the engines, or "" if there is none: intents reserve no more memory on an
// engine than its capacity, no weights are held twice, and no held weights have
// an intent that is newer than the engine's fencing token.
func (s *State) FindPlacementViolation() string {
	for _, entry := range s.Engines.Entries() {
		if violation := entry.Value.findViolation(); violation != "" {
			return fmt.Sprintf("engine %q: %s", entry.Value.ID, violation)
		}
	}
	return ""
}

// findViolation returns a description of the first violated invariant of the
// engine, or "".
func (e *PlacedEngine) findViolation() string {
	var reserved fleet.Bytes
	for i, h := range e.Held {
		if h.Load != 0 {
			reserved += h.Size
		}
		if i > 0 && e.Held[i-1].Weights == h.Weights {
			return fmt.Sprintf("%s is held twice", h.Weights)
		}
		if max(h.Load, h.Unload) > e.Number {
			return fmt.Sprintf("%s has a newer intent than the engine", h.Weights)
		}
	}
	if reserved > e.Capacity {
		return fmt.Sprintf("%d bytes are reserved by intents of %d", reserved, e.Capacity)
	}
	return ""
}
