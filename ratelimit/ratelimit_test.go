package ratelimit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"toucanfall/catalogue"
	"toucanfall/fleet"
	"toucanfall/rate"
	"toucanfall/ratelimit"
)

const team fleet.TeamID = "team"

// config returns a configuration with one team that has a rate and a burst.
func config(v catalogue.Version, r fleet.TokensPerSecond, burst fleet.Tokens) *catalogue.Config {
	return catalogue.NewConfig(v, nil, nil, []*catalogue.Team{{ID: team, Rate: r, Burst: burst}}, catalogue.Limits{})
}

// testFleet is a fleet of VMs' token buckets around one pool, on a simulated clock.
type testFleet struct {
	now     time.Duration
	buckets []*ratelimit.Buckets
	pool    *ratelimit.Pool
}

func newFleet(n int) *testFleet {
	f := &testFleet{}
	f.pool = ratelimit.NewPool(func() time.Duration { return f.now }, func() bool { return false }, ratelimit.RetryLimit{})
	for range n {
		f.buckets = append(f.buckets, ratelimit.NewBuckets(func() time.Duration { return f.now }, ratelimit.RetryLimit{}))
	}
	return f
}

func (f *testFleet) configure(c *catalogue.Config) {
	for _, p := range f.buckets {
		p.Configure(c)
	}
	f.pool.Configure(c)
}

// deposit returns the deposit of a VM, with its spare tokens.
func (f *testFleet) deposit(buckets *ratelimit.Buckets) ratelimit.Deposit {
	vm := fleet.VMID(fmt.Sprint(slices.Index(f.buckets, buckets)))
	return ratelimit.Deposit{VM: vm, Share: buckets.Share(), Spare: buckets.TakeSpare(func(fleet.TeamID) bool { return true })}
}

// admit charges a request to a VM's buckets, with tokens of the pool if they do not suffice.
func (f *testFleet) admit(buckets *ratelimit.Buckets, n ratelimit.Tokens) bool {
	if buckets.Take(team, n) {
		return true
	}
	given, err := f.pool.Take(f.deposit(buckets), team, n, n+buckets.FreeCapacity(team))
	if err != nil || given < n {
		return false
	}
	buckets.Return(team, given-n)
	return true
}

// In every interval, all VMs together admit at most the burst plus the rate times its length,
// whatever they take, deposit or lose, and whatever shares they are assigned.
func TestRandomSharesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const r, burst = 1000, 1500
		n := rapid.IntRange(1, 7).Draw(t, "vms")
		f := newFleet(n)
		f.configure(config(1, r, burst))
		start := time.Unix(0, 0)
		checker := rate.NewChecker(start, rate.NewLimit(r, burst))
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			f.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			p := f.buckets[rapid.IntRange(0, n-1).Draw(t, "vm")]
			switch rapid.SampledFrom([]string{"admit", "admit", "admit", "spare", "lost", "deal", "silent"}).Draw(t, "what") {
			case "admit":
				want := ratelimit.Tokens(rapid.IntRange(1, 900).Draw(t, "tokens"))
				if f.admit(p, want) {
					if err := checker.Record(start.Add(f.now), rate.FromTokens(fleet.Tokens(want))); err != nil {
						t.Fatal(err)
					}
				}
			case "spare":
				_ = f.pool.Put(f.deposit(p)) // It is not closed.
			case "lost":
				f.deposit(p)
			case "deal":
				p.SetShare(1/float64(n), f.now+2500*time.Millisecond)
			case "silent":
				p.SetShare(0, 0)
			}
		}
	})
}

// When one VM of a fleet receives all requests, nearly the whole rate is admitted: tokens
// reach it through the pool, and few are dropped on the way.
func TestOneVMGetsRateOfAll(t *testing.T) {
	is := is.New(t)
	const r = 22_000
	f := newFleet(7)
	f.configure(config(1, r, r))
	var admitted ratelimit.Tokens
	for range 10 * 20 { // 10 s in steps of 50 ms, messages each 200 ms.
		f.now += 50 * time.Millisecond
		for _, p := range f.buckets {
			p.SetShare(1.0/7, f.now+time.Second)
			if f.now%(200*time.Millisecond) == 0 {
				_ = f.pool.Put(f.deposit(p)) // It is not closed.
			}
		}
		for f.admit(f.buckets[0], 1000) {
			admitted += 1000
		}
	}
	is.True(admitted >= 0.95*10*r)
}

// A lowered limit drops the tokens kept under the higher one, both on VMs and in the pool.
func TestLoweredLimitAppliesImmediately(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.configure(config(1, 1000, 1000))
	f.buckets[0].SetShare(1, time.Hour)
	f.now = time.Second
	is.NoErr(f.pool.Put(f.deposit(f.buckets[0])))
	f.configure(config(2, 10, 10))
	var admitted ratelimit.Tokens
	for f.admit(f.buckets[0], 1) {
		admitted++
	}
	is.True(admitted <= 10) // the burst of the new limit
}

// An expired share accrues no more tokens.
func TestShareEndsWithMembership(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.configure(config(1, 100, 1000))
	f.buckets[0].SetShare(1, time.Second)
	f.now = time.Minute
	var admitted ratelimit.Tokens
	for f.admit(f.buckets[0], 1) {
		admitted++
	}
	is.Equal(admitted, ratelimit.Tokens(100))
}

// A VM that learns the limits gets the tokens that have accrued since its share was last
// changed, but none for an earlier or expired share.
func TestTokensAccrueBeforeLimitsAreKnown(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	p := ratelimit.NewBuckets(func() time.Duration { return now }, ratelimit.RetryLimit{})
	team := &catalogue.Team{ID: "team", Rate: 1000, Burst: 100_000}
	p.SetShare(1, now+time.Minute)
	now += time.Second
	p.SetShare(0.5, now+2*time.Second)
	now += time.Second
	p.SetShare(0.5, now+2*time.Second) // Renewed.
	now += time.Second
	p.Configure(catalogue.NewConfig(1, nil, nil, []*catalogue.Team{team}, catalogue.Limits{}))
	is.True(!p.Take("team", 1001)) // Two seconds at half the rate.
	is.True(p.Take("team", 999))
	other := &catalogue.Team{ID: "other", Rate: 1000, Burst: 100_000}
	p.Configure(catalogue.NewConfig(2, nil, nil, []*catalogue.Team{team, other}, catalogue.Limits{}))
	is.True(!p.Take("other", 10)) // A new team starts empty.
}
