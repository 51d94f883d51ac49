// Package prefill limits how many prompt tokens an engine is sent at a time.
//
// An engine reads (prefills) prompts between the tokens of the streams that it generates, so
// prompts that arrive together pause all of its streams. The VMs of a fleet each send a part
// of an engine's prompts. One VM, the engine's host, keeps the account of all of them: a VM
// acquires a [Credit] before it sends a prompt and returns it with the first event of the
// answer. The host grants credits while the tokens of those that were not returned fit into
// the engine's window. A prompt that was read during an event's pause has not had its first
// event yet, so the window bounds the tokens read during any pause.
//
// Where the capacity of engines is known and the deployment asks for it, the host also accounts for the
// slots and the memory of the engine, which a run holds until it has ended.
//
// The account is advisory: a VM that cannot reach the host sends without a credit.
package prefill

import (
	"time"

	"toucanfall/fleet"
)

// ServiceName is the net/rpc name of the [Host] of a VM.
const ServiceName = "Prefill"

// CreditID identifies a credit. Process is a random number for each start of a VM's process.
type CreditID struct {
	Process, Number uint64
}

// Request asks the host of an engine for a credit.
type Request struct {
	// ID is set by the Client.
	ID       CreditID
	Upstream fleet.UpstreamID
	// Born identifies the start of the upstream.
	Born int64
	// Tokens is the length of the prompt.
	Tokens fleet.Tokens
	// MaxPause is the longest pause between events for which an answer is on time.
	MaxPause time.Duration
	// Slack is the time until the first event is late, negative if it is already.
	Slack time.Duration
	// Rank is the priority of the request; 0 is the most urgent.
	Rank int
	// Wait is how long the host holds the request until a credit is free.
	Wait time.Duration
	// Capacity is what the engine can run, as the VM knows it; the zero value if its runs are not
	// accounted for. The fields below are needed only if they are.
	Capacity Capacity
	// Team is the team whose request it is.
	Team fleet.TeamID
	// Output is the expected length of the answer.
	Output fleet.Tokens
	// Objective is the time to the first event for which the answer is on time, 0 if there is none.
	Objective time.Duration
	// Patience is how long the request may wait so that there is time for its answer. It is not held if
	// the forecast is longer.
	Patience time.Duration
	// Lifetime is how long the run counts if it is not returned.
	Lifetime time.Duration
	// Returned are the credits that the VM has returned since its last message to the host.
	Returned []Return
}

// Return ends a credit. FirstEvent is the time from the grant to the first event: the run goes on then,
// where runs are accounted for. If it is 0, there was none or the run has ended.
type Return struct {
	ID         CreditID
	Upstream   fleet.UpstreamID
	FirstEvent time.Duration
	// Load, if HasLoad is set, is the number of requests that ran and waited at the engine by its
	// answer, LoadAge before.
	HasLoad bool
	Load    int
	LoadAge time.Duration
}

// Answer answers a Request.
type Answer struct {
	Granted bool
	// Wait is the forecast of how long a request that was not granted has to wait.
	Wait time.Duration
	// Reason is what a request lacked that was not granted, where runs are accounted for.
	Reason Reason
	// Running and Waiting are the numbers of requests that run at the engine, this one included, and
	// that wait at the host. They are valid if HasRuns is set.
	HasRuns          bool
	Running, Waiting int
}

// Returns carries returned credits without a request.
type Returns struct {
	Returned []Return
}
