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
	"toucanfall/courier"
	"toucanfall/fleet"
	"toucanfall/roster"
)

// engines are stand-ins of model engines without a network. They keep what the
// protocol says: one order of a model at a time, a number of accepted orders as
// a precondition, fences, and reports that lag.
type engines struct {
	mu   sync.Mutex
	spec *catalogue.Engine
	all  map[fleet.UpstreamID]*fakeEngine
	// byPool finds the engine of a connection pool.
	byPool map[*courier.Pool]fleet.UpstreamID
	// broken lists the engines that were ordered over their limits.
	broken []fleet.UpstreamID
	// connect is how long a connection for an order takes.
	connect time.Duration
	// calls counts the questions and orders to each engine.
	calls map[fleet.UpstreamID]int
	// lateOnes are all orders while late is set.
	lateOnes []coordinator.Order
	// late makes orders get no answer and be carried out after a time, if their
	// precondition still holds then.
	late time.Duration
}

type fakeEngine struct {
	seq     int64
	fence   int64
	models  map[fleet.ModelID]map[fleet.AdapterID]bool
	loading fleet.ModelID
	until   time.Time
	inUse   map[fleet.AdapterID]bool
	// dark engines give no report.
	dark bool
	born int64
}

// reportLag is how old the reports of the stand-ins are.
const reportLag = 100 * time.Millisecond

func newEngines(spec *catalogue.Engine) *engines {
	return &engines{spec: spec, all: make(map[fleet.UpstreamID]*fakeEngine), byPool: make(map[*courier.Pool]fleet.UpstreamID), calls: make(map[fleet.UpstreamID]int)}
}

// add adds an engine that holds models, and its entry in the roster.
func (e *engines) add(r *roster.Roster, id fleet.UpstreamID, models ...fleet.ModelID) {
	f := &fakeEngine{models: make(map[fleet.ModelID]map[fleet.AdapterID]bool), inUse: make(map[fleet.AdapterID]bool), born: 1}
	entry := roster.Entry{ID: id, Service: "texts", Address: "192.0.2.1:80", Born: 1}
	for _, m := range models {
		f.models[m] = make(map[fleet.AdapterID]bool)
		entry.Holdings = append(entry.Holdings, roster.Holding{Model: m})
	}
	e.all[id] = f
	r.Put(entry)
}

func (e *engines) pool(u *roster.Upstream) *courier.Pool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for p, id := range e.byPool {
		if id == u.ID {
			return p
		}
	}
	p := courier.NewPool(u.Address(), courier.Dial, nil)
	e.byPool[p] = u.ID
	return p
}

// Report returns the state of reportLag ago.
func (e *engines) Report(ctx context.Context, p *courier.Pool) (coordinator.Report, error) {
	e.mu.Lock()
	f := e.all[e.byPool[p]]
	e.calls[e.byPool[p]]++
	f.settle()
	r, dark := f.report(), f.dark
	e.mu.Unlock()
	if dark {
		<-ctx.Done()
		return coordinator.Report{}, ctx.Err()
	}
	time.Sleep(reportLag)
	return r, nil
}

func (f *fakeEngine) settle() {
	if f.loading != "" && !time.Now().Before(f.until) {
		f.models[f.loading] = make(map[fleet.AdapterID]bool)
		f.loading = ""
	}
}

func (f *fakeEngine) report() coordinator.Report {
	r := coordinator.Report{Seq: f.seq, Busy: f.loading != "", StartTime: f.born}
	for m, adapters := range f.models {
		h := roster.Holding{Model: m}
		for a := range adapters {
			h.Adapters = append(h.Adapters, a)
		}
		r.Holdings = append(r.Holdings, h)
	}
	return r
}

// Order carries an order out, or refuses it.
func (e *engines) Order(_ context.Context, _ *courier.Pool, id fleet.UpstreamID, o coordinator.Order, check func() error) (coordinator.Verdict, error) {
	time.Sleep(e.connect)
	if err := check(); err != nil {
		return coordinator.Refused, fmt.Errorf("%w: %w", courier.ErrWithheld, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.all[id]
	e.calls[id]++
	f.settle()
	if o.Fence < f.fence {
		return coordinator.Fenced, nil
	}
	f.fence = o.Fence
	if e.late > 0 && len(e.lateOnes)%3 < 2 {
		e.lateOnes = append(e.lateOnes, o)
		born := f.born
		time.AfterFunc(e.late*time.Duration(1+len(e.lateOnes)%4), func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if f.born != born || o.Fence < f.fence {
				return // It was started anew, or has seen a higher token.
			}
			f.settle()
			e.take(id, f, o)
		})
		return coordinator.Refused, errors.New("the answer is lost")
	}
	e.lateOnes = append(e.lateOnes, o)
	return e.take(id, f, o), nil
}

// lateOrders carries out what another coordinator has ordered: a model makes room
// for another one, whose load takes a time yet.
func (e *engines) lateOrders(f *fakeEngine, gone, coming fleet.ModelID, left time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, held := f.models[gone]; !held || f.loading != "" {
		return
	}
	delete(f.models, gone)
	f.seq += 2
	f.loading, f.until = coming, time.Now().Add(left)
}

// take carries an order out if its precondition holds.
func (e *engines) take(id fleet.UpstreamID, f *fakeEngine, o coordinator.Order) coordinator.Verdict {
	if o.Seq != f.seq || f.loading != "" {
		return coordinator.Busy
	}
	v := f.carry(o, e.spec.Models[o.Model].Load)
	if f.over(e.spec) {
		e.broken = append(e.broken, id)
	}
	return v
}

func (f *fakeEngine) carry(o coordinator.Order, load time.Duration) coordinator.Verdict {
	_, held := f.models[o.Model]
	switch {
	case o.Adapter == "" && o.Unload != held, o.Adapter != "" && o.Unload != f.models[o.Model][o.Adapter]:
		return coordinator.AlreadyApplied // Nothing to do, and nothing counted.
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
		f.loading, f.until = o.Model, time.Now().Add(load)
	}
	return coordinator.Accepted
}

// over reports whether more is held or loading than there is room for.
func (f *fakeEngine) over(spec *catalogue.Engine) bool {
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
		f.settle()
		if _, ok := f.models[m]; ok {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
