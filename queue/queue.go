// Package queue orders requests that wait for a model.
//
// Urgent classes come first, and within a class the team that has been served
// least. Work for a waiting customer goes before batch work, but batch work
// gets one turn after every [batchEvery] turns of the others, so that it does
// not starve for good. A request that cannot meet its deadline is refused at
// once, and nothing is held back to hide a refusal.
package queue

import (
	"context"
	"expvar"
	"sync"
	"time"

	"toucanfall/fault"
	"toucanfall/fleet"
)

// batchEvery is after how many requests of the other classes a waiting batch
// request gets a turn.
const batchEvery = 20

// classes is the number of priority classes.
const classes = 3

var (
	waiting      = expvar.NewInt("queue_waiting")
	refusedTotal = expvar.NewMap("queue_refused_total")
)

// Item is a request that wants to be served.
type Item struct {
	Team     fleet.TeamID
	Priority fleet.Priority
	// Tokens is the upper bound of what the request may use.
	Tokens fleet.Tokens
	// Deadline is when the answer has to be complete.
	Deadline time.Time
}

// Config bounds a queue.
type Config struct {
	// Slots is how many requests are served at once.
	Slots int
	// MaxWaiting bounds the requests that wait.
	MaxWaiting int
}

// Queue orders the requests of one model. It is safe for concurrent use.
type Queue struct {
	cfg Config

	mu     sync.Mutex
	busy   int
	length int
	flows  [classes]flows
	// turns counts served requests of other classes since the last batch turn.
	turns int
	// service is the decayed mean time that a request holds a slot.
	service time.Duration
}

// ticket is a request that waits.
type ticket struct {
	item Item
	turn chan struct{}
	// done is set once the ticket has a slot or its caller has gone.
	done bool
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	q := &Queue{cfg: cfg}
	for i := range q.flows {
		q.flows[i] = newFlows()
	}
	return q
}

// Enter waits for a slot and returns the function that gives it back, which must
// be called once, with the tokens that were used. The error is overloaded if the
// queue is full, deadline_unmeetable if the deadline cannot be met, or the error
// of ctx.
func (q *Queue) Enter(ctx context.Context, item Item) (func(used fleet.Tokens), error) {
	t, err := q.enqueue(item)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(time.Until(item.Deadline))
	defer timer.Stop()
	select {
	case <-t.turn:
		return q.releaser(item), nil
	case <-timer.C:
		err = q.refuse(fault.DeadlineUnmeetable, "the deadline passed while the request waited")
	case <-ctx.Done():
		err = ctx.Err()
	}
	if q.abandon(t) {
		return nil, err
	}
	// The slot came at the same moment.
	return q.releaser(item), nil
}

// Configure changes the bounds. Requests that have a slot or wait keep it.
func (q *Queue) Configure(cfg Config) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.cfg != cfg {
		q.cfg = cfg
		q.dispatch()
	}
}

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.length
}

func (q *Queue) enqueue(item Item) (*ticket, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if q.length >= q.cfg.MaxWaiting {
		return nil, q.refuse(fault.Overloaded, "%d requests wait already", q.length).After(q.slotIn(1))
	}
	wait := q.waitOf(item)
	if need := now.Add(wait + q.service); need.After(item.Deadline) {
		return nil, q.refuse(fault.DeadlineUnmeetable, "the request would wait for %s", wait.Round(time.Millisecond)).After(q.shrinkIn(need.Sub(item.Deadline)))
	}
	t := &ticket{item: item, turn: make(chan struct{})}
	q.flows[item.Priority.Rank()].push(t)
	q.length++
	waiting.Add(1)
	q.dispatch()
	return t, nil
}

func (q *Queue) refuse(kind fault.Kind, format string, args ...any) *fault.Error {
	refusedTotal.Add(string(kind), 1)
	return fault.New(kind, format, args...)
}

// slotIn returns the expected time until n slots have become free.
func (q *Queue) slotIn(n int) time.Duration {
	if q.cfg.Slots <= 0 {
		return q.service
	}
	return q.service * time.Duration(n) / time.Duration(q.cfg.Slots)
}

// shrinkIn returns when the wait will be shorter by excess, if nobody else comes:
// it shrinks by whole requests.
func (q *Queue) shrinkIn(excess time.Duration) time.Duration {
	each := q.slotIn(1)
	if each <= 0 {
		return excess
	}
	return (excess + each - 1) / each * each
}

// waitOf estimates the wait of a new request from those that go before it: all
// of more urgent classes, and within its class what the least-served order puts
// first.
func (q *Queue) waitOf(item Item) time.Duration {
	if q.busy < q.cfg.Slots && q.length == 0 {
		return 0
	}
	rank := item.Priority.Rank()
	before := q.flows[rank].before(item.Team)
	for _, f := range q.flows[:rank] {
		before += f.length
	}
	return q.slotIn(before + 1)
}

// abandon takes a ticket out. It reports false if the ticket has a slot.
func (q *Queue) abandon(t *ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.done {
		return false
	}
	q.flows[t.item.Priority.Rank()].remove(t)
	q.left(t)
	return true
}

func (q *Queue) left(t *ticket) {
	t.done = true
	q.length--
	waiting.Add(-1)
}

// dispatch hands out free slots.
func (q *Queue) dispatch() {
	for q.busy < q.cfg.Slots {
		f := q.next()
		if f == nil {
			return
		}
		t := f.pop()
		q.left(t)
		q.busy++
		close(t.turn)
	}
}

// next selects the class that has the next turn.
func (q *Queue) next() *flows {
	batch := &q.flows[classes-1]
	if batch.length > 0 && q.turns >= batchEvery {
		q.turns = 0
		return batch
	}
	for i := range q.flows[:classes-1] {
		if q.flows[i].length > 0 {
			q.turns++
			return &q.flows[i]
		}
	}
	if batch.length > 0 {
		q.turns = 0
		return batch
	}
	return nil
}

func (q *Queue) releaser(item Item) func(used fleet.Tokens) {
	begun := time.Now()
	var once sync.Once
	return func(used fleet.Tokens) {
		once.Do(func() { q.release(item, used, time.Since(begun)) })
	}
}

// serviceWeight is the part of a new sample in the mean service time, as a
// divisor.
const serviceWeight = 8

func (q *Queue) release(item Item, used fleet.Tokens, took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.busy--
	if q.service == 0 {
		q.service = took
	}
	q.service += (took - q.service) / serviceWeight
	q.flows[item.Priority.Rank()].settle(item.Team, item.Tokens-used)
	q.dispatch()
}
