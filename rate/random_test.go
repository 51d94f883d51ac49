package rate

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanfall/fleet"
	"toucanfall/internal/bubble"
)

// defaultChecks is the number of histories in a test run; -rapid.checks overrides
// it.
const defaultChecks = "1000"

// defaultSteps is the mean number of actions in a history; -rapid.steps overrides
// it.
const defaultSteps = "30"

// TestRandomShares runs random histories of a fleet. The simulation fails a
// history if active shares overlap or the admissions in an interval exceed the
// limit.
func TestRandomShares(t *testing.T) {
	bubble.SetFlagDefault(t, "rapid.checks", defaultChecks)
	bubble.SetFlagDefault(t, "rapid.steps", defaultSteps)
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.IntRange(1, 3).Draw(t, "VMs"), Limit{Rate: 100 * One, Burst: 1000 * One})
		s.runSeconds(rapid.SampledFrom([]int{0, 3, 10, 40}).Draw(t, "warm up"))
		if rapid.Bool().Draw(t, "team early") {
			s.createTeam()
			s.runSeconds(2)
		}
		t.Repeat(actions(s))
		for _, n := range s.processes {
			n.paused = false
			s.drain(n)
		}
	})
}

func actions(s *simulation) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":           func(*rapid.T) { s.checkShares() },
		"pass":       s.randomAdvance,
		"run":        func(t *rapid.T) { s.runSeconds(rapid.SampledFrom([]int{1, 4, 12, 45}).Draw(t, "seconds")) },
		"drain":      func(*rapid.T) { s.drainAll() },
		"drain one":  func(t *rapid.T) { s.drain(s.drawProcess(t)) },
		"borrow":     func(t *rapid.T) { s.borrow(s.drawProcess(t), Amount(rapid.IntRange(1, 1200).Draw(t, "need"))*One) },
		"lend":       s.randomBorrow,
		"move":       func(t *rapid.T) { s.balance(s.drawProcess(t), s.drawProcess(t), 100*One) },
		"keep":       func(t *rapid.T) { s.depositAll(s.drawProcess(t)) },
		"finish":     func(t *rapid.T) { s.finishAll(s.drawProcess(t)) },
		"settle":     func(t *rapid.T) { s.settleAll(s.drawProcess(t), rapid.SampledFrom([]int{0, 30, 100}).Draw(t, "used")) },
		"mail":       s.randomDelivery,
		"round":      func(t *rapid.T) { s.runRound(s.drawProcess(t)) },
		"begin read": func(t *rapid.T) { s.beginRead(s.drawProcess(t)) },
		"end read":   func(t *rapid.T) { n := s.drawProcess(t); s.endRead(n); s.applyAndPlan(n) },
		"fault":      s.randomFault,
		"copy":       s.duplicateRecord,
		"team":       func(*rapid.T) { s.createTeam() },
		"limit": func(t *rapid.T) {
			tokens := rapid.SampledFrom([]Amount{100, 400, 1000}).Draw(t, "burst")
			s.setLimit(Limit{Rate: tokens / 10 * One, Burst: tokens * One})
		},
	}
}

func (s *simulation) drainAll() {
	for _, n := range s.processes {
		s.drain(n)
	}
}

// randomBorrow runs one acquisition of borrowed tokens with duplicated messages,
// and then takes all remaining tokens of the fleet.
func (s *simulation) randomBorrow(t *rapid.T) {
	n := s.drawProcess(t)
	s.borrow(n, Amount(rapid.IntRange(100, 1000).Draw(t, "need"))*One)
	s.duplicateMessages()
	s.deliverFirst(len(s.inFlight))
	s.duplicateMessages()
	s.deliverFirst(len(s.inFlight))
	s.checkShares()
	s.finishAll(n)
	if rapid.Bool().Draw(t, "settle") {
		s.settleAll(n, 30)
		s.duplicateMessages()
		s.deliverFirst(len(s.inFlight))
	}
	s.drainAll()
}

