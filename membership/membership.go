// Package membership tells which VMs exist and which of them answer.
//
// The platform's list, which lags, says who exists. Heartbeats say who answers,
// and carry what VMs tell each other all the time: the applied offset, whether
// the log is reachable, and whether a VM is leaving.
//
// Only the answer to an own heartbeat proves that a VM answers, and only for
// the moment at which that heartbeat was sent. A heartbeat that comes in may
// have waited in a buffer for any time, so it brings news but no proof. This
// also holds through a pause of this VM: whatever arrives after it answers a
// heartbeat from before it, and counts as old.
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

// Times of the heartbeat.
const (
	HeartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = time.Second
	// SilentAfter is how long a VM may miss heartbeats before it counts as
	// silent.
	SilentAfter  = 2 * time.Second
	listInterval = time.Second
	listTimeout  = time.Second
)

// Beat is what one VM tells another in a heartbeat.
type Beat struct {
	VM           fleet.VMID        `json:"vm"`
	DataCentre   fleet.DataCentre  `json:"data_centre"`
	Incarnation  fleet.Incarnation `json:"incarnation"`
	Applied      fleet.Offset      `json:"applied"`
	LogReachable bool              `json:"log_reachable"`
	// CutOff is set if the VM reaches neither the log nor a VM that does.
	CutOff  bool `json:"cut_off"`
	Leaving bool `json:"leaving"`
	// Withdrawals is the digest of the withdrawn keys that the VM heard.
	Withdrawals keyring.Digest `json:"withdrawals"`
	// Levels are the largest amounts of tokens that the VM could lend.
	Levels rate.Digest    `json:"levels,omitempty"`
	At     timeline.Stamp `json:"at"`
}

// Newer reports whether b was made after other. A later incarnation is newer
// whatever its clock says; within one incarnation the clock never falls.
func (b Beat) Newer(other Beat) bool {
	if b.Incarnation != other.Incarnation {
		return b.Incarnation > other.Incarnation
	}
	return other.At.Before(b.At)
}

// Member is what this VM knows of another one.
type Member struct {
	VM   fleet.VM `json:"vm"`
	Beat Beat     `json:"beat"`
	// LastHeard is when the last heartbeat was sent that the VM answered.
	LastHeard time.Time `json:"last_heard"`
	Answering bool      `json:"answering"`

	// announced tells that the VM was last reported as answering.
	announced bool
	// calling is set while a heartbeat is under way.
	calling bool
}

// List is the platform's list of VMs.
type List interface {
	VMs(ctx context.Context) ([]fleet.VM, error)
}

// Caller exchanges heartbeats with the VM at an address.
type Caller interface {
	Heartbeat(ctx context.Context, address string, b Beat) (Beat, error)
}

// Membership follows the list and exchanges heartbeats with the other VMs.
type Membership struct {
	self   fleet.VMID
	list   List
	caller Caller
	beat   func() Beat
	rec    *timeline.Recorder
	cancel context.CancelFunc
	wg     sync.WaitGroup

	observers []func(Member)

	mu      sync.Mutex
	vms     []fleet.VM
	known   bool
	failing bool
	members map[fleet.VMID]*Member
}

// New starts to follow list and to send what beat returns. Each observer is
// called for every answer of another VM. Close stops it.
func New(self fleet.VMID, list List, caller Caller, beat func() Beat, rec *timeline.Recorder, observers ...func(Member)) *Membership {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Membership{
		self:    self,
		list:    list,
		caller:  caller,
		beat:    beat,
		rec:     rec,
		cancel:  cancel,
		members: make(map[fleet.VMID]*Member),

		observers: observers,
	}
	m.wg.Go(func() { loop.Every(ctx, listInterval, m.readList) })
	m.wg.Go(func() { loop.Every(ctx, HeartbeatInterval, m.round) })
	return m
}

// Close stops all goroutines and waits for them.
func (m *Membership) Close() {
	m.cancel()
	m.wg.Wait()
}

// Known reports whether the platform's list was ever read.
func (m *Membership) ListRead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known
}

// VMs returns the last list that the platform gave, all roles.
func (m *Membership) VMs() []fleet.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.vms)
}

// Members returns what is known of the other entry VMs, by id.
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

