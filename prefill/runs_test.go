package prefill

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"toucanfall/fleet"
)

// testCapacity is the capacity of an engine in these tests.
var testCapacity = Capacity{Slots: 4, Tokens: 8000}

// runRequest returns a request whose run is accounted for.
func runRequest(n uint64, rank int, objective time.Duration) Request {
	r := request(100)
	r.ID, r.Rank, r.Objective, r.Slack = CreditID{1, n}, rank, objective, objective
	r.Capacity, r.Output, r.Patience, r.Lifetime = testCapacity, 400, time.Minute, 20*time.Second
	return r
}

const (
	shortObjective = 500 * time.Millisecond
	longObjective  = 8 * time.Second
)

// newFullHost returns a host whose engine runs as many requests as it has slots.
func newFullHost(is *is.I) *Host {
	h := NewHost(newRecorder())
	for i := range uint64(testCapacity.Slots) {
		is.True(h.acquire(runRequest(i, 0, shortObjective)).Granted)
	}
	return h
}

// returnRun returns a run to its host, or only its prompt if firstEvent is positive.
func returnRun(h *Host, id CreditID, firstEvent time.Duration) {
	_ = h.Service().Return(Returns{[]Return{{ID: id, Upstream: "e", FirstEvent: firstEvent}}}, nil)
}

// reportLoad reports the load of the engine to its host.
func reportLoad(h *Host, load int) {
	_ = h.Service().Return(Returns{[]Return{{ID: CreditID{99, 99}, Upstream: "e", FirstEvent: 1, HasLoad: true, Load: load}}}, nil)
}

// Guards against runs that leak or are counted twice, and against more runs than an engine has slots and
// memory for, whatever VMs send, return late, twice or never, and whatever loads answers state. In the
// end nothing waits and nothing is held.
func TestRunsWithRandomMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			h := NewHost(newRecorder())
			var ids []CreditID
			for range rapid.IntRange(1, 80).Draw(rt, "steps") {
				ids = stepRuns(rt, h, ids)
				synctest.Wait()
				checkRuns(rt, h)
			}
			time.Sleep(time.Minute)
			checkNothingWaits(rt, h)
			for _, u := range h.Usage() {
				if u.Running != 0 || u.Tokens != 0 {
					rt.Fatalf("%d runs with %v tokens after their lifetimes", u.Running, u.Tokens)
				}
			}
		})
	})
}

// stepRuns sends a random message to the host or waits. It returns the requests so far.
func stepRuns(t *rapid.T, h *Host, ids []CreditID) []CreditID {
	switch step := rapid.IntRange(0, 5).Draw(t, "step"); {
	case step <= 2:
		r := drawRun(t, uint64(len(ids)))
		ids = append(ids, r.ID)
		go h.acquire(r)
	case step == 3 && len(ids) > 0:
		took := time.Duration(rapid.IntRange(0, 1).Draw(t, "took")) * time.Second
		returnRun(h, rapid.SampledFrom(ids).Draw(t, "id"), took)
	case step == 4:
		time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	default:
		reportLoad(h, rapid.IntRange(0, 9).Draw(t, "load"))
	}
	return ids
}

func drawRun(t *rapid.T, n uint64) Request {
	r := runRequest(n, rapid.IntRange(0, 3).Draw(t, "rank"), rapid.SampledFrom([]time.Duration{0, shortObjective, longObjective}).Draw(t, "objective"))
	r.Output = fleet.Tokens(rapid.IntRange(0, 9000).Draw(t, "output"))
	r.Wait = time.Duration(rapid.IntRange(0, 900).Draw(t, "wait")) * time.Millisecond
	r.Team = rapid.SampledFrom([]fleet.TeamID{"", "a", "b"}).Draw(t, "team")
	return r
}

func checkRuns(t *rapid.T, h *Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.accounts {
		s, tokens, teams := a.runs, 0.0, 0
		for _, r := range s.active {
			tokens += r.tokens
		}
		for _, n := range s.byTeam {
			teams += n
		}
		if math.Abs(tokens-s.tokens) > 1e-6 || teams != len(s.active) {
			t.Fatalf("%d runs with %v tokens, sums %d and %v", len(s.active), tokens, teams, s.tokens)
		}
		if len(s.active) > s.capacity.Slots {
			t.Fatalf("%d runs in %d slots", len(s.active), s.capacity.Slots)
		}
		if len(s.active) > 1 && s.tokens > float64(s.capacity.Tokens) {
			t.Fatalf("%v tokens in a memory of %d", s.tokens, s.capacity.Tokens)
		}
		if len(a.waiters) > 0 && len(s.active) == 0 && len(a.credits) == 0 && s.foreignRuns(time.Now()) == 0 {
			t.Fatalf("%d requests wait although the engine is empty", len(a.waiters))
		}
	}
}

