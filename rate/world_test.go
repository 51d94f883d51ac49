package rate

import (
	"encoding/json"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/settings"
)

const (
	testKey         = Key("quotes")
	testDataCentres = 2
	testListLag     = 5 * time.Second
)

// node is one start of a VM in a world.
type node struct {
	vm     fleet.VMID
	dc     fleet.DataCentre
	state  *ledger.State
	minter *Buckets
	keeper *ShareManager
	// reading is when an unfinished read of the log began, up to which offset.
	reading time.Time
	head    int
	alive   bool
	paused  bool
	left    bool
	cut     bool // from the log, the list and all VMs of other data centres
	alone   bool // from everything
	ended   time.Time
	acted   []acted
	grants  []Grant
	gathers []*Acquisition
	limits  Limit
	known   fleet.Offset
}

// acted tells since when a node acts on the settings up to an offset.
type acted struct {
	at     time.Time
	offset int
}

type change struct {
	offset int
	limit  Limit
}

// world is a fleet in virtual time. Messages are closures that run when they
// arrive; they may be lost, late and doubled.
type world struct {
	t       fataler
	now     time.Time
	log     []ledger.Record
	nodes   []*node
	mail    []message
	changes []change
	limit   Limit
	checker *Checker
	listed  map[fleet.VMID]bool
	// net is all that was charged less what was refunded, and used the least
	// that it must be.
	net, used Amount
	asks      int
	mirror    *ledger.State
}

type message struct {
	to      *node
	deliver func()
}

type fataler interface {
	Fatalf(format string, args ...any)
}

func newWorld(t fataler, perDC int, limit Limit) *world {
	w := &world{t: t, now: time.Unix(1_000_000, 0), limit: limit, listed: make(map[fleet.VMID]bool), mirror: ledger.NewState()}
	w.checker = NewChecker(w.now, limit)
	w.setLimit(limit)
	for dc := range testDataCentres {
		for range perDC {
			w.start(fleet.DataCentre(fmt.Sprintf("dc-%d", dc)))
		}
	}
	return w
}

func (w *world) RecordCharge(now time.Time, _ Key, a Amount) {
	if err := w.checker.Record(now, a); err != nil {
		w.t.Fatalf("%v", err)
	}
	w.net += a
	if a < 0 && w.net < w.used {
		w.t.Fatalf("%d more was refunded than was left unused", w.used-w.net)
	}
}

func (w *world) append(kind ledger.Kind, base fleet.Revision, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		w.t.Fatalf("encode: %v", err)
	}
	w.log = append(w.log, ledger.Record{ID: ledger.RecordID(fmt.Sprint(len(w.log))), Kind: kind, Base: base, Body: b})
}

// makeTeam appends the record of the team.
func (w *world) makeTeam() {
	w.append(ledger.KindTeam, 0, fleet.Team{ID: "quotes", Name: "Quotes"})
}

// setLimit appends records that change rate and burst of the team.
func (w *world) setLimit(l Limit) {
	for _, s := range []struct {
		name  settings.Name
		value Amount
	}{{settings.RateTokensPerSecond, l.Rate}, {settings.BurstTokens, l.Burst}} {
		path := settings.Path{Level: "team/quotes", Name: s.name}
		value := settings.Value{RawMessage: json.RawMessage(fmt.Sprint(int64(s.value / One)))}
		w.append(ledger.KindSetting, w.revision(path), settings.Put{Path: path, Value: value})
	}
	w.changes = append(w.changes, change{offset: len(w.log), limit: l})
	w.noteLimit()
}

// revision folds the rest of the log to learn the base of a change.
func (w *world) revision(p settings.Path) fleet.Revision {
	for i := int(w.mirror.Applied()); i < len(w.log); i++ {
		w.mirror.Apply(fleet.Offset(i+1), w.log[i])
	}
	e, _ := w.mirror.SettingEntry(p)
	return e.Revision
}

func (w *world) start(dc fleet.DataCentre) *node {
	vm := fleet.VMID(fmt.Sprintf("vm-%d", len(w.nodes)))
	return w.boot(vm, dc)
}

func (w *world) boot(vm fleet.VMID, dc fleet.DataCentre) *node {
	n := &node{vm: vm, dc: dc, alive: true, state: ledger.NewState(), minter: NewBuckets(vm, w)}
	n.keeper = NewShareManager(vm, dc, testDataCentres, testListLag, n.minter)
	w.nodes = append(w.nodes, n)
	w.listed[vm] = true
	return n
}

func (n *node) runs() bool { return n.alive && !n.paused }

// reaches tells whether a message from n to m can arrive.
func (n *node) reaches(m *node) bool {
	return m.alive && !n.alone && !m.alone && (n.dc == m.dc || (!n.cut && !m.cut))
}

