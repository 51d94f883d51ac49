package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"toucanfall/fleet"
	"toucanfall/platform"
)

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o platform.Order
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

// Order carries out an order. Loading a resident model and unloading an absent
// one have no effect.
func (e *Engine) Order(o platform.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.Fenced && o.Epoch < e.epoch {
		return fmt.Errorf("epoch %d is older than %d", o.Epoch, e.epoch)
	}
	e.epoch = max(e.epoch, o.Epoch)
	switch o.Kind {
	case platform.OrderLoadModel:
		return e.load(o)
	case platform.OrderUnloadModel:
		delete(e.resident, o.Model)
		return nil
	case platform.OrderLoadAdapter:
		return e.loadAdapter(o)
	default:
		return fmt.Errorf("order of kind %q is not supported", o.Kind)
	}
}

// load reserves memory at once and makes the model ready after the load time.
func (e *Engine) load(o platform.Order) error {
	if m, ok := e.resident[o.Model]; ok && m.Version == o.Version {
		return nil
	}
	if e.used()+o.Size > e.cfg.Capacity {
		return fmt.Errorf("model %q needs %d bytes, but %d of %d are used", o.Model, o.Size, e.used(), e.cfg.Capacity)
	}
	m := &platform.ResidentModel{Model: o.Model, Version: o.Version, Size: o.Size}
	e.resident[o.Model] = m
	time.AfterFunc(e.cfg.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		m.Ready = true
	})
	return nil
}

func (e *Engine) loadAdapter(o platform.Order) error {
	m, ok := e.resident[o.Model]
	if !ok {
		return fmt.Errorf("base model %q is not resident", o.Model)
	}
	m.Adapters = append(m.Adapters, o.Adapter)
	return nil
}

// used returns the memory in use. The caller holds the lock.
func (e *Engine) used() fleet.Bytes {
	var n fleet.Bytes
	for _, m := range e.resident {
		n += m.Size
	}
	return n
}
