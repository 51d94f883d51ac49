package measure

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// batchSpec describes a model engine that serves its requests in batches. The
// figures are those of the users' sheets where they give one; the others were
// fitted to the streams of a played day (docs/MEASURES.md).
type batchSpec struct {
	slots int
	// memory is the room for the tokens of running requests.
	memoryTokens int
	// step is the shortest time of a step, and perRun what each running request
	// adds to it.
	baseStep, stepPerRequest time.Duration
	// perMilli is how many prompt tokens are read in a millisecond, and piece how
	// many at most between two tokens of the streams.
	prefillPerMilli float64
	prefillChunk    int
	// eventTokens is how many tokens an event of a stream holds.
	eventTokens int
	// keptParts is how many shared parts of prompts stay in memory.
	cachedPrefixes int
}

// batchRun is a request at an engine.
type batchRequest struct {
	priority int
	// prompt is what has to be read, shared the tokens of the part that other
	// requests have too, and part the name of that part.
	prompt, sharedPrefix, output int
	prefixID                     int
	// event is called with each event that the engine makes, done after the last.
	onEvent func()
	onDone  func()

	pendingPrefill, generated int
	admission                 int
}

// tokens returns the memory that the run holds.
func (r *batchRequest) tokens() int { return r.prompt + r.generated }

// batchEngine is the model of an engine: in each step the running requests make a
// token, and a piece of the prompts is read between them.
type batchEngine struct {
	spec batchSpec
	wake chan struct{}

	mu        sync.Mutex
	waiting   []*batchRequest
	running   []*batchRequest
	prefixIDs []int
	// admissions numbers the runs as they are admitted, preempted counts those
	// that were put back.
	admissions int
	preempted  int
}

func newBatchEngine(spec batchSpec) *batchEngine {
	return &batchEngine{spec: spec, wake: make(chan struct{}, 1)}
}

// submit hands a request to the engine.
func (e *batchEngine) submit(r *batchRequest) {
	e.mu.Lock()
	e.waiting = append(e.waiting, r)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run carries out steps until stop is closed.
func (e *batchEngine) run(stop <-chan struct{}) {
	for {
		e.mu.Lock()
		e.admit()
		d, prefill := e.planStep()
		idle := len(e.running) == 0
		e.mu.Unlock()
		if idle {
			select {
			case <-e.wake:
				continue
			case <-stop:
				return
			}
		}
		time.Sleep(d)
		for _, f := range e.step(prefill) {
			f()
		}
	}
}

// admit starts waiting requests, the most urgent first, while there is room.
func (e *batchEngine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *batchRequest) int { return cmp.Compare(a.priority, b.priority) })
	for len(e.waiting) > 0 && len(e.running) < e.spec.slots {
		r := e.waiting[0]
		if e.usedTokens()+r.tokens() > e.spec.memoryTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.admissions++
		r.admission, r.pendingPrefill = e.admissions, r.prompt+r.generated
		if slices.Contains(e.prefixIDs, r.prefixID) {
			r.pendingPrefill -= r.sharedPrefix
		}
		e.touchPrefix(r.prefixID)
		e.running = append(e.running, r)
	}
}

// keep moves a shared part to the end of those that are kept.
func (e *batchEngine) touchPrefix(prefixID int) {
	e.prefixIDs = slices.DeleteFunc(e.prefixIDs, func(p int) bool { return p == prefixID })
	e.prefixIDs = append(e.prefixIDs, prefixID)
	if len(e.prefixIDs) > e.spec.cachedPrefixes {
		e.prefixIDs = e.prefixIDs[1:]
	}
}

func (e *batchEngine) usedTokens() int {
	n := 0
	for _, r := range e.running {
		n += r.tokens()
	}
	return n
}

// planStep returns how long the next step takes and how many prompt tokens it reads.
func (e *batchEngine) planStep() (time.Duration, int) {
	prefill, decoding := 0, 0
	for _, r := range e.running {
		if r.pendingPrefill > 0 {
			prefill += r.pendingPrefill
		} else {
			decoding++
		}
	}
	prefill = min(prefill, e.spec.prefillChunk)
	d := e.spec.baseStep + time.Duration(decoding)*e.spec.stepPerRequest
	return d + time.Duration(float64(prefill)/e.spec.prefillPerMilli*float64(time.Millisecond)), prefill
}

// step carries a step out and returns what its events call.
func (e *batchEngine) step(prefill int) []func() {
	e.mu.Lock()
	defer e.mu.Unlock()
	var callbacks []func()
	var remaining []*batchRequest
	for _, r := range e.running {
		if r.pendingPrefill > 0 {
			n := min(r.pendingPrefill, prefill)
			r.pendingPrefill -= n
			prefill -= n
			remaining = append(remaining, r)
			continue
		}
		r.generated++
		finished := r.generated >= r.output
		if finished || r.generated%e.spec.eventTokens == 0 {
			callbacks = append(callbacks, r.onEvent)
		}
		if finished {
			callbacks = append(callbacks, r.onDone)
			continue
		}
		remaining = append(remaining, r)
	}
	e.running = remaining
	e.preempt()
	return callbacks
}

// preempt puts runs back while the memory does not hold all: the newest of the
// least urgent, which are read anew.
func (e *batchEngine) preempt() {
	for e.usedTokens() > e.spec.memoryTokens && len(e.running) > 1 {
		victim := slices.MaxFunc(e.running, func(a, b *batchRequest) int {
			return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.admission, b.admission))
		})
		e.running = slices.DeleteFunc(e.running, func(r *batchRequest) bool { return r == victim })
		e.waiting = append(e.waiting, victim)
		e.preempted++
	}
}

// load returns the requests that run or wait.
func (e *batchEngine) load() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) + len(e.waiting)
}
