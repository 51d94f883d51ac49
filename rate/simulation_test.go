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
	testVMListLag   = 5 * time.Second
)

// process is one start of a VM in a simulation.
type process struct {
	vm         fleet.VMID
	dataCentre fleet.DataCentre
	state      *ledger.State
	buckets    *Buckets
	manager    *ShareManager
	// readStarted is when an unfinished read of the log started, and readHead
	// the offset that it reads to.
	readStarted  time.Time
	readHead     int
	alive        bool
	paused       bool
	leaving      bool
	cutOff       bool // from the log, the VM list and all VMs of other data centres
	isolated     bool // from everything and every VM
	killedAt     time.Time
	applied      []appliedSettings
	grants       []Grant
	acquisitions []*Acquisition
	cachedLimit  Limit
	cachedAt     fleet.Offset
}

// appliedSettings is when a process applied the settings up to an offset.
type appliedSettings struct {
	at     time.Time
	offset int
}

type limitChange struct {
	offset int
	limit  Limit
}

// simulation is a fleet in virtual time. Messages are closures that run when they
// are delivered; they may be lost, delayed and duplicated.
type simulation struct {
	t          testingT
	now        time.Time
	records    []ledger.Record
	processes  []*process
	inFlight   []message
	changes    []limitChange
	limit      Limit
	admissions *Checker
	vmList     map[fleet.VMID]bool
	// netCharged is all charges less all refunds. It must be at least leastUsed:
	// the charges of admitted requests less what settled ones did not use.
	netCharged, leastUsed Amount
	borrows               int
	folded                *ledger.State
}

type message struct {
	to      *process
	deliver func()
}

type testingT interface {
	Fatalf(format string, args ...any)
}

func newSimulation(t testingT, perDC int, limit Limit) *simulation {
	s := &simulation{t: t, now: time.Unix(1_000_000, 0), limit: limit, vmList: make(map[fleet.VMID]bool), folded: ledger.NewState()}
	s.admissions = NewChecker(s.now, limit)
	s.setLimit(limit)
	for dc := range testDataCentres {
		for range perDC {
			s.startVM(fleet.DataCentre(fmt.Sprintf("dc-%d", dc)))
		}
	}
	return s
}

func (s *simulation) RecordCharge(now time.Time, _ Key, a Amount) {
	if err := s.admissions.Record(now, a); err != nil {
		s.t.Fatalf("%v", err)
	}
	s.netCharged += a
	if a < 0 && s.netCharged < s.leastUsed {
		s.t.Fatalf("refunds exceed the unused tokens by %d", s.leastUsed-s.netCharged)
	}
}

func (s *simulation) appendRecord(kind ledger.Kind, base fleet.Revision, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		s.t.Fatalf("encode: %v", err)
	}
	s.records = append(s.records, ledger.Record{ID: ledger.RecordID(fmt.Sprint(len(s.records))), Kind: kind, Base: base, Body: b})
}

// createTeam appends the record that creates the team.
func (s *simulation) createTeam() {
	s.appendRecord(ledger.KindTeam, 0, fleet.Team{ID: "quotes", Name: "Quotes"})
}

// setLimit appends records that change the rate and the burst of the team.
func (s *simulation) setLimit(l Limit) {
	for _, setting := range []struct {
		name  settings.Name
		value Amount
	}{{settings.RateTokensPerSecond, l.Rate}, {settings.BurstTokens, l.Burst}} {
		path := settings.Path{Level: "team/quotes", Name: setting.name}
		value := settings.Value{RawMessage: json.RawMessage(fmt.Sprint(int64(setting.value / One)))}
		s.appendRecord(ledger.KindSetting, s.revision(path), settings.Put{Path: path, Value: value})
	}
	s.changes = append(s.changes, limitChange{offset: len(s.records), limit: l})
	s.updateLimit()
}

