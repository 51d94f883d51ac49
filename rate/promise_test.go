package rate

import (
	"testing"
	"time"
)

var testLimit = Limit{Rate: 100 * One, Burst: 1000 * One}

// TestPromiseRateAcrossFleet runs the failures that the design covers. The
// simulation fails a case as soon as active shares overlap or the admissions in
// an interval exceed the limit. Each case takes every token that it can.
func TestPromiseRateAcrossFleet(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(s *simulation)
	}{
		{"a VM joins while another is paused", func(s *simulation) {
			s.processes[0].paused = true
			s.startVM("dc-0")
			s.drainEverySecond(20)
			s.processes[0].paused = false
			s.drainEverySecond(60)
		}},
		{"a paused VM is taken over and wakes", func(s *simulation) {
			n := s.processes[0]
			n.paused = true
			delete(s.vmList, n.vm)
			s.runSeconds(60)
			n.paused = false
			s.drain(n)
			s.drainEverySecond(60)
		}},
		{"a VM pauses in the middle of a read, is taken over and wakes", func(s *simulation) {
			n := s.processes[0]
			s.beginRead(n)
			n.paused = true
			delete(s.vmList, n.vm)
			s.runSeconds(60)
			n.paused = false
			s.endRead(n)
			s.applyAndPlan(n)
			s.drainEverySecond(60)
		}},
		{"two VMs cut off from the platform confirm each other while a third takes them over", func(s *simulation) {
			s.cutOffDataCentreExcept(s.processes[0])
			s.drainEverySecond(120)
			s.runRounds(240, 10*time.Second)
			s.drainEverySecond(60)
		}},
		{"a VM cut off from the platform is confirmed by the one that takes it over", func(s *simulation) {
			s.processes[0].cutOff = true
			delete(s.vmList, s.processes[0].vm)
			s.drainEverySecond(120)
		}},
		{"the last VM of a data centre keeps refilling its buckets until another joins", func(s *simulation) {
			s.leave(s.processes[1])
			s.leave(s.processes[2])
			s.runSeconds(20)
			s.startVM("dc-0")
			s.runSeconds(10)
			s.processes[0].isolated = true
			delete(s.vmList, s.processes[0].vm)
			s.drainEverySecond(120)
		}},
		{"loans are under way while a VM joins and one leaves", func(s *simulation) {
			s.startVM("dc-0")
			for range 40 {
				s.borrowAll()
				s.advanceTime(100 * time.Millisecond)
				s.runRoundOnAll()
				s.drainAll()
			}
			s.leave(s.processes[1])
			for range 40 {
				s.borrowAll()
				s.advanceTime(100 * time.Millisecond)
				s.runRoundOnAll()
				s.drainAll()
			}
		}},
		{"the rate is lowered while a data centre is cut off", func(s *simulation) {
			s.setCutOff("dc-1", true)
			s.setLimit(Limit{Rate: 10 * One, Burst: 100 * One})
			s.drainEverySecond(20)
			s.setCutOff("dc-1", false)
			s.runSeconds(20)
			s.drainEverySecond(20)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(t, 3, testLimit)
			s.runSeconds(10)
			s.createTeam()
			s.runSeconds(60)
			c.play(s)
			s.runSeconds(30)
			s.drainAll()
		})
	}
}

// TestCutDataCentreKeepsItsShare checks that the VMs of a data centre that is cut
// off from the platform keep their shares by confirming one another.
func TestCutDataCentreKeepsItsShare(t *testing.T) {
	s := newSimulation(t, 3, testLimit)
	s.createTeam()
	s.runSeconds(60)
	s.setCutOff("dc-1", true)
	s.runSeconds(600)
	for _, n := range s.processes {
		if got := n.buckets.ActiveShare(s.now, testKey); got.Rate < testLimit.Rate/7 {
			t.Fatalf("%s has an active share of %d per second", n.vm, got.Rate)
		}
	}
}

// TestTakeoverReassignsShare checks that the share of a failed VM is active
// again within a minute on the other VMs of its data centre.
func TestTakeoverReassignsShare(t *testing.T) {
	s := newSimulation(t, 3, testLimit)
	s.createTeam()
	s.runSeconds(60)
	s.kill(s.processes[0])
	delete(s.vmList, s.processes[0].vm)
	s.runSeconds(60)
	var sum Amount
	for _, n := range s.processes {
		if n.alive {
			sum += n.buckets.ActiveShare(s.now, testKey).Rate
		}
	}
	if sum < testLimit.Rate-10 {
		t.Fatalf("the active shares of the fleet add up to %d per second", sum)
	}
}

// TestNewTeamIsNotFilledTwice creates a team while one VM is paused. Another VM
// spends its full share of the new team and leaves; the paused VM must not treat
// that share as unspent when it resumes.
func TestNewTeamIsNotFilledTwice(t *testing.T) {
	s := newSimulation(t, 3, testLimit)
	s.runSeconds(10)
	s.processes[0].paused = true
	s.createTeam()
	s.runRounds(2, 50*time.Millisecond)
	if got := s.processes[1].buckets.Level(s.now, testKey); got < testLimit.Burst/7 {
		t.Fatalf("the bucket of a new team starts at %d", got)
	}
	s.drainAll()
	s.leave(s.processes[1])
	s.runRounds(2, 50*time.Millisecond)
	s.processes[0].paused = false
	s.runRounds(1, 50*time.Millisecond)
	s.drainAll()
}

func (s *simulation) drainEverySecond(seconds int) {
	for range seconds {
		s.runSeconds(1)
		s.drainAll()
	}
}

func (s *simulation) runRoundOnAll() {
	for _, n := range s.processes {
		s.runRound(n)
	}
	s.checkShares()
}

// borrowAll lets one VM borrow all tokens of the others, and admit them as late as
// the loans allow.
func (s *simulation) borrowAll() {
	n := s.processes[4]
	s.borrow(n, 1000*One)
	s.deliverFirst(len(s.inFlight))
	s.deliverFirst(len(s.inFlight))
	s.checkShares()
	if len(n.acquisitions) >= 10 {
		s.finishAll(n)
	}
}
