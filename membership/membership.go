// Package membership tracks which VMs exist and which of them answer.
//
// The platform's VM list, which may lag behind, defines which VMs exist. Heartbeats
// determine which of them answer, and carry the state that VMs report regularly:
// the applied offset, whether the log is reachable, and whether the VM is leaving.
//
// Only an answer to a heartbeat of this VM confirms that another VM answers, and
// only as of the time when that heartbeat was sent. A received heartbeat may have
// been buffered for any length of time, so it updates the reported state but
// confirms nothing. This also covers a pause of this VM: an answer that is read
// after the pause belongs to a heartbeat sent before it, and counts from then.
package membership

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/internal/loop"
	"toucanfall/keyring"
	"toucanfall/rate"
	"toucanfall/timeline"
)

// Timing of heartbeats and of reading the list.
const (
	// HeartbeatInterval is the time between two heartbeats to the same VM.
	HeartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = time.Second
	// SilentAfter is how long after the last answered heartbeat was sent a VM
	// counts as silent.
	SilentAfter  = 2 * time.Second
	listInterval = time.Second
	listTimeout  = time.Second
)

// Beat is the content of a heartbeat and of the answer to one.
type Beat struct {
	VM           fleet.VMID        `json:"vm"`
	DataCentre   fleet.DataCentre  `json:"data_centre"`
	Incarnation  fleet.Incarnation `json:"incarnation"`
	Applied      fleet.Offset      `json:"applied"`
	LogReachable bool              `json:"log_reachable"`
	// CutOff is set if the VM reaches neither the log nor a VM that reaches the log.
	CutOff  bool `json:"cut_off"`
	Leaving bool `json:"leaving"`
	// Withdrawals is the digest of the withdrawn keys known to the VM.
	Withdrawals keyring.Digest `json:"withdrawals"`
	// Levels are the largest amounts of tokens that the VM can lend.
	Levels rate.Digest    `json:"levels,omitempty"`
	At     timeline.Stamp `json:"at"`
}

// Newer reports whether b was created after other. A later incarnation is newer
// regardless of its clock; within one incarnation the clock never goes backwards.
func (b Beat) Newer(other Beat) bool {
	if b.Incarnation != other.Incarnation {
		return b.Incarnation > other.Incarnation
	}
	return other.At.Before(b.At)
}

// Member is what this VM knows about another VM.
type Member struct {
	VM   fleet.VM `json:"vm"`
	Beat Beat     `json:"beat"`
	// LastHeard is when the last heartbeat that the VM answered was sent. It is
	// zero if the VM never answered.
	LastHeard time.Time `json:"last_heard"`
	// Answering is set by [Membership.Members] if LastHeard is less than
	// [SilentAfter] ago.
	Answering bool `json:"answering"`

	// reportedAnswering is set if the last recorded event was that the VM answers.
	reportedAnswering bool
	// heartbeatInFlight is set while a heartbeat to the VM is under way.
	heartbeatInFlight bool
}

// List reads the platform's VM list.
type List interface {
	VMs(ctx context.Context) ([]fleet.VM, error)
}

// Caller exchanges heartbeats with the VM at an address.
type Caller interface {
	Heartbeat(ctx context.Context, address string, b Beat) (Beat, error)
}

// Membership polls the list and exchanges heartbeats with the other entry VMs. It
// is safe for concurrent use.
type Membership struct {
	selfID fleet.VMID
	list   List
	caller Caller
	beat   func() Beat
	rec    *timeline.Recorder
	cancel context.CancelFunc
	wg     sync.WaitGroup

	observers []func(Member)

	mu sync.Mutex // guards the fields below and the members
	// vms is the platform's VM list as last read, with all roles.
	vms      []fleet.VM
	listRead bool
	// listFailing is set if the last read of the list failed.
	listFailing bool
	// members holds the other entry VMs in vms.
	members map[fleet.VMID]*Member
}

