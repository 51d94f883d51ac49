package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/oklog/run"
)

// forceMargin is how long before the platform would kill it a process whose shutdown hangs ends by
// itself: time to log the reason. A planned stop closes the listeners killMargin before that kill,
// so 200 ms are left for the parts to end.
const forceMargin = 200 * time.Millisecond

// parts are the parts of a process that run together: when one of them ends, all end. The process
// never goes on with only some of them. Its owner must exit when run has returned, which ends the
// parts that hang.
type parts struct {
	all run.Group
	// stopWithin is the longest time from the planned stop, or from the end of a part, until run
	// returns.
	stopWithin time.Duration

	// mu guards the fields below.
	mu      sync.Mutex
	running []string // The names of the parts that have not ended.
	first   error    // The error of the first part that ended.
	// ended is closed when the first part has ended.
	ended    chan struct{}
	anyEnded bool
}

func newParts(stopWithin time.Duration) *parts {
	return &parts{stopWithin: stopWithin, ended: make(chan struct{})}
}

// add adds a part, which must run until it is interrupted. If it ends before, that is a fault, even
// without an error.
func (p *parts) add(name string, execute func() error, interrupt func(error)) {
	p.addPart(name, func() error {
		if err := execute(); err != nil {
			return fmt.Errorf("part %q ended: %w", name, err)
		}
		return fmt.Errorf("part %q ended without an error", name)
	}, interrupt)
}

// addStop adds the planned stop, which begins when ctx ends. All other parts end after it.
func (p *parts) addStop(ctx context.Context, stop func()) {
	interrupted, cancel := context.WithCancel(context.Background())
	p.addPart("stop", func() error {
		select {
		case <-ctx.Done():
			stop()
		case <-interrupted.Done():
		}
		return nil
	}, func(error) { cancel() })
}

func (p *parts) addPart(name string, execute func() error, interrupt func(error)) {
	p.running = append(p.running, name)
	p.all.Add(func() error {
		err := execute()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.running = slices.DeleteFunc(p.running, func(n string) bool { return n == name })
		if !p.anyEnded {
			p.anyEnded, p.first = true, err
			close(p.ended)
		}
		return err
	}, interrupt)
}

// run runs the parts. It returns nil after a planned stop, which begins when ctx ends, and otherwise
// an error that says which part ended first. Parts that have not ended forceMargin before the end of
// stopWithin are abandoned, which is an error too.
func (p *parts) run(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- p.all.Run() }()
	select {
	case <-ctx.Done():
	case <-p.ended:
	}
	select {
	case err := <-done:
		return err
	case <-time.After(p.stopWithin - forceMargin):
	}
	select {
	case err := <-done:
		return err
	default:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Join(p.first, fmt.Errorf("the shutdown hangs in: %s", strings.Join(p.running, ", ")))
}
