package relay

import (
	"context"
	"sync"
	"time"

	"toucanfall/event"
	"toucanfall/group"
	"toucanfall/internal/loop"
	"toucanfall/timeline"
)

// Times of the requests to relays.
const (
	// answerSilence is after how long a request fails if nothing arrives: a relay holds it for up to
	// maxAnswerDelay. answerTimeout bounds a request whose answer is arriving, on a slow link.
	answerSilence = maxAnswerDelay + 300*time.Millisecond
	answerTimeout = 5 * time.Second
	// failedBackoff is how long a relay is not used after it failed to answer or was less
	// current than the store would be; startingBackoff is the same for one that has just
	// started and has no state yet.
	failedBackoff   = time.Second
	startingBackoff = 100 * time.Millisecond
	// requestPause is the pause before the next request if no relay can be used or the last
	// request failed.
	requestPause = 50 * time.Millisecond
	// startupWait is how long a VM that starts waits for a relay to send what it needs,
	// before it reads the store.
	startupWait = 2 * time.Second
	// informedTTL is how long after the last useful answer a VM counts as informed.
	informedTTL = answerSilence + maxAnswerDelay
)

// Caller calls a method of the service at a peer's address. It returns an error if the call
// fails, if ctx ends, or if nothing is received for the time silence.
type Caller interface {
	CallReceiving(ctx context.Context, address, method string, args, reply any, silence time.Duration) error
}

// Outcome is the outcome of a request to a relay. Its text is the label of the metrics.
type Outcome string

// The outcomes.
const (
	// Useful answers are as current as a read of the store, Stale ones are not.
	Useful Outcome = "useful"
	Stale  Outcome = "stale"
	// Busy answers lack their large parts.
	Busy Outcome = "busy"
	// Failed requests have no answer, or an invalid one.
	Failed Outcome = "failed"
)

// FollowerConfig holds the dependencies of a Follower.
type FollowerConfig struct {
	Self group.Member
	// Peers must use connections of their own, so that small calls do not wait behind large
	// answers.
	Peers Caller
	// MemberList returns the members as this VM knows them.
	MemberList func() group.MemberList
	// NewRequest returns what this VM knows, for the next request.
	NewRequest func() Ask
	// ApplyNews applies news that the relay took from its state at the time checkedAt of
	// the clock Now, or later. It reports whether the relay is as current as a read of the
	// store.
	ApplyNews func(ctx context.Context, n *News, checkedAt time.Duration) bool
	// OnAnswer, if not nil, is called with the outcome of each request, the size of the answer in
	// bytes, and the time that it took without the time for which it was held.
	OnAnswer func(o Outcome, bytes int, took time.Duration)
	// Now is a monotonic clock that also counts suspended time.
	Now    func() time.Duration
	Events *timeline.Recorder
}

// Follower requests updates from relays. Create it with [NewFollower] and call
// [Follower.Run]. Its other methods are safe for concurrent use.
type Follower struct {
	cfg FollowerConfig
	// startedAt is when this VM started to follow, lastMark the mark of the last answer,
	// which only Run uses.
	startedAt time.Duration
	lastMark  Mark

	// mu guards the fields below.
	mu sync.Mutex
	// informedAt is when the last useful answer arrived, on the clock Now; 0 if none has.
	informedAt time.Duration
	// excludedUntil holds, for each VM that failed, when it may be used again.
	excludedUntil map[group.Member]time.Duration
	// source is the VM that gave the last answer, "" if that was not useful or the request
	// failed. readsStore is set once a request has failed or a relay was busy: a VM that starts
	// then reads the store.
	source     group.Member
	readsStore bool
}

// NewFollower returns a follower that has sent no request yet.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{cfg: cfg, startedAt: cfg.Now(), excludedUntil: make(map[group.Member]time.Duration)}
}

// Run requests updates until ctx is cancelled, and returns its error.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		m, ok := f.choose()
		if !ok || !f.request(ctx, m) {
			loop.Sleep(ctx, requestPause)
		}
	}
	return ctx.Err()
}

// Informed reports whether this VM has recently received a useful answer from a relay or
// the coordinator.
func (f *Follower) Informed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.informedAt != 0 && f.cfg.Now()-f.informedAt < informedTTL
}

