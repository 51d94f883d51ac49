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
	waitingTotal  = expvar.NewInt("queue_waiting")
	rejectedTotal = expvar.NewMap("queue_refused_total")
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
	mu        sync.Mutex
	scheduler *Line
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{scheduler: NewLine(cfg)}
}

// Enter waits for a slot and returns the function that gives it back, which must
// be called once, with the tokens that were used. The error is overloaded if the
// queue is full, deadline_unmeetable if the deadline cannot be met, or the error
// of ctx.
func (q *Queue) Enter(ctx context.Context, item Item) (func(used fleet.Tokens), error) {
	t, err := q.push(item)
	if err != nil {
		rejectedTotal.Add(string(fault.KindOf(err)), 1)
		return nil, err
	}
	timer := time.NewTimer(time.Until(item.Deadline))
	defer timer.Stop()
	select {
	case <-t.granted:
		return q.releaser(item), nil
	case <-timer.C:
		rejectedTotal.Add(string(fault.DeadlineUnmeetable), 1)
		err = fault.New(fault.DeadlineUnmeetable, "the deadline passed while the request waited")
	case <-ctx.Done():
		err = ctx.Err()
	}
	if q.removeTicket(t) {
		return nil, err
	}
	// The slot came at the same moment.
	return q.releaser(item), nil
}

// Configure changes the bounds. Requests that have a slot or wait keep it.
func (q *Queue) Configure(cfg Config) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.scheduler.cfg != cfg {
		q.scheduler.cfg = cfg
		q.dispatch()
	}
}

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.waiting
}

func (q *Queue) push(item Item) (*Ticket, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	t, err := q.scheduler.Push(time.Now(), item)
	if err != nil {
		return nil, err
	}
	waitingTotal.Add(1)
	q.dispatch()
	return t, nil
}

// abandon takes a ticket out. It reports false if the ticket has a slot.
func (q *Queue) removeTicket(t *Ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.scheduler.Abandon(t) {
		return false
	}
	waitingTotal.Add(-1)
	return true
}

// dispatch hands out free slots.
func (q *Queue) dispatch() {
	for {
		t := q.scheduler.Next()
		if t == nil {
			return
		}
		waitingTotal.Add(-1)
		close(t.granted)
	}
}

func (q *Queue) releaser(item Item) func(used fleet.Tokens) {
	started := time.Now()
	var once sync.Once
	return func(used fleet.Tokens) {
		once.Do(func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			q.scheduler.Done(item, used, time.Since(started))
			q.dispatch()
		})
	}
}
