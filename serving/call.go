// Package serving is the core of the gateway: it admits a client's request, chooses an upstream,
// makes the attempts that the route allows, and streams the answer to the client.
package serving

import (
	"net/http"
	"time"

	"toucanfall/catalogue"
	"toucanfall/fleet"
	"toucanfall/roster"
)

// Call is a client's request.
type Call struct {
	ID     fleet.RequestID
	Method string
	// Target is the request target, byte for byte as the client sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ClientTimeout is the client's timeout, counted from when it sent the request; 0 if the
	// client gave none.
	ClientTimeout time.Duration

	// Model and Adapter are empty if the client names none.
	Model   fleet.ModelID
	Adapter fleet.AdapterID
	// TokensIn and TokensOut are the tokens of the prompt and of the answer, as the client gave
	// them; 0 if it gave none.
	TokensIn  fleet.Tokens
	TokensOut fleet.Tokens
	// HasTokenCounts is set if the client gave its token counts.
	HasTokenCounts bool
	// Parts are the parts of the prompt that other requests may share, in order: all but the last.
	Parts []fleet.PartID
	// LastEvent is the id of the event after which a stream is to be resumed, "" for a new one.
	LastEvent string

	// Route, Team and Priority are set by the handler. Team is empty if the request needs no key.
	Route *catalogue.Route
	Team  fleet.TeamID
	// Priority is the rank of the request in the queues of engines; 0 is the most urgent.
	Priority int

	// fingerprint stands for the request as a whole, whatever its id. quarantineParts holds it and Parts: what the
	// request is known by if it crashes engines.
	fingerprint     fleet.PartID
	quarantineParts []fleet.PartID

	// allowedRegions holds the regions that the route and the team allow; an empty list allows all.
	allowedRegions [2][]fleet.Region

	received time.Time
	// readAt is when the whole request had been read.
	readAt time.Time
	// charged is what was taken from the team's limit, to be refunded if the request does not run.
	charged fleet.Tokens
}

// AttemptHeader holds the values of the request headers that differ between the attempts of a
// call.
type AttemptHeader struct {
	Upstream fleet.UpstreamID
	// Remaining is the time that remains for the upstream to answer; 0 means no limit.
	Remaining time.Duration
	// Priority is the rank that the engine is given, -1 for none.
	Priority int
	// LastEvent is the id of the event after which the upstream is to resume the stream, "" for a
	// new one.
	LastEvent string
}

// Reply is what the headers of an upstream's answer state about the request.
type Reply struct {
	// Status is the HTTP status of the answer.
	Status int
	// NotRun is set if the upstream states that it did not run the request.
	NotRun bool
	// Misrouted is set if the request reached another upstream than the one it names, or
	// one that lacks the model or adapter.
	Misrouted bool
	// Load is the upstream's load; it is valid if HasLoad is set.
	Load    roster.Load
	HasLoad bool
}

// ResponseNotice is what the headers of an upstream's answer state about the upstream itself.
type ResponseNotice struct {
	// Request is the id of the answered request, "" if the answer does not name it.
	Request fleet.RequestID
	Notice  roster.Notice
	// Malformed lists the malformed headers, which are ignored.
	Malformed []MalformedHeader
}

// MalformedHeader is a malformed header of an answer.
type MalformedHeader struct {
	Name, Value string
}

// modelAdapter returns the model and adapter of the call, the zero value at plain services.
func (c *Call) modelAdapter() roster.Adapter {
	return roster.Adapter{Model: c.Model, Adapter: c.Adapter}
}

// deadline returns when the call must be answered, by the shorter of the route's and the
// client's timeout. It returns the zero time if there is no limit.
func (c *Call) deadline() time.Time {
	d := c.Route.Timeout
	if c.ClientTimeout > 0 && (d == 0 || c.ClientTimeout < d) {
		d = c.ClientTimeout
	}
	if d == 0 {
		return time.Time{}
	}
	return c.received.Add(d)
}

// remaining returns the time until the deadline, at least 1 ms, or 0 if there is no limit.
func (c *Call) remaining(now time.Time) time.Duration {
	deadline := c.deadline()
	if deadline.IsZero() {
		return 0
	}
	return max(deadline.Sub(now), time.Millisecond)
}
