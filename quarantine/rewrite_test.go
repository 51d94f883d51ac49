package quarantine

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"toucanfall/fleet"
	"toucanfall/timeline"
)

// lossyLog is a log of reports that can be emptied.
type lossyLog struct {
	mu      sync.Mutex
	reports []Report
}

func (l *lossyLog) WriteReport(_ context.Context, r Report) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports = append(l.reports, r)
	return nil
}

func (l *lossyLog) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports = nil
}

// Guards against crash reports that VMs which start later never learn of because the log came back from a
// copy: their writers write recent ones again, not at the same moment, but not those that an operator lifted.
func TestLostReportsAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		log, start := &lossyLog{}, time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var vms []*Tracker
		for _, id := range []fleet.VMID{"a", "b", "c"} {
			vm := New(Config{VM: id, Log: log, Now: func() time.Duration { return time.Since(start) + time.Hour }, Events: timeline.New("test", 16, logger)})
			vms = append(vms, vm)
			go func() { _ = vm.Run(ctx) }() // It ends with ctx.
		}
		for i, vm := range vms {
			vm.RecordCrash(EngineStart{Upstream: fleet.UpstreamID(vm.cfg.VM), Born: 1}, "r", Origin{}, []fleet.PartID{"fatal"})
			vm.RecordCrash(EngineStart{Upstream: fleet.UpstreamID(vm.cfg.VM), Born: 2}, "r", Origin{}, []fleet.PartID{"lifted"})
			if i > 0 {
				vm.Apply([]Report{NewLift("a", "lifted")})
			}
			time.Sleep(time.Second)
			vm.Apply([]Report{NewLift("a", "lifted")})
		}
		log.lose()
		moments := make(map[time.Duration]bool)
		for _, vm := range vms {
			vm.LogRestored()
			vm.mu.Lock()
			moments[vm.rewriteAt] = true
			vm.mu.Unlock()
		}
		is.Equal(len(moments), 3)
		time.Sleep(rewriteSpread + time.Second)
		log.mu.Lock()
		is.Equal(len(log.reports), 3)
		is.True(!slices.ContainsFunc(log.reports, func(r Report) bool { return r.Parts[0].Part != "fatal" }))
		log.mu.Unlock()
		log.lose()
		time.Sleep(rewriteAge)
		vms[0].LogRestored()
		time.Sleep(rewriteSpread + time.Second)
		log.mu.Lock()
		defer log.mu.Unlock()
		is.Equal(len(log.reports), 0)
	})
}
