package serving

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Over all VMs, repeats stay within the ratio of the requests and the slack in
// any window, whatever fails.
func TestRepeatsStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const vms, requests, ratio, slack = 65, 20, 0.2, 54
		repeats := 0
		for range vms {
			b := NewRetryBudget(ratio, slack, 10*time.Second, func() int { return vms })
			for range requests {
				b.CountRequest()
				if b.TakeRetry() {
					repeats++
				}
			}
			is.True(!b.AllowsRetry())
			time.Sleep(11 * time.Second)
			is.True(b.AllowsRetry())
		}
		is.True(repeats <= ratio*vms*requests+slack)
		is.True(repeats > 0)
	})
}
