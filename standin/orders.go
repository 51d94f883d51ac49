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

// memory is what an engine keeps about orders and the memory that they take.
type memory struct {
	// fence is the highest fencing number that was seen.
	fence fleet.Offset
	// taken is the time of the last report in milliseconds.
	taken int64
	// unloading holds the models whose memory is not free yet.
	unloading map[*dialect.ResidentModel]bool
	adapters  map[*dialect.ResidentModel]map[fleet.AdapterID]fleet.Bytes
	// violations counts loads that took the memory above its capacity.
	violations int
}

// take returns the time of a report, which is later than that of every one
// before.
func (m *memory) take() int64 {
	m.taken = max(m.taken+1, time.Now().UnixMilli())
	return m.taken
}

// report returns a copy of a resident model with its adapters.
func (m *memory) report(r *dialect.ResidentModel) dialect.ResidentModel {
	c := *r
	c.Adapters = slices.Sorted(maps.Keys(m.adapters[r]))
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

// Order carries out an order. Loading what is resident and unloading what is
// absent have no effect.
func (e *Engine) Order(o dialect.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.Fenced && o.Fence < e.memory.fence {
		return fmt.Errorf("fencing number %d is older than %d", o.Fence, e.memory.fence)
	}
	e.memory.fence = max(e.memory.fence, o.Fence)
	switch o.Kind {
	case dialect.OrderLoadModel:
		return e.load(o)
	case dialect.OrderUnloadModel:
		e.unload(o)
		return nil
	case dialect.OrderLoadAdapter:
		return e.loadAdapter(o)
	case dialect.OrderUnloadAdapter:
		delete(e.memory.adapters[e.resident[o.Model]], o.Adapter)
		return nil
	default:
		return fmt.Errorf("order of kind %q is not supported", o.Kind)
	}
}

// load takes memory at once and makes the model ready after the load time.
func (e *Engine) load(o dialect.Order) error {
	if m, ok := e.resident[o.Model]; ok {
		if m.Version != o.Version || e.memory.unloading[m] {
			return fmt.Errorf("model %q is still there", o.Model)
		}
		return nil
	}
	if err := e.admit(o); err != nil {
		return err
	}
	m := &dialect.ResidentModel{Model: o.Model, Version: o.Version, Size: o.Size}
	e.resident[o.Model] = m
	time.AfterFunc(e.cfg.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		m.Ready = !e.memory.unloading[m]
	})
	return nil
}

// admit refuses a load above the capacity, or counts it if the engine is
// unguarded.
func (e *Engine) admit(o dialect.Order) error {
	if e.used()+o.Size <= e.cfg.Capacity {
		return nil
	}
	if !e.cfg.AllowOvercommit {
		return fmt.Errorf("model %q needs %d bytes, but %d of %d are used", o.Model, o.Size, e.used(), e.cfg.Capacity)
	}
	e.memory.violations++
	return nil
}

// unload takes a model out of service at once and frees its memory after the
// unload time.
func (e *Engine) unload(o dialect.Order) {
	m, ok := e.resident[o.Model]
	if !ok || o.Version != "" && m.Version != o.Version {
		return
	}
	m.Ready = false
	free := func() {
		delete(e.resident, o.Model)
		delete(e.memory.unloading, m)
		delete(e.memory.adapters, m)
	}
	if e.cfg.UnloadTime == 0 {
		free()
		return
	}
	if e.memory.unloading[m] {
		return
	}
	if e.memory.unloading == nil {
		e.memory.unloading = make(map[*dialect.ResidentModel]bool)
	}
	e.memory.unloading[m] = true
	time.AfterFunc(e.cfg.UnloadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.resident[o.Model] == m {
			free()
		}
	})
}

func (e *Engine) loadAdapter(o dialect.Order) error {
	m, ok := e.resident[o.Model]
	if !ok || e.memory.unloading[m] {
		return fmt.Errorf("base model %q is not resident", o.Model)
	}
	held := e.memory.adapters[m]
	if _, ok := held[o.Adapter]; ok {
		return nil
	}
	if err := e.admit(o); err != nil {
		return err
	}
	if held == nil {
		held = make(map[fleet.AdapterID]fleet.Bytes)
	}
	held[o.Adapter] = o.Size
	if e.memory.adapters == nil {
		e.memory.adapters = make(map[*dialect.ResidentModel]map[fleet.AdapterID]fleet.Bytes)
	}
	e.memory.adapters[m] = held
	return nil
}

// used returns the memory in use. The caller holds the lock.
func (e *Engine) used() fleet.Bytes {
	var n fleet.Bytes
	for _, m := range e.resident {
		n += m.Size
		for _, size := range e.memory.adapters[m] {
			n += size
		}
	}
	return n
}

// Violations counts the loads that took the memory above its capacity.
func (e *Engine) Overcommits() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.memory.violations
}

// Restart empties the engine as a restart of its process does. Engines that
// check fencing keep the highest number that they have seen.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.resident)
	e.started = time.UnixMilli(max(time.Now().UnixMilli(), e.started.UnixMilli()+1))
	e.memory = memory{fence: e.memory.fence, taken: e.memory.taken, violations: e.memory.violations}
	if !e.cfg.Fenced {
		e.memory.fence = 0
	}
}
