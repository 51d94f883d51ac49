package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jessevdk/go-flags"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/cli"
)

// ExitRefused tells that the system refused the request.
const ExitRefused = 4

// Options are the arguments that all commands of toucanload share.
type Options struct {
	VMs     []string      `long:"vm" required:"true" value-name:"URL" description:"callers' listener of a VM; may be repeated for load"`
	KeyFile string        `long:"key-file" value-name:"FILE" description:"file that holds the caller's key"`
	Route   string        `long:"route" required:"true" description:"route to use"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"bound of each request"`
}

// session is what a command works with.
type session struct {
	opts   *Options
	stdout io.Writer
}

func (s *session) client(i int) (*Client, error) {
	var key fleet.Secret
	if s.opts.KeyFile != "" {
		b, err := os.ReadFile(s.opts.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("cannot read the key: %w", err)
		}
		key = fleet.Secret(strings.TrimSpace(string(b)))
	}
	return New(strings.TrimSuffix(s.opts.VMs[i%len(s.opts.VMs)], "/"), key, http.DefaultTransport), nil
}

// Main runs toucanload with the given arguments and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	opts := &Options{}
	s := &session{opts: opts, stdout: stdout}
	parser := flags.NewNamedParser("toucanload", flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.AddGroup("General", "", opts)
	for _, c := range []struct {
		name, text string
		run        any
	}{
		{"draft", "ask for one draft", &draftCommand{session: s}},
		{"service", "send one request to a plain service", &serviceCommand{session: s}},
		{"booking", "look a booking up by its idempotency key", &bookingCommand{session: s}},
		{"load", "ask for many drafts at once and print the times", &loadCommand{session: s}},
	} {
		if err == nil {
			_, err = parser.AddCommand(c.name, c.text, c.text, c.run)
		}
	}
	if err == nil {
		_, err = parser.ParseArgs(args)
	}
	code, _ := cli.Exit(err, stderr)
	var refused *fault.Error
	if errors.As(err, &refused) {
		return ExitRefused
	}
	return code
}

type draftCommand struct {
	session *session
	Stream  bool `long:"stream" description:"ask for server-sent events"`
	Tokens  int  `long:"tokens" default:"16" description:"limit of the answer"`
	Args    struct {
		Prompt string `positional-arg-name:"PROMPT"`
	} `positional-args:"true" required:"true"`
}

// Execute prints the answer, and the request id on the last line.
func (c *draftCommand) Execute([]string) error {
	cl, err := c.session.client(0)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.session.opts.Timeout)
	defer cancel()
	var onToken func(string)
	if c.Stream {
		onToken = func(t string) { _, _ = fmt.Fprint(c.session.stdout, t) }
	}
	d, err := cl.Complete(ctx, fleet.RouteID(c.session.opts.Route), c.Args.Prompt, c.Tokens, onToken)
	if err != nil {
		return err
	}
	if !c.Stream {
		_, _ = fmt.Fprint(c.session.stdout, d.Text)
	}
	_, err = fmt.Fprintf(c.session.stdout, "\nupstream %s, %d tokens, request\n%s\n", d.Upstream, d.Tokens, d.Request)
	return err
}

type serviceCommand struct {
	session        *session
	IdempotencyKey string `long:"idempotency-key" description:"makes the request run at most once over all VMs"`
	Method         string `long:"method" default:"POST" description:"HTTP method"`
	Args           struct {
		Path string `positional-arg-name:"PATH"`
		Body string `positional-arg-name:"BODY"`
	} `positional-args:"true"`
}

// Execute prints the service's answer.
func (c *serviceCommand) Execute([]string) error {
	cl, err := c.session.client(0)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.session.opts.Timeout)
	defer cancel()
	a, err := cl.Service(ctx, fleet.RouteID(c.session.opts.Route), c.Method, c.Args.Path, c.IdempotencyKey, []byte(c.Args.Body))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.session.stdout, "status %d, stored %t: %s\n", a.Status, a.Stored, a.Body)
	return err
}

type bookingCommand struct {
	session *session
	Args    struct {
		IdempotencyKey string `positional-arg-name:"KEY"`
	} `positional-args:"true" required:"true"`
}

// Execute prints the stored answer.
func (c *bookingCommand) Execute([]string) error {
	cl, err := c.session.client(0)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.session.opts.Timeout)
	defer cancel()
	a, err := cl.Booking(ctx, fleet.RouteID(c.session.opts.Route), c.Args.IdempotencyKey)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.session.stdout, "status %d, stored %t: %s\n", a.Status, a.Stored, a.Body)
	return err
}

type loadCommand struct {
	session  *session
	Callers  int           `long:"callers" default:"8" description:"callers at once"`
	Duration time.Duration `long:"duration" default:"5s" description:"how long to ask for drafts"`
	Tokens   int           `long:"tokens" default:"16" description:"limit of each answer"`
}

// maxLatency bounds the histogram.
const maxLatency = int64(time.Minute / time.Microsecond)

// tally counts the outcomes of a load.
type tally struct {
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	whole   int
	failed  int
}

func (t *tally) add(took time.Duration, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.failed++
		return
	}
	t.whole++
	// A value above the bound is not recorded, but the request is counted.
	_ = t.latency.RecordValue(took.Microseconds())
}

// Execute prints how many drafts were whole and how long they took.
func (c *loadCommand) Execute([]string) error {
	t := &tally{latency: hdrhistogram.New(1, maxLatency, 3)}
	end := time.Now().Add(c.Duration)
	var wg sync.WaitGroup
	for i := range c.Callers {
		cl, err := c.session.client(i)
		if err != nil {
			return err
		}
		wg.Go(func() {
			for time.Now().Before(end) {
				c.one(cl, t)
			}
		})
	}
	wg.Wait()
	_, err := fmt.Fprintf(c.session.stdout, "whole %d, failed %d, p50 %dus, p99 %dus\n", t.whole, t.failed, t.latency.ValueAtQuantile(50), t.latency.ValueAtQuantile(99))
	return err
}

func (c *loadCommand) one(cl *Client, t *tally) {
	ctx, cancel := context.WithTimeout(context.Background(), c.session.opts.Timeout)
	defer cancel()
	begin := time.Now()
	_, err := cl.Complete(ctx, fleet.RouteID(c.session.opts.Route), "load", c.Tokens, func(string) {})
	t.add(time.Since(begin), err)
}
