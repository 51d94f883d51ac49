package queue

import (
	"time"

	"toucanfall/fault"
	"toucanfall/fleet"
)

// batchEvery is after how many requests of the other classes a waiting batch
// request gets a turn.
const batchEvery = 20

// classes is the number of priority classes.
const classes = 3

// Line decides the order of a queue. It does not wait and reads no clock. It is
// not safe for concurrent use.
type Scheduler struct {
	cfg    Config
	busy   int
	length int
	flows  [classes]flows
	// turns counts served requests of other classes since the last batch turn.
	turns int
	// service is the decayed mean time that a request holds a slot.
	service time.Duration
}

// Ticket is a request that waits.
type Ticket struct {
	Item Item
	turn chan struct{}
	// done is set once the ticket has a slot or its caller has gone.
	done bool
}

// NewLine returns an empty line.
func NewScheduler(cfg Config) *Scheduler {
	l := &Scheduler{cfg: cfg}
	for i := range l.flows {
		l.flows[i] = newFlows()
	}
	return l
}

// Push adds a request, or refuses it with the time to come back.
func (l *Scheduler) Push(now time.Time, item Item) (*Ticket, error) {
	// A team may fill at most what is left free: so one team leaves half of the
	// queue to the others, and they always find room.
	if l.waiting(item.Team) >= l.cfg.MaxWaiting-l.length {
		return nil, fault.New(fault.Overloaded, "%d requests wait already", l.length).WithRetryAfter(l.slotIn(1))
	}
	wait := l.waitOf(item)
	if need := now.Add(wait + l.service); need.After(item.Deadline) {
		return nil, fault.New(fault.DeadlineUnmeetable, "the request would wait for %s", wait.Round(time.Millisecond)).WithRetryAfter(l.shrinkIn(need.Sub(item.Deadline)))
	}
	t := &Ticket{Item: item, turn: make(chan struct{})}
	l.flows[item.Priority.Rank()].push(t)
	l.length++
	return t, nil
}

// Next takes out the request that gets a free slot. It returns nil if no slot is
// free or nothing waits.
func (l *Scheduler) Next() *Ticket {
	if l.busy >= l.cfg.Slots {
		return nil
	}
	f := l.nextClass()
	if f == nil {
		return nil
	}
	t := f.pop()
	t.done = true
	l.length--
	l.busy++
	return t
}

// Done frees the slot of a request that held it for some time.
func (l *Scheduler) Release(item Item, used fleet.Tokens, took time.Duration) {
	l.busy--
	if l.service == 0 {
		l.service = took
	}
	l.service += (took - l.service) / serviceWeight
	l.flows[item.Priority.Rank()].settle(item.Team, item.Tokens-used)
}

// Abandon takes out a ticket whose caller has gone. It reports false if the
// ticket has a slot.
func (l *Scheduler) Remove(t *Ticket) bool {
	if t.done {
		return false
	}
	t.done = true
	l.length--
	l.flows[t.Item.Priority.Rank()].remove(t)
	return true
}

// serviceWeight is the part of a new sample in the mean service time, as a
// divisor.
const serviceWeight = 8

// waiting counts the requests of a team.
func (l *Scheduler) waiting(team fleet.TeamID) int {
	n := 0
	for i := range l.flows {
		if w, ok := l.flows[i].teams[team]; ok {
			n += len(w.tickets)
		}
	}
	return n
}

// slotIn returns the expected time until n slots have become free.
func (l *Scheduler) slotIn(n int) time.Duration {
	if l.cfg.Slots <= 0 {
		return l.service
	}
	return l.service * time.Duration(n) / time.Duration(l.cfg.Slots)
}

// shrinkIn returns when the wait will be shorter by excess, if nobody else comes:
// it shrinks by whole requests.
func (l *Scheduler) shrinkIn(excess time.Duration) time.Duration {
	each := l.slotIn(1)
	if each <= 0 {
		return excess
	}
	return (excess + each - 1) / each * each
}

// waitOf estimates the wait of a new request from those that go before it: all
// of more urgent classes, and within its class what the least-served order puts
// first.
func (l *Scheduler) waitOf(item Item) time.Duration {
	if l.busy < l.cfg.Slots && l.length == 0 {
		return 0
	}
	rank := item.Priority.Rank()
	before := l.flows[rank].before(item.Team)
	for _, f := range l.flows[:rank] {
		before += f.length
	}
	return l.slotIn(before + 1)
}

// nextClass selects the class that has the next turn.
func (l *Scheduler) nextClass() *flows {
	batch := &l.flows[classes-1]
	if batch.length > 0 && l.turns >= batchEvery {
		l.turns = 0
		return batch
	}
	for i := range l.flows[:classes-1] {
		if l.flows[i].length > 0 {
			l.turns++
			return &l.flows[i]
		}
	}
	if batch.length > 0 {
		l.turns = 0
		return batch
	}
	return nil
}
