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
	// MaxWaiting bounds the requests that wait. One team alone may fill half.
	MaxWaiting int
}

// Queue orders the requests of one model. It is safe for concurrent use.
type Queue struct {
	mu   sync.Mutex
	line *Scheduler
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{line: NewScheduler(cfg)}
}

// Enter waits for a slot and returns the function that gives it back, which must
// be called once, with the tokens that were used. The error is overloaded if the
// queue is full, deadline_unmeetable if the deadline cannot be met, or the error
// of ctx.
func (q *Queue) Enter(ctx context.Context, item Item) (func(used fleet.Tokens), error) {
	t, err := q.push(item)
	if err != nil {
		refusedTotal.Add(string(fault.KindOf(err)), 1)
		return nil, err
	}
	timer := time.NewTimer(time.Until(item.Deadline))
	defer timer.Stop()
	select {
	case <-t.turn:
		return q.releaser(item), nil
	case <-timer.C:
		refusedTotal.Add(string(fault.DeadlineUnmeetable), 1)
		err = fault.New(fault.DeadlineUnmeetable, "the deadline passed while the request waited")
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
	if q.line.cfg != cfg {
		q.line.cfg = cfg
		q.dispatch()
	}
}

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.line.length
}

func (q *Queue) push(item Item) (*Ticket, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	t, err := q.line.Push(time.Now(), item)
	if err != nil {
		return nil, err
	}
	waiting.Add(1)
	q.dispatch()
	return t, nil
}

// abandon takes a ticket out. It reports false if the ticket has a slot.
func (q *Queue) abandon(t *Ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.line.Remove(t) {
		return false
	}
	waiting.Add(-1)
	return true
}

// dispatch hands out free slots.
func (q *Queue) dispatch() {
	for {
		t := q.line.Next()
		if t == nil {
			return
		}
		waiting.Add(-1)
		close(t.turn)
	}
}

func (q *Queue) releaser(item Item) func(used fleet.Tokens) {
	begun := time.Now()
	var once sync.Once
	return func(used fleet.Tokens) {
		once.Do(func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			q.line.Release(item, used, time.Since(begun))
			q.dispatch()
		})
	}
}