// revision applies the rest of the log to folded and returns the revision of the
// setting, which is the base of a change.
func (s *simulation) revision(p settings.Path) fleet.Revision {
	for i := int(s.folded.Applied()); i < len(s.records); i++ {
		s.folded.Apply(fleet.Offset(i+1), s.records[i])
	}
	e, _ := s.folded.SettingEntry(p)
	return e.Revision
}

func (s *simulation) startVM(dc fleet.DataCentre) *process {
	vm := fleet.VMID(fmt.Sprintf("vm-%d", len(s.processes)))
	return s.startProcess(vm, dc)
}

func (s *simulation) startProcess(vm fleet.VMID, dc fleet.DataCentre) *process {
	n := &process{vm: vm, dataCentre: dc, alive: true, state: ledger.NewState(), buckets: NewBuckets(vm, s)}
	n.manager = NewShareManager(vm, dc, testDataCentres, testVMListLag, n.buckets)
	s.processes = append(s.processes, n)
	s.vmList[vm] = true
	return n
}

func (n *process) running() bool { return n.alive && !n.paused }

// canReach reports whether a message from n to m can arrive.
func (n *process) canReach(m *process) bool {
	return m.alive && !n.isolated && !m.isolated && (n.dataCentre == m.dataCentre || (!n.cutOff && !m.cutOff))
}

func (n *process) list() (ledger.MintList, fleet.Revision) {
	e, _ := n.state.Minters.Get(n.dataCentre)
	return e.Value, e.Revision
}

// limit returns the limit of the team. It is cached for each applied offset.
func (n *process) limit() Limit {
	if n.cachedAt == n.state.Applied() && n.cachedLimit != (Limit{}) {
		return n.cachedLimit
	}
	n.cachedAt = n.state.Applied()
	scope := settings.Scope{Team: "quotes"}
	n.cachedLimit = NewLimit(settings.Number(n.state.Setting, scope, settings.RateTokensPerSecond), settings.Number(n.state.Setting, scope, settings.BurstTokens))
	return n.cachedLimit
}

// beginRead and endRead are separate, so that a process can be paused between
// them.
func (s *simulation) beginRead(n *process) {
	if n.running() && !n.cutOff && !n.isolated {
		n.readStarted = s.now
		n.readHead = len(s.records)
	}
}

func (s *simulation) endRead(n *process) {
	if !n.running() || n.readStarted.IsZero() {
		return
	}
	for i := int(n.state.Applied()); i < n.readHead; i++ {
		n.state.Apply(fleet.Offset(i+1), s.records[i])
	}
	n.manager.RecordHeadRead(n.readStarted)
	n.readStarted = time.Time{}
}

// applyAndPlan applies the state of the process and returns the records that it
// proposes.
func (s *simulation) applyAndPlan(n *process) []Proposal {
	if !n.running() {
		return nil
	}
	list, revision := n.list()
	in := Inputs{Applied: n.state.Applied(), List: list, Revision: revision}
	if team, ok := n.state.Teams.Get("quotes"); ok {
		in.Limits = []KeyLimit{{testKey, n.limit(), fleet.Offset(team.Revision)}}
	}
	if !n.cutOff && !n.isolated {
		in.Listed = s.vmList
	}
	n.manager.Apply(s.now, in)
	n.applied = append(n.applied, appliedSettings{s.now, int(n.state.Applied())})
	if old := len(n.applied) - 1; old > 0 && n.applied[old-1].offset == n.applied[old].offset {
		n.applied = n.applied[:old]
	}
	if n.cutOff || n.isolated {
		return nil
	}
	return n.manager.Plan(s.now, in)
}

// runRound runs one complete round of a process without faults.
func (s *simulation) runRound(n *process) {
	s.beginRead(n)
	s.endRead(n)
	for _, p := range s.applyAndPlan(n) {
		s.appendRecord(p.Kind, p.Base, p.Body)
	}
}

// runSeconds runs one round of all processes for each second.
func (s *simulation) runSeconds(seconds int) {
	s.runRounds(seconds, time.Second)
}

