package placement

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/fleet"
)

// readyEverywhere reports whether every model has a ready copy.
func (w *world) readyEverywhere() bool {
	for i := range modelCount {
		if w.ready(modelID(i)) == 0 {
			return false
		}
	}
	return true
}

func TestEmptyEnginesAreFilledAgainWithoutTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(nil)
		w.calm = true
		w.work(10)
		is.True(w.readyEverywhere())
		records := len(w.log)
		w.down = true
		for _, id := range w.engineIDs() {
			w.engines[id].engine.Restart()
		}
		is.True(!w.readyEverywhere())
		w.work(4)
		is.True(w.readyEverywhere())
		is.Equal(len(w.log), records)
	})
}

func TestAnotherVMSendsOrdersWhileTheLogIsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(nil)
		w.calm = true
		w.work(10)
		w.down = true
		for _, id := range w.engineIDs() {
			w.engines[id].engine.Restart()
		}
		for _, v := range w.vms {
			v.restart()
			v.placer.cfg.VMs = nobody{}
		}
		w.work(4)
		is.True(w.readyEverywhere())
	})
}

// nobody answers.
type nobody struct{}

func (nobody) Answers(fleet.VMID) bool { return false }

func TestPermitsStayWithinTheWeightStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const dataCentres = 3
		var permits []*StaticPermits
		for range dataCentres {
			permits = append(permits, NewStaticPermits(dataCentres))
		}
		taken := 0
		const seconds = 30
		for range seconds * 10 {
			for _, p := range permits {
				release, err := p.Acquire(t.Context(), PermitWeightLoad)
				if err == nil {
					taken++
					time.AfterFunc(time.Second, release)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.True(taken <= fleetWeightLoadsPerSecond*seconds)
		is.True(taken > fleetWeightLoadsPerSecond*seconds*9/10) // the limit is used
		atOnce := 0
		for range seconds {
			for _, p := range permits {
				if _, err := p.Acquire(t.Context(), PermitWeightLoad); err == nil {
					atOnce++
				}
			}
			time.Sleep(2 * time.Second)
		}
		is.True(atOnce <= fleetWeightLoadsAtOnce)
	})
}

func TestDemandDecays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewMeter()
		for range 600 {
			m.Add("m1", 100)
			time.Sleep(time.Second)
		}
		steady := m.Demand()[0].Tokens
		is.True(steady > 95 && steady < 105)
		time.Sleep(demandHalfLife)
		left := m.Demand()[0].Tokens
		is.True(left > steady*0.49 && left < steady*0.51)
	})
}
