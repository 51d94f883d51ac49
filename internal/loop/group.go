package loop

import "sync"

// Group waits for goroutines like a sync.WaitGroup, but takes no new ones once
// it is closed. So goroutines may be started at any time, also by requests that
// go on while their process ends. The zero Group is ready for use.
type Group struct {
	mu     sync.Mutex
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

// Close waits for all goroutines and takes no new ones.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wg.Wait()
}
