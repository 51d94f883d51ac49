package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"sync/atomic"
	"time"

	"toucanfall/catalogue"
	"toucanfall/event"
	"toucanfall/internal/loop"
	"toucanfall/platform"
	"toucanfall/relay"
	"toucanfall/timeline"
)

// Times of polling the store for the configuration.
const (
	// minRetryPause is the pause after a failed poll. It doubles with each further failure
	// up to maxRetryPause: the store also charges for the calls it rejects, and may reject
	// some VMs for a long time.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// immediateTimeout bounds a poll that the store answers without waiting for a change, or is
	// the time after which it is repeated. After several failures the bound doubles up to
	// maxImmediateTimeout: the smallest VMs receive 1.2 MB a second, and a configuration can have
	// several hundred kB.
	immediateTimeout    = 300 * time.Millisecond
	maxImmediateTimeout = 1200 * time.Millisecond
	// maxImmediateReads is how often a poll is made that the store answers without waiting. A VM
	// whose source has lost the store polls at informedAgePercent of the bound. Two reads
	// without an answer then leave 0.2 s of the smallest bound, 2 s. Polls one after the other,
	// of which the second may wait for a change, took 3.5 s of 3 s.
	maxImmediateReads = 3
	// relayPollInterval is the shortest pause between checks whether a relay still keeps
	// this VM up to date.
	relayPollInterval = 10 * time.Millisecond
)

// configTimes are derived from the bound within which a configuration must be applied, so
// that the answer to one poll may be lost.
type configTimes struct {
	// wait is how long the store holds a poll until there is a newer configuration,
	// coordinatorWait the same on the coordinator and on relays. Each answer confirms the
	// current configuration.
	wait, coordinatorWait time.Duration
	// margin is how much later than that a poll is cancelled and repeated on a new
	// connection.
	margin time.Duration
	// informedMaxAge is the age of the last confirmation at which a VM that a relay keeps
	// up to date polls the store itself. relayMaxAge is the same on a relay, which polls
	// before its followers would.
	informedMaxAge, relayMaxAge time.Duration
}

// Times in percent of the bound of a configuration. A confirmation counts from the start of
// its poll, so on the coordinator it is up to twice as old as the store holds the poll, and
// a little older on the VMs that relays keep up to date.
const (
	coordinatorWaitPercent = 20
	waitPercent            = 35
	marginPercent          = 30
	relayAgePercent        = 45
	informedAgePercent     = 60
)

// newConfigTimes returns the times for the bound configWithin on new configurations. Half
// of revokeWithin, the bound on withdrawn keys, applies where it is shorter.
func newConfigTimes(configWithin, revokeWithin time.Duration) configTimes {
	bound := min(configWithin, revokeWithin/2) / 100
	return configTimes{wait: waitPercent * bound, coordinatorWait: coordinatorWaitPercent * bound, margin: marginPercent * bound, informedMaxAge: informedAgePercent * bound, relayMaxAge: relayAgePercent * bound}
}

// ConfigStore reads the operators' configuration and evacuations. ReadConfig waits up to wait
// for a record newer than the cursor from. The bool reports whether the store held nothing
// newer when it answered. The evacuations are valid even if it fails.
type ConfigStore interface {
	ReadConfig(ctx context.Context, from platform.Cursor, wait time.Duration) (catalogue.Update, platform.Cursor, bool, error)
}

// configFollower keeps the catalogue up to date. Fields that change are used only by the
// goroutine of run.
type configFollower struct {
	store  ConfigStore
	holder *catalogue.Holder
	now    func() time.Duration
	events *timeline.Recorder
	times  configTimes
	// informed reports whether a relay currently keeps this VM up to date, updateExpected
	// whether a VM that has just started is likely to get an update from a relay soon;
	// isCoordinator whether this VM is the coordinator, isRelay whether other VMs follow it
	// although it is not.
	informed, updateExpected, isCoordinator, isRelay func() bool
	// onUpdate is called after each answer of the store and each update from a relay.
	onUpdate func()
	// evacuationsBounded is set if there is a bound within which evacuations must take effect.
	// The VM then reads the store itself while its relay runs an earlier version, which knows
	// none.
	evacuationsBounded bool
	// immediate is set for a poll that the store is to answer without waiting, because a
	// relay has kept this VM up to date until now.
	immediate bool
	// failures counts the failed polls since the last answer.
	failures int
	// relayed is set when a relay has brought a configuration that this VM has not read from
	// the store itself.
	relayed atomic.Bool
	// sourceVersion is the version in the last news of a relay, 0 if it had none. passedOnAt is when this VM
	// last passed its own on. Both are used only by the goroutine that follows relays.
	sourceVersion catalogue.Version
	passedOnAt    time.Duration
}

