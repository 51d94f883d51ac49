package ratelimit

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"toucanfall/catalogue"
	"toucanfall/fleet"
	"toucanfall/timeline"
)

// The bound of the rule BUDGET in these tests.
const (
	retryRatio  = 0.2
	retrySlack  = 50
	retryWindow = 10 * time.Second
)

// Times of the simulated fleet.
const (
	simStep       = 10 * time.Millisecond
	renewInterval = 300 * time.Millisecond
	shareLifetime = 2 * time.Second
	stepsPerWin   = int(retryWindow / simStep)
	// maxRetries is how many times a request is repeated at most, for routes with three attempts.
	maxRetries = 2
)

// simService is a service of the simulated fleet with the rate of its requests over all VMs and the
// fraction of the attempts that fail. due is the number of requests that are due. requests and retries count by step.
type simService struct {
	id                catalogue.ServiceID
	rate, failing     float64
	due               float64
	requests, retries []int
	// failAfter is the number of steps after which an attempt fails, failures the attempts that are still to
	// fail, by step.
	failAfter int
	failures  map[int][]simAttempt
}

// simAttempt is an attempt at a request through a VM, after a number of retries.
type simAttempt struct {
	vm      *simVM
	retries int
}

// simShare is a share of the rates that the store has assigned to a process.
type simShare struct {
	process *simVM
	share   float64
	expiry  time.Duration
}

// simVM is one process of a VM.
type simVM struct {
	f       *retryFleet
	index   int
	buckets *Buckets
	pool    *Pool
	client  *Client
	syncAt  time.Duration
	renewAt time.Duration
}

// retryFleet is a fleet of VMs that count requests and retries, on a simulated clock. In place of
// the store it assigns the shares, a new one only after the expiry of others.
type retryFleet struct {
	rng      *rand.Rand
	seed     uint64
	step     int
	services []*simService
	// vms holds the running process of each VM, nil for one that has left.
	vms    []*simVM
	shares []simShare
	// partitioned separates the VMs with an even index from those with an odd one. Each side has
	// its own list of members then.
	partitioned bool
	// steady is set while requests come at even intervals.
	steady bool
	// lossy is set while one call in 100 is lost, and one reply in 100.
	lossy bool
	// outOfTouch is set for VMs that do not reach the store.
	outOfTouch map[int]bool
	// hosts caches the pool hosts by side, until the members change.
	hosts map[int][][]PoolHost
}

func newRetryFleet(seed uint64, vms int, services ...*simService) *retryFleet {
	f := &retryFleet{rng: rand.New(rand.NewPCG(seed, seed)), seed: seed, services: services, outOfTouch: make(map[int]bool), hosts: make(map[int][][]PoolHost)}
	f.vms = make([]*simVM, vms)
	for i := range f.vms {
		f.start(i)
	}
	return f
}

func (f *retryFleet) now() time.Duration { return time.Duration(f.step)*simStep + time.Hour }

// randomTime returns a time within the next d.
func (f *retryFleet) randomTime(d time.Duration) time.Duration {
	return f.now() + time.Duration(f.rng.Int64N(int64(d)))
}

// start starts a process of a VM, in place of one that is killed.
func (f *retryFleet) start(i int) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	limit := RetryLimit{Ratio: retryRatio, Slack: retrySlack, Window: retryWindow}
	v := &simVM{f: f, index: i, renewAt: f.randomTime(renewInterval), syncAt: f.randomTime(depositInterval), buckets: NewBuckets(f.now, limit)}
	v.pool = NewPool(f.now, v.buckets.ShareExpired, limit)
	v.client = NewClient(ClientConfig{
		VM: fleet.VMID(strconv.Itoa(i)), OwnPool: v.pool, Buckets: v.buckets, Peers: v, PoolHosts: func() [][]PoolHost { return f.poolHosts(v) },
		Now: f.now, Events: timeline.New("test", 16, logger),
	})
	var all []*catalogue.Service
	for _, s := range f.services {
		all = append(all, &catalogue.Service{ID: s.id})
	}
	cfg := catalogue.NewConfig(1, nil, all, nil, catalogue.Limits{})
	v.buckets.Configure(cfg)
	v.pool.Configure(cfg)
	f.vms[i] = v
	clear(f.hosts)
}