func (s *simulation) runRounds(count int, step time.Duration) {
	for range count {
		s.advanceTime(step)
		for _, n := range s.processes {
			s.runRound(n)
			for _, m := range s.processes {
				s.requestConfirmation(n, m)
			}
		}
		s.deliverFirst(len(s.inFlight))
		s.checkShares()
	}
}

func (s *simulation) advanceTime(d time.Duration) {
	s.now = s.now.Add(d)
	s.updateLimit()
}

// requestConfirmation asks m to confirm n, if n needs it.
func (s *simulation) requestConfirmation(n, m *process) {
	if n == m || n.dataCentre != m.dataCentre || !n.running() || !n.manager.NeedsConfirmation(s.now) {
		return
	}
	started := s.now
	s.send(n, m, func() {
		list, _ := m.list()
		if Confirms(s.now, m.buckets, list, m.vm, n.vm) {
			s.send(m, n, func() {
				// A confirmation counts only if its sender is on the list that n
				// has applied.
				if own, _ := n.list(); listHas(own, m.vm) {
					n.manager.RecordConfirmation(started)
				}
			})
		}
	})
}

func listHas(l ledger.MintList, vm fleet.VMID) bool {
	_, ok := l.Find(vm)
	return ok
}

func (s *simulation) send(from, to *process, deliver func()) {
	if from.canReach(to) {
		s.inFlight = append(s.inFlight, message{to: to, deliver: deliver})
	}
}

// duplicateMessages duplicates all messages in flight, unless there are too many.
func (s *simulation) duplicateMessages() {
	if len(s.inFlight) < 40 {
		s.inFlight = append(s.inFlight, s.inFlight...)
	}
}

// deliverFirst delivers the first count messages. Those to a paused VM stay in
// flight.
func (s *simulation) deliverFirst(count int) {
	batch := s.inFlight[:count]
	s.inFlight = append([]message(nil), s.inFlight[count:]...)
	for _, m := range batch {
		switch {
		case m.to.running():
			m.deliver()
		case m.to.alive && len(s.inFlight) < 100:
			s.inFlight = append(s.inFlight, m)
		}
	}
}

// drain takes all tokens of a process.
func (s *simulation) drain(n *process) {
	if !n.running() || n.leaving {
		return
	}
	if g, ok := n.buckets.Take(s.now, testKey, n.buckets.Level(s.now, testKey)); ok {
		s.leastUsed += g.Charged
		n.grants = append(n.grants, g)
	}
}

// borrow starts an acquisition and sends borrow requests to all other processes.
func (s *simulation) borrow(n *process, need Amount) {
	if !n.running() || n.leaving {
		return
	}
	s.borrows++
	g := n.buckets.StartAcquisition(s.now, AskID(fmt.Sprint(s.borrows)), testKey, need)
	g.TakeOwn(s.now)
	n.acquisitions = append(n.acquisitions, g)
	for _, m := range s.processes {
		if m != n && g.Missing() > 0 {
			s.sendAsk(n, m, g)
		}
	}
}

func (s *simulation) sendAsk(n, m *process, g *Acquisition) {
	ask := g.Ask(m.vm)
	s.send(n, m, func() {
		answer := m.buckets.Lend(s.now, ask)
		s.send(m, n, func() {
			if late, ok := g.Accept(s.now, answer); ok {
				s.sendReturns(n, []Refund{late})
			}
		})
	})
}

// balance moves tokens from m to n as Limiter.Balance does, with duplicated
// messages.
func (s *simulation) balance(n, m *process, want Amount) {
	if !n.running() || n == m {
		return
	}
	s.borrows++
	g := n.buckets.StartAcquisition(s.now, AskID(fmt.Sprint(s.borrows)), testKey, want)
	s.sendAsk(n, m, g)
	s.duplicateMessages()
	s.deliverFirst(len(s.inFlight))
	s.duplicateMessages()
	s.deliverFirst(len(s.inFlight))
	s.sendReturns(n, g.Deposit(s.now))
	s.deliverFirst(len(s.inFlight))
}

