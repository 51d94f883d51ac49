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

// fakePeer is one other VM with a demand of 100 tokens per second, which can stop
// answering.
type fakePeer struct {
	silent atomic.Bool
}

// Demands returns the demand of the VM, or nothing while it is silent.
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

// The demand that another VM reported is counted after it has stopped answering,
// but only for a limited time.
func TestDemandIncludesPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &fakePeer{}
		d := placement.NewDataCentreDemand(placement.NewMeter(), p)
		defer d.Close()
		is.Equal(totalTokens(d.Demand()), fleet.TokensPerSecond(0)) // no peer has answered yet
		synctest.Wait()
		is.Equal(totalTokens(d.Demand()), fleet.TokensPerSecond(100))
		p.silent.Store(true)
		time.Sleep(30 * time.Second)
		is.Equal(totalTokens(d.Demand()), fleet.TokensPerSecond(100)) // the last answer is still valid
		time.Sleep(time.Minute)
		is.Equal(totalTokens(d.Demand()), fleet.TokensPerSecond(0))
	})
}
