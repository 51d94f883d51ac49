package rate

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"toucanfall/fleet"
)

// countingPeers is a Peers without lenders that counts calls of Return.
type countingPeers struct {
	returns atomic.Int64
}

// Lenders returns no VMs.
func (p *countingPeers) Lenders(Key) []Lender { return nil }

// Borrow lends nothing.
func (p *countingPeers) Borrow(context.Context, fleet.VMID, Ask) (Answer, error) {
	return Answer{}, nil
}

// Return counts the call.
func (p *countingPeers) Return(context.Context, fleet.VMID, Return) error {
	p.returns.Add(1)
	return nil
}

// TestClosedLimiterReturnsNothing checks that no call of Return starts after
// Close. Requests that are cut off by a forced stop settle after it.
func TestClosedLimiterReturnsNothing(t *testing.T) {
	is := is.New(t)
	p := &countingPeers{}
	l := NewLimiter(NewBuckets("a", nil), NewPeerLevels(), p, nil)
	l.sendReturns([]Refund{{To: "b"}})
	l.Close()
	is.Equal(p.returns.Load(), int64(1)) // Close waits for calls in flight
	l.sendReturns([]Refund{{To: "b"}})
	l.returns.Close()
	is.Equal(p.returns.Load(), int64(1))
}
