package membership_test

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"toucanfall/fleet"
	"toucanfall/membership"
	"toucanfall/timeline"
)

var errUnreachable = errors.New("unreachable")

// network connects VMs in memory and serves the VM list. It can silence
// addresses, delay answers and make reads of the list fail.
type network struct {
	mu      sync.Mutex // guards the fields below
	vms     []fleet.VM
	listErr error
	running map[string]*vm // by address
	silent  map[string]bool
	delay   time.Duration
}

type vm struct {
	id          fleet.VMID
	incarnation fleet.Incarnation
	leaving     bool
	applied     fleet.Offset
	rec         *timeline.Recorder
	members     *membership.Membership
}

func newNetwork() *network {
	return &network{running: make(map[string]*vm), silent: make(map[string]bool)}
}

// start starts a VM at an address, in place of any VM that is registered there.
func (n *network) start(id fleet.VMID, address string) *vm {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	v := &vm{
		id:          id,
		incarnation: fleet.Incarnation(time.Now().UnixMilli()),
		rec:         timeline.New(string(id), 256, logger),
	}
	v.members = membership.New(id, n, n, func() membership.Beat { return n.beat(v) }, v.rec)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.running[address] = v
	return v
}

func (n *network) beat(v *vm) membership.Beat {
	n.mu.Lock()
	defer n.mu.Unlock()
	return membership.Beat{VM: v.id, Incarnation: v.incarnation, Applied: v.applied, Leaving: v.leaving, At: v.rec.Clock.Now()}
}

func (n *network) stop(address string) {
	n.mu.Lock()
	v := n.running[address]
	delete(n.running, address)
	n.mu.Unlock()
	if v != nil {
		v.members.Close()
	}
}

func (n *network) locked(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// VMs returns the platform's VM list.
func (n *network) VMs(context.Context) ([]fleet.VM, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.vms), n.listErr
}

// Heartbeat delivers a heartbeat and returns the answer after the delay. If the
// address is silent it delivers nothing and waits until ctx ends.
func (n *network) Heartbeat(ctx context.Context, address string, b membership.Beat) (membership.Beat, error) {
	n.mu.Lock()
	v, silent, delay := n.running[address], n.silent[address], n.delay
	n.mu.Unlock()
	if v == nil {
		return membership.Beat{}, errUnreachable
	}
	if silent {
		<-ctx.Done()
		return membership.Beat{}, ctx.Err()
	}
	reply := v.members.Receive(b)
	select {
	case <-time.After(delay):
		return reply, nil
	case <-ctx.Done():
		return membership.Beat{}, ctx.Err()
	}
}

func (n *network) list(ids ...fleet.VMID) {
	n.locked(func() {
		n.vms = nil
		for _, id := range ids {
			n.vms = append(n.vms, entryVM(id, "addr-"+string(id)))
		}
	})
}

func entryVM(id fleet.VMID, address string) fleet.VM {
	return fleet.VM{ID: id, Role: fleet.RoleEntry, Address: address, State: fleet.VMLive}
}

// member returns what v knows about another VM, or nil if it is not a member.
func (v *vm) member(id fleet.VMID) *membership.Member {
	for _, m := range v.members.Members() {
		if m.VM.ID == id {
			return &m
		}
	}
	return nil
}

func (v *vm) countEvents(name string) int {
	return len(v.rec.Entries(timeline.Filter{Name: name}))
}
