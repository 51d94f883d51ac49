package coordinator_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"toucanfall/catalogue"
	"toucanfall/coordinator"
	"toucanfall/fleet"
	"toucanfall/shares"
	"toucanfall/timeline"
)

// While the VM that should be the coordinator says that it is not, a VM keeps its
// whole share of a team's burst, from the first refusal on: nobody else has a
// pool of it.
func TestVMKeepsItsShareWhileThereIsNoCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(spec("a"))
		start := time.Now()
		now := func() time.Duration { return time.Since(start) }
		purse := shares.NewPurse(now)
		purse.Configure(catalogue.NewConfig(1, nil, nil, []*catalogue.Team{{ID: "team", Rate: 50_000, Burst: 50_000}}, catalogue.Limits{}))
		purse.SetShare(0.5, time.Hour)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		c := coordinator.NewClient(coordinator.ClientConfig{
			VM: "vm-1", Own: w.c, Roster: w.roster, Purse: purse, Heard: func(bool) {},
			Size: func() int { return 2 }, Where: func() (fleet.VMID, string, bool) { return "vm-1", "", true },
			Events: timeline.New("test", 16, logger),
		})
		time.AfterFunc(time.Second, func() { w.fence.Store(0) })
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		is.True(errors.Is(c.Run(ctx), context.DeadlineExceeded))
		_, ok := c.Take(t.Context(), &catalogue.Team{ID: "team"}, 24_000)
		is.True(ok)
	})
}