// InformedOfMembers is like [Follower.Informed], but for the member list: it excludes a VM
// that follows the coordinator directly, because the coordinator does not report that
// another one has replaced it.
func (f *Follower) InformedOfMembers() bool {
	_, ok := f.RelayAddress()
	return ok
}

// IsRelay reports whether other VMs follow this one, which itself follows the coordinator.
func (f *Follower) IsRelay() bool {
	return IsRelay(f.cfg.Self, f.cfg.MemberList())
}

// RelayAddress returns the address of the relay that currently keeps this VM up to date,
// false if none does. The coordinator does not count as a relay.
func (f *Follower) RelayAddress() (address string, ok bool) {
	f.mu.Lock()
	source := f.source
	f.mu.Unlock()
	if !f.Informed() || source == "" || source.VM() == f.cfg.MemberList().Coordinator.VM() {
		return "", false
	}
	return source.Address(), true
}

// UpdateExpected reports whether this VM has just started and is likely to get an update
// from a relay soon: no request has failed yet, and no relay was busy. In a small fleet each VM reads the store
// itself, which is faster.
func (f *Follower) UpdateExpected() bool {
	members := f.cfg.MemberList()
	f.mu.Lock()
	readsStore := f.readsStore
	f.mu.Unlock()
	follows := len(members.Members) == 0 || len(members.Members) > directMaxVMs && members.Coordinator.VM() != f.cfg.Self.VM()
	return f.cfg.Now()-f.startedAt < startupWait && follows && !readsStore
}

// choose returns the preferred VM to follow that is not excluded after a failure.
func (f *Follower) choose() (group.Member, bool) {
	now := f.cfg.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range Sources(f.cfg.Self, f.cfg.MemberList()) {
		if now >= f.excludedUntil[m] {
			return m, true
		}
	}
	return "", false
}

// request sends one request to a VM, and reports whether its answer was useful.
func (f *Follower) request(ctx context.Context, m group.Member) bool {
	in := f.cfg.NewRequest()
	in.Mark, in.VM = f.lastMark, f.cfg.Self.VM()
	var out News
	requestedAt := f.cfg.Now()
	callCtx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	err := f.cfg.Peers.CallReceiving(callCtx, m.Address(), ServiceName+".Follow", in, &out, answerSilence)
	if err == nil {
		err = out.Validate()
	}
	took := f.cfg.Now() - requestedAt
	f.lastMark = out.Mark
	useful := err == nil && f.cfg.ApplyNews(ctx, &out, requestedAt+out.Held)
	f.observe(&out, useful, took, err)
	if out.Busy {
		f.noteBusy()
		if !useful {
			return false // The relay works, and has no time for this VM yet.
		}
	}
	backoff := failedBackoff
	if err == nil && (out.DirectoryAge == UnknownAge || out.ConfigAge == UnknownAge) {
		backoff = startingBackoff
	}
	f.recordResult(m, useful, backoff, err)
	return useful
}

func (f *Follower) noteBusy() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readsStore = true
}

// observe reports the outcome of a request to OnAnswer.
func (f *Follower) observe(out *News, useful bool, took time.Duration, err error) {
	if f.cfg.OnAnswer == nil {
		return
	}
	o := Stale
	switch {
	case err != nil:
		o = Failed
	case out.Busy:
		o = Busy
	case useful:
		o = Useful
	}
	f.cfg.OnAnswer(o, out.size(), max(took-out.Held, 0))
}

// recordResult updates which VMs may be used, and records when the source changes or fails.
func (f *Follower) recordResult(m group.Member, useful bool, backoff time.Duration, err error) {
	now := f.cfg.Now()
	f.mu.Lock()
	before := f.source
	if useful {
		f.informedAt, f.source = now, m
		delete(f.excludedUntil, m)
	} else {
		f.source = ""
		f.excludedUntil[m] = now + backoff
		f.readsStore = f.readsStore || err != nil
	}
	f.mu.Unlock()
	switch {
	case useful && before != m:
		f.cfg.Events.Record(event.RelayFound, timeline.Fields{"vm": string(m.VM())})
	case err != nil:
		f.cfg.Events.Record(event.RelayLost, timeline.Fields{"vm": string(m.VM()), "reason": err.Error()})
	case !useful && before != "":
		f.cfg.Events.Record(event.RelayLost, timeline.Fields{"vm": string(m.VM()), "reason": "its state is older than a read of the store would be"})
	}
}
