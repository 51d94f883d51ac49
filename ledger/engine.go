package ledger

import (
	"fmt"
	"slices"

	"toucanfall/fleet"
	"toucanfall/settings"
)

// FencingChecked is the value of the fencing setting for engines that refuse an
// order with an old number, also after a restart.
const FencingChecked = "checked"

// percent is the whole in percentages.
const percent = 100

// PlacedEngine is the account of one engine's memory. What the engine can hold
// at any time, whichever of the orders sent so far arrives, late or repeated,
// is among Held.
type PlacedEngine struct {
	ID         fleet.UpstreamID `json:"id"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	Capacity   fleet.Bytes      `json:"capacity_bytes"`
	// Number is the fencing number of orders made from this account: the
	// offset of the last accepted intent.
	Number fleet.Offset `json:"number"`
	// Fence is the highest number that the engine reported to have seen.
	Fence     fleet.Offset `json:"fence"`
	StartedMS int64        `json:"started_ms"`
	TakenMS   int64        `json:"taken_ms"`
	Silent    bool         `json:"silent,omitempty"`
	Gone      bool         `json:"gone,omitempty"`
	// FenceLost is set if the engine forgot a number that it had seen. From
	// then on it is treated as one that ignores fencing.
	FenceLost bool          `json:"fence_lost,omitempty"`
	Held      []HeldWeights `json:"held,omitempty"`
}

// HeldWeights are weights for which an engine's memory is reserved.
type HeldWeights struct {
	Weights Weights     `json:"weights"`
	Size    fleet.Bytes `json:"size_bytes"`
	// Load is the offset of the intent to load; 0 if the engine was found with
	// the weights.
	Load fleet.Offset `json:"load"`
	// Unload is the offset of the intent to unload; 0 if there is none.
	Unload fleet.Offset `json:"unload,omitempty"`
	// Revived is the offset of the intent that took an unloading back. Until the
	// engine has seen it, a late order can still unload the weights.
	Revived fleet.Offset `json:"revived,omitempty"`
	// Shown and Ready are taken from the last report.
	Shown bool `json:"shown,omitempty"`
	Ready bool `json:"ready,omitempty"`
}

func (e *PlacedEngine) clone() PlacedEngine {
	c := *e
	c.Held = slices.Clone(e.Held)
	return c
}

func (e *PlacedEngine) index(w Weights) int {
	return slices.IndexFunc(e.Held, func(h HeldWeights) bool { return h.Weights == w })
}

// Reserved returns the memory of everything that the engine holds or may come
// to hold.
func (e *PlacedEngine) Reserved() fleet.Bytes {
	var n fleet.Bytes
	for _, h := range e.Held {
		n += h.Size
	}
	return n
}

// Serves reports whether held weights are ready and no late order can unload
// them.
func (e *PlacedEngine) Serves(h HeldWeights) bool {
	return !e.Silent && !e.Gone && h.Ready && h.Unload == 0 && e.Fence >= h.Revived
}

// fenced reports whether engines of a data centre refuse old numbers.
func (s *State) fenced(dc fleet.DataCentre) bool {
	return settings.Text(s.Setting, settings.Scope{DataCentre: dc}, settings.Fencing) == FencingChecked
}

// Fenced reports whether an engine refuses orders with an old number.
func (s *State) Fenced(e PlacedEngine) bool {
	return s.fenced(e.DataCentre) && !e.FenceLost
}

// Room returns the memory of an engine for weights: its capacity without the
// part that is kept for KV cache.
func (s *State) WeightCapacity(e PlacedEngine) fleet.Bytes {
	kv := settings.Number(s.Setting, settings.Scope{DataCentre: e.DataCentre}, settings.KVRoomPercent)
	return fleet.Bytes(float64(e.Capacity) * (percent - kv) / percent)
}

// load reserves memory. A load of weights that are about to be unloaded takes
// the unloading back.
func (e *PlacedEngine) load(s *State, offset fleet.Offset, b PlacementIntent) error {
	if err := e.checkBase(b.Weights); err != nil {
		return err
	}
	if i := e.index(b.Weights); i >= 0 {
		if e.Held[i].Unload == 0 {
			return fmt.Errorf("%s is placed already", b.Weights)
		}
		e.Held[i].Unload = 0
		e.Held[i].Load, e.Held[i].Revived = offset, offset
		return nil
	}
	room := s.WeightCapacity(*e)
	if reserved := e.Reserved(); reserved+b.Size > room {
		return fmt.Errorf("%s needs %d bytes, but %d of %d are reserved", b.Weights, b.Size, reserved, room)
	}
	e.Held = append(e.Held, HeldWeights{Weights: b.Weights, Size: b.Size, Load: offset})
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

// checkBase refuses a second version of a model on an engine, and an adapter
// without its model.
func (e *PlacedEngine) checkBase(w Weights) error {
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

// unload begins to unload weights, and a model's adapters with it. On an engine
// that takes old orders nothing is ever unloaded: a late order could bring the
// weights back, so that their memory would never be free.
func (e *PlacedEngine) unload(s *State, offset fleet.Offset, b PlacementIntent) error {
	i := e.index(b.Weights)
	if i < 0 || e.Held[i].Unload != 0 {
		return fmt.Errorf("%s is not placed there", b.Weights)
	}
	if !s.Fenced(*e) {
		return fmt.Errorf("%s cannot be unloaded for good, since the engine takes old orders", b.Weights)
	}
	if b.Weights.Adapter == "" && e.Serves(e.Held[i]) && s.ReadyCopies(b.Weights.Model) <= 1 {
		return fmt.Errorf("%s is the last ready copy of its model", b.Weights)
	}
	for i, h := range e.Held {
		withModel := b.Weights.Adapter == "" && h.Weights.Model == b.Weights.Model && h.Unload == 0
		if withModel || h.Weights == b.Weights {
			e.Held[i].Unload = offset
		}
	}
	return nil
}

// ReadyCopies counts the ready copies of a model over all data centres.
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

// newer reports whether an outcome was reported after the last one.
func (e *PlacedEngine) newer(b PlacementOutcome) bool {
	if b.StartedMS != e.StartedMS {
		return b.StartedMS > e.StartedMS
	}
	return b.TakenMS > e.TakenMS
}

// observe takes over what an engine reported. Weights leave the account only if
// they are to be unloaded, the engine has seen the number of that intent, so
// that no older order can load them again, and the same report does not show
// them any more.
func (e *PlacedEngine) observe(fenced bool, b PlacementOutcome) {
	e.Silent = b.Silent
	if b.Gone {
		e.Gone = true
		e.Held = nil
		return
	}
	if b.Silent {
		return
	}
	if b.Fence < e.Fence {
		e.FenceLost = true
	}
	e.StartedMS, e.TakenMS, e.Capacity, e.Fence = b.StartedMS, b.TakenMS, b.Capacity, b.Fence
	settled := fenced && !e.FenceLost
	e.Held = slices.DeleteFunc(e.Held, func(h HeldWeights) bool {
		over := settled && h.Unload != 0 && e.Fence >= h.Unload
		return over && !b.shows(h.Weights)
	})
	for i := range e.Held {
		e.Held[i].Shown, e.Held[i].Ready = false, false
	}
	for _, w := range b.Reported {
		e.show(w)
	}
	slices.SortFunc(e.Held, compareHeld)
}

func (o *PlacementOutcome) shows(w Weights) bool {
	return slices.ContainsFunc(o.Reported, func(s ReportedWeights) bool { return s.Weights == w })
}

// show notes weights of a report. Weights that no intent announced are reserved
// as well.
func (e *PlacedEngine) show(w ReportedWeights) {
	i := e.index(w.Weights)
	if i < 0 {
		e.Held = append(e.Held, HeldWeights{Weights: w.Weights, Size: w.Size})
		i = len(e.Held) - 1
	}
	h := &e.Held[i]
	h.Shown, h.Ready = true, w.Ready
	h.Size = max(h.Size, w.Size)
}

// CheckPlacement returns the first broken rule of the account, "" if there is
// none: no engine has more memory reserved by intents than it has room, and no
// weights are held twice.
func (s *State) FindPlacementViolation() string {
	for _, entry := range s.Engines.Entries() {
		if broken := entry.Value.check(); broken != "" {
			return fmt.Sprintf("engine %q: %s", entry.Value.ID, broken)
		}
	}
	return ""
}

func (e *PlacedEngine) check() string {
	var ordered fleet.Bytes
	for i, h := range e.Held {
		if h.Load != 0 {
			ordered += h.Size
		}
		if i > 0 && e.Held[i-1].Weights == h.Weights {
			return fmt.Sprintf("%s is held twice", h.Weights)
		}
		if max(h.Load, h.Unload) > e.Number {
			return fmt.Sprintf("%s has a newer intent than the engine", h.Weights)
		}
	}
	if ordered > e.Capacity {
		return fmt.Sprintf("%d bytes are reserved by intents of %d", ordered, e.Capacity)
	}
	return ""
}
