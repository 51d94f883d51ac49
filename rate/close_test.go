package rate

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"toucanfall/fleet"
)

// countingPeers counts returns.
type countingPeers struct {
	returns atomic.Int64
}

// Lenders knows nobody.
func (p *countingPeers) Lenders(Key) []Lender { return nil }

// Borrow gives nothing.
func (p *countingPeers) Borrow(context.Context, fleet.VMID, Ask) (Answer, error) {
	return Answer{}, nil
}

// Return counts.
func (p *countingPeers) Return(context.Context, fleet.VMID, Return) error {
	p.returns.Add(1)
	return nil
}

// TestClosedLimiterReturnsNothing settles after Close, as requests that a forced
// stop cuts do.
func TestClosedLimiterReturnsNothing(t *testing.T) {
	is := is.New(t)
	p := &countingPeers{}
	l := NewLimiter(NewBuckets("a", nil), NewPeerLevels(), p, nil)
	l.giveBack([]Refund{{To: "b"}})
	l.Close()
	is.Equal(p.returns.Load(), int64(1)) // Close waits for what is under way
	l.giveBack([]Refund{{To: "b"}})
	l.returns.Close()
	is.Equal(p.returns.Load(), int64(1))
}
