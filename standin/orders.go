package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"toucanfall/dialect"
	"toucanfall/fleet"
)

// engineState is an engine's state of orders and memory, guarded by Engine.mu.
type engineState struct {
	// fence is the highest fencing token that was seen.
	fence fleet.Offset
	// lastReportMS is the time of the last report, in Unix milliseconds.
	lastReportMS int64
	// unloading holds the models that are unloaded but still use memory.
	unloading map[*dialect.ResidentModel]bool
	// adapters holds the sizes of the loaded adapters by base model.
	adapters map[*dialect.ResidentModel]map[fleet.AdapterID]fleet.Bytes
	// overcommits counts the loads that exceeded the capacity.
	overcommits int
}

// nextReportMS returns the time of a new report, in Unix milliseconds. It is
// later than that of each previous report.
func (s *engineState) nextReportMS() int64 {
	s.lastReportMS = max(s.lastReportMS+1, time.Now().UnixMilli())
	return s.lastReportMS
}

// residentModel returns a copy of a resident model with its adapters.
func (s *engineState) residentModel(model *dialect.ResidentModel) dialect.ResidentModel {
	c := *model
	c.Adapters = slices.Sorted(maps.Keys(s.adapters[model]))
	return c
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o dialect.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := e.Order(o); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Order executes an order. Loading what is resident and unloading what is absent
// has no effect. It fails if the engine checks fencing and the token is old, if
// the kind is unknown, or if a load conflicts with resident models or exceeds
// the capacity.
func (e *Engine) Order(o dialect.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.Fenced && o.Fence < e.state.fence {
		return fmt.Errorf("fencing number %d is older than %d", o.Fence, e.state.fence)
	}
	e.state.fence = max(e.state.fence, o.Fence)
	switch o.Kind {
	case dialect.OrderLoadModel:
		return e.loadModel(o)
	case dialect.OrderUnloadModel:
		e.unloadModel(o)
		return nil
	case dialect.OrderLoadAdapter:
		return e.loadAdapter(o)
	case dialect.OrderUnloadAdapter:
		delete(e.state.adapters[e.resident[o.Model]], o.Adapter)
		return nil
	default:
		return fmt.Errorf("order of kind %q is not supported", o.Kind)
	}
}

// loadModel reserves the memory immediately and makes the model ready after
// LoadTime. It fails if the capacity is exceeded, or while another version is
// resident or the model is being unloaded.
func (e *Engine) loadModel(o dialect.Order) error {
	if m, ok := e.resident[o.Model]; ok {
		if m.Version != o.Version || e.state.unloading[m] {
			return fmt.Errorf("model %q is still there", o.Model)
		}
		return nil
	}
	if err := e.checkCapacity(o); err != nil {
		return err
	}
	m := &dialect.ResidentModel{Model: o.Model, Version: o.Version, Size: o.Size}
	e.resident[o.Model] = m
	time.AfterFunc(e.cfg.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		m.Ready = !e.state.unloading[m]
	})
	return nil
}

// checkCapacity fails if a load exceeds the capacity. If the engine is
// configured with AllowOvercommit, it counts the load instead.
func (e *Engine) checkCapacity(o dialect.Order) error {
	if e.usedLocked()+o.Size <= e.cfg.Capacity {
		return nil
	}
	if !e.cfg.AllowOvercommit {
		return fmt.Errorf("model %q needs %d bytes, but %d of %d are used", o.Model, o.Size, e.usedLocked(), e.cfg.Capacity)
	}
	e.state.overcommits++
	return nil
}

// unloadModel stops serving a model immediately and frees its memory after
// UnloadTime.
func (e *Engine) unloadModel(o dialect.Order) {
	m, ok := e.resident[o.Model]
	if !ok || o.Version != "" && m.Version != o.Version {
		return
	}
	m.Ready = false
	free := func() {
		delete(e.resident, o.Model)
		delete(e.state.unloading, m)
		delete(e.state.adapters, m)
	}
	if e.cfg.UnloadTime == 0 {
		free()
		return
	}
	if e.state.unloading[m] {
		return
	}
	if e.state.unloading == nil {
		e.state.unloading = make(map[*dialect.ResidentModel]bool)
	}
	e.state.unloading[m] = true
	time.AfterFunc(e.cfg.UnloadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.resident[o.Model] == m {
			free()
		}
	})
}

// loadAdapter loads an adapter immediately. It fails if the base model is not
// resident or the capacity is exceeded.
func (e *Engine) loadAdapter(o dialect.Order) error {
	m, ok := e.resident[o.Model]
	if !ok || e.state.unloading[m] {
		return fmt.Errorf("base model %q is not resident", o.Model)
	}
	adapters := e.state.adapters[m]
	if _, ok := adapters[o.Adapter]; ok {
		return nil
	}
	if err := e.checkCapacity(o); err != nil {
		return err
	}
	if adapters == nil {
		adapters = make(map[fleet.AdapterID]fleet.Bytes)
	}
	adapters[o.Adapter] = o.Size
	if e.state.adapters == nil {
		e.state.adapters = make(map[*dialect.ResidentModel]map[fleet.AdapterID]fleet.Bytes)
	}
	e.state.adapters[m] = adapters
	return nil
}

// usedLocked returns the memory in use. e.mu must be held.
func (e *Engine) usedLocked() fleet.Bytes {
	var n fleet.Bytes
	for _, m := range e.resident {
		n += m.Size
		for _, size := range e.state.adapters[m] {
			n += size
		}
	}
	return n
}

// Overcommits returns the number of loads that exceeded the capacity.
func (e *Engine) Overcommits() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.overcommits
}

// Restart unloads all models, as a restart of the process does. Engines that
// check fencing keep the highest token that they have seen.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.resident)
	e.started = time.UnixMilli(max(time.Now().UnixMilli(), e.started.UnixMilli()+1))
	e.state = engineState{fence: e.state.fence, lastReportMS: e.state.lastReportMS, overcommits: e.state.overcommits}
	if !e.cfg.Fenced {
		e.state.fence = 0
	}
}
