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
	return &voucher{now: clock, holder: h, roster: r, readAge: func() time.Duration { return 0 }, members: func() int { return 1 }}, h, r
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
	read, other := v.directory()
	is.True(read == 0 && !other)
}

// A VM that knows other upstreams than the coordinator reads the directory.
func TestOtherDirectoryIsRead(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	v, _, r := newVoucher(&now)
	f := &directoryFollower{roster: r, now: v.now, every: time.Second, vouched: v.directory}
	f.answered.Store(int64(now))
	word := coordinator.Vouch{Config: 3, Directory: r.Fingerprint(), DirectoryAge: 200 * time.Millisecond}
	now += 1200 * time.Millisecond
	is.True(f.due()) // nobody vouches
	v.take(word, now)
	is.True(!f.due())
	is.Equal(f.age(), 200*time.Millisecond)
	r.Put(roster.Entry{ID: "u", Address: "192.0.2.1:80", Draining: true})
	is.True(f.due())
	r.Put(roster.Entry{ID: "u", Address: "192.0.2.1:80"})
	is.True(!f.due())
	now += 1400 * time.Millisecond
	is.True(f.due()) // what was read is too old by now
}

// Guards against a VM that goes on using a removed upstream because the coordinator
// doubts its removal: what the coordinator vouches for is the directory.
func TestDoubtedUpstreamIsNotVouchedFor(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	doubting, _, coordinators := newVoucher(&now)
	v, _, r := newVoucher(&now)
	v.take(doubting.own(), now)
	_, other := v.directory()
	is.True(!other)
	coordinators.Remove("u", 2*time.Second)
	v.take(doubting.own(), now)
	_, other = v.directory()
	is.True(other) // reads for itself
	r.Remove("u", 0)
	_, other = v.directory()
	is.True(!other)
}
