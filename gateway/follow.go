package gateway

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"toucanfall/catalogue"
	"toucanfall/event"
	"toucanfall/internal/loop"
	"toucanfall/platform"
	"toucanfall/timeline"
)

// Times of reading the store.
const (
	// configWait is how long the store keeps a question for a newer
	// configuration. Each answer proves the one in force, so that its proof is
	// at most twice as old, well within the time in which keys are withdrawn. One
	// that is lost is asked for again well within the 2 s in which a configuration
	// has to be in force.
	configWait = 700 * time.Millisecond
	// leaderWait is the same at the coordinator, whose proof others go by.
	leaderWait = 600 * time.Millisecond
	// vouchedWait is the same while the coordinator vouches for the configuration
	// in force: the question is asked for what changes only.
	vouchedWait = 10 * time.Second
	// configMargin is how much later than that a question is given up and asked
	// on a new connection.
	configMargin = 600 * time.Millisecond
	// vouchCheck is how often it is checked that the coordinator still vouches.
	vouchCheck = 200 * time.Millisecond
	// storeRetry is the pause after a failed question. It doubles with each one
	// that fails, up to slowRetry: the store prices refused calls too, and may turn
	// some VMs away for long.
	storeRetry = 100 * time.Millisecond
	slowRetry  = 800 * time.Millisecond
)

// ConfigStore gives the operators' configuration.
type ConfigStore interface {
	ReadConfig(ctx context.Context, from platform.Cursor, wait time.Duration) (*catalogue.Config, platform.Cursor, bool, error)
}

// configFollower keeps the catalogue up to date.
type configFollower struct {
	store  ConfigStore
	holder *catalogue.Holder
	now    func() time.Duration
	events *timeline.Recorder
	// vouched tells whether the coordinator vouches for the configuration in
	// force, leads whether this VM is the coordinator.
	vouched func() bool
	leads   func() bool
	// hurried is set after the coordinator stopped vouching.
	hurried bool
	// failures counts the questions that have failed since the last answer.
	failures int
}

// wait returns how long the store is to keep the next question.
func (f *configFollower) wait() time.Duration {
	switch {
	case f.hurried:
		f.hurried = false
		return 0
	case f.vouched():
		return vouchedWait
	case f.leads():
		return leaderWait
	}
	return configWait
}

// run follows the configuration until ctx ends.
func (f *configFollower) run(ctx context.Context) error {
	var cursor platform.Cursor
	for ctx.Err() == nil {
		next, err := f.turn(ctx, cursor)
		if ctx.Err() != nil {
			break
		}
		f.note(err)
		if err != nil {
			loop.Pause(ctx, min(storeRetry<<min(f.failures-1, maxDoublings), slowRetry))
			continue
		}
		cursor = next
	}
	return ctx.Err()
}

// turn asks once, and takes over what is newer.
func (f *configFollower) turn(ctx context.Context, from platform.Cursor) (platform.Cursor, error) {
	asked, wait := f.now(), f.wait()
	ctx, cancel := context.WithTimeout(ctx, wait+configMargin)
	defer cancel()
	if wait == vouchedWait {
		go f.whileVouched(ctx, cancel)
	}
	cfg, next, complete, err := f.store.ReadConfig(ctx, from, wait)
	if wait == vouchedWait && errors.Is(ctx.Err(), context.Canceled) {
		f.hurried = true
		return from, nil // Nobody vouches any more: it is asked again at once.
	}
	if err != nil {
		return from, err
	}
	if cfg != nil && f.holder.Apply(cfg) {
		f.events.Record(event.ConfigApplied, timeline.Fields{"version": fmt.Sprint(cfg.Version), "limits": limitsOf(cfg)})
	}
	if complete {
		f.holder.Prove(asked)
	}
	return next, nil
}

// whileVouched cancels a long question once the coordinator no longer vouches for
// the configuration in force.
func (f *configFollower) whileVouched(ctx context.Context, cancel func()) {
	t := time.NewTicker(vouchCheck)
	defer t.Stop()
	for f.vouched() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
	cancel()
}

// limitsOf lists the limits of the teams for the log.
func limitsOf(cfg *catalogue.Config) string {
	var b strings.Builder
	for _, t := range cfg.Teams {
		fmt.Fprintf(&b, "%s:%g+%d ", t.ID, float64(t.Rate), t.Burst)
	}
	return strings.TrimSpace(b.String())
}

// note records when the store is lost and found.
func (f *configFollower) note(err error) {
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

// maxDoublings keeps the pause within its type; slowRetry bounds it before.
const maxDoublings = 6