func (s *simulation) randomAdvance(t *rapid.T) {
	d := rapid.SampledFrom([]time.Duration{time.Millisecond, 300 * time.Millisecond, time.Second, 8 * time.Second, ShortLease, 40 * time.Second, LongLease}).Draw(t, "time")
	s.advanceTime(d)
}

// randomDelivery delivers all messages in flight, or delivers, loses, duplicates
// or delays the oldest one.
func (s *simulation) randomDelivery(t *rapid.T) {
	if len(s.inFlight) == 0 {
		return
	}
	first := s.inFlight[0]
	switch rapid.SampledFrom([]string{"all", "one", "lose", "double", "delay"}).Draw(t, "mail") {
	case "all":
		s.deliverFirst(len(s.inFlight))
	case "one":
		s.deliverFirst(1)
	case "lose":
		s.inFlight = s.inFlight[1:]
	case "double":
		s.inFlight = append(s.inFlight, first)
		s.deliverFirst(1)
	case "delay":
		s.inFlight = append(s.inFlight[1:], first)
	}
}

// duplicateRecord appends an old record to the log again, as a delayed append
// would.
func (s *simulation) duplicateRecord(t *rapid.T) {
	if len(s.records) > 0 {
		s.records = append(s.records, s.records[rapid.IntRange(0, len(s.records)-1).Draw(t, "record")])
	}
}

// faultActions are the faults and changes that are injected on a VM.
var faultActions = map[string]func(s *simulation, n *process){
	"pause": func(_ *simulation, n *process) { n.paused = true },
	"wake": func(s *simulation, n *process) {
		n.paused = false
		s.drain(n)
	},
	"kill":    (*simulation).kill,
	"restart": (*simulation).restart,
	"replace": func(s *simulation, n *process) {
		if len(s.processes) < 12 {
			s.startVM(n.dataCentre)
		}
	},
	"leave": (*simulation).leave,
	"cut":   func(s *simulation, n *process) { s.setCutOff(n.dataCentre, true) },
	"mend": func(s *simulation, n *process) {
		s.setCutOff(n.dataCentre, false)
		n.isolated = false
	},
	"isolate": func(_ *simulation, n *process) { n.isolated = true },
	// Only this VM is cut off from the platform.
	"off": func(_ *simulation, n *process) { n.cutOff = true },
	// The VM list may lose a VM that is alive.
	"drop": func(s *simulation, n *process) { delete(s.vmList, n.vm) },
	"list": func(s *simulation, n *process) { s.vmList[n.vm] = n.alive },
	"freeze": func(s *simulation, n *process) {
		n.paused = true
		delete(s.vmList, n.vm)
		s.runSeconds(45)
	},
	"strand": func(s *simulation, n *process) {
		n.isolated = true
		delete(s.vmList, n.vm)
		s.runSeconds(45)
	},
	"island": func(s *simulation, n *process) {
		s.cutOffDataCentreExcept(n)
		s.runSeconds(45)
	},
}

func (s *simulation) randomFault(t *rapid.T) {
	n := s.drawProcess(t)
	names := slices.Sorted(maps.Keys(faultActions))
	faultActions[rapid.SampledFrom(names).Draw(t, "fault")](s, n)
}

func (s *simulation) restart(n *process) {
	if s.latestProcess(n.vm) == n {
		s.kill(n)
		s.startProcess(n.vm, n.dataCentre)
	}
}

func (s *simulation) latestProcess(vm fleet.VMID) *process {
	var last *process
	for _, n := range s.processes {
		if n.vm == vm {
			last = n
		}
	}
	return last
}

func (s *simulation) setCutOff(dc fleet.DataCentre, cut bool) {
	for _, n := range s.processes {
		if n.dataCentre == dc {
			n.cutOff = cut
		}
	}
}

// cutOffDataCentreExcept cuts off all VMs of a data centre but one from the
// platform, which removes them from its VM list. They still reach one another.
func (s *simulation) cutOffDataCentreExcept(but *process) {
	for _, n := range s.processes {
		if n.dataCentre == but.dataCentre && n.vm != but.vm {
			n.cutOff = true
			delete(s.vmList, n.vm)
		}
	}
}
