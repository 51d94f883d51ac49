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
	answerTimeout = maxAnswerDelay + 300*time.Millisecond
	// failedPause is how long a VM is left out that did not answer, or knows less than the
	// store would tell; startedPause the same for one that knows nothing yet.
	failedBackoff   = time.Second
	startingBackoff = 100 * time.Millisecond
	// askPause is the pause before the next question where none could be asked, or
	// where one failed.
	requestPause = 50 * time.Millisecond
	// startWait is for how long a VM that starts leaves it to relays to tell what it
	// needs, before it asks the store.
	startupWait = 2 * time.Second
	// toldLife is how long after its last news a VM counts as told.
	informedTTL = answerTimeout + maxAnswerDelay
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
	Roll func() crew.Roll
	// Ask returns what this VM knows.
	Ask func() Ask
	// Learn takes news over, which reckon from a time on the clock Now: the relay
	// looked no sooner than that. It reports whether the relay knows as much as a VM
	// that asks the store itself.
	Learn func(ctx context.Context, n *News, looked time.Duration) bool
	// Now is a clock that goes on while the machine sleeps.
	Now    func() time.Duration
	Events *timeline.Recorder
}

// Follower asks relays for news. Create it by [NewFollower] and call [Follower.Run].
type Follower struct {
	cfg FollowerConfig
	// began is when this VM started to follow, mark that of the last answer.
	startedAt time.Duration
	lastMark  Mark

	mu         sync.Mutex
	informedAt time.Duration
	// failed is until when VMs are left out.
	excludedUntil map[crew.Member]time.Duration
	// source is the VM that answered last, "" after a question that failed. Lost is set once
	// a question had no answer at all.
	source        crew.Member
	requestFailed bool
}

// NewFollower returns a follower that has asked nothing yet.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{cfg: cfg, startedAt: cfg.Now(), excludedUntil: make(map[crew.Member]time.Duration)}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		m, ok := f.choose()
		if !ok || !f.request(ctx, m) {
			loop.Pause(ctx, requestPause)
		}
	}
	return ctx.Err()
}

// Told reports whether a relay has told this VM all that it needs lately.
func (f *Follower) Told() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.informedAt != 0 && f.cfg.Now()-f.informedAt < informedTTL
}

// ToldOfMembers is like [Follower.Told], but for the members: a VM that follows the
// coordinator itself does not hear from it that there is another one.
func (f *Follower) ToldOfMembers() bool {
	_, ok := f.Over()
	return ok
}

// Relays reports whether other VMs follow this one, which follows the coordinator.
func (f *Follower) Relays() bool {
	return Relays(f.cfg.Self, f.cfg.Roll())
}

// Over returns the address of the relay that tells this VM, false if none does: the
// coordinator itself is none.
func (f *Follower) Over() (address string, ok bool) {
	f.mu.Lock()
	source := f.source
	f.mu.Unlock()
	if !f.Told() || source == "" || source == f.cfg.Roll().Coordinator {
		return "", false
	}
	return source.Address(), true
}

// Expected reports whether a relay is likely to tell this VM soon, which has just started.
// In a small fleet each VM asks the store for itself, which is sooner.
func (f *Follower) Expected() bool {
	r := f.cfg.Roll()
	f.mu.Lock()
	failed := f.requestFailed
	f.mu.Unlock()
	follows := len(r.Members) == 0 || len(r.Members) > directMaxVMs && r.Coordinator != f.cfg.Self
	return f.cfg.Now()-f.startedAt < startupWait && follows && !failed
}

// choose returns the best VM to follow that has not failed lately.
func (f *Follower) choose() (crew.Member, bool) {
	now := f.cfg.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range Sources(f.cfg.Self, f.cfg.Roll()) {
		if now >= f.excludedUntil[m] {
			return m, true
		}
	}
	return "", false
}

// turn asks a VM once, and reports whether its answer was of use.
func (f *Follower) request(ctx context.Context, m crew.Member) bool {
	in := f.cfg.Ask()
	in.Mark = f.lastMark
	var out News
	requestedAt := f.cfg.Now()
	callCtx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	err := f.cfg.Peers.Call(callCtx, m.Address(), ServiceName+".Follow", in, &out)
	if err == nil {
		err = out.Check()
	}
	f.lastMark = out.Mark
	useful := err == nil && f.cfg.Learn(ctx, &out, requestedAt+out.Held)
	backoff := failedBackoff
	if err == nil && (out.DirectoryAge == Unknown || out.ConfigAge == Unknown) {
		backoff = startingBackoff
	}
	f.recordResult(m, useful, backoff, err)
	return useful
}

// note keeps whom to ask next, and records when that changes.
func (f *Follower) recordResult(m crew.Member, useful bool, backoff time.Duration, err error) {
	now := f.cfg.Now()
	f.mu.Lock()
	before := f.source
	if useful {
		f.informedAt, f.source = now, m
		delete(f.excludedUntil, m)
	} else {
		f.source = ""
		f.excludedUntil[m] = now + backoff
		f.requestFailed = f.requestFailed || err != nil
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
