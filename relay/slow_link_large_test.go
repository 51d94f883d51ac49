package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against answers of 500 kB that are begun before the ones before them have arrived, until none arrives in its
// time and all are sent again and again: 20 followers ask at once over 10 Mbit/s.
func TestLargerAnswersFitThroughSlowLink(t *testing.T) {
	const followers, size, perByte = 20, 500_000, 800 * time.Nanosecond
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		now, members := newClock(), newMemberList(followers+3, 1)
		link := &slowLink{service: newLargeService(size, now), relay: relaysOf(members.Members[0], members)[0].Address(), perByte: perByte}
		var running sync.WaitGroup
		arrived := link.startFollowers(ctx, &running, followers, members, now)
		time.Sleep(3 * followers * size * perByte) // Three times as long as they take after each other.
		missing := 0
		for _, done := range arrived {
			select {
			case <-done:
			default:
				missing++
			}
		}
		cancel()
		running.Wait()
		t.Logf("%d of %d followers have no configuration, %d answers at once", missing, followers, link.atOnce)
		is.Equal(missing, 0)
	})
}
