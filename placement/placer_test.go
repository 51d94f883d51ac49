package placement

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/fleet"
)

// allModelsServed reports whether every model has a ready copy on an engine.
func (s *simulation) allModelsServed() bool {
	for i := range modelCount {
		if s.servedCopies(modelID(i)) == 0 {
			return false
		}
	}
	return true
}

// Engines that restart empty during an outage of the log are loaded again from the
// accepted placement, without new records.
func TestRestartedEnginesAreReloadedDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSimulation(nil)
		s.faultsOff = true
		s.runRounds(10)
		is.True(s.allModelsServed())
		records := len(s.log)
		s.logDown = true
		for _, id := range s.engineIDs() {
			s.engines[id].engine.Restart()
		}
		is.True(!s.allModelsServed())
		s.runRounds(4)
		is.True(s.allModelsServed())
		is.Equal(len(s.log), records)
	})
}

// During an outage of the log, VMs that do not hold the claim send the orders if
// the placer does not answer.
func TestOtherVMsSendOrdersDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSimulation(nil)
		s.faultsOff = true
		s.runRounds(10)
		s.logDown = true
		for _, id := range s.engineIDs() {
			s.engines[id].engine.Restart()
		}
		for _, v := range s.vms {
			v.restart()
			v.placer.cfg.VMs = noVMs{}
		}
		s.runRounds(4)
		is.True(s.allModelsServed())
	})
}

// noVMs reports every VM as not answering.
type noVMs struct{}

func (noVMs) Answers(fleet.VMID) bool { return false }

// The permits of all data centres together stay within the rate and the number of
// concurrent weight loads of the fleet.
func TestPermitsStayWithinFleetLimits(t *testing.T) {
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
		is.True(taken > fleetWeightLoadsPerSecond*seconds*9/10) // at least 90% of the limit is usable
		atOnce := 0
		for range seconds {
			for _, p := range permits {
				if _, err := p.Acquire(t.Context(), PermitWeightLoad); err == nil {
					atOnce++
				}
			}
			time.Sleep(2 * time.Second)
		}
		is.True(atOnce <= fleetConcurrentWeightLoads)
	})
}

// A steady demand is measured within 5%, and halves within a half-life after it
// has ended.
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