// Guards against a slot that is freed with the first event, and against one that is never freed.
func TestRunHoldsSlotUntilItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := NewHost(newRecorder())
		for i := range uint64(4) {
			is.True(h.acquire(runRequest(i, 0, shortObjective)).Granted)
			returnRun(h, CreditID{1, i}, 50*time.Millisecond)
		}
		denied := h.acquire(runRequest(4, 0, shortObjective))
		is.True(!denied.Granted)
		is.Equal(denied.Reason, ShortOfSlots)
		is.Equal(denied.Running, 4)
		is.True(denied.Wait > 0)
		returnRun(h, CreditID{1, 0}, 0)
		is.True(h.acquire(runRequest(4, 0, shortObjective)).Granted)
		// Memory is a limit of its own.
		large := runRequest(5, 0, shortObjective)
		large.Output = 7500
		returnRun(h, CreditID{1, 1}, 0)
		denied = h.acquire(large)
		is.Equal(denied.Reason, ShortOfMemory)
		// The runs of a VM that is gone end with their lifetimes.
		time.Sleep(21 * time.Second)
		is.True(h.acquire(large).Granted)
	})
}

// Guards against an account that starves an engine after returns were lost: the loads that the engine
// reports correct it within seconds. A short difference, as of messages on their way, does not.
func TestLostReturnsAreCorrectedByLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := NewHost(newRecorder())
		for i := range uint64(4) {
			is.True(h.acquire(runRequest(i, 0, shortObjective)).Granted)
			returnRun(h, CreditID{1, i}, 50*time.Millisecond)
		}
		time.Sleep(newAccountAge)
		reportLoad(h, 0)
		time.Sleep(200 * time.Millisecond)
		reportLoad(h, 4)
		is.True(!h.acquire(runRequest(5, 0, shortObjective)).Granted)
		for range 6 {
			reportLoad(h, 0)
			time.Sleep(200 * time.Millisecond)
		}
		is.True(h.acquire(runRequest(5, 0, shortObjective)).Granted)
	})
}

// Guards against a host that has just replaced another one and takes a full engine for an empty one.
func TestNewHostTakesOverReportedLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := NewHost(newRecorder())
		is.True(h.acquire(runRequest(0, 0, shortObjective)).Granted)
		reportLoad(h, 4)
		is.True(!h.acquire(runRequest(1, 0, shortObjective)).Granted)
		// As the runs of the former host end, the engine has free slots again.
		reportLoad(h, 2)
		is.True(h.acquire(runRequest(1, 0, shortObjective)).Granted)
		// A load that was not reported again is forgotten.
		reportLoad(h, 4)
		time.Sleep(foreignLifetime + time.Second)
		is.True(h.acquire(runRequest(2, 0, shortObjective)).Granted)
	})
}

// Guards against the runs of a former start of an engine, which have all ended.
func TestRestartedEngineHasFreeCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newFullHost(is)
		r := runRequest(9, 0, shortObjective)
		r.Born = 2
		is.True(h.acquire(r).Granted)
		returnRun(h, CreditID{1, 0}, 0)
		is.Equal(h.Usage()[0].Running, 1)
	})
}

// Guards against patient requests that take the last slots, and against urgent traffic under which they
// get none at all.
func TestPatientRequestsLeaveCapacityAndAreNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := NewHost(newRecorder())
		is.True(h.acquire(runRequest(0, 0, shortObjective)).Granted)
		is.True(h.acquire(runRequest(1, 2, longObjective)).Granted)
		is.True(h.acquire(runRequest(2, 2, longObjective)).Granted)
		is.True(!h.acquire(runRequest(3, 2, longObjective)).Granted)
		is.True(h.acquire(runRequest(3, 1, shortObjective)).Granted)
		// One patient request waits while urgent ones take each slot that becomes free.
		waiting := make(chan Answer, 1)
		go func() {
			r := runRequest(1000, 2, longObjective)
			r.Wait = maxWait
			waiting <- h.acquire(r)
		}()
		synctest.Wait()
		next := uint64(4)
		for range 2 * maxPassedOver {
			r := runRequest(next, 0, shortObjective)
			r.Wait = maxWait
			go h.acquire(r)
			next++
			synctest.Wait()
			returnRun(h, CreditID{1, next - 4}, 0)
			synctest.Wait()
			if len(waiting) > 0 {
				break
			}
		}
		is.Equal(len(waiting), 1)
		is.True((<-waiting).Granted)
		time.Sleep(2 * maxWait)
	})
}

// Guards against a forecast by which all requests of a rank that was passed over precede an urgent one:
// only one of them does.
func TestForecastOfUrgentRequestDoesNotCountPassedOverRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newFullHost(is)
		for i := range uint64(40) {
			r := runRequest(100+i, 2, longObjective)
			r.Wait = maxWait
			go h.acquire(r)
		}
		synctest.Wait()
		h.accounts["e"].runs.passedOver[2] = maxPassedOver
		is.True(h.acquire(runRequest(200, 0, shortObjective)).Wait < shortObjective)
		time.Sleep(2 * maxWait)
	})
}