// passOnInterval is the least time between two requests to relays with the configuration of this VM.
const passOnInterval = time.Second

// versionBehind returns the version of the relay if this VM is to pass on its own, which is higher: the relay may
// have started while the restored store held only an older one.
func (f *configFollower) versionBehind() (catalogue.Version, bool) {
	version, _, _ := f.holder.ConfirmedVersion()
	now := f.now()
	if f.sourceVersion == 0 || f.sourceVersion >= version || f.passedOnAt != 0 && now-f.passedOnAt < passOnInterval {
		return 0, false
	}
	f.passedOnAt = now
	return f.sourceVersion, true
}

// repeatsReads reports whether the next poll is repeated while it has no answer: a relay has kept this
// VM up to date until now, or the last poll failed. Further failed polls are not repeated, as the store
// is out of contact.
func (f *configFollower) repeatsReads() bool {
	return f.immediate && f.failures == 0 || f.failures == 1
}

// pollTimes returns how long the store is to hold the next poll, and the timeout of that
// poll.
func (f *configFollower) pollTimes() (wait, timeout time.Duration) {
	switch {
	case f.repeatsReads():
		return 0, maxImmediateReads * immediateTimeout
	case f.failures > 1:
		return 0, f.doubled(immediateTimeout, maxImmediateTimeout)
	case f.isCoordinator(), f.isRelay():
		return f.times.coordinatorWait, f.times.coordinatorWait + f.times.margin
	}
	return f.times.wait, f.times.wait + f.times.margin
}

// skipFor returns how long the store need not be polled because a relay keeps this VM up to
// date, 0 if it has to be polled now.
func (f *configFollower) skipFor() time.Duration {
	cfg, confirmedAt := f.holder.Confirmed()
	switch {
	case cfg == nil && !f.informed() && f.updateExpected():
		return relayPollInterval
	case confirmedAt == 0 || !f.informed() || f.isCoordinator():
		return 0
	}
	limit := f.times.informedMaxAge
	if f.isRelay() {
		limit = f.times.relayMaxAge
	}
	remaining := limit - (f.now() - confirmedAt)
	if remaining <= 0 {
		return 0
	}
	return max(remaining, relayPollInterval)
}

// run keeps the catalogue up to date until ctx is cancelled, and returns its error.
func (f *configFollower) run(ctx context.Context) error {
	var cursor platform.Cursor
	for ctx.Err() == nil {
		f.holder.ExpireEvacuations()
		if d := f.skipFor(); d > 0 {
			f.immediate = true
			loop.Sleep(ctx, d)
			continue
		}
		if f.relayed.Swap(false) {
			// The records after the cursor hold every version that relays have brought since.
			// On a slow link they take longer than the poll may; the snapshot holds one version.
			cursor = platform.Cursor{}
		}
		next, err := f.poll(ctx, cursor)
		f.immediate = false
		if ctx.Err() != nil {
			break
		}
		f.recordResult(err)
		if err != nil {
			loop.Sleep(ctx, f.retryPause())
			continue
		}
		cursor = next
	}
	return ctx.Err()
}

// doubled returns a time that doubles with each failed poll after the first, up to limit.
func (f *configFollower) doubled(first, limit time.Duration) time.Duration {
	return min(first<<min(f.failures-1, maxDoublings), limit)
}

// retryPause returns the pause after a failed poll, with up to 50 % of jitter so that VMs
// that poll at the same time do not stay in step.
func (f *configFollower) retryPause() time.Duration {
	d := f.doubled(minRetryPause, maxRetryPause)
	return d + rand.N(d/2)
}

// poll polls the store once, applies a newer configuration and returns the next cursor.
func (f *configFollower) poll(ctx context.Context, from platform.Cursor) (platform.Cursor, error) {
	wait, timeout := f.pollTimes()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	read := f.read
	if f.repeatsReads() {
		read = f.readRepeatedly
	}
	r := read(ctx, from, wait)
	f.holder.ApplyEvacuations(r.update.Evacuations)
	if r.update.Malformed != nil {
		f.events.Record(event.EntryOdd, timeline.Fields{"reason": r.update.Malformed.Error()})
	}
	if r.err != nil {
		return from, r.err
	}
	if r.update.Config != nil {
		f.apply(r.update.Config)
	}
	if r.complete {
		f.holder.Confirm(r.requestedAt)
	}
	f.onUpdate()
	return r.next, nil
}

// configRead is the outcome of a read of the store.
type configRead struct {
	requestedAt time.Duration
	update      catalogue.Update
	next        platform.Cursor
	complete    bool
	err         error
}

