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

// Book keeps what callers were told, and compares it with what the upstreams
// saw. It is safe for concurrent use.
type OutcomeChecker struct {
	mu       sync.Mutex
	notRun   map[string]bool
	done     map[string]bool
	unsure   map[string]bool
	attempts int
	whole    int
	broken   []string
	refused  map[fault.Kind]int
	used     []use
}

// use is the tokens of one whole answer. They were admitted at some time
// between the request and the end of the answer.
type use struct {
	tokens     float64
	begin, end time.Time
}

// NewBook returns an empty book.
func NewOutcomeChecker() *OutcomeChecker {
	return &OutcomeChecker{notRun: make(map[string]bool), done: make(map[string]bool), unsure: make(map[string]bool), refused: make(map[fault.Kind]int)}
}

// Broken lists the promises that were seen broken.
func (b *OutcomeChecker) Violations() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.broken...)
}

// Refused counts the requests that were not answered whole, by kind.
func (b *OutcomeChecker) Errors() map[fault.Kind]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.refused)
}

// Counts returns the requests of callers and those answered whole.
func (b *OutcomeChecker) Counts() (attempts, whole int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.attempts, b.whole
}

func (b *OutcomeChecker) breach(format string, args ...any) {
	b.broken = append(b.broken, fmt.Sprintf(format, args...))
}

// Draft notes the outcome of a draft of maxTokens tokens for a prompt, which was
// asked for at begin and has ended now.
func (b *OutcomeChecker) RecordCompletion(prompt string, maxTokens int, begin time.Time, text string, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts++
	want := strings.Join(standin.AnswerTokens(dialect.GenerateRequest{
		Messages:  []dialect.Message{{Role: "user", Content: prompt}},
		MaxTokens: maxTokens,
	}), "")
	switch {
	case err == nil && text != want:
		b.breach("draft %q ended whole with the text %q", prompt, text)
	case !strings.HasPrefix(want, text):
		b.breach("draft %q was cut with the text %q", prompt, text)
	case err == nil:
		b.whole++
		words := len(strings.Fields(prompt))
		b.used = append(b.used, use{tokens: float64(words + maxTokens), begin: begin, end: time.Now()})
	default:
		b.refused[fault.KindOf(err)]++
	}
}

// CheckRate compares the whole answers of every interval with the burst and the
// rate of the team that drafts. An answer counts only in intervals that hold it
// as a whole, so that it was admitted in them.
func (b *OutcomeChecker) CheckRate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, from := range b.used {
		for _, to := range b.used {
			if to.end.After(from.begin) {
				b.checkInterval(from.begin, to.end)
			}
		}
	}
}

func (b *OutcomeChecker) checkInterval(from, to time.Time) {
	sum := 0.0
	for _, u := range b.used {
		if !u.begin.Before(from) && !u.end.After(to) {
			sum += u.tokens
		}
	}
	if limit := TeamBurst + TeamRate*to.Sub(from).Seconds(); sum > limit {
		b.breach("the team used %.0f tokens in %s, of at most %.0f", sum, to.Sub(from), limit)
	}
}

// Booking notes the outcome of a booking of an item under an idempotency key
// that is the item's name.
func (b *OutcomeChecker) RecordBooking(item string, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts++
	if err != nil {
		b.refused[fault.KindOf(err)]++
	}
	switch {
	case err == nil:
		b.whole++
		b.done[item] = true
	case fault.Lookup(fault.KindOf(err)).NotRun:
		b.notRun[item] = true
	default:
		b.unsure[item] = true
	}
}

// Foreign notes the outcome of a request with the key of a team that may not
// use the route.
func (b *OutcomeChecker) RecordUnauthorized(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		b.breach("a request ran with the key of another team")
	}
}

// Withdrawn notes the outcome of a request long after its key was withdrawn.
func (b *OutcomeChecker) RecordWithdrawnKey(vm int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		b.breach("VM %d served a withdrawn key", vm)
	}
}

// CheckUpstreams compares the book with what the services and engines saw.
func (b *OutcomeChecker) CheckUpstreams(services []*standin.Service, engines []*standin.Engine, secrets ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := make(map[string]int)
	for _, s := range services {
		for _, r := range s.Bookings() {
			runs[r.Item]++
		}
		b.checkHeaders(s, secrets)
	}
	for item, n := range runs {
		if n > 1 {
			b.breach("booking %s ran %d times", item, n)
		}
		// Another request for the same item may have run it without its caller
		// being told so; a refusal speaks of its own request only.
		if b.notRun[item] && !b.done[item] && !b.unsure[item] {
			b.breach("booking %s ran, though its caller was told that it did not", item)
		}
	}
	for item := range b.done {
		if runs[item] == 0 {
			b.breach("booking %s did not run, though its caller got an answer", item)
		}
	}
	for i, e := range engines {
		if r := e.Report(); r.Used > r.Capacity {
			b.breach("engine %d holds %d of %d bytes", i, r.Used, r.Capacity)
		}
	}
}

func (b *OutcomeChecker) checkHeaders(s *standin.Service, secrets []string) {
	for _, h := range s.Headers() {
		for name, values := range h {
			for _, secret := range secrets {
				if strings.Contains(strings.Join(values, " "), secret) {
					b.breach("a service saw a caller's key in the header %s", name)
				}
			}
		}
	}
}
