// Package serving is the core of the gateway: it admits a client's request,
// chooses an upstream, makes the attempts that the route allows, and hands the
// answer on as it comes.
package serving

import (
	"net/http"
	"time"

	"toucanfall/catalogue"
	"toucanfall/fault"
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
	// Patience is how long the client waits from when it sent the request; 0
	// means that it did not say.
	ClientTimeout time.Duration

	Model     fleet.ModelID
	Adapter   fleet.AdapterID
	TokensIn  fleet.Tokens
	TokensOut fleet.Tokens
	// Counted is set if the client gave its token counts.
	HasTokenCounts bool
	// LastEvent is the event after which a stream is to go on.
	LastEvent string

	// Route and Team are found by the gateway. Team is empty on public routes.
	Route *catalogue.Route
	Team  fleet.TeamID
	// Priority is the rank of the request, 0 is the most urgent.
	Priority int

	received time.Time
	charged  fleet.Tokens
}

// Attempt is what is particular to one sending of a call.
type AttemptHeader struct {
	Upstream fleet.UpstreamID
	// Left is how long the upstream may work; 0 means no bound.
	Remaining time.Duration
	// Priority is the rank at the engine, -1 for none.
	Priority  int
	LastEvent string
}

// Reply is what the head of an upstream's answer tells.
type Reply struct {
	Status int
	// NotRun is set if the upstream says that it did not run the request.
	NotRun bool
	// Mistaken is set if the request came to another upstream than it names, or
	// to one that lacks the model or adapter.
	Misrouted bool
	Load     Load
	HasLoad  bool
}

// Said is what the head of an upstream's answer tells of the upstream itself.
type ResponseNotice struct {
	// Request is the request that is answered, "" if the answer does not say.
	Request fleet.RequestID
	Notice  roster.Notice
	// Odd lists the headers that break their form, and are left out.
	Malformed []MalformedHeader
}

// OddHeader is a header of an answer that breaks its form.
type MalformedHeader struct {
	Name, Value string
}

// Load is what an upstream says of its load.
type Load struct {
	Running, Waiting int
}

// wanted names the model and adapter of the call, nothing at plain services.
func (c *Call) wanted() roster.Adapter {
	return roster.Adapter{Model: c.Model, Adapter: c.Adapter}
}

// deadline returns when the call has to be answered, the zero time if there is
// no bound.
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

// left returns what remains of the time in which the call has to be answered,
// 0 if there is no bound.
func (c *Call) left(now time.Time) time.Duration {
	end := c.deadline()
	if end.IsZero() {
		return 0
	}
	return max(end.Sub(now), time.Millisecond)
}

// pace is how long a request takes: its first byte, and each token after it.
type pace struct{ first, token time.Duration }

// Paces by which a VM that is about to stop refuses what it could not end.
var (
	// usualPace is that of a loaded engine on played days. It serves while a
	// request that is cut in the end was taken in good faith.
	usualPace = pace{first: 1200 * time.Millisecond, token: 9 * time.Millisecond}
	// slowPace is that of the most loaded engines. It serves once the balancer
	// sends nothing more, when whatever is taken has to end.
	slowPace = pace{first: 1500 * time.Millisecond, token: 25 * time.Millisecond}
)

// lateStop is how long before its end a VM that stops gets no more connections
// from the balancer.
const lateStop = 4600 * time.Millisecond

// endsBy refuses a call that may not be over when the process ends.
func (c *Call) endsBy(end time.Time) error {
	if end.IsZero() {
		return nil
	}
	left, p := time.Until(end), usualPace
	if left < lateStop {
		p = slowPace
	}
	if left > p.first+time.Duration(c.TokensOut)*p.token {
		return nil
	}
	return fault.New(fault.Stopping, "this VM stops before the request could end").WithRetryAfter(stopRetry)
}

// stopRetry is when to come back to another VM: at once.
const stopRetry = 20 * time.Millisecond
