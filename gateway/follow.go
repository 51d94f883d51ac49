package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"toucanfall/catalogue"
	"toucanfall/event"
	"toucanfall/internal/loop"
	"toucanfall/platform"
	"toucanfall/relay"
	"toucanfall/timeline"
)

// Times of asking the store for the configuration.
const (
	// storeRetry is the pause after a failed question. It doubles with each one
	// that fails, up to slowRetry: the store prices refused calls too, and may turn
	// some VMs away for long.
	storeRetry = 100 * time.Millisecond
	slowRetry  = 800 * time.Millisecond
	// soonWait is how long the answer to a question is waited for that the store is to
	// answer at once.
	soonWait = 300 * time.Millisecond
	// toldCheck is the least pause until it is looked again whether a relay still tells.
	toldCheck = 10 * time.Millisecond
)

// configTimes are worked out from the bound within which a configuration has to be in
// force, so that the answer to one question may be lost.
type configTimes struct {
	// wait is how long the store keeps a question for a newer configuration, lead the
	// same at the coordinator. Each answer proves the one in force.
	wait, lead time.Duration
	// margin is how much later than that a question is given up and asked on a new
	// connection.
	margin time.Duration
	// told is the age of the proof at which a VM that a relay tells asks the store, relay
	// the same at a relay, before those that follow it would.
	told, relay time.Duration
}

// Parts of the bound of a configuration, in hundredths. A proof counts from its question,
// so at the coordinator it is up to twice as old as the store keeps that, and a little
// older at the VMs that relays tell.
const (
	leadPart     = 20
	waitPart     = 35
	marginPart   = 30
	relayAgePart = 45
	toldPart     = 60
)

// newConfigTimes returns the times for a bound. Withdrawn keys have their own.
func newConfigTimes(within, revoke time.Duration) configTimes {
	bound := min(within, revoke/2) / 100
	return configTimes{wait: waitPart * bound, lead: leadPart * bound, margin: marginPart * bound, told: toldPart * bound, relay: relayAgePart * bound}
}

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
	times  configTimes
	// told reports whether a relay tells this VM all the time, awaited whether one is
	// likely to, to a VM that has just started; leads whether this VM is the coordinator,
	// relays whether others follow it besides.
	told, awaited, leads, relays func() bool
	// learned is called after each answer.
	learned func()
	// soon is set for a question that the store is to answer at once, because a relay
	// has told until now.
	soon bool
	// failures counts the questions that have failed since the last answer.
	failures int
}

// wait returns how long the store is to keep the next question, and when that is given
// up.
func (f *configFollower) wait() (keep, giveUp time.Duration) {
	switch {
	case f.soon, f.failures > 1:
		return 0, soonWait
	case f.leads(), f.relays():
		return f.times.lead, f.times.lead + f.times.margin
	}
	return f.times.wait, f.times.wait + f.times.margin
}

// spared returns for how long the store need not be asked, because a relay tells.
func (f *configFollower) spared() time.Duration {
	cfg, proved := f.holder.Confirmed()
	switch {
	case cfg == nil && !f.told() && f.awaited():
		return toldCheck
	case proved == 0 || !f.told() || f.leads():
		return 0
	}
	limit := f.times.told
	if f.relays() {
		limit = f.times.relay
	}
	left := limit - (f.now() - proved)
	if left <= 0 {
		return 0
	}
	return max(left, toldCheck)
}

// run follows the configuration until ctx ends.
func (f *configFollower) run(ctx context.Context) error {
	var cursor platform.Cursor
	for ctx.Err() == nil {
		if d := f.spared(); d > 0 {
			f.soon = true
			loop.Sleep(ctx, d)
			continue
		}
		next, err := f.turn(ctx, cursor)
		f.soon = false
		if ctx.Err() != nil {
			break
		}
		f.note(err)
		if err != nil {
			loop.Sleep(ctx, f.retryPause())
			continue
		}
		cursor = next
	}
	return ctx.Err()
}

// retryPause returns the pause after a question that failed. By chance it is up to a half
// longer, so that VMs which ask at the same time do not go on doing so.
func (f *configFollower) retryPause() time.Duration {
	d := min(storeRetry<<min(f.failures-1, maxDoublings), slowRetry)
	return d + rand.N(d/2)
}

// turn asks once, and takes over what is newer.
func (f *configFollower) turn(ctx context.Context, from platform.Cursor) (platform.Cursor, error) {
	asked := f.now()
	keep, giveUp := f.wait()
	ctx, cancel := context.WithTimeout(ctx, giveUp)
	defer cancel()
	cfg, next, complete, err := f.store.ReadConfig(ctx, from, keep)
	if err != nil {
		return from, err
	}
	if cfg != nil {
		f.apply(cfg)
	}
	if complete {
		f.holder.Confirm(asked)
	}
	f.learned()
	return next, nil
}

func (f *configFollower) apply(cfg *catalogue.Config) {
	if f.holder.Apply(cfg) {
		f.events.Record(event.ConfigApplied, timeline.Fields{"version": fmt.Sprint(cfg.Version), "limits": limitsOf(cfg)})
	}
}

// learn takes over what a relay tells that looked at a time, and reports whether that is
// of use.
func (f *configFollower) learn(n *relay.News, looked time.Duration) bool {
	if n.ConfigAge == relay.UnknownAge {
		return false
	}
	if err := f.take(n); err != nil {
		f.events.Record(event.GatewayFault, timeline.Fields{"reason": fmt.Sprintf("configuration %d of a relay: %v", n.Config, err)})
		return false
	}
	f.holder.ConfirmVersion(n.Config, looked-n.ConfigAge)
	f.learned()
	return n.ConfigAge < 2*f.times.told
}

// take takes over the configuration that a relay tells, if it does.
func (f *configFollower) take(n *relay.News) error {
	b, err := n.Configuration()
	if err != nil || b == nil {
		return err
	}
	cfg, err := platform.DecodeConfig(b)
	if err != nil {
		return err
	}
	f.apply(cfg)
	return nil
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
