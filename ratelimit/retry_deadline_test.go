package ratelimit

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"toucanfall/catalogue"
	"toucanfall/timeline"
)

// silentPeers answers no call, and records why the contexts of calls ended.
type silentPeers struct{ ended []error }

// Call waits until ctx ends.
func (s *silentPeers) Call(ctx context.Context, _, _ string, _, _ any) error {
	<-ctx.Done()
	s.ended = append(s.ended, ctx.Err())
	return ctx.Err()
}

// Guards against a request that takes a retry at the end of its own time and so retires the connection to a pool
// host that has had no time to answer: peer.Client keeps it only for a call that is cancelled.
func TestDeadlineOfRequestRetiresNoConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		now := func() time.Duration { return time.Since(start) + time.Hour }
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		limit := RetryLimit{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
		peers := &silentPeers{}
		b := NewBuckets(now, limit)
		c := NewClient(ClientConfig{
			VM: "a", OwnPool: NewPool(now, b.ShareExpired, limit), Buckets: b, Peers: peers,
			PoolHosts: func() [][]PoolHost { return [][]PoolHost{{{VM: "b", Address: "b"}}} }, Now: now, Events: timeline.New("test", 16, logger),
		})
		b.Configure(catalogue.NewConfig(1, nil, []*catalogue.Service{{ID: "s"}}, nil, catalogue.Limits{}))
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		is.True(!c.TakeRetry(ctx, "s"))
		is.Equal(len(peers.ended), 1)
		is.True(errors.Is(peers.ended[0], context.Canceled))
	})
}
