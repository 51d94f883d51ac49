package queue

import (
	"time"

	"toucanfall/fault"
	"toucanfall/fleet"
)

// batchInterval is after how many requests of the other classes a waiting batch
// request is served.
const batchInterval = 20

// classCount is the number of priority classes.
const classCount = 3

// Line is the scheduling policy of a [Queue]: it decides the order in which
// waiting requests get slots. It never blocks and reads no clock. It is not safe
// for concurrent use.
type Scheduler struct {
	cfg        Config
	slotsInUse int
	waiting    int
	classes    [classCount]classQueue
	// servedSinceBatch counts the requests of other classes served since the last
	// batch request.
	servedSinceBatch int
	// meanServiceTime is the moving average of how long a request holds a slot.
	meanServiceTime time.Duration
}

// Ticket is a waiting request.
type Ticket struct {
	Item    Item
	granted chan struct{}
	// resolved is set once the ticket has a slot or its caller has disconnected.
	resolved bool
}

// NewLine returns a Line without requests.
func NewScheduler(cfg Config) *Scheduler {
	l := &Scheduler{cfg: cfg}
	for i := range l.classes {
		l.classes[i] = newClassQueue()
	}
	return l
}

// Push adds a request. It fails with overloaded if too many requests wait, or
// with deadline_unmeetable if the estimated wait exceeds the deadline; both errors
// carry a retry-after time.
func (l *Scheduler) Push(now time.Time, item Item) (*Ticket, error) {
	// A team may have at most as many waiting requests as there are free places,
	// so a single team can fill only half of the queue.
	if l.waitingForTeam(item.Team) >= l.cfg.MaxWaiting-l.waiting {
		return nil, fault.New(fault.Overloaded, "%d requests wait already", l.waiting).WithRetryAfter(l.timeUntilSlots(1))
	}
	wait := l.estimateWait(item)
	if finish := now.Add(wait + l.meanServiceTime); finish.After(item.Deadline) {
		return nil, fault.New(fault.DeadlineUnmeetable, "the request would wait for %s", wait.Round(time.Millisecond)).WithRetryAfter(l.retryAfter(finish.Sub(item.Deadline)))
	}
	t := &Ticket{Item: item, granted: make(chan struct{})}
	l.classes[item.Priority.Rank()].push(t)
	l.waiting++
	return t, nil
}

// Next removes and returns the request that gets the next free slot. It returns
// nil if no slot is free or no request waits.
func (l *Scheduler) Next() *Ticket {
	if l.slotsInUse >= l.cfg.Slots {
		return nil
	}
	class := l.nextClass()
	if class == nil {
		return nil
	}
	t := class.pop()
	t.resolved = true
	l.waiting--
	l.slotsInUse++
	return t
}

// Done frees the slot of a request that used the given tokens and held the slot
// for elapsed.
func (l *Scheduler) Release(item Item, used fleet.Tokens, elapsed time.Duration) {
	l.slotsInUse--
	if l.meanServiceTime == 0 {
		l.meanServiceTime = elapsed
	}
	l.meanServiceTime += (elapsed - l.meanServiceTime) / serviceTimeDivisor
	l.classes[item.Priority.Rank()].refund(item.Team, item.Tokens-used)
}

// Abandon removes a ticket whose caller no longer waits. It reports false if the
// ticket already has a slot.
func (l *Scheduler) Remove(t *Ticket) bool {
	if t.resolved {
		return false
	}
	t.resolved = true
	l.waiting--
	l.classes[t.Item.Priority.Rank()].remove(t)
	return true
}

// serviceTimeDivisor sets the weight of a new sample in the mean service time to
// 1/serviceTimeDivisor.
const serviceTimeDivisor = 8

// waitingForTeam returns how many requests of a team wait, in all classes.
func (l *Scheduler) waitingForTeam(team fleet.TeamID) int {
	n := 0
	for i := range l.classes {
		if tq, ok := l.classes[i].byTeam[team]; ok {
			n += len(tq.tickets)
		}
	}
	return n
}

// timeUntilSlots returns the expected time until n slots have become free.
func (l *Scheduler) timeUntilSlots(n int) time.Duration {
	if l.cfg.Slots <= 0 {
		return l.meanServiceTime
	}
	return l.meanServiceTime * time.Duration(n) / time.Duration(l.cfg.Slots)
}

// retryAfter returns the time until the wait is shorter by excess, if no other
// request arrives. It is rounded up to whole requests.
func (l *Scheduler) retryAfter(excess time.Duration) time.Duration {
	perSlot := l.timeUntilSlots(1)
	if perSlot <= 0 {
		return excess
	}
	return (excess + perSlot - 1) / perSlot * perSlot
}

// estimateWait estimates the wait of a new request from the requests that are
// served before it: all of more urgent classes, and those of its own class that
// fair queueing puts ahead of it.
func (l *Scheduler) estimateWait(item Item) time.Duration {
	if l.slotsInUse < l.cfg.Slots && l.waiting == 0 {
		return 0
	}
	rank := item.Priority.Rank()
	ahead := l.classes[rank].countAhead(item.Team)
	for _, class := range l.classes[:rank] {
		ahead += class.length
	}
	return l.timeUntilSlots(ahead + 1)
}

// nextClass selects the class of the next request, or nil if no request waits.
func (l *Scheduler) nextClass() *classQueue {
	batch := &l.classes[classCount-1]
	if batch.length > 0 && l.servedSinceBatch >= batchInterval {
		l.servedSinceBatch = 0
		return batch
	}
	for i := range l.classes[:classCount-1] {
		if l.classes[i].length > 0 {
			l.servedSinceBatch++
			return &l.classes[i]
		}
	}
	if batch.length > 0 {
		l.servedSinceBatch = 0
		return batch
	}
	return nil
}