// New starts polling list and sending the heartbeats that beat returns. Each
// observer is called for every answer of another VM. beat and the observers are
// called without the lock, possibly concurrently. Close stops polling and sending.
func New(selfID fleet.VMID, list List, caller Caller, beat func() Beat, rec *timeline.Recorder, observers ...func(Member)) *Membership {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Membership{
		selfID:  selfID,
		list:    list,
		caller:  caller,
		beat:    beat,
		rec:     rec,
		cancel:  cancel,
		members: make(map[fleet.VMID]*Member),

		observers: observers,
	}
	m.wg.Go(func() { loop.Every(ctx, listInterval, m.readList) })
	m.wg.Go(func() { loop.Every(ctx, HeartbeatInterval, m.sendHeartbeats) })
	return m
}

// Close stops all goroutines and waits for them.
func (m *Membership) Close() {
	m.cancel()
	m.wg.Wait()
}

// ListRead reports whether the platform's VM list was ever read.
func (m *Membership) ListRead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listRead
}

// VMs returns the platform's VM list as last read, with all roles.
func (m *Membership) VMs() []fleet.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.vms)
}

// Members returns what is known about the other entry VMs, sorted by id.
func (m *Membership) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Member
	for _, mb := range m.members {
		c := *mb
		c.Answering = m.answering(mb)
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(string(a.VM.ID), string(b.VM.ID)) })
	return out
}

// answering reports whether a member counts as answering now. The caller must
// hold mu.
func (m *Membership) answering(mb *Member) bool {
	return !mb.LastHeard.IsZero() && time.Since(mb.LastHeard) < SilentAfter
}

// Receive processes another VM's heartbeat and returns this VM's own as the
// answer. The state reported by a VM that is not listed is ignored.
func (m *Membership) Receive(b Beat) Beat {
	m.rec.Clock.Observe(b.At)
	m.mu.Lock()
	mb, ok := m.members[b.VM]
	var evs []event.Event
	if ok {
		evs = mb.apply(b)
	}
	m.mu.Unlock()
	m.report(b.VM, evs)
	return m.beat()
}

func (m *Membership) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := m.list.VMs(ctx)
	if ctx.Err() == nil || err == nil {
		m.recordListResult(err)
	}
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms = vms
	m.listRead = true
	m.replaceMembers(vms)
	m.panicIfInvalid()
}

// replaceMembers sets the members to the other entry VMs in vms. It keeps the
// state of VMs that are still listed at the same address; after a change of
// address a VM has not yet answered there. The caller must hold mu.
func (m *Membership) replaceMembers(vms []fleet.VM) {
	next := make(map[fleet.VMID]*Member)
	for _, vm := range vms {
		if vm.Role != fleet.RoleEntry || vm.ID == m.selfID {
			continue
		}
		mb, ok := m.members[vm.ID]
		if !ok || mb.VM.Address != vm.Address {
			mb = &Member{}
		}
		mb.VM = vm
		next[vm.ID] = mb
	}
	m.members = next
}

func (m *Membership) recordListResult(err error) {
	m.mu.Lock()
	firstFailure := err != nil && !m.listFailing
	m.listFailing = err != nil
	m.mu.Unlock()
	if firstFailure {
		m.rec.Record(event.ListUnreachable, timeline.Fields{"reason": err.Error()})
	}
}

// sendHeartbeats starts a heartbeat to every member that has none under way. It
// does not wait for answers, so a silent VM does not delay heartbeats to others.
func (m *Membership) sendHeartbeats(ctx context.Context) {
	m.mu.Lock()
	var due []*Member
	for _, mb := range m.members {
		if !mb.heartbeatInFlight {
			mb.heartbeatInFlight = true
			due = append(due, mb)
		}
	}
	m.mu.Unlock()
	for _, mb := range due {
		m.wg.Go(func() { m.exchangeHeartbeat(ctx, mb) })
	}
}

