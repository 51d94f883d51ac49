package shares_test

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
	"toucanfall/shares"
)

const team fleet.TeamID = "team"

// config returns a configuration with one limited team.
func config(v catalogue.Version, r fleet.TokensPerSecond, burst fleet.Tokens) *catalogue.Config {
	return catalogue.NewConfig(v, nil, nil, []*catalogue.Team{{ID: team, Rate: r, Burst: burst}}, catalogue.Limits{})
}

// fleetOf is a fleet of purses around a pool, under a clock of the test's own.
type fleetOf struct {
	now    time.Duration
	purses []*shares.Buckets
	pool   *shares.Pool
}

func newFleet(n int) *fleetOf {
	f := &fleetOf{}
	f.pool = shares.NewPool(func() time.Duration { return f.now }, func() bool { return false })
	for range n {
		f.purses = append(f.purses, shares.NewBuckets(func() time.Duration { return f.now }))
	}
	return f
}

func (f *fleetOf) configure(c *catalogue.Config) {
	for _, p := range f.purses {
		p.Configure(c)
	}
	f.pool.Configure(c)
}

// deposit returns the message of a VM, with its spare tokens.
func (f *fleetOf) deposit(p *shares.Buckets) shares.Deposit {
	vm := fleet.VMID(fmt.Sprint(slices.Index(f.purses, p)))
	return shares.Deposit{VM: vm, Share: p.Share(), Spare: p.TakeSpare(func(fleet.TeamID) bool { return true })}
}

// admit charges a request at a purse, with tokens of the pool if need be.
func (f *fleetOf) admit(p *shares.Buckets, n shares.Tokens) bool {
	if p.Take(team, n) {
		return true
	}
	given, err := f.pool.Take(f.deposit(p), team, n, n+p.FreeCapacity(team))
	if err != nil || given < n {
		return false
	}
	p.Return(team, given-n)
	return true
}

// For every interval, what is admitted over all VMs is at most burst and rate
// times its length, whatever the VMs take, spare, lose and are dealt.
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
			p := f.purses[rapid.IntRange(0, n-1).Draw(t, "vm")]
			switch rapid.SampledFrom([]string{"admit", "admit", "admit", "spare", "lost", "deal", "silent"}).Draw(t, "what") {
			case "admit":
				want := shares.Tokens(rapid.IntRange(1, 900).Draw(t, "tokens"))
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

// A fleet of VMs of which one takes all requests admits what the limit allows:
// tokens reach it over the pool, and few are dropped on the way.
func TestOneVMGetsRateOfAll(t *testing.T) {
	is := is.New(t)
	const r = 22_000
	f := newFleet(7)
	f.configure(config(1, r, r))
	var admitted shares.Tokens
	for range 10 * 20 { // 10 s in steps of 50 ms, messages each 200 ms.
		f.now += 50 * time.Millisecond
		for _, p := range f.purses {
			p.SetShare(1.0/7, f.now+time.Second)
			if f.now%(200*time.Millisecond) == 0 {
				_ = f.pool.Put(f.deposit(p)) // It is not closed.
			}
		}
		for f.admit(f.purses[0], 1000) {
			admitted += 1000
		}
	}
	is.True(admitted >= 0.95*10*r)
}

// A lowered limit cuts what was kept of the higher one, at VMs and in the pool.
func TestLoweredLimitBindsAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.configure(config(1, 1000, 1000))
	f.purses[0].SetShare(1, time.Hour)
	f.now = time.Second
	is.NoErr(f.pool.Put(f.deposit(f.purses[0])))
	f.configure(config(2, 10, 10))
	var admitted shares.Tokens
	for f.admit(f.purses[0], 1) {
		admitted++
	}
	is.True(admitted <= 10) // the burst of the new limit
}

// A share that the store no longer confirms mints nothing more.
func TestShareEndsWithMembership(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.configure(config(1, 100, 1000))
	f.purses[0].SetShare(1, time.Second)
	f.now = time.Minute
	var admitted shares.Tokens
	for f.admit(f.purses[0], 1) {
		admitted++
	}
	is.Equal(admitted, shares.Tokens(100))
}

// What a VM has minted since its share was dealt is there once it learns the limits, and no
// more: not of a share that it had before, or that has lapsed.
func TestTokensAreMintedBeforeLimitsAreKnown(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	p := shares.NewBuckets(func() time.Duration { return now })
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
	is.True(!p.Take("other", 10)) // It has no past.
}
