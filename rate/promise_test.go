package rate

import (
	"testing"
	"time"
)

var promiseLimit = Limit{Rate: 100 * One, Burst: 1000 * One}

// TestPromiseRateAcrossFleet runs the failures that the design is meant for. The
// world fails a case as soon as shares overlap or an interval passes the limit;
// each case also takes every token that it can get.
func TestPromiseRateAcrossFleet(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(w *world)
	}{
		{"a VM joins while another is paused", func(w *world) {
			w.nodes[0].paused = true
			w.start("dc-0")
			w.greedy(20)
			w.nodes[0].paused = false
			w.greedy(60)
		}},
		{"a paused VM is taken over and wakes", func(w *world) {
			n := w.nodes[0]
			n.paused = true
			delete(w.listed, n.vm)
			w.run(60)
			n.paused = false
			w.drain(n)
			w.greedy(60)
		}},
		{"a VM pauses in the middle of a read, is taken over and wakes", func(w *world) {
			n := w.nodes[0]
			w.beginRead(n)
			n.paused = true
			delete(w.listed, n.vm)
			w.run(60)
			n.paused = false
			w.endRead(n)
			w.act(n)
			w.greedy(60)
		}},
		{"two VMs that lost the platform vouch for each other while a third takes them over", func(w *world) {
			w.island(w.nodes[0])
			w.greedy(120)
			w.rounds(240, 10*time.Second)
			w.greedy(60)
		}},
		{"a VM that lost the platform is vouched for by the one that takes it over", func(w *world) {
			w.nodes[0].cut = true
			delete(w.listed, w.nodes[0].vm)
			w.greedy(120)
		}},
		{"the last VM of a data centre keeps minting until another joins", func(w *world) {
			w.leave(w.nodes[1])
			w.leave(w.nodes[2])
			w.run(20)
			w.start("dc-0")
			w.run(10)
			w.nodes[0].alone = true
			delete(w.listed, w.nodes[0].vm)
			w.greedy(120)
		}},
		{"loans are under way while a VM joins and one leaves", func(w *world) {
			w.start("dc-0")
			for range 40 {
				w.lendAll()
				w.pass(100 * time.Millisecond)
				w.eachRound()
				w.drainAll()
			}
			w.leave(w.nodes[1])
			for range 40 {
				w.lendAll()
				w.pass(100 * time.Millisecond)
				w.eachRound()
				w.drainAll()
			}
		}},
		{"the rate is lowered while a data centre is cut off", func(w *world) {
			w.cut("dc-1", true)
			w.setLimit(Limit{Rate: 10 * One, Burst: 100 * One})
			w.greedy(20)
			w.cut("dc-1", false)
			w.run(20)
			w.greedy(20)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 3, promiseLimit)
			w.run(10)
			w.makeTeam()
			w.run(60)
			c.play(w)
			w.run(30)
			w.drainAll()
		})
	}
}

// TestCutDataCentreKeepsItsShare shows that VMs without the platform go on
// minting on one another's word.
func TestCutDataCentreKeepsItsShare(t *testing.T) {
	w := newWorld(t, 3, promiseLimit)
	w.makeTeam()
	w.run(60)
	w.cut("dc-1", true)
	w.run(600)
	for _, n := range w.nodes {
		if got := n.minter.ActiveShare(w.now, testKey); got.Rate < promiseLimit.Rate/7 {
			t.Fatalf("%s mints %d a second", n.vm, got.Rate)
		}
	}
}

// TestTakeoverGivesTheShareOn shows that a dead VM's share is minted again
// within a short time, on the VMs of its data centre.
func TestTakeoverGivesTheShareOn(t *testing.T) {
	w := newWorld(t, 3, promiseLimit)
	w.makeTeam()
	w.run(60)
	w.kill(w.nodes[0])
	delete(w.listed, w.nodes[0].vm)
	w.run(60)
	var sum Amount
	for _, n := range w.nodes {
		if n.alive {
			sum += n.minter.ActiveShare(w.now, testKey).Rate
		}
	}
	if sum < promiseLimit.Rate-10 {
		t.Fatalf("the fleet mints %d a second", sum)
	}
}

// TestNewTeamIsNotFilledTwice makes a team while one VM is paused. Another spends
// its full share of the new team and leaves; the first must not take that share
// for unspent.
func TestNewTeamIsNotFilledTwice(t *testing.T) {
	w := newWorld(t, 3, promiseLimit)
	w.run(10)
	w.nodes[0].paused = true
	w.makeTeam()
	w.rounds(2, 50*time.Millisecond)
	if got := w.nodes[1].minter.Level(w.now, testKey); got < promiseLimit.Burst/7 {
		t.Fatalf("a VM starts with %d", got)
	}
	w.drainAll()
	w.leave(w.nodes[1])
	w.rounds(2, 50*time.Millisecond)
	w.nodes[0].paused = false
	w.rounds(1, 50*time.Millisecond)
	w.drainAll()
}

func (w *world) greedy(seconds int) {
	for range seconds {
		w.run(1)
		w.drainAll()
	}
}

func (w *world) eachRound() {
	for _, n := range w.nodes {
		w.round(n)
	}
	w.check()
}

// lendAll lets one VM borrow all that the others have, and admit it as late as
// the loans allow.
func (w *world) lendAll() {
	n := w.nodes[4]
	w.borrow(n, 1000*One)
	w.arrive(len(w.mail))
	w.arrive(len(w.mail))
	w.check()
	if len(n.gathers) >= 10 {
		w.finish(n)
	}
}
