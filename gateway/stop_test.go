package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a listener that closes right after the process was suspended, which resets the connections
// that were opened meanwhile with the requests on them, and against one that closes while requests come or
// are in progress.
func TestListenerClosesOnceNothingWaits(t *testing.T) {
	const now = time.Minute
	for name, c := range map[string]struct {
		sincePoll, sinceRequest, left time.Duration
		open                          int64
		want                          bool
	}{
		"idle":                    {sinceRequest: idlePeriod, left: 4 * time.Second, want: true},
		"idle after a suspension": {sincePoll: time.Second, sinceRequest: time.Second, left: 4 * time.Second},
		"requests come":           {sinceRequest: idlePeriod / 2, left: 4 * time.Second},
		"a request is open":       {sinceRequest: idlePeriod, left: 4 * time.Second, open: 1},
		"short of time":           {left: listenerCloseMargin, open: 1, want: true},
		"short after suspension":  {sincePoll: time.Second, left: listenerCloseMargin / 2, open: 1},
		"no time":                 {sincePoll: time.Second, left: 0, open: 1, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			check := closeCheck{polledAt: now - c.sincePoll}
			is.Equal(check.mayClose(now, c.left, now-c.sinceRequest, c.open), c.want)
			if c.sincePoll > 0 && c.left > 0 {
				is.True(check.mayClose(now+idlePollInterval, c.left-idlePollInterval, now-c.sinceRequest, 0)) // The next poll.
			}
		})
	}
}
