package keyring_test

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/fault"
	"toucanfall/fleet"
)

// inForceWithin is the time in which a withdrawal must be in force on a VM that
// can be reached.
const inForceWithin = 2 * time.Second

// TestPromiseWithdrawnKeyStops runs three VMs with their membership, their
// followers of one log and their callers' listeners. In each case a key is
// withdrawn and must stop: new requests are refused and streams end.
func TestPromiseWithdrawnKeyStops(t *testing.T) {
	for _, c := range []struct {
		name   string
		cutOff string
		run    func(is *is.I, w *world, key fleet.Secret)
	}{
		{"all reachable", "serve", withdrawnWhenAllReachable},
		{"log outage", "serve", withdrawnInLogOutage},
		{"taker dies in the outage", "serve", withdrawnByVMThatDies},
		{"peer cut and healed", "serve", withdrawnWhilePeerIsCut},
		{"peer cut from all refuses", "refuse", withdrawnWhilePeerRefuses},
		{"restart before the log has it", "serve", withdrawnBeforeRestart},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, "a", "b", "c")
				defer w.close()
				secrets := w.setUp(c.cutOff, "k", "other")
				is := is.New(t)
				for _, v := range w.up {
					is.Equal(v.answer(secrets["k"]), fault.Kind(""))
				}
				c.run(is, w, secrets["k"])
				for _, v := range w.up {
					is.Equal(v.answer(secrets["k"]), fault.KeyWithdrawn)
					is.Equal(v.answer(secrets["other"]), fault.Kind("")) // no other key suffers
				}
				time.Sleep(10 * time.Second)
				is.Equal(w.logged("k"), []string{"mia"}) // under the operator's name
			})
		})
	}
}

// streams starts a long draft on each VM. The returned function waits for all
// of them and returns how long the longest went on.
func (w *world) streams(is *is.I, key fleet.Secret) (wait func() time.Duration) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var longest time.Duration
	for _, v := range w.up {
		wg.Go(func() {
			rec := v.stream(50*time.Second, key)
			mu.Lock()
			defer mu.Unlock()
			is.True(strings.Contains(rec.Body.String(), string(fault.KeyWithdrawn))) // told why
			is.True(!strings.Contains(rec.Body.String(), "[DONE]"))                  // not taken for a whole answer
			longest = max(longest, time.Since(w.withdrawn))
		})
	}
	return func() time.Duration {
		wg.Wait()
		return longest
	}
}

func withdrawnWhenAllReachable(is *is.I, w *world, key fleet.Secret) {
	wait := w.streams(is, key)
	time.Sleep(time.Second)
	w.withdrawn = time.Now()
	o := w.up["a"].withdraw("k")
	is.True(!o.NotLogged)
	is.Equal(o.Reach.Informed, []fleet.VMID{"a", "b", "c"})
	is.True(wait() < inForceWithin)
}

func withdrawnInLogOutage(is *is.I, w *world, key fleet.Secret) {
	wait := w.streams(is, key)
	w.cut(true, "log", "a", "b", "c")
	time.Sleep(20 * time.Second)
	w.withdrawn = time.Now()
	o := w.up["b"].withdraw("k")
	is.True(o.NotLogged) // the operator is told
	is.True(wait() < inForceWithin)
	is.Equal(len(w.up["c"].spread.Pending()), 1)
	w.cut(false, "log", "a", "b", "c")
	time.Sleep(4 * time.Second)
	is.Equal(len(w.up["c"].spread.Pending()), 0)
}

func withdrawnByVMThatDies(is *is.I, w *world, _ fleet.Secret) {
	w.cut(true, "log", "a", "b", "c")
	time.Sleep(4 * time.Second)
	is.True(w.up["b"].withdraw("k").NotLogged)
	w.stop("b")
	time.Sleep(10 * time.Second)
	w.cut(false, "log", "a", "b", "c")
}

func withdrawnWhilePeerIsCut(is *is.I, w *world, key fleet.Secret) {
	w.cut(true, "log", "a", "b", "c")
	w.cut(true, "c", "a", "b")
	time.Sleep(10 * time.Second)
	o := w.up["a"].withdraw("k")
	is.Equal(o.Reach.Missed, []fleet.VMID{"c"})         // the operator is told
	is.Equal(w.up["c"].answer(key), fault.Kind(""))     // it cannot know, and its team wants it to serve
	is.Equal(w.up["b"].answer(key), fault.KeyWithdrawn) // the others do
	w.cut(false, "c", "b")                              // one link is enough, the log is still down
	time.Sleep(inForceWithin)                           //
	is.Equal(w.up["c"].answer(key), fault.KeyWithdrawn) //
	w.cut(false, "log", "a", "b", "c")
}

func withdrawnWhilePeerRefuses(is *is.I, w *world, key fleet.Secret) {
	w.cut(true, "c", "a", "b", "log")
	begin := time.Now()
	w.up["a"].withdraw("k")
	rec := w.up["c"].stream(50*time.Second, key)
	is.True(strings.Contains(rec.Body.String(), string(fault.KeyUnverified)))
	is.True(time.Since(begin) < 8*time.Second)
	is.Equal(w.up["c"].answer(key), fault.StoreUnavailable)
	is.True(w.up["c"].contact.CutOff())
	w.cut(false, "c", "a", "b", "log")
	time.Sleep(inForceWithin)
}

// withdrawnBeforeRestart has a VM start with a log that does not have the
// withdrawal yet, because the VMs that heard it cannot reach the log.
func withdrawnBeforeRestart(is *is.I, w *world, key fleet.Secret) {
	w.cut(true, "log", "a", "b")
	time.Sleep(4 * time.Second)
	w.cut(true, "log", "c")
	is.True(w.up["a"].withdraw("k").NotLogged)
	w.stop("c")
	w.cut(false, "log", "c")
	w.peerDelay = 300 * time.Millisecond // so that the log answers first
	c := w.start("c")
	for range 3000 {
		kind := c.answer(key)
		is.True(kind == fault.NotReady || kind == fault.KeyWithdrawn) // never served
		time.Sleep(time.Millisecond)
	}
	w.cut(false, "log", "a", "b")
}