// Guards against a tenant with many requests that keeps others of its rank waiting.
func TestTeamWithFewestRunsComesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := NewHost(newRecorder())
		acquire := func(n uint64, team fleet.TeamID) chan Answer {
			r := runRequest(n, 0, shortObjective)
			r.Team, r.Wait = team, maxWait
			out := make(chan Answer, 1)
			go func() { out <- h.acquire(r) }()
			synctest.Wait()
			return out
		}
		for i := range uint64(4) {
			is.True((<-acquire(i, "large")).Granted)
		}
		large, small := acquire(4, "large"), acquire(5, "small")
		returnRun(h, CreditID{1, 0}, 0)
		synctest.Wait()
		is.Equal(len(large), 0)
		is.True((<-small).Granted)
		time.Sleep(2 * maxWait)
	})
}

// Guards against a request that is held although it cannot be served in time.
func TestRequestThatWouldWaitInVainIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newFullHost(is)
		r := runRequest(4, 0, shortObjective)
		r.Patience, r.Wait = 20*time.Millisecond, maxWait
		began := time.Now()
		answer := h.acquire(r)
		is.True(!answer.Granted)
		is.True(answer.Wait > r.Patience)
		is.Equal(time.Since(began), time.Duration(0))
	})
}

// Guards against runs that stay in the account because their host did not answer when they ended.
func TestReturnsToLostHostAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, peers := newTestClient()
		credit, _, ok := c.Acquire(t.Context(), runRequest(0, 0, shortObjective))
		is.True(ok)
		credit.FirstEvent()
		time.Sleep(time.Second)
		is.Equal(peers.hosts["a"].Usage()[0].Running, 1)
		peers.down["a"].Store(true)
		credit.Release()
		time.Sleep(time.Second)
		peers.down["a"].Store(false)
		for range 3 {
			next, _, ok := c.Acquire(t.Context(), runRequest(0, 0, shortObjective))
			is.True(ok)
			next.Release()
			time.Sleep(probeInterval)
		}
		is.Equal(peers.hosts["a"].Usage()[0].Running, 0)
		time.Sleep(2 * creditLifetime)
	})
}

// Guards against accounts of runs where VMs of an earlier version, or without the setting, do not return
// them.
func TestRunsAreNotAccountedForWithoutCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := NewHost(newRecorder())
		for i := range uint64(20) {
			r := runRequest(i, 0, shortObjective)
			r.Capacity = Capacity{}
			answer := h.acquire(r)
			is.True(answer.Granted)
			is.True(!answer.HasRuns)
			returnRun(h, r.ID, 50*time.Millisecond)
		}
		is.Equal(len(h.Usage()), 0)
	})
}

// Guards against more messages than one a run beyond those of an account of prompts, and against returns
// that are not sent together.
func TestMessagesOfRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		messages := func(c Capacity, concurrent int) int64 {
			client, peers := newTestClient()
			var credits []*Credit
			for i := range concurrent {
				r := runRequest(uint64(i), 0, shortObjective)
				r.Capacity = c
				credit, _, ok := client.Acquire(t.Context(), r)
				is.True(ok)
				credits = append(credits, credit)
			}
			for _, step := range []func(*Credit){(*Credit).FirstEvent, (*Credit).Release} {
				time.Sleep(100 * time.Millisecond)
				for _, credit := range credits {
					step(credit)
				}
			}
			time.Sleep(100 * time.Millisecond)
			return peers.calls.Load()
		}
		is.Equal(messages(Capacity{}, 1), int64(2))
		is.Equal(messages(testCapacity, 1), int64(3))
		is.Equal(messages(testCapacity, 4), int64(4+2))
	})
}

// Guards against an engine that gets too much after the host of its account was lost: the next host counts
// the runs that the former one granted, by the loads that answers state, and the former one, once it is
// back, gets the returns of its runs.
func TestNextHostCountsRunsOfLostHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, peers := newTestClient()
		acquire := func() (*Credit, bool) {
			credit, _, ok := c.Acquire(t.Context(), runRequest(0, 0, shortObjective))
			return credit, ok
		}
		var lost []*Credit
		for range 3 {
			credit, ok := acquire()
			is.True(ok)
			credit.FirstEvent()
			lost = append(lost, credit)
		}
		time.Sleep(time.Second)
		peers.down["a"].Store(true)
		credit, ok := acquire()
		is.True(ok)
		is.Equal(credit.host.VM, fleet.VMID("b"))
		credit.ReportLoad(4)
		credit.FirstEvent()
		time.Sleep(100 * time.Millisecond)
		_, ok = acquire()
		is.True(!ok)
		for _, credit := range lost {
			credit.Release()
		}
		credit.Release()
		time.Sleep(foreignLifetime + time.Second)
		peers.down["a"].Store(false)
		credit, ok = acquire()
		is.True(ok)
		credit.Release()
		time.Sleep(2 * probeInterval)
		for _, host := range []string{"a", "b"} {
			is.Equal(peers.hosts[host].Usage()[0].Running, 0)
		}
		time.Sleep(2 * creditLifetime)
	})
}
