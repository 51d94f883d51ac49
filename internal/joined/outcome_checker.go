package joined

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"toucanfall/dialect"
	"toucanfall/fault"
	"toucanfall/standin"
)

// OutcomeChecker records the outcome of every request as its caller saw it, and compares the
// outcomes with what the upstreams received. It is safe for concurrent use.
type OutcomeChecker struct {
	// mu guards the fields below.
	mu         sync.Mutex
	notRun     map[string]bool
	completed  map[string]bool
	unknown    map[string]bool
	attempts   int
	complete   int
	violations []string
	errors     map[fault.Kind]int
	usages     []usage
}

// usage is the token usage of one complete answer. The tokens were charged at some time
// between begin, when the request was sent, and end, when the answer was complete.
type usage struct {
	tokens     float64
	begin, end time.Time
}

// NewOutcomeChecker returns a checker without outcomes.
func NewOutcomeChecker() *OutcomeChecker {
	return &OutcomeChecker{notRun: make(map[string]bool), completed: make(map[string]bool), unknown: make(map[string]bool), errors: make(map[fault.Kind]int)}
}

// Violations describes the violations found so far.
func (c *OutcomeChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Errors returns the number of requests without a complete answer by kind of error.
func (c *OutcomeChecker) Errors() map[fault.Kind]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.errors)
}

// Counts returns the number of requests and the number of complete answers.
func (c *OutcomeChecker) Counts() (attempts, complete int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts, c.complete
}

func (c *OutcomeChecker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// RecordCompletion records the outcome of a completion request with the given prompt and
// maxTokens, which was sent at begin and has ended now. text is what arrived; it must be a
// prefix of the answer that the simulated engines generate, and all of it if err is nil.
func (c *OutcomeChecker) RecordCompletion(prompt string, maxTokens int, begin time.Time, text string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts++
	want := strings.Join(standin.AnswerTokens(dialect.GenerateRequest{
		Messages:  []dialect.Message{{Role: "user", Content: prompt}},
		MaxTokens: maxTokens,
	}), "")
	switch {
	case err == nil && text != want:
		c.violation("completion of %q succeeded with the wrong text %q", prompt, text)
	case !strings.HasPrefix(want, text):
		c.violation("completion of %q failed after the wrong text %q", prompt, text)
	case err == nil:
		c.complete++
		words := len(strings.Fields(prompt))
		c.usages = append(c.usages, usage{tokens: float64(words + maxTokens), begin: begin, end: time.Now()})
	default:
		c.errors[fault.KindOf(err)]++
	}
}

// CheckRate compares the token usage in every interval with the rate limit of [Team]. An
// answer counts only in intervals that contain it completely, because only then its tokens
// were certainly charged in the interval.
func (c *OutcomeChecker) CheckRate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, from := range c.usages {
		for _, to := range c.usages {
			if to.end.After(from.begin) {
				c.checkInterval(from.begin, to.end)
			}
		}
	}
}

func (c *OutcomeChecker) checkInterval(from, to time.Time) {
	sum := 0.0
	for _, u := range c.usages {
		if !u.begin.Before(from) && !u.end.After(to) {
			sum += u.tokens
		}
	}
	if limit := TeamBurst + TeamRate*to.Sub(from).Seconds(); sum > limit {
		c.violation("the team used %.0f tokens in %s, limit %.0f", sum, to.Sub(from), limit)
	}
}

// RecordBooking records the outcome of a booking of an item, whose name is also the
// idempotency key.
func (c *OutcomeChecker) RecordBooking(item string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts++
	if err != nil {
		c.errors[fault.KindOf(err)]++
	}
	switch {
	case err == nil:
		c.complete++
		c.completed[item] = true
	case fault.Lookup(fault.KindOf(err)).NotRun:
		c.notRun[item] = true
	default:
		c.unknown[item] = true
	}
}

// RecordUnauthorized records the outcome of a request with the key of a team that may not use
// the route. It must fail.
func (c *OutcomeChecker) RecordUnauthorized(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.violation("a request with the key of another team succeeded")
	}
}

// RecordWithdrawnKey records the outcome of a request to a VM that was sent after the
// withdrawal of its key had to be effective on all VMs. It must fail.
func (c *OutcomeChecker) RecordWithdrawnKey(vm int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.violation("VM %d served a withdrawn key", vm)
	}
}

// CheckUpstreams compares the recorded outcomes with the requests that the services received,
// and checks that no service received one of the secrets and that no engine exceeded its
// memory.
func (c *OutcomeChecker) CheckUpstreams(services []*standin.Service, engines []*standin.Engine, secrets ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := make(map[string]int)
	for _, s := range services {
		for _, r := range s.Bookings() {
			runs[r.Item]++
		}
		c.checkHeaders(s, secrets)
	}
	for item, n := range runs {
		if n > 1 {
			c.violation("booking %s ran %d times", item, n)
		}
		// An error that says "not run" covers only its own request. Another request
		// for the same item may have run, even if its caller got no answer.
		if c.notRun[item] && !c.completed[item] && !c.unknown[item] {
			c.violation("booking %s ran, but every caller got an error that says it did not", item)
		}
	}
	for item := range c.completed {
		if runs[item] == 0 {
			c.violation("booking %s did not run, but its caller got an answer", item)
		}
	}
	for i, e := range engines {
		if r := e.Report(); r.Used > r.Capacity {
			c.violation("engine %d uses %d of %d bytes", i, r.Used, r.Capacity)
		}
	}
}

func (c *OutcomeChecker) checkHeaders(s *standin.Service, secrets []string) {
	for _, h := range s.Headers() {
		for name, values := range h {
			for _, secret := range secrets {
				if strings.Contains(strings.Join(values, " "), secret) {
					c.violation("a service received a caller's key in the header %s", name)
				}
			}
		}
	}
}
