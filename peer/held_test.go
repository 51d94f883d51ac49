package peer_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanfall/peer"
	"toucanfall/standin"
)

// Guards against a call with a short timeout that ends a call which the same peer holds for longer than
// retiredSilence, as prefill hosts do for up to 1 s and the coordinator for up to 1.5 s.
func TestUnansweredCallEndsNoHeldCall(t *testing.T) {
	runInMemory(t, func(is *is.I, _ *standin.Network, client *peer.Client, _ *atomic.Int64) {
		held := make(chan error, 1)
		go func() {
			_, err := sayIn(client, 3*time.Second, "late") // The answer comes after 2 s.
			held <- err
		}()
		time.Sleep(100 * time.Millisecond)
		_, err := sayIn(client, 50*time.Millisecond, "block")
		is.True(err != nil)
		is.NoErr(say(client, "b", "next")) // The peer works.
		err = <-held
		time.Sleep(3 * time.Second) // The method ends.
		is.NoErr(err)
	})
}
