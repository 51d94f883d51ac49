package relay

import (
	"context"
	"sync"
	"time"

	"toucanfall/crew"
	"toucanfall/event"
	"toucanfall/internal/loop"
	"toucanfall/timeline"
)

// Times of following.
const (
	// answerWait is how long an answer is waited for.
	answerWait = mostHold + 300*time.Millisecond
	// failedPause is how long a VM is left out that did not answer, or knows less than the
	// store would tell; startedPause the same for one that knows nothing yet.
	failedPause  = time.Second
	startedPause = 100 * time.Millisecond
	// askPause is the pause before the next question where none could be asked, or
	// where one failed.
	askPause = 50 * time.Millisecond
	// startWait is for how long a VM that starts leaves it to relays to tell what it
	// needs, before it asks the store.
	startWait = 2 * time.Second
	// toldLife is how long after its last news a VM counts as told.
	toldLife = answerWait + mostHold
)

// Caller calls peers.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// FollowerConfig holds the dependencies of a Follower.
type FollowerConfig struct {
	Self  crew.Member
	Peers Caller
	// Roll returns the members as this VM knows them.
	MemberList func() crew.MemberList
	// Ask returns what this VM knows.
	NewRequest func() Ask
	// Learn takes news over, which reckon from a time on the clock Now: the relay
	// looked no sooner than that. It reports whether the relay knows as much as a VM
	// that asks the store itself.
	ApplyNews func(ctx context.Context, n *News, looked time.Duration) bool
	// Now is a clock that goes on while the machine sleeps.
	Now    func() time.Duration
	Events *timeline.Recorder
}

// Follower asks relays for news. Create it by [NewFollower] and call [Follower.Run].
type Follower struct {
	cfg FollowerConfig
	// began is when this VM started to follow, mark that of the last answer.
	began time.Duration
	mark  Mark

	mu   sync.Mutex
	told time.Duration
	// failed is until when VMs are left out.
	failed map[crew.Member]time.Duration
	// source is the VM that answered last, "" after a question that failed. Lost is set once
	// a question had no answer at all.
	source crew.Member
	lost   bool
}

// NewFollower returns a follower that has asked nothing yet.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{cfg: cfg, began: cfg.Now(), failed: make(map[crew.Member]time.Duration)}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		m, ok := f.choose()
		if !ok || !f.turn(ctx, m) {
			loop.Sleep(ctx, askPause)
		}
	}
	return ctx.Err()
}

// Told reports whether a relay has told this VM all that it needs lately.
func (f *Follower) Informed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.told != 0 && f.cfg.Now()-f.told < toldLife
}

// ToldOfMembers is like [Follower.Told], but for the members: a VM that follows the
// coordinator itself does not hear from it that there is another one.
func (f *Follower) InformedOfMembers() bool {
	_, ok := f.RelayAddress()
	return ok
}

// Relays reports whether other VMs follow this one, which follows the coordinator.
func (f *Follower) IsRelay() bool {
	return IsRelay(f.cfg.Self, f.cfg.MemberList())
}

// Over returns the address of the relay that tells this VM, false if none does: the
// coordinator itself is none.
func (f *Follower) RelayAddress() (address string, ok bool) {
	f.mu.Lock()
	source := f.source
	f.mu.Unlock()
	if !f.Informed() || source == "" || source == f.cfg.MemberList().Coordinator {
		return "", false
	}
	return source.Address(), true
}

// Expected reports whether a relay is likely to tell this VM soon, which has just started.
// In a small fleet each VM asks the store for itself, which is sooner.
func (f *Follower) UpdateExpected() bool {
	r := f.cfg.MemberList()
	f.mu.Lock()
	failed := f.lost
	f.mu.Unlock()
	follows := len(r.Members) == 0 || len(r.Members) > direct && r.Coordinator != f.cfg.Self
	return f.cfg.Now()-f.began < startWait && follows && !failed
}

// choose returns the best VM to follow that has not failed lately.
func (f *Follower) choose() (crew.Member, bool) {
	now := f.cfg.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range Sources(f.cfg.Self, f.cfg.MemberList()) {
		if now >= f.failed[m] {
			return m, true
		}
	}
	return "", false
}

// turn asks a VM once, and reports whether its answer was of use.
func (f *Follower) turn(ctx context.Context, m crew.Member) bool {
	in := f.cfg.NewRequest()
	in.Mark = f.mark
	var out News
	asked := f.cfg.Now()
	limited, cancel := context.WithTimeout(ctx, answerWait)
	defer cancel()
	err := f.cfg.Peers.Call(limited, m.Address(), ServiceName+".Follow", in, &out)
	if err == nil {
		err = out.Validate()
	}
	f.mark = out.Mark
	useful := err == nil && f.cfg.ApplyNews(ctx, &out, asked+out.Held)
	leaveOut := failedPause
	if err == nil && (out.DirectoryAge == UnknownAge || out.ConfigAge == UnknownAge) {
		leaveOut = startedPause
	}
	f.note(m, useful, leaveOut, err)
	return useful
}

// note keeps whom to ask next, and records when that changes.
func (f *Follower) note(m crew.Member, useful bool, leaveOut time.Duration, err error) {
	now := f.cfg.Now()
	f.mu.Lock()
	before := f.source
	if useful {
		f.told, f.source = now, m
		delete(f.failed, m)
	} else {
		f.source = ""
		f.failed[m] = now + leaveOut
		f.lost = f.lost || err != nil
	}
	f.mu.Unlock()
	switch {
	case useful && before != m:
		f.cfg.Events.Record(event.RelayFound, timeline.Fields{"vm": string(m.VM())})
	case err != nil:
		f.cfg.Events.Record(event.RelayLost, timeline.Fields{"vm": string(m.VM()), "reason": err.Error()})
	case !useful && before != "":
		f.cfg.Events.Record(event.RelayLost, timeline.Fields{"vm": string(m.VM()), "reason": "it knows less than the store would tell"})
	}
}
