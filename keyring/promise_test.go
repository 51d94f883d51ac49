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

// effectDeadline is how soon a withdrawal must take effect on a VM that can be
// reached.
const effectDeadline = 2 * time.Second

// A withdrawn key must be rejected and its streams must end on each of three VMs,
// in spite of the fault of each case. Each VM runs its membership, a follower of
// the shared log, and a listener for callers.
func TestPromiseWithdrawnKeyStops(t *testing.T) {
	for _, c := range []struct {
		name   string
		cutOff string
		run    func(is *is.I, cl *cluster, key fleet.Secret)
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
				cl := newCluster(t, "a", "b", "c")
				defer cl.close()
				secrets := cl.setUp(c.cutOff, "k", "other")
				is := is.New(t)
				for _, v := range cl.running {
					is.Equal(v.probe(secrets["k"]), fault.Kind(""))
				}
				c.run(is, cl, secrets["k"])
				for _, v := range cl.running {
					is.Equal(v.probe(secrets["k"]), fault.KeyWithdrawn)
					is.Equal(v.probe(secrets["other"]), fault.Kind("")) // other keys are unaffected
				}
				time.Sleep(10 * time.Second)
				is.Equal(cl.loggedBy("k"), []string{"mia"}) // under the operator's name
			})
		})
	}
}

// streams starts a long completion request on each VM. The returned function waits
// for all of them and returns how long after the withdrawal the last one ended.
func (cl *cluster) streams(is *is.I, key fleet.Secret) (wait func() time.Duration) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var longest time.Duration
	for _, v := range cl.running {
		wg.Go(func() {
			rec := v.stream(50*time.Second, key)
			mu.Lock()
			defer mu.Unlock()
			is.True(strings.Contains(rec.Body.String(), string(fault.KeyWithdrawn))) // the reason is reported
			is.True(!strings.Contains(rec.Body.String(), "[DONE]"))                  // the stream is not marked as complete
			longest = max(longest, time.Since(cl.withdrawn))
		})
	}
	return func() time.Duration {
		wg.Wait()
		return longest
	}
}

func withdrawnWhenAllReachable(is *is.I, cl *cluster, key fleet.Secret) {
	wait := cl.streams(is, key)
	time.Sleep(time.Second)
	cl.withdrawn = time.Now()
	o := cl.running["a"].withdraw("k")
	is.True(!o.NotLogged)
	is.Equal(o.Reach.Informed, []fleet.VMID{"a", "b", "c"})
	is.True(wait() < effectDeadline)
}

func withdrawnInLogOutage(is *is.I, cl *cluster, key fleet.Secret) {
	wait := cl.streams(is, key)
	cl.setCut(true, "log", "a", "b", "c")
	time.Sleep(20 * time.Second)
	cl.withdrawn = time.Now()
	o := cl.running["b"].withdraw("k")
	is.True(o.NotLogged) // the operator is informed
	is.True(wait() < effectDeadline)
	is.Equal(len(cl.running["c"].replicator.Pending()), 1)
	cl.setCut(false, "log", "a", "b", "c")
	time.Sleep(4 * time.Second)
	is.Equal(len(cl.running["c"].replicator.Pending()), 0)
}

func withdrawnByVMThatDies(is *is.I, cl *cluster, _ fleet.Secret) {
	cl.setCut(true, "log", "a", "b", "c")
	time.Sleep(4 * time.Second)
	is.True(cl.running["b"].withdraw("k").NotLogged)
	cl.stop("b")
	time.Sleep(10 * time.Second)
	cl.setCut(false, "log", "a", "b", "c")
}

func withdrawnWhilePeerIsCut(is *is.I, cl *cluster, key fleet.Secret) {
	cl.setCut(true, "log", "a", "b", "c")
	cl.setCut(true, "c", "a", "b")
	time.Sleep(10 * time.Second)
	o := cl.running["a"].withdraw("k")
	is.Equal(o.Reach.Missed, []fleet.VMID{"c"})              // the operator is informed
	is.Equal(cl.running["c"].probe(key), fault.Kind(""))     // it cannot know, and the team's setting is to serve
	is.Equal(cl.running["b"].probe(key), fault.KeyWithdrawn) // the other VM rejects the key
	cl.setCut(false, "c", "b")                               // one link is enough while the log is down
	time.Sleep(effectDeadline)                               //
	is.Equal(cl.running["c"].probe(key), fault.KeyWithdrawn) //
	cl.setCut(false, "log", "a", "b", "c")
}

func withdrawnWhilePeerRefuses(is *is.I, cl *cluster, key fleet.Secret) {
	cl.setCut(true, "c", "a", "b", "log")
	begin := time.Now()
	cl.running["a"].withdraw("k")
	rec := cl.running["c"].stream(50*time.Second, key)
	is.True(strings.Contains(rec.Body.String(), string(fault.KeyUnverified)))
	is.True(time.Since(begin) < 8*time.Second)
	is.Equal(cl.running["c"].probe(key), fault.StoreUnavailable)
	is.True(cl.running["c"].cutOffDetector.CutOff())
	cl.setCut(false, "c", "a", "b", "log")
	time.Sleep(effectDeadline)
}

// withdrawnBeforeRestart restarts a VM while the log lacks the withdrawal, because
// the VMs that received it cannot reach the log. The VM must not serve the key.
func withdrawnBeforeRestart(is *is.I, cl *cluster, key fleet.Secret) {
	cl.setCut(true, "log", "a", "b")
	time.Sleep(4 * time.Second)
	cl.setCut(true, "log", "c")
	is.True(cl.running["a"].withdraw("k").NotLogged)
	cl.stop("c")
	cl.setCut(false, "log", "c")
	cl.peerDelay = 300 * time.Millisecond // so that the log responds before the peers
	c := cl.start("c")
	for range 3000 {
		kind := c.probe(key)
		is.True(kind == fault.NotReady || kind == fault.KeyWithdrawn) // never served
		time.Sleep(time.Millisecond)
	}
	cl.setCut(false, "log", "a", "b")
}
