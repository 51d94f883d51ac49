package placement_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/fleet"
	"toucanfall/placement"
)

// onePeer is one other VM, which may fall silent.
type fakePeer struct {
	silent atomic.Bool
}

// Demands returns the demand of the VM.
func (p *fakePeer) Demands(context.Context) map[fleet.VMID][]placement.ModelDemand {
	if p.silent.Load() {
		return nil
	}
	return map[fleet.VMID][]placement.ModelDemand{"b": {{Model: "m", Tokens: 100}}}
}

func totalTokens(models []placement.ModelDemand) fleet.TokensPerSecond {
	var n fleet.TokensPerSecond
	for _, m := range models {
		n += m.Tokens
	}
	return n
}

func TestDemandOfOtherVMsCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &fakePeer{}
		d := placement.NewFleetDemand(placement.NewMeter(), p)
		defer d.Close()
		is.Equal(totalTokens(d.Demand()), fleet.TokensPerSecond(0)) // nobody has answered yet
		synctest.Wait()
		is.Equal(totalTokens(d.Demand()), fleet.TokensPerSecond(100))
		p.silent.Store(true)
		time.Sleep(30 * time.Second)
		is.Equal(totalTokens(d.Demand()), fleet.TokensPerSecond(100)) // a silent VM counts for a while
		time.Sleep(time.Minute)
		is.Equal(totalTokens(d.Demand()), fleet.TokensPerSecond(0))
	})
}