func (n *node) list() (ledger.MintList, fleet.Revision) {
	e, _ := n.state.Minters.Get(n.dc)
	return e.Value, e.Revision
}

// limit reads the settings once for each applied offset.
func (n *node) limit() Limit {
	if n.known == n.state.Applied() && n.limits != (Limit{}) {
		return n.limits
	}
	n.known = n.state.Applied()
	scope := settings.Scope{Team: "quotes"}
	n.limits = NewLimit(settings.Number(n.state.Setting, scope, settings.RateTokensPerSecond), settings.Number(n.state.Setting, scope, settings.BurstTokens))
	return n.limits
}

// beginRead and endRead are apart, so that a pause can come between them.
func (w *world) beginRead(n *node) {
	if n.runs() && !n.cut && !n.alone {
		n.reading = w.now
		n.head = len(w.log)
	}
}

func (w *world) endRead(n *node) {
	if !n.runs() || n.reading.IsZero() {
		return
	}
	for i := int(n.state.Applied()); i < n.head; i++ {
		n.state.Apply(fleet.Offset(i+1), w.log[i])
	}
	n.keeper.RecordHeadRead(n.reading)
	n.reading = time.Time{}
}

// act puts what the node knows into force and returns what it would propose.
func (w *world) act(n *node) []Proposal {
	if !n.runs() {
		return nil
	}
	list, revision := n.list()
	f := Inputs{Applied: n.state.Applied(), List: list, Revision: revision}
	if team, ok := n.state.Teams.Get("quotes"); ok {
		f.Limits = []KeyLimit{{testKey, n.limit(), fleet.Offset(team.Revision)}}
	}
	if !n.cut && !n.alone {
		f.Listed = w.listed
	}
	n.keeper.Apply(w.now, f)
	n.acted = append(n.acted, acted{w.now, int(n.state.Applied())})
	if old := len(n.acted) - 1; old > 0 && n.acted[old-1].offset == n.acted[old].offset {
		n.acted = n.acted[:old]
	}
	if n.cut || n.alone {
		return nil
	}
	return n.keeper.Plan(w.now, f)
}

// round is a whole healthy round of a node.
func (w *world) round(n *node) {
	w.beginRead(n)
	w.endRead(n)
	for _, p := range w.act(n) {
		w.append(p.Kind, p.Base, p.Body)
	}
}

// run lets all nodes go on for some seconds.
func (w *world) run(seconds int) {
	w.rounds(seconds, time.Second)
}

func (w *world) rounds(count int, step time.Duration) {
	for range count {
		w.pass(step)
		for _, n := range w.nodes {
			w.round(n)
			for _, m := range w.nodes {
				w.vouch(n, m)
			}
		}
		w.arrive(len(w.mail))
		w.check()
	}
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.noteLimit()
}

// vouch asks m to vouch for n.
func (w *world) vouch(n, m *node) {
	if n == m || n.dc != m.dc || !n.runs() || !n.keeper.NeedsConfirmation(w.now) {
		return
	}
	begun := w.now
	w.send(n, m, func() {
		list, _ := m.list()
		if Confirms(w.now, m.minter, list, m.vm, n.vm) {
			w.send(m, n, func() {
				// A voucher counts only if it is on the list that n acts on.
				if own, _ := n.list(); ownHas(own, m.vm) {
					n.keeper.RecordConfirmation(begun)
				}
			})
		}
	})
}

func ownHas(l ledger.MintList, vm fleet.VMID) bool {
	_, ok := l.Find(vm)
	return ok
}

func (w *world) send(from, to *node, deliver func()) {
	if from.reaches(to) {
		w.mail = append(w.mail, message{to: to, deliver: deliver})
	}
}

// double lets messages under way arrive twice, up to a bound.
func (w *world) double() {
	if len(w.mail) < 40 {
		w.mail = append(w.mail, w.mail...)
	}
}

// arrive delivers the first messages; those to a paused VM wait.
func (w *world) arrive(count int) {
	batch := w.mail[:count]
	w.mail = append([]message(nil), w.mail[count:]...)
	for _, m := range batch {
		switch {
		case m.to.runs():
			m.deliver()
		case m.to.alive && len(w.mail) < 100:
			w.mail = append(w.mail, m)
		}
	}
}

// drain takes all that a node has.
func (w *world) drain(n *node) {
	if !n.runs() || n.left {
		return
	}
	if g, ok := n.minter.Take(w.now, testKey, n.minter.Level(w.now, testKey)); ok {
		w.used += g.Charged
		n.grants = append(n.grants, g)
	}
}

// borrow begins a gathering and asks all others.
func (w *world) borrow(n *node, need Amount) {
	if !n.runs() || n.left {
		return
	}
	w.asks++
	g := n.minter.StartAcquisition(w.now, AskID(fmt.Sprint(w.asks)), testKey, need)
	g.TakeOwn(w.now)
	n.gathers = append(n.gathers, g)
	for _, m := range w.nodes {
		if m != n && g.Missing() > 0 {
			w.ask(n, m, g)
		}
	}
}

