// Package queue schedules requests that wait for a model.
//
// More urgent priority classes are served first, and fair queueing applies among
// the teams of a class. To prevent starvation, one batch request is served after
// every batchInterval requests of the other classes. A request that is estimated
// to miss its deadline is rejected immediately and does not wait first. If the
// estimate was too low, the request is rejected when its deadline passes.
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

// Item describes a request that needs a slot.
type Item struct {
	Team     fleet.TeamID
	Priority fleet.Priority
	// Tokens is the upper bound of what the request may use.
	Tokens fleet.Tokens
	// Deadline is when the answer must be complete.
	Deadline time.Time
}

// Config sets the bounds of a queue.
type Config struct {
	// Slots is how many requests are served concurrently.
	Slots int
	// MaxWaiting bounds the waiting requests. A single team can use at most half
	// of it.
	MaxWaiting int
}

// Queue schedules the requests of one model. It is safe for concurrent use: mu
// guards the scheduler.
type Queue struct {
	mu        sync.Mutex
	scheduler *Scheduler
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{scheduler: NewScheduler(cfg)}
}

// Enter waits for a slot and returns the function that releases it, which must be
// called with the number of tokens used; further calls have no effect. The error
// is overloaded if too many requests of all teams or of this team wait,
// deadline_unmeetable if the deadline is estimated to be missed or has passed, or
// the error of ctx.
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
	// The ticket got a slot at the same time.
	return q.releaser(item), nil
}

// Configure changes the bounds. Requests that already have a slot or wait keep
// their slot or place.
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

// removeTicket removes a waiting ticket. It reports false if the ticket already
// has a slot.
func (q *Queue) removeTicket(t *Ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.scheduler.Remove(t) {
		return false
	}
	waitingTotal.Add(-1)
	return true
}

// dispatch gives free slots to waiting requests. It must be called with mu held.
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
			q.scheduler.Release(item, used, time.Since(started))
			q.dispatch()
		})
	}
}
