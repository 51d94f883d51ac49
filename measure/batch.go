package measure

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// batchSpec describes a simulated model engine that serves its requests in batches.
// Its values come from the users' capacity documentation; those that it doesn't give
// were fitted to the streams of one simulated day (docs/MEASURES.md).
type batchSpec struct {
	// slots is the maximum number of running requests.
	slots int
	// memoryTokens is the memory for running requests, in tokens.
	memoryTokens int
	// baseStep is the minimum duration of a step, and stepPerRequest what each
	// request that generates tokens adds to it.
	baseStep, stepPerRequest time.Duration
	// prefillPerMilli is the number of prompt tokens processed in a millisecond, and
	// prefillChunk the maximum number processed in one step.
	prefillPerMilli float64
	prefillChunk    int
	// eventTokens is the number of tokens in an event of a stream.
	eventTokens int
	// cachedPrefixes is the number of shared prompt prefixes that the engine caches.
	cachedPrefixes int
}

// batchRequest is a request at a batchEngine.
type batchRequest struct {
	// priority is lower for more urgent requests.
	priority int
	// prompt is the length of the prompt, sharedPrefix the length of its prefix that
	// other requests share, and output the number of tokens to generate, all in
	// tokens. prefixID identifies the shared prefix.
	prompt, sharedPrefix, output int
	prefixID                     int
	// onEvent is called for each event of the stream, and onDone after the last one.
	onEvent func()
	onDone  func()

	// pendingPrefill is the number of tokens to process before generation, and
	// generated the number of generated tokens.
	pendingPrefill, generated int
	// admission is the number of the last admission.
	admission int
}

// tokens returns the memory that the request occupies, in tokens.
func (r *batchRequest) tokens() int { return r.prompt + r.generated }

// batchEngine simulates an engine with continuous batching: in each step every running
// request whose prompt has been processed generates a token, and one chunk of the
// pending prompts is processed.
type batchEngine struct {
	spec batchSpec
	wake chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	waiting []*batchRequest
	running []*batchRequest
	// prefixIDs are the cached prefixes, the most recently used last.
	prefixIDs []int
	// admissions counts admitted requests, and preempted those that were moved back to
	// waiting.
	admissions int
	preempted  int
}

func newBatchEngine(spec batchSpec) *batchEngine {
	return &batchEngine{spec: spec, wake: make(chan struct{}, 1)}
}

// submit queues a request and wakes the engine.
func (e *batchEngine) submit(r *batchRequest) {
	e.mu.Lock()
	e.waiting = append(e.waiting, r)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run executes steps until stop is closed and no request is running.
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

// admit starts waiting requests, the most urgent first, while there are free slots and
// memory. e.mu must be held.
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

// touchPrefix marks a prefix as the most recently used one, and evicts the least
// recently used one if the cache is full. e.mu must be held.
func (e *batchEngine) touchPrefix(prefixID int) {
	e.prefixIDs = slices.DeleteFunc(e.prefixIDs, func(p int) bool { return p == prefixID })
	e.prefixIDs = append(e.prefixIDs, prefixID)
	if len(e.prefixIDs) > e.spec.cachedPrefixes {
		e.prefixIDs = e.prefixIDs[1:]
	}
}

// usedTokens returns the memory that the running requests occupy, in tokens. e.mu must be
// held.
func (e *batchEngine) usedTokens() int {
	n := 0
	for _, r := range e.running {
		n += r.tokens()
	}
	return n
}

// planStep returns the duration of the next step and the number of prompt tokens that
// it processes. e.mu must be held.
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

// step executes a step that processes up to prefill prompt tokens, and returns the
// callbacks that its events trigger.
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

// preempt moves requests back to waiting while the running ones exceed the memory: the
// most recently admitted of the least urgent. Their prompts and generated tokens are
// processed again on the next admission. e.mu must be held.
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

// load returns the number of running and waiting requests.
func (e *batchEngine) load() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) + len(e.waiting)
}