func (w *world) ask(n, m *node, g *Acquisition) {
	ask := g.Ask(m.vm)
	w.send(n, m, func() {
		answer := m.minter.Lend(w.now, ask)
		w.send(m, n, func() {
			if late, ok := g.Accept(w.now, answer); ok {
				w.giveBack(n, []Refund{late})
			}
		})
	})
}

// move carries a whole balancing of a node with another one, with doubled
// messages.
func (w *world) move(n, m *node, want Amount) {
	if !n.runs() || n == m {
		return
	}
	w.asks++
	g := n.minter.StartAcquisition(w.now, AskID(fmt.Sprint(w.asks)), testKey, want)
	w.ask(n, m, g)
	w.double()
	w.arrive(len(w.mail))
	w.double()
	w.arrive(len(w.mail))
	w.giveBack(n, g.Deposit(w.now))
	w.arrive(len(w.mail))
}

// keep puts what gatherings collected into the node's bucket.
func (w *world) keep(n *node) {
	if !n.runs() {
		return
	}
	for _, g := range n.gathers {
		w.giveBack(n, g.Deposit(w.now))
	}
	n.gathers = nil
}

func (w *world) finish(n *node) {
	if !n.runs() {
		return
	}
	for _, g := range n.gathers {
		grant, refunds, ok := g.Finish(w.now)
		if ok {
			w.used += grant.Charged
			n.grants = append(n.grants, grant)
		}
		w.giveBack(n, refunds)
	}
	n.gathers = nil
}

func (w *world) giveBack(n *node, refunds []Refund) {
	for _, r := range refunds {
		for _, m := range w.nodes {
			if m.vm == r.To && m.alive {
				w.send(n, m, func() { m.minter.AcceptReturn(w.now, r.Return) })
			}
		}
	}
}

func (w *world) settle(n *node, usedPercent int) {
	if !n.runs() {
		return
	}
	for _, g := range n.grants {
		used := g.Charged / 100 * Amount(usedPercent)
		w.used -= g.Charged - used
		w.giveBack(n, n.minter.Settle(w.now, g, used))
	}
	n.grants = nil
}

func (w *world) kill(n *node) {
	n.alive = false
	n.ended = w.now
}

func (w *world) leave(n *node) {
	if n.runs() {
		n.left = true
		n.keeper.Leave(w.now)
	}
}

// check fails the history if the shares that are minted now overlap, whether or
// not their tokens are used. A paused VM may mint as soon as it wakes.
func (w *world) check() {
	w.noteLimit()
	var shares []Limit
	for _, n := range w.nodes {
		if n.alive && w.last(n.vm) == n {
			shares = append(shares, n.minter.ActiveShare(w.now, testKey))
		}
	}
	if err := CheckShares(w.limit, shares); err != nil {
		w.t.Fatalf("%v", err)
	}
	if sum := w.spendable(); sum > w.limit.Burst {
		w.t.Fatalf("the fleet could admit %d at once, above the burst of %d", sum, w.limit.Burst)
	}
}

// spendable returns what all VMs that run could admit at this moment.
func (w *world) spendable() Amount {
	var sum Amount
	for _, n := range w.nodes {
		if !n.runs() || w.last(n.vm) != n {
			continue
		}
		sum += n.minter.Level(w.now, testKey)
		for _, g := range n.gathers {
			if !passed(g.until, w.now) {
				sum += g.need - g.Missing()
			}
		}
	}
	return sum
}

// noteLimit holds the checker to the largest limit that may be in force on some
// VM. A lowered one counts once all VMs that may still mint act on it and their
// older loans have ended.
func (w *world) noteLimit() {
	old := w.now.Add(-2 * LoanLifetime)
	through := len(w.log)
	for _, n := range w.nodes {
		if !n.minter.HasLease(old) || (!n.alive && n.ended.Before(old)) {
			continue
		}
		through = min(through, n.through(old))
	}
	var l Limit
	for _, c := range w.changes {
		if c.offset <= through {
			l = Limit{}
		}
		l = Limit{Rate: max(l.Rate, c.limit.Rate), Burst: max(l.Burst, c.limit.Burst)}
	}
	if l != w.limit {
		w.limit = l
		w.checker.Limit(w.now, l)
	}
}

// through returns the offset that the node has acted on since a time.
func (n *node) through(at time.Time) int {
	through := 0
	for _, a := range n.acted {
		if !a.at.After(at) {
			through = max(through, a.offset)
		}
	}
	return through
}

// pick draws a node.
func (w *world) pick(t *rapid.T) *node {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
}
