// Package membership tells which VMs exist and which of them answer.
//
// The platform's list, which lags, says who exists. Heartbeats say who answers,
// and carry what VMs tell each other all the time: the applied offset, whether
// the log is reachable, and whether a VM is leaving.
package membership

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"toucanfall/event"
	"toucanfall/fleet"
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
	Leaving      bool              `json:"leaving"`
	At           timeline.Stamp    `json:"at"`
}

// Member is what this VM knows of another one.
type Member struct {
	VM        fleet.VM  `json:"vm"`
	Beat      Beat      `json:"beat"`
	LastHeard time.Time `json:"last_heard"`
	Answering bool      `json:"answering"`
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

	mu      sync.Mutex
	vms     []fleet.VM
	listed  time.Time
	members map[fleet.VMID]*Member
}

// New starts to follow list and to send what beat returns. Close stops it.
func New(self fleet.VMID, list List, caller Caller, beat func() Beat, rec *timeline.Recorder) *Membership {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Membership{
		self:    self,
		list:    list,
		caller:  caller,
		beat:    beat,
		rec:     rec,
		cancel:  cancel,
		members: make(map[fleet.VMID]*Member),
	}
	m.wg.Go(func() { every(ctx, listInterval, m.readList) })
	m.wg.Go(func() { every(ctx, HeartbeatInterval, m.round) })
	return m
}

// Close stops all goroutines and waits for them.
func (m *Membership) Close() {
	m.cancel()
	m.wg.Wait()
}

func every(ctx context.Context, d time.Duration, f func(context.Context)) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
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

// Receive takes a heartbeat that another VM sent and returns the own one.
func (m *Membership) Receive(b Beat) Beat {
	m.heard(b)
	return m.beat()
}

func (m *Membership) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := m.list.VMs(ctx)
	if err != nil {
		m.noteListError(err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms = vms
	m.listed = time.Now()
	known := make(map[fleet.VMID]bool)
	for _, vm := range vms {
		if vm.Role == fleet.RoleEntry && vm.ID != m.self {
			known[vm.ID] = true
			m.member(vm.ID).VM = vm
		}
	}
	for id := range m.members {
		if !known[id] {
			delete(m.members, id)
		}
	}
}

func (m *Membership) noteListError(err error) {
	m.mu.Lock()
	fresh := !m.listed.IsZero()
	m.listed = time.Time{}
	m.mu.Unlock()
	if fresh {
		m.rec.Record(event.ListUnreachable, timeline.Fields{"reason": err.Error()})
	}
}

// member returns the entry of a VM. The caller holds the lock.
func (m *Membership) member(id fleet.VMID) *Member {
	mb, ok := m.members[id]
	if !ok {
		mb = &Member{VM: fleet.VM{ID: id}}
		m.members[id] = mb
	}
	return mb
}

// round sends one heartbeat to every listed VM at once.
func (m *Membership) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	own := m.beat()
	var wg sync.WaitGroup
	for _, mb := range m.Members() {
		wg.Go(func() { m.exchange(ctx, mb, own) })
	}
	wg.Wait()
}

func (m *Membership) exchange(ctx context.Context, mb Member, own Beat) {
	if mb.VM.Address == "" {
		return
	}
	b, err := m.caller.Heartbeat(ctx, mb.VM.Address, own)
	if err == nil {
		m.heard(b)
		return
	}
	m.noteSilence(mb.VM.ID)
}

func (m *Membership) noteSilence(id fleet.VMID) {
	m.mu.Lock()
	mb, ok := m.members[id]
	silent := ok && !mb.LastHeard.IsZero() && !m.answering(mb)
	if silent {
		mb.LastHeard = time.Time{}
	}
	m.mu.Unlock()
	if silent {
		m.rec.Record(event.PeerSilent, timeline.Fields{"vm": string(id)})
	}
}

// heard takes what another VM said of itself. A beat of an older incarnation
// is late and says nothing about the VM as it is now.
func (m *Membership) heard(b Beat) {
	m.rec.Clock.Observe(b.At)
	m.mu.Lock()
	mb := m.member(b.VM)
	if b.Incarnation < mb.Beat.Incarnation {
		m.mu.Unlock()
		return
	}
	joined := mb.LastHeard.IsZero()
	leaving := b.Leaving && !mb.Beat.Leaving
	mb.Beat = b
	mb.LastHeard = time.Now()
	m.mu.Unlock()
	if joined {
		m.rec.Record(event.PeerJoined, timeline.Fields{"vm": string(b.VM)})
	}
	if leaving {
		m.rec.Record(event.PeerLeaving, timeline.Fields{"vm": string(b.VM)})
	}
}
