package queue_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/queue"
)

const serviceTime = 100 * time.Millisecond

func newItem(team string, p fleet.Priority, deadline time.Duration) queue.Item {
	return queue.Item{Team: fleet.TeamID(team), Priority: p, Tokens: 100, Deadline: time.Now().Add(deadline)}
}

// serveAll submits requests in order and returns the order in which they were
// served, each for serviceTime, or rejected.
func serveAll(q *queue.Queue, items []queue.Item) []string {
	releaseFirst, _ := q.Enter(context.Background(), newItem("first", fleet.PriorityInteractive, time.Hour))
	served := make(chan string, len(items))
	for i, it := range items {
		go func() {
			release, err := q.Enter(context.Background(), it)
			if err != nil {
				served <- fmt.Sprintf("%s%d:%s", it.Team, i, fault.KindOf(err))
				return
			}
			served <- fmt.Sprintf("%s%d", it.Team, i)
			time.Sleep(serviceTime)
			release(it.Tokens)
		}()
		synctest.Wait()
	}
	releaseFirst(100)
	var out []string
	for range items {
		out = append(out, <-served)
	}
	time.Sleep(serviceTime)
	return out
}

func TestLeastServedTeamGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := queue.New(queue.Config{Slots: 1, MaxWaiting: 100})
		var items []queue.Item
		for range 3 {
			items = append(items, newItem("a", fleet.PriorityNormal, time.Hour))
		}
		items = append(items, newItem("b", fleet.PriorityNormal, time.Hour), newItem("c", fleet.PriorityInteractive, time.Hour))
		is.Equal(serveAll(q, items), []string{"c4", "a0", "b3", "a1", "a2"})
	})
}

// TestBatchYieldsButDoesNotStarve keeps interactive requests waiting and checks
// when a batch request is served.
func TestBatchYieldsButDoesNotStarve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := queue.New(queue.Config{Slots: 1, MaxWaiting: 100})
		items := []queue.Item{newItem("batch", fleet.PriorityBatch, time.Hour)}
		for range 30 {
			items = append(items, newItem("shop", fleet.PriorityInteractive, time.Hour))
		}
		order := serveAll(q, items)
		at := 0
		for i, s := range order {
			if s == "batch0" {
				at = i
			}
		}
		is.Equal(at, 19) // the request that held the slot first is the first of 20
	})
}

func TestFullQueueRejectsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := queue.New(queue.Config{Slots: 1, MaxWaiting: 4})
		start := time.Now()
		order := serveAll(q, []queue.Item{
			newItem("a", fleet.PriorityNormal, time.Hour), newItem("a", fleet.PriorityNormal, time.Hour),
			newItem("a", fleet.PriorityNormal, time.Hour), newItem("b", fleet.PriorityNormal, time.Hour),
		})
		// One team fills half of the queue; the other can still enter.
		is.Equal(order[0], "a2:overloaded")
		is.Equal(order[1:], []string{"a0", "b3", "a1"})
		is.Equal(time.Since(start), 3*serviceTime) // the rejected request had no slot
	})
}

// TestUnmeetableDeadlineIsRejectedImmediately also checks that the same request meets
// its deadline after the retry-after time.
func TestUnmeetableDeadlineIsRejectedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := queue.New(queue.Config{Slots: 1, MaxWaiting: 100})
		serveAll(q, []queue.Item{newItem("a", fleet.PriorityNormal, time.Hour)})
		for range 5 {
			go func() {
				release, err := q.Enter(context.Background(), newItem("a", fleet.PriorityNormal, time.Hour))
				if err == nil {
					time.Sleep(serviceTime)
					release(100)
				}
			}()
			synctest.Wait()
		}
		const deadline = 450 * time.Millisecond
		start := time.Now()
		_, err := q.Enter(context.Background(), newItem("a", fleet.PriorityNormal, deadline))
		is.Equal(fault.KindOf(err), fault.DeadlineUnmeetable)
		is.Equal(time.Since(start), time.Duration(0))
		time.Sleep(fault.From(err).RetryAfter + time.Millisecond)
		start = time.Now()
		release, err := q.Enter(context.Background(), newItem("a", fleet.PriorityNormal, deadline))
		is.NoErr(err)
		is.True(time.Since(start)+serviceTime <= deadline)
		release(100)
		time.Sleep(time.Second)
	})
}

// TestRandomQueue checks in random histories that no slot is assigned twice or
// lost, that the queue stays bounded, and that no request waits past its
// deadline.
func TestRandomQueue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(rt, "slots")
		seeds := rapid.SliceOfN(rapid.IntRange(0, 999), 1, 60).Draw(rt, "requests")
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := &slotChecker{t: t, q: queue.New(queue.Config{Slots: slots, MaxWaiting: 10}), slots: make(chan struct{}, slots)}
			for _, s := range seeds {
				go r.request(s)
				time.Sleep(time.Duration(s%20) * time.Millisecond)
				is.True(r.q.Waiting() <= 10)
			}
			time.Sleep(10 * time.Second)
			is.Equal(r.q.Waiting(), 0)
			for range slots {
				// Every slot has been released.
				_, err := r.q.Enter(context.Background(), newItem("last", fleet.PriorityNormal, time.Hour))
				is.NoErr(err)
			}
		})
	})
}

type slotChecker struct {
	t     *testing.T
	q     *queue.Queue
	slots chan struct{}
}

// request sends one request whose team, deadline and service time are derived
// from s.
func (r *slotChecker) request(s int) {
	p := []fleet.Priority{fleet.PriorityInteractive, fleet.PriorityNormal, fleet.PriorityBatch}[s%3]
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+s%700)*time.Millisecond)
	defer cancel()
	it := newItem(fmt.Sprint("t", s%5), p, time.Duration(s)*time.Millisecond)
	release, err := r.q.Enter(ctx, it)
	if time.Now().After(it.Deadline) {
		r.t.Errorf("waited past the deadline")
	}
	if err != nil {
		return
	}
	select {
	case r.slots <- struct{}{}:
	default:
		r.t.Errorf("more requests are served at once than there are slots")
	}
	time.Sleep(time.Duration(s%90) * time.Millisecond)
	<-r.slots
	release(fleet.Tokens(s % 100))
}
