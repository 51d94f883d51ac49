package coordinator

import (
	"fmt"
	"time"

	"toucanfall/catalogue"
	"toucanfall/fleet"
	"toucanfall/roster"
)

// Report is what an engine says of itself, some time ago.
type Report struct {
	Holdings []roster.Holding
	Pending  []roster.Adapter
	Copies   roster.Copies
	Busy     bool
	Seq      int64
	StartTime     int64
}

// Order is an order to an engine to load or unload a model or an adapter.
type Order struct {
	Unload  bool
	Model   fleet.ModelID
	Adapter fleet.AdapterID
	// Seq is how many orders the engine must have accepted before.
	Seq    int64
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
	// Refused orders cannot be carried out.
	Refused Verdict = iota
	// Accepted orders are being carried out.
	Accepted
	// AlreadySo tells that what was ordered holds.
	AlreadyApplied
	// Busy tells that another order is under way, or another number of orders
	// was accepted before.
	Busy
	// Fenced tells that a higher fencing token was seen.
	Fenced
)

// String returns the name of the verdict for the log.
func (v Verdict) String() string {
	return [...]string{"refused", "accepted", "already so", "busy", "fenced"}[v]
}

// Demand is what a VM was asked for since its last message.
type Demand struct {
	Service catalogue.ServiceID
	Model   fleet.ModelID
	Tokens  fleet.Tokens
}

// Traffic is a VM's requests in flight at an upstream.
type Traffic struct {
	Upstream fleet.UpstreamID
	InFlight int
}

// Use is an adapter, or a model, that a VM has used at an engine since its last
// message, or uses still.
type Use struct {
	Upstream fleet.UpstreamID
	Adapter  roster.Adapter
}

// Sync is a VM's regular message.
type Sync struct {
	VM      fleet.VMID
	Traffic []Traffic
	Demand  []Demand
	Uses    []Use
	// Every is how often the VM sends messages.
	Every time.Duration
	// Known is what the VM was told last.
	Known Known
	// Words are what upstreams have said that the VM has not told yet, Told what it was told
	// of that.
	Words []roster.Word
	Told  Told
}

// Known numbers what a VM was told of the engines' holdings: a version of the
// coordinator of a term, which is its fencing token.
type Known struct {
	Term    int64
	Version uint64
}

// EngineHoldings are the models and adapters that an engine can serve.
type EngineHoldings struct {
	Upstream fleet.UpstreamID
	// Born is the start of the engine that is meant.
	Born     int64
	Models   []fleet.ModelID
	Adapters []roster.Adapter
}

// SyncAnswer answers a Sync.
type SyncAnswer struct {
	// Others are the requests of all other VMs.
	Others []Traffic
	// Known numbers the holdings; those that the VM was told before are left out.
	Known    Known
	Holdings []EngineHoldings
	// Words are what upstreams have said that the VM was not told before.
	Words []roster.Word
	Told  Told
}

// Wish asks for an adapter on some engine.
type Wish struct {
	VM      fleet.VMID
	Service catalogue.ServiceID
	Adapter roster.Adapter
	// Avoid lists engines that the VM could not reach.
	Avoid []fleet.UpstreamID
}

// WishAnswer names the engine and when the adapter can be used there.
type WishAnswer struct {
	Upstream fleet.UpstreamID
	ReadyIn  time.Duration
}