// exchangeHeartbeat sends one heartbeat and processes the answer. The result is
// ignored if the member was replaced or removed from the map in the meantime.
func (m *Membership) exchangeHeartbeat(ctx context.Context, mb *Member) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	m.mu.Lock()
	vm := mb.VM
	m.mu.Unlock()
	sent := time.Now()
	b, err := m.caller.Heartbeat(ctx, vm.Address, m.beat())
	if err == nil {
		m.rec.Clock.Observe(b.At)
	}
	m.mu.Lock()
	mb.heartbeatInFlight = false
	var evs []event.Event
	if m.members[vm.ID] == mb {
		evs = m.applyResult(mb, sent, b, err)
	}
	answered := err == nil && mb.LastHeard.Equal(sent)
	c := *mb
	m.mu.Unlock()
	m.report(vm.ID, evs)
	if answered {
		for _, observe := range m.observers {
			observe(c)
		}
	}
}

// applyResult updates a member with the result of a heartbeat and returns the
// events to record. An answer with another id means that the VM was replaced at its
// address, and does not count. The caller must hold mu.
func (m *Membership) applyResult(mb *Member, sent time.Time, b Beat, err error) []event.Event {
	var evs []event.Event
	if err == nil && b.VM == mb.VM.ID && b.Incarnation >= mb.Beat.Incarnation {
		evs = mb.apply(b)
		mb.LastHeard = sent
	}
	answering := m.answering(mb)
	switch {
	case answering && !mb.reportedAnswering:
		evs = append(evs, event.PeerJoined)
	case !answering && mb.reportedAnswering:
		evs = append(evs, event.PeerSilent)
	}
	mb.reportedAnswering = answering
	return evs
}

// apply stores b if it is newer than the stored heartbeat, and returns the events
// to record. Heartbeats may arrive late, out of order or more than once. The caller
// must hold Membership.mu.
func (mb *Member) apply(b Beat) []event.Event {
	if !b.Newer(mb.Beat) {
		return nil
	}
	old := mb.Beat
	mb.Beat = b
	var evs []event.Event
	if old.Incarnation != 0 && b.Incarnation > old.Incarnation {
		evs = append(evs, event.PeerRestarted)
	}
	if b.Leaving && (!old.Leaving || b.Incarnation > old.Incarnation) {
		evs = append(evs, event.PeerLeaving)
	}
	return evs
}

func (m *Membership) report(id fleet.VMID, evs []event.Event) {
	for _, ev := range evs {
		m.rec.Record(ev, timeline.Fields{"vm": string(id)})
	}
}

// Check returns an error if an invariant is violated: a member is not listed, is
// this VM itself, holds a heartbeat of another VM, or has answered a heartbeat
// sent in the future or one without content.
func (m *Membership) Check() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.checkInvariants()
}

// checkInvariants implements Check. The caller must hold mu.
func (m *Membership) checkInvariants() error {
	listed := make(map[fleet.VMID]bool)
	for _, vm := range m.vms {
		listed[vm.ID] = vm.Role == fleet.RoleEntry
	}
	for id, mb := range m.members {
		switch {
		case !listed[id]:
			return fmt.Errorf("VM %q is a member but is not listed", id)
		case id == m.selfID:
			return fmt.Errorf("VM %q is a member of itself", id)
		case mb.Beat.VM != "" && mb.Beat.VM != id:
			return fmt.Errorf("VM %q holds a heartbeat of VM %q", id, mb.Beat.VM)
		case mb.LastHeard.After(time.Now()):
			return fmt.Errorf("VM %q answered a heartbeat sent at %v, which is in the future", id, mb.LastHeard)
		case !mb.LastHeard.IsZero() && mb.Beat.VM == "":
			return fmt.Errorf("VM %q answered but no heartbeat of it is stored", id)
		}
	}
	return nil
}

// panicIfInvalid panics if an invariant is violated. The caller must hold mu.
func (m *Membership) panicIfInvalid() {
	if err := m.checkInvariants(); err != nil {
		panic("membership: " + err.Error())
	}
}
