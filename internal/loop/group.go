package loop

import "sync"

// Group waits for goroutines like a sync.WaitGroup, but starts no new ones after Close. So Go
// may be called at any time, also by requests that still run during shutdown. The zero Group
// is ready for use.
type Group struct {
	mu     sync.Mutex // guards closed and calls of wg.Go
	closed bool
	wg     sync.WaitGroup
}

// Go starts f, unless the group is closed.
func (g *Group) Go(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.wg.Go(f)
	}
}

// Close stops Go from starting goroutines and waits for those that run.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wg.Wait()
}