func (f *configFollower) read(ctx context.Context, from platform.Cursor, wait time.Duration) configRead {
	r := configRead{requestedAt: f.now()}
	r.update, r.next, r.complete, r.err = f.store.ReadConfig(ctx, from, wait)
	return r
}

// readRepeatedly reads the store, and again on another connection after each immediateTimeout without an
// answer, up to maxImmediateReads times in all. It returns the first answer, or the last error if
// all reads that were made have failed. Reads without an answer go on, so that a slow store is read too.
func (f *configFollower) readRepeatedly(ctx context.Context, from platform.Cursor, wait time.Duration) configRead {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan configRead, maxImmediateReads)
	start := func() { go func() { results <- f.read(ctx, from, wait) }() }
	repeat := time.NewTicker(immediateTimeout)
	defer repeat.Stop()
	start()
	for made, failed := 1, 0; ; {
		select {
		case r := <-results:
			if r.err != nil {
				failed++
			}
			if r.err == nil || failed == made {
				return r
			}
		case <-repeat.C:
			if made < maxImmediateReads {
				made++
				start()
			}
		}
	}
}

func (f *configFollower) apply(cfg *catalogue.Config) {
	if f.holder.Apply(cfg) {
		f.events.Record(event.ConfigApplied, timeline.Fields{"version": fmt.Sprint(cfg.Version), "limits": limitsOf(cfg)})
		return
	}
	if active, _ := f.holder.Confirmed(); active.Version == cfg.Version && !equalDocuments(active.Document, cfg.Document) {
		f.events.Record(event.ConfigConflict, timeline.Fields{"version": fmt.Sprint(cfg.Version)})
	}
}

// equalDocuments reports whether two documents are equal JSON values. A version that was lost is written again,
// and may be formatted otherwise then.
func equalDocuments(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}

// applyNews applies the news of a relay that took them from its state at checkedAt or
// later. It reports whether the relay is useful: its confirmation must be younger than
// twice informedMaxAge.
func (f *configFollower) applyNews(n *relay.News, checkedAt time.Duration) bool {
	if n.ConfigAge == relay.UnknownAge {
		return false
	}
	useful := n.ConfigAge < 2*f.times.informedMaxAge
	if f.evacuationsBounded && !n.HasEvacuations {
		return useful // Nothing of the topic is confirmed, so this VM reads it itself.
	}
	f.sourceVersion = n.Config
	former := n.HasEvacuations && n.EvacuationsAt.Era() < f.holder.Evacuations().Position.Era()
	if n.HasEvacuations {
		f.holder.AdoptEvacuations(catalogue.Evacuations{Known: true, Position: n.EvacuationsAt, DataCentres: n.Evacuated})
	}
	if err := f.applyDocument(n); err != nil {
		f.events.Record(event.GatewayFault, timeline.Fields{"reason": fmt.Sprintf("configuration %d of a relay: %v", n.Config, err)})
		return false
	}
	if former {
		return false // The relay has not read the topic since the store was restored.
	}
	f.holder.ConfirmVersion(n.Config, checkedAt-n.ConfigAge)
	f.onUpdate()
	return useful
}

// applyDocument applies the configuration in the news of a relay, if there is one.
func (f *configFollower) applyDocument(n *relay.News) error {
	b, err := n.Configuration()
	if err != nil || b == nil {
		return err
	}
	return f.applyRelayed(b)
}

// applyRelayed applies a configuration document of another VM.
func (f *configFollower) applyRelayed(b []byte) error {
	cfg, err := platform.DecodeConfig(b)
	if err != nil {
		return err
	}
	f.relayed.Store(true)
	f.apply(cfg)
	return nil
}

// limitsOf formats the rate and burst of each team for the log.
func limitsOf(cfg *catalogue.Config) string {
	var b strings.Builder
	for _, t := range cfg.Teams {
		fmt.Fprintf(&b, "%s:%g+%d ", t.ID, float64(t.Rate), t.Burst)
	}
	return strings.TrimSpace(b.String())
}

// recordResult counts failed polls, and records when the store stops and resumes answering.
func (f *configFollower) recordResult(err error) {
	before := f.failures
	if err == nil {
		f.failures = 0
	} else {
		f.failures++
	}
	switch {
	case err != nil && before == 0:
		f.events.Record(event.StoreLost, timeline.Fields{"reason": err.Error()})
	case err == nil && before > 0:
		f.events.Record(event.StoreFound, nil)
	}
}

// maxDoublings keeps the shift of the retry pause from overflowing; maxRetryPause limits
// the pause earlier.
const maxDoublings = 6
