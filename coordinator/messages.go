package coordinator

import (
	"fmt"
	"time"

	"toucanfall/catalogue"
	"toucanfall/fleet"
	"toucanfall/roster"
)

// Report is an engine's description of its state. The state may be from up to maxReportAge
// before the report was requested.
type Report struct {
	Holdings []roster.Holding
	Pending  []roster.Adapter
	Copies   roster.Copies
	// Busy reports whether an order to load or unload a model is being carried out.
	Busy bool
	// Seq is the number of orders that the engine has accepted.
	Seq int64
	// StartTime identifies the start of the engine, 0 if the engine does not name it.
	StartTime int64
}

// Order is an order to an engine to load or unload a model or an adapter.
type Order struct {
	Unload  bool
	Model   fleet.ModelID
	Adapter fleet.AdapterID
	// Seq is the number of orders that the engine must have accepted before this one. With
	// another number it answers Busy.
	Seq int64
	// Holder is the VM that sends the order, Fence its fencing token.
	Holder fleet.VMID
	Fence  int64
}

// String describes the order for the log.
func (o Order) String() string {
	verb := "load"
	if o.Unload {
		verb = "unload"
	}
	return fmt.Sprintf("%s %s/%s", verb, o.Model, o.Adapter)
}

// Verdict is an engine's answer to an order.
type Verdict int

// The verdicts.
const (
	// Refused means that the order cannot be carried out.
	Refused Verdict = iota
	// Accepted means that the order is being carried out.
	Accepted
	// AlreadyApplied means that the engine is in the ordered state: it was before the order,
	// or it has unloaded an adapter at once.
	AlreadyApplied
	// Busy means that another order is being carried out, or that the engine has accepted
	// another number of orders than Order.Seq.
	Busy
	// Fenced means that the engine has seen a higher fencing token.
	Fenced
)

// String returns the name of the verdict for the log.
func (v Verdict) String() string {
	return [...]string{"refused", "accepted", "already so", "busy", "fenced"}[v]
}

// Demand is the number of tokens requested of a model through a VM since its last message.
type Demand struct {
	Service catalogue.ServiceID
	Model   fleet.ModelID
	Tokens  fleet.Tokens
}

// Traffic is the number of requests that a VM has in flight at an upstream.
type Traffic struct {
	Upstream fleet.UpstreamID
	InFlight int
}

// Use is an adapter, or a model if no adapter is set, that a VM has used at an engine since
// its last message or still uses.
type Use struct {
	Upstream fleet.UpstreamID
	Adapter  roster.Adapter
}

// Sync is the message that each VM sends at regular intervals, to the coordinator or
// through a relay.
type Sync struct {
	VM      fleet.VMID
	Traffic []Traffic
	Demand  []Demand
	Uses    []Use
	// Every is the interval between the VM's messages.
	Every time.Duration
	// Known is the version of the holdings that the VM received last.
	Known Known
	// Words are the shared notices that the VM has not sent to this receiver yet. Told is
	// the position up to which the VM has received the receiver's notices.
	Words []roster.Word
	Told  Told
}

// Known is a version of the engines' holdings: Term is the coordinator's fencing token,
// Version counts the changes within that term.
type Known struct {
	Term    int64
	Version uint64
}

// EngineHoldings lists the models and adapters that an engine can serve.
type EngineHoldings struct {
	Upstream fleet.UpstreamID
	// Born identifies the start of the engine to which the lists apply.
	Born     int64
	Models   []fleet.ModelID
	Adapters []roster.Adapter
}

// SyncAnswer is the answer to a Sync.
type SyncAnswer struct {
	// Others are the sums over all other VMs of the requests in flight, by upstream.
	Others []Traffic
	// Known is the version of the holdings after this answer. Holdings lists the engines
	// that have changed since the version in the Sync.
	Known    Known
	Holdings []EngineHoldings
	// Words are the shared notices that are new to the VM, Told the position up to which it
	// has received them.
	Words []roster.Word
	Told  Told
}

// Wish requests that an adapter be loaded at some engine of a service.
type Wish struct {
	VM      fleet.VMID
	Service catalogue.ServiceID
	Adapter roster.Adapter
	// Avoid lists engines that the VM could not reach.
	Avoid []fleet.UpstreamID
}

// WishAnswer names the engine and the time until the adapter can be used there.
type WishAnswer struct {
	Upstream fleet.UpstreamID
	ReadyIn  time.Duration
}