// leave stops a VM as planned.
func (f *retryFleet) leave(i int) {
	f.vms[i].client.Leave(context.Background())
	f.vms[i] = nil
	clear(f.hosts)
}

// side returns the part of a partitioned fleet in which a VM is, 0 if the fleet is whole.
func (f *retryFleet) side(i int) int {
	if !f.partitioned {
		return 0
	}
	return i % 2
}

// poolHosts returns the pool hosts that a VM knows: VMs of its side.
func (f *retryFleet) poolHosts(v *simVM) [][]PoolHost {
	side := f.side(v.index)
	if out, ok := f.hosts[side]; ok {
		return out
	}
	pools := 4
	if len(f.vms) <= 16 {
		pools = 1
	}
	out := make([][]PoolHost, pools)
	n := 0
	for i, other := range f.vms {
		if other != nil && f.side(i) == side && n < 3*pools {
			id := strconv.Itoa(i)
			out[n%pools] = append(out[n%pools], PoolHost{VM: fleet.VMID(id), Address: id})
			n++
		}
	}
	f.hosts[side] = out
	return out
}

var errNoAnswer = errors.New("the VM does not answer")

// Call calls another VM.
func (v *simVM) Call(_ context.Context, address, _ string, args, reply any) error {
	f := v.f
	to, err := strconv.Atoi(address)
	if err != nil || f.vms[to] == nil || f.side(to) != f.side(v.index) {
		return errNoAnswer
	}
	service := f.vms[to].pool.Service()
	switch in := args.(type) {
	case Deposit:
		fate := f.fate(v, in.Pool)
		if fate != 0 {
			err = service.Put(in, reply.(*Grant))
		}
		return f.answered(fate, err)
	case Request:
		fate := f.fate(v, in.Deposit.Pool)
		if fate != 0 {
			err = service.Take(in, reply.(*Grant))
		}
		return f.answered(fate, err)
	}
	return errNoAnswer
}

// fate returns a number of at most 100 that decides whether a call is lost. It does not depend on the
// order of calls at the same time.
func (f *retryFleet) fate(v *simVM, pool PoolID) int {
	if !f.lossy {
		return 100
	}
	return rand.New(rand.NewPCG(f.seed^uint64(f.step), uint64(v.index)<<8|uint64(pool.Index))).IntN(100)
}

// answered returns the error of a call, whose reply may be lost.
func (f *retryFleet) answered(fate int, err error) error {
	if fate < 2 {
		return errNoAnswer
	}
	return err
}

// renewShares assigns shares to the VMs that are due and reach the store. What was assigned to
// other processes counts until it expires.
func (f *retryFleet) renewShares() {
	now := f.now()
	members := 0
	for _, v := range f.vms {
		if v != nil {
			members++
		}
	}
	for i, v := range f.vms {
		if v == nil || f.outOfTouch[i] || now < v.renewAt {
			continue
		}
		v.renewAt = now + renewInterval
		left := 1.0
		kept := f.shares[:0]
		for _, s := range f.shares {
			if s.process != v && s.expiry > now {
				kept = append(kept, s)
				left -= s.share
			}
		}
		share := 1 / float64(members)
		if left < share-1e-9 { // More than an error of rounding.
			share = max(left, 0)
		}
		f.shares = append(kept, simShare{v, share, now + shareLifetime})
		v.buckets.SetShare(share, now+shareLifetime)
	}
}

// deposit makes the VMs that are due send their regular messages.
func (f *retryFleet) deposit() {
	for _, v := range f.vms {
		if v != nil && f.now() >= v.syncAt {
			v.syncAt += depositInterval
			v.client.syncPools(context.Background())
		}
	}
}

// run plays the fleet, and calls at before each step.
func (f *retryFleet) run(length time.Duration, at func(step int)) {
	for end := f.step + int(length/simStep); f.step < end; f.step++ {
		at(f.step)
		f.renewShares()
		f.deposit()
		for _, s := range f.services {
			s.requests, s.retries = append(s.requests, 0), append(s.retries, 0)
			f.failAttempts(s)
			for s.due += s.rate * simStep.Seconds(); s.due > 0; s.due -= f.interval() {
				f.request(s)
			}
		}
	}
}