// depositAll ends all acquisitions by Deposit, which puts their tokens into the
// bucket of the process.
func (s *simulation) depositAll(n *process) {
	if !n.running() {
		return
	}
	for _, g := range n.acquisitions {
		s.sendReturns(n, g.Deposit(s.now))
	}
	n.acquisitions = nil
}

func (s *simulation) finishAll(n *process) {
	if !n.running() {
		return
	}
	for _, g := range n.acquisitions {
		grant, refunds, ok := g.Finish(s.now)
		if ok {
			s.leastUsed += grant.Charged
			n.grants = append(n.grants, grant)
		}
		s.sendReturns(n, refunds)
	}
	n.acquisitions = nil
}

func (s *simulation) sendReturns(n *process, refunds []Refund) {
	for _, r := range refunds {
		for _, m := range s.processes {
			if m.vm == r.To && m.alive {
				s.send(n, m, func() { m.buckets.AcceptReturn(s.now, r.Return) })
			}
		}
	}
}

func (s *simulation) settleAll(n *process, usedPercent int) {
	if !n.running() {
		return
	}
	for _, g := range n.grants {
		used := g.Charged / 100 * Amount(usedPercent)
		s.leastUsed -= g.Charged - used
		s.sendReturns(n, n.buckets.Settle(s.now, g, used))
	}
	n.grants = nil
}

func (s *simulation) kill(n *process) {
	n.alive = false
	n.killedAt = s.now
}

func (s *simulation) leave(n *process) {
	if n.running() {
		n.leaving = true
		n.manager.Leave(s.now)
	}
}

// checkShares fails the history if active shares overlap, whether or not their
// tokens are used. The share of a paused VM counts too, since it is active as
// soon as the VM resumes.
func (s *simulation) checkShares() {
	s.updateLimit()
	var shares []Limit
	for _, n := range s.processes {
		if n.alive && s.latestProcess(n.vm) == n {
			shares = append(shares, n.buckets.ActiveShare(s.now, testKey))
		}
	}
	if err := CheckShares(s.limit, shares); err != nil {
		s.t.Fatalf("%v", err)
	}
	if sum := s.admissible(); sum > s.limit.Burst {
		s.t.Fatalf("the fleet can admit %d now, above the burst of %d", sum, s.limit.Burst)
	}
}

// admissible returns the amount that all running VMs together can admit now.
func (s *simulation) admissible() Amount {
	var sum Amount
	for _, n := range s.processes {
		if !n.running() || s.latestProcess(n.vm) != n {
			continue
		}
		sum += n.buckets.Level(s.now, testKey)
		for _, g := range n.acquisitions {
			if !passed(g.deadline, s.now) {
				sum += g.need - g.Missing()
			}
		}
	}
	return sum
}

// updateLimit sets the checker's limit to the highest that may be active on any
// VM. A lowered limit counts once all VMs that may still hold a lease have
// applied it and the loans made before have expired.
func (s *simulation) updateLimit() {
	old := s.now.Add(-2 * LoanLifetime)
	through := len(s.records)
	for _, n := range s.processes {
		if !n.buckets.HasLease(old) || (!n.alive && n.killedAt.Before(old)) {
			continue
		}
		through = min(through, n.appliedThrough(old))
	}
	var l Limit
	for _, c := range s.changes {
		if c.offset <= through {
			l = Limit{}
		}
		l = Limit{Rate: max(l.Rate, c.limit.Rate), Burst: max(l.Burst, c.limit.Burst)}
	}
	if l != s.limit {
		s.limit = l
		s.admissions.Limit(s.now, l)
	}
}

// appliedThrough returns the highest offset that the process had applied at a
// time.
func (n *process) appliedThrough(at time.Time) int {
	through := 0
	for _, a := range n.applied {
		if !a.at.After(at) {
			through = max(through, a.offset)
		}
	}
	return through
}

// drawProcess draws a process.
func (s *simulation) drawProcess(t *rapid.T) *process {
	return s.processes[rapid.IntRange(0, len(s.processes)-1).Draw(t, "node")]
}
