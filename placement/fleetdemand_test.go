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
type onePeer struct {
	silent atomic.Bool
}

// Demands returns the demand of the VM.
func (p *onePeer) Demands(context.Context) map[fleet.VMID][]placement.ModelDemand {
	if p.silent.Load() {
		return nil
	}
	return map[fleet.VMID][]placement.ModelDemand{"b": {{Model: "m", Tokens: 100}}}
}

func tokensOf(models []placement.ModelDemand) fleet.TokensPerSecond {
	var n fleet.TokensPerSecond
	for _, m := range models {
		n += m.Tokens
	}
	return n
}

func TestDemandOfOtherVMsCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &onePeer{}
		d := placement.NewDataCentreDemand(placement.NewMeter(), p)
		defer d.Close()
		is.Equal(tokensOf(d.Demand()), fleet.TokensPerSecond(0)) // nobody has answered yet
		synctest.Wait()
		is.Equal(tokensOf(d.Demand()), fleet.TokensPerSecond(100))
		p.silent.Store(true)
		time.Sleep(30 * time.Second)
		is.Equal(tokensOf(d.Demand()), fleet.TokensPerSecond(100)) // a silent VM counts for a while
		time.Sleep(time.Minute)
		is.Equal(tokensOf(d.Demand()), fleet.TokensPerSecond(0))
	})
}
