package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"toucanfall/catalogue"
	"toucanfall/coordinator"
	"toucanfall/fleet"
	"toucanfall/roster"
	"toucanfall/transport"
)

// engines are fake model engines without a network. They follow the protocol: one model
// order at a time, the number of accepted orders as a precondition, fencing tokens, and
// reports that lag.
type engines struct {
	mu   sync.Mutex
	spec *catalogue.Engine
	all  map[fleet.UpstreamID]*fakeEngine
	// byPool maps connection pools to engines.
	byPool map[*transport.Pool]fleet.UpstreamID
	// overcommitted lists the engines whose orders exceeded their limits.
	overcommitted []fleet.UpstreamID
	// connectTime is how long the connection for an order takes.
	connectTime time.Duration
	// calls counts the requests for reports and the orders to each engine.
	calls map[fleet.UpstreamID]int
	// orders are all orders received. Their number decides which ones are delayed.
	orders []coordinator.Order
	// orderDelay, if set, makes two in three orders get no answer and be carried out after
	// one to four times this delay, if their precondition still holds then.
	orderDelay time.Duration
}

type fakeEngine struct {
	seq      int64
	fence    int64
	models   map[fleet.ModelID]map[fleet.AdapterID]bool
	loading  fleet.ModelID
	loadedAt time.Time
	inUse    map[fleet.AdapterID]bool
	// silent engines answer no request for a report.
	silent bool
	start  int64
}

// reportLag is the age of the reports.
const reportLag = 100 * time.Millisecond

func newEngines(spec *catalogue.Engine) *engines {
	return &engines{spec: spec, all: make(map[fleet.UpstreamID]*fakeEngine), byPool: make(map[*transport.Pool]fleet.UpstreamID), calls: make(map[fleet.UpstreamID]int)}
}

// add adds an engine that holds models to the fake engines and the roster.
func (e *engines) add(r *roster.Roster, id fleet.UpstreamID, models ...fleet.ModelID) {
	f := &fakeEngine{models: make(map[fleet.ModelID]map[fleet.AdapterID]bool), inUse: make(map[fleet.AdapterID]bool), start: 1}
	entry := roster.Entry{ID: id, Service: "texts", Address: "192.0.2.1:80", Born: 1}
	for _, m := range models {
		f.models[m] = make(map[fleet.AdapterID]bool)
		entry.Holdings = append(entry.Holdings, roster.Holding{Model: m})
	}
	e.all[id] = f
	r.Put(entry)
}

func (e *engines) pool(u *roster.Upstream) *transport.Pool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for p, id := range e.byPool {
		if id == u.ID {
			return p
		}
	}
	p := transport.NewPool(u.Address(), transport.Dial, nil)
	e.byPool[p] = u.ID
	return p
}

// Report returns the state as of reportLag ago.
func (e *engines) Report(ctx context.Context, p *transport.Pool) (coordinator.Report, error) {
	e.mu.Lock()
	f := e.all[e.byPool[p]]
	e.calls[e.byPool[p]]++
	f.finishLoad()
	r, dark := f.report(), f.silent
	e.mu.Unlock()
	if dark {
		<-ctx.Done()
		return coordinator.Report{}, ctx.Err()
	}
	time.Sleep(reportLag)
	return r, nil
}

func (f *fakeEngine) finishLoad() {
	if f.loading != "" && !time.Now().Before(f.loadedAt) {
		f.models[f.loading] = make(map[fleet.AdapterID]bool)
		f.loading = ""
	}
}

func (f *fakeEngine) report() coordinator.Report {
	r := coordinator.Report{Seq: f.seq, Busy: f.loading != "", StartTime: f.start}
	for m, adapters := range f.models {
		h := roster.Holding{Model: m}
		for a := range adapters {
			h.Adapters = append(h.Adapters, a)
		}
		r.Holdings = append(r.Holdings, h)
	}
	return r
}

// Order carries out or rejects an order.
func (e *engines) Order(_ context.Context, _ *transport.Pool, id fleet.UpstreamID, o coordinator.Order, check func() error) (coordinator.Verdict, error) {
	time.Sleep(e.connectTime)
	if err := check(); err != nil {
		return coordinator.Refused, fmt.Errorf("%w: %w", transport.ErrWithheld, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.all[id]
	e.calls[id]++
	f.finishLoad()
	if o.Fence < f.fence {
		return coordinator.Fenced, nil
	}
	f.fence = o.Fence
	if e.orderDelay > 0 && len(e.orders)%3 < 2 {
		e.orders = append(e.orders, o)
		start := f.start
		time.AfterFunc(e.orderDelay*time.Duration(1+len(e.orders)%4), func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if f.start != start || o.Fence < f.fence {
				return // It was restarted, or has seen a higher fencing token.
			}
			f.finishLoad()
			e.accept(id, f, o)
		})
		return coordinator.Refused, errors.New("the answer is lost")
	}
	e.orders = append(e.orders, o)
	return e.accept(id, f, o), nil
}

// applyForeignOrders carries out the orders of another coordinator: one model is unloaded,
// and the load of another one takes the remaining time.
func (e *engines) applyForeignOrders(f *fakeEngine, evicted, loading fleet.ModelID, remaining time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, held := f.models[evicted]; !held || f.loading != "" {
		return
	}
	delete(f.models, evicted)
	f.seq += 2
	f.loading, f.loadedAt = loading, time.Now().Add(remaining)
}

// accept carries out an order if its precondition holds.
func (e *engines) accept(id fleet.UpstreamID, f *fakeEngine, o coordinator.Order) coordinator.Verdict {
	if o.Seq != f.seq || f.loading != "" {
		return coordinator.Busy
	}
	v := f.execute(o, e.spec.Models[o.Model].Load)
	if f.overLimits(e.spec) {
		e.overcommitted = append(e.overcommitted, id)
	}
	return v
}

func (f *fakeEngine) execute(o coordinator.Order, load time.Duration) coordinator.Verdict {
	_, held := f.models[o.Model]
	switch {
	case o.Adapter == "" && o.Unload != held, o.Adapter != "" && o.Unload != f.models[o.Model][o.Adapter]:
		return coordinator.AlreadyApplied // Nothing to do; seq stays.
	case o.Adapter != "" && !held:
		return coordinator.Refused
	}
	f.seq++
	switch {
	case o.Adapter != "" && o.Unload && f.inUse[o.Adapter]:
		return coordinator.Accepted
	case o.Adapter != "" && o.Unload:
		delete(f.models[o.Model], o.Adapter)
		return coordinator.AlreadyApplied
	case o.Adapter != "":
		f.models[o.Model][o.Adapter] = true
	case o.Unload:
		delete(f.models, o.Model)
	default:
		f.loading, f.loadedAt = o.Model, time.Now().Add(load)
	}
	return coordinator.Accepted
}

// overLimits reports whether the models held or loading exceed the engine's memory or
// adapter slots.
func (f *fakeEngine) overLimits(spec *catalogue.Engine) bool {
	var mb float64
	adapters := 0
	for m, held := range f.models {
		mb += spec.Models[m].WeightsMB + float64(len(held))*spec.Models[m].AdapterMB
		adapters += len(held)
	}
	if f.loading != "" {
		mb += spec.Models[f.loading].WeightsMB
	}
	return mb > spec.WeightsMB || adapters > spec.AdapterSlots
}

// holders returns the engines that hold a model.
func (e *engines) holders(m fleet.ModelID) []fleet.UpstreamID {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []fleet.UpstreamID
	for id, f := range e.all {
		f.finishLoad()
		if _, ok := f.models[m]; ok {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
