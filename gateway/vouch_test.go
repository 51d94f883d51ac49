package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanfall/catalogue"
	"toucanfall/coordinator"
	"toucanfall/roster"
)

// newVoucher returns a voucher of a VM with version 3, under a clock that the
// test sets.
func newVoucher(now *time.Duration) (*voucher, *catalogue.Holder, *roster.Roster) {
	clock := func() time.Duration { return *now }
	h, r := catalogue.NewHolder(clock), roster.New()
	h.Apply(catalogue.NewConfig(3, nil, nil, nil, catalogue.Limits{}))
	r.Put(roster.Entry{ID: "u", Address: "192.0.2.1:80"})
	return &voucher{now: clock, holder: h, roster: r, members: func() int { return 1 }}, h, r
}

// The coordinator's proof counts from when it was asked, less its age, and only
// for a VM that has the version which it is about: a key that a newer one
// withdrew is served no longer than without the coordinator.
func TestProofOfAnotherVM(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	v, h, _ := newVoucher(&now)
	v.take(coordinator.Vouch{Config: 3, ConfigAge: time.Second}, 9*time.Second)
	_, age := h.Current()
	is.Equal(age, 2*time.Second)
	is.True(v.config())
	now = 12 * time.Second
	v.take(coordinator.Vouch{Config: 4, ConfigAge: 0}, 12*time.Second)
	_, age = h.Current()
	is.Equal(age, 4*time.Second)
	is.True(!v.config()) // asks the store itself
}

// A coordinator that falls silent, or whose own proof is old, spares no question.
func TestOldWordSparesNothing(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	v, _, _ := newVoucher(&now)
	v.take(coordinator.Vouch{Config: 3, ConfigAge: 2 * time.Second}, now)
	is.True(!v.config())
	v.take(coordinator.Vouch{Config: 3}, now)
	is.True(v.config())
	now += 2 * time.Second
	is.True(!v.config())
	same, newer := v.directory()
	is.True(!same && !newer)
}

// A VM that knows other upstreams than the coordinator reads the directory.
func TestOtherDirectoryIsRead(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	v, _, r := newVoucher(&now)
	f := newDirectoryFollower(directoryConfig{Roster: r, Now: v.now, Within: 2 * time.Second, Vouched: v.directory, Leads: func() bool { return false }})
	r.Prove(now)
	fingerprint, _ := r.Proof()
	word := coordinator.Vouch{Config: 3, Directory: fingerprint, DirectoryAge: 200 * time.Millisecond}
	now += 1200 * time.Millisecond
	is.Equal(f.due(now), "interval") // nobody vouches
	v.take(word, now)
	is.Equal(f.due(now), "")
	is.Equal(f.Age(), 200*time.Millisecond)
	now += 100 * time.Millisecond
	word.Directory++
	v.take(word, now)
	is.Equal(f.Age(), 300*time.Millisecond) // another directory proves nothing
	is.Equal(f.due(now), "coordinator")
	r.Prove(now)
	is.Equal(f.due(now), "") // this VM has read later than the coordinator
	now += 1600 * time.Millisecond
	word.Directory--
	v.take(word, now-1500*time.Millisecond)
	is.Equal(f.due(now), "interval") // what was read is too old by now
}

// Guards against a VM that goes on using a removed upstream because the coordinator
// doubts its removal: what the coordinator vouches for is the directory.
func TestDoubtedUpstreamIsNotVouchedFor(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	doubting, _, coordinators := newVoucher(&now)
	v, _, r := newVoucher(&now)
	v.take(doubting.own(), now)
	same, _ := v.directory()
	is.True(same)
	now += time.Second
	coordinators.Remove("u", 2*time.Second)
	coordinators.Prove(now)
	v.take(doubting.own(), now)
	same, newer := v.directory()
	is.True(!same && newer) // reads for itself
	r.Remove("u", 0)
	r.Prove(now)
	v.take(doubting.own(), now)
	same, newer = v.directory()
	is.True(same && !newer)
}