func (m *Membership) answering(mb *Member) bool {
	return !mb.LastHeard.IsZero() && time.Since(mb.LastHeard) < SilentAfter
}

// Receive takes a heartbeat that another VM sent and returns the own one. A VM
// that is not listed yet is ignored until it is.
func (m *Membership) Receive(b Beat) Beat {
	m.rec.Clock.Observe(b.At)
	m.mu.Lock()
	mb, ok := m.members[b.VM]
	var evs []event.Event
	if ok {
		evs = mb.take(b)
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
		m.noteList(err)
	}
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms = vms
	m.known = true
	m.replaceMembers(vms)
	m.mustBeSound()
}

// replaceMembers keeps what is known of VMs that are still listed. A listed VM
// whose address changed is not known to answer there. The caller holds the
// lock.
func (m *Membership) replaceMembers(vms []fleet.VM) {
	next := make(map[fleet.VMID]*Member)
	for _, vm := range vms {
		if vm.Role != fleet.RoleEntry || vm.ID == m.self {
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

func (m *Membership) noteList(err error) {
	m.mu.Lock()
	fresh := err != nil && !m.failing
	m.failing = err != nil
	m.mu.Unlock()
	if fresh {
		m.rec.Record(event.ListUnreachable, timeline.Fields{"reason": err.Error()})
	}
}

// round sends one heartbeat to every listed VM that has none under way. It
// does not wait: a silent VM must not delay the heartbeats to the others.
func (m *Membership) round(ctx context.Context) {
	m.mu.Lock()
	var due []*Member
	for _, mb := range m.members {
		if !mb.calling {
			mb.calling = true
			due = append(due, mb)
		}
	}
	m.mu.Unlock()
	for _, mb := range due {
		m.wg.Go(func() { m.exchange(ctx, mb) })
	}
}

// exchange sends one heartbeat. Members that were dropped meanwhile are no
// longer in the map, so what is noted of them is lost, as it should be.
func (m *Membership) exchange(ctx context.Context, mb *Member) {
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
	mb.calling = false
	var evs []event.Event
	if m.members[vm.ID] == mb {
		evs = m.settle(mb, sent, b, err)
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

// settle notes the end of a heartbeat. An answer of another VM means that this
// one was replaced at its address. The caller holds the lock.
func (m *Membership) settle(mb *Member, sent time.Time, b Beat, err error) []event.Event {
	var evs []event.Event
	if err == nil && b.VM == mb.VM.ID && b.Incarnation >= mb.Beat.Incarnation {
		evs = mb.take(b)
		mb.LastHeard = sent
	}
	now := m.answering(mb)
	switch {
	case now && !mb.announced:
		evs = append(evs, event.PeerJoined)
	case !now && mb.announced:
		evs = append(evs, event.PeerSilent)
	}
	mb.announced = now
	return evs
}

// take replaces what the VM said by b if b is newer: heartbeats come late, out
// of order and twice.
func (mb *Member) take(b Beat) []event.Event {
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

// Check reports a broken invariant: a member that is not listed, is this VM
// itself or holds the heartbeat of another VM, or an answer from the future.
func (m *Membership) Check() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.check()
}

func (m *Membership) check() error {
	listed := make(map[fleet.VMID]bool)
	for _, vm := range m.vms {
		listed[vm.ID] = vm.Role == fleet.RoleEntry
	}
	for id, mb := range m.members {
		switch {
		case !listed[id]:
			return fmt.Errorf("VM %q is a member but is not listed", id)
		case id == m.self:
			return fmt.Errorf("VM %q is a member of its own", id)
		case mb.Beat.VM != "" && mb.Beat.VM != id:
			return fmt.Errorf("VM %q holds a heartbeat of VM %q", id, mb.Beat.VM)
		case mb.LastHeard.After(time.Now()):
			return fmt.Errorf("VM %q answered at %v, which is still to come", id, mb.LastHeard)
		case !mb.LastHeard.IsZero() && mb.Beat.VM == "":
			return fmt.Errorf("VM %q answered but said nothing", id)
		}
	}
	return nil
}

// mustBeSound ends the program on a broken invariant. The caller holds the
// lock.
func (m *Membership) mustBeSound() {
	if err := m.check(); err != nil {
		panic("membership: " + err.Error())
	}
}
