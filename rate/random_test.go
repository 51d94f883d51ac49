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

// minHistories is how many histories make test runs at least.
const minHistories = "1000"

// steps is the mean length of a history.
const steps = "30"

// TestRandomShares runs random histories of a fleet. The world fails the
// history if any interval passes the limit.
func TestRandomShares(t *testing.T) {
	bubble.SetFlagDefault(t, "rapid.checks", minHistories)
	bubble.SetFlagDefault(t, "rapid.steps", steps)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 3).Draw(t, "VMs"), Limit{Rate: 100 * One, Burst: 1000 * One})
		w.run(rapid.SampledFrom([]int{0, 3, 10, 40}).Draw(t, "warm up"))
		if rapid.Bool().Draw(t, "team early") {
			w.makeTeam()
			w.run(2)
		}
		t.Repeat(actions(w))
		for _, n := range w.nodes {
			n.paused = false
			w.drain(n)
		}
	})
}

func actions(w *world) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":           func(*rapid.T) { w.check() },
		"pass":       w.randomPass,
		"run":        func(t *rapid.T) { w.run(rapid.SampledFrom([]int{1, 4, 12, 45}).Draw(t, "seconds")) },
		"drain":      func(*rapid.T) { w.drainAll() },
		"drain one":  func(t *rapid.T) { w.drain(w.pick(t)) },
		"borrow":     func(t *rapid.T) { w.borrow(w.pick(t), Amount(rapid.IntRange(1, 1200).Draw(t, "need"))*One) },
		"lend":       w.randomLoan,
		"move":       func(t *rapid.T) { w.move(w.pick(t), w.pick(t), 100*One) },
		"keep":       func(t *rapid.T) { w.keep(w.pick(t)) },
		"finish":     func(t *rapid.T) { w.finish(w.pick(t)) },
		"settle":     func(t *rapid.T) { w.settle(w.pick(t), rapid.SampledFrom([]int{0, 30, 100}).Draw(t, "used")) },
		"mail":       w.randomMail,
		"round":      func(t *rapid.T) { w.round(w.pick(t)) },
		"begin read": func(t *rapid.T) { w.beginRead(w.pick(t)) },
		"end read":   func(t *rapid.T) { n := w.pick(t); w.endRead(n); w.act(n) },
		"fault":      w.randomFault,
		"copy":       w.randomCopy,
		"team":       func(*rapid.T) { w.makeTeam() },
		"limit": func(t *rapid.T) {
			tokens := rapid.SampledFrom([]Amount{100, 400, 1000}).Draw(t, "burst")
			w.setLimit(Limit{Rate: tokens / 10 * One, Burst: tokens * One})
		},
	}
}

func (w *world) drainAll() {
	for _, n := range w.nodes {
		w.drain(n)
	}
}

// randomLoan carries a whole gathering, with doubled messages, and takes what
// is left everywhere.
func (w *world) randomLoan(t *rapid.T) {
	n := w.pick(t)
	w.borrow(n, Amount(rapid.IntRange(100, 1000).Draw(t, "need"))*One)
	w.double()
	w.arrive(len(w.mail))
	w.double()
	w.arrive(len(w.mail))
	w.check()
	w.finish(n)
	if rapid.Bool().Draw(t, "settle") {
		w.settle(n, 30)
		w.double()
		w.arrive(len(w.mail))
	}
	w.drainAll()
}

func (w *world) randomPass(t *rapid.T) {
	d := rapid.SampledFrom([]time.Duration{time.Millisecond, 300 * time.Millisecond, time.Second, 8 * time.Second, ShortLease, 40 * time.Second, LongLease}).Draw(t, "time")
	w.pass(d)
}

// randomMail delivers, loses, doubles or delays the oldest message.
func (w *world) randomMail(t *rapid.T) {
	if len(w.mail) == 0 {
		return
	}
	first := w.mail[0]
	switch rapid.SampledFrom([]string{"all", "one", "lose", "double", "delay"}).Draw(t, "mail") {
	case "all":
		w.arrive(len(w.mail))
	case "one":
		w.arrive(1)
	case "lose":
		w.mail = w.mail[1:]
	case "double":
		w.mail = append(w.mail, first)
		w.arrive(1)
	case "delay":
		w.mail = append(w.mail[1:], first)
	}
}

// randomCopy lets an old record stand in the log again, as a delayed append
// does.
func (w *world) randomCopy(t *rapid.T) {
	if len(w.log) > 0 {
		w.log = append(w.log, w.log[rapid.IntRange(0, len(w.log)-1).Draw(t, "record")])
	}
}

// faults are what can happen to a VM.
var faults = map[string]func(w *world, n *node){
	"pause": func(_ *world, n *node) { n.paused = true },
	"wake": func(w *world, n *node) {
		n.paused = false
		w.drain(n)
	},
	"kill":    (*world).kill,
	"restart": (*world).restart,
	"replace": func(w *world, n *node) {
		if len(w.nodes) < 12 {
			w.start(n.dc)
		}
	},
	"leave": (*world).leave,
	"cut":   func(w *world, n *node) { w.cut(n.dc, true) },
	"mend": func(w *world, n *node) {
		w.cut(n.dc, false)
		n.alone = false
	},
	"isolate": func(_ *world, n *node) { n.alone = true },
	// Only this VM loses the platform.
	"off": func(_ *world, n *node) { n.cut = true },
	// The list may drop a VM that lives.
	"drop": func(w *world, n *node) { delete(w.listed, n.vm) },
	"list": func(w *world, n *node) { w.listed[n.vm] = n.alive },
	"freeze": func(w *world, n *node) {
		n.paused = true
		delete(w.listed, n.vm)
		w.run(45)
	},
	"strand": func(w *world, n *node) {
		n.alone = true
		delete(w.listed, n.vm)
		w.run(45)
	},
	"island": func(w *world, n *node) {
		w.island(n)
		w.run(45)
	},
}

func (w *world) randomFault(t *rapid.T) {
	n := w.pick(t)
	names := slices.Sorted(maps.Keys(faults))
	faults[rapid.SampledFrom(names).Draw(t, "fault")](w, n)
}

func (w *world) restart(n *node) {
	if w.last(n.vm) == n {
		w.kill(n)
		w.boot(n.vm, n.dc)
	}
}

func (w *world) last(vm fleet.VMID) *node {
	var last *node
	for _, n := range w.nodes {
		if n.vm == vm {
			last = n
		}
	}
	return last
}

func (w *world) cut(dc fleet.DataCentre, cut bool) {
	for _, n := range w.nodes {
		if n.dc == dc {
			n.cut = cut
		}
	}
}

// island cuts all VMs of a data centre but one from the platform, which drops
// them from its list. They still reach one another.
func (w *world) island(but *node) {
	for _, n := range w.nodes {
		if n.dc == but.dc && n.vm != but.vm {
			n.cut = true
			delete(w.listed, n.vm)
		}
	}
}