// interval returns the time to the next request of a service, in units of their average.
func (f *retryFleet) interval() float64 {
	if f.steady {
		return 1
	}
	return f.rng.ExpFloat64()
}

// request sends a request to a VM drawn at random.
func (f *retryFleet) request(s *simService) {
	s.requests[len(s.requests)-1]++
	v := f.vms[f.rng.IntN(len(f.vms))]
	if v == nil {
		return
	}
	v.client.CountRequest(s.id)
	f.attempt(s, simAttempt{vm: v})
}

// attempt makes an attempt, and a retry if it fails.
func (f *retryFleet) attempt(s *simService, a simAttempt) {
	if s.failAfter > 0 {
		if s.failures == nil {
			s.failures = make(map[int][]simAttempt)
		}
		s.failures[len(s.requests)-1+s.failAfter] = append(s.failures[len(s.requests)-1+s.failAfter], a)
		return
	}
	f.fail(s, a)
}

// fail makes a retry after an attempt that may have failed.
func (f *retryFleet) fail(s *simService, a simAttempt) {
	if a.retries < maxRetries && f.rng.Float64() < s.failing && a.vm.client.TakeRetry(context.Background(), s.id) {
		s.retries[len(s.retries)-1]++
		f.attempt(s, simAttempt{a.vm, a.retries + 1})
	}
}

// failAttempts ends the attempts that fail in the current step.
func (f *retryFleet) failAttempts(s *simService) {
	step := len(s.requests) - 1
	for _, a := range s.failures[step] {
		f.fail(s, a)
	}
	delete(s.failures, step)
}

// sums returns the sums of the first n counts, for all n.
func sums(counts []int) []int {
	out := make([]int, len(counts)+1)
	for i, n := range counts {
		out[i+1] = out[i] + n
	}
	return out
}

// usage returns the smallest and the largest quotient of the retries of a service and the bound of
// the rule, over all windows that begin at the step from or later.
func (s *simService) usage(from int) (lowest, highest float64) {
	requests, retries := sums(s.requests), sums(s.retries)
	in := func(counts []int, start int) int {
		return counts[min(max(start+stepsPerWin, 0), len(counts)-1)] - counts[max(start, 0)]
	}
	lowest = 1e9
	for start := from; start+stepsPerWin <= len(s.requests); start++ {
		most := max(in(requests, start), in(requests, start-stepsPerWin), in(requests, start-stepsPerWin/2))
		used := float64(in(retries, start)) / (retryRatio*float64(most) + retrySlack)
		lowest, highest = min(lowest, used), max(highest, used)
	}
	return lowest, highest
}

// fleetSizes are the numbers of VMs that are played.
var fleetSizes = []int{1, 7, 65, 195, 400}

// newSimServices returns services of which all attempts fail, one that is asked rarely over all
// VMs, one often and one in waves, beside one that is sound.
func newSimServices(vms int) (rare, broken, wave, sound *simService) {
	often := float64(min(30*vms, 1000))
	return &simService{id: "rare", rate: 12, failing: 1}, &simService{id: "broken", rate: often, failing: 1}, &simService{id: "wave", failing: 1}, &simService{id: "sound", rate: often}
}

// Guards against a retry budget that is not used: at a service of which all requests fail, a calm
// fleet of any size uses at least 0.8 of what the rule allows, also if the service is asked rarely.
func TestRetryBudgetIsUsedInCalm(t *testing.T) {
	for _, n := range fleetSizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			rare, broken, _, sound := newSimServices(n)
			f := newRetryFleet(1, n, rare, broken, sound)
			f.steady = true
			f.run(25*time.Second, func(int) {})
			for _, s := range []*simService{rare, broken} {
				lowest, highest := s.usage(10 * int(time.Second/simStep))
				_, ever := s.usage(0)
				t.Logf("%s: %.2f to %.2f of the bound used, at most %.2f from the start on", s.id, lowest, highest, ever)
				is.True(lowest >= 0.8)
				is.True(ever <= 1)
			}
		})
	}
}

// disturb injects a random fault at most once a second.
func (f *retryFleet) disturb(step int) {
	if step%100 != 0 {
		return
	}
	i := f.rng.IntN(len(f.vms))
	switch f.rng.IntN(8) {
	case 0:
		f.partitioned = !f.partitioned
		clear(f.hosts)
	case 1:
		f.outOfTouch[i] = true
	case 2:
		clear(f.outOfTouch)
	case 3:
		for i := range f.vms {
			f.outOfTouch[i] = true
		}
	case 4:
		for i := range f.vms {
			f.start(i)
		}
	case 5:
		f.start(i)
	case 6:
		if f.vms[i] != nil {
			f.leave(i)
		}
	default:
		f.start(0) // A host of a pool.
	}
}

// Guards against arrivals beyond the retry budget of a service (BUDGET), in any window: the budget was
// shared by all services of a VM, so that a rarely used one was sent what a sound, busy one had earned,
// was forgotten by a restart, and its slack was divided by a wrong number of VMs. VMs are killed,
// restart, leave and join, the fleet is partitioned, and VMs do not reach the store.
func TestRetriesStayWithinBudgetOfService(t *testing.T) {
	for _, c := range []struct {
		name  string
		sizes []int
		fault func(f *retryFleet, step int)
	}{
		{"calm", []int{7}, func(*retryFleet, int) {}}, // The other sizes: TestRetryBudgetIsUsedInCalm.
		{"partition", []int{7, 65}, (*retryFleet).togglePartition},
		{"kills", []int{1, 7, 65}, (*retryFleet).killAll},
		{"random", fleetSizes, (*retryFleet).disturb},
	} {
		for _, n := range c.sizes {
			t.Run(fmt.Sprintf("%s/%d", c.name, n), func(t *testing.T) {
				t.Parallel()
				rare, broken, wave, sound := newSimServices(n)
				spike := &simService{id: "spike", failing: 1}
				checkBudget(t, n, func(f *retryFleet, step int) {
					if step%50 == 0 {
						wave.rate = sound.rate * float64(f.rng.IntN(2))
						wave.failing = float64(f.rng.IntN(2))
						spike.rate = 3 * sound.rate * float64(f.rng.IntN(6)/5)
					}
					c.fault(f, step)
				}, rare, broken, wave, spike, sound)
			})
		}
		t.Run(c.name+"/rare", func(t *testing.T) {
			t.Parallel()
			rare, _, _, sound := newSimServices(7)
			checkBudget(t, 7, c.fault, rare, sound)
		})
	}
}

// Guards against arrivals beyond the retry budget (BUDGET) after bursts of requests that fail late: they were
// retried with the tokens of the burst before the window, and those of the next burst came on top.
func TestRetriesOfLateFailuresStayWithinBudget(t *testing.T) {
	for _, n := range []int{1, 7, 65} {
		for _, gap := range []time.Duration{4 * time.Second, 6 * time.Second, 7500 * time.Millisecond, 9 * time.Second} {
			t.Run(fmt.Sprintf("%d/%s", n, gap), func(t *testing.T) {
				t.Parallel()
				burst := &simService{id: "burst", failing: 1, failAfter: int(1200 * time.Millisecond / simStep)}
				checkBudget(t, n, func(_ *retryFleet, step int) {
					burst.rate = 0
					if step%int(gap/simStep) < int(time.Second/simStep) {
						burst.rate = 1000
					}
				}, burst)
			})
		}
	}
}

// checkBudget plays a fleet and checks the bound of the rule for each service.
func checkBudget(t *testing.T, vms int, at func(f *retryFleet, step int), services ...*simService) {
	is := is.New(t)
	f := newRetryFleet(uint64(vms), vms, services...)
	f.lossy = true
	length := 35 * time.Second
	if vms > 100 {
		length = 16 * time.Second
	}
	f.run(length, func(step int) { at(f, step) })
	for _, s := range services {
		_, highest := s.usage(0)
		t.Logf("%s: at most %.2f of the bound", s.id, highest)
		is.True(highest <= 1)
	}
}

// killAll kills all VMs every 4 s and starts them again.
func (f *retryFleet) killAll(step int) {
	if step%400 != 399 {
		return
	}
	for i := range f.vms {
		f.start(i)
	}
}

// togglePartition partitions the fleet for 15 s at a time.
func (f *retryFleet) togglePartition(step int) {
	if step%1500 == 500 {
		f.partitioned = !f.partitioned
		clear(f.hosts)
	}
}
