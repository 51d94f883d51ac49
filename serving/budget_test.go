package serving

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// The retries of all VMs together stay within ratio and slack in each window, even if every
// request fails.
func TestRetriesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const vms, requests, ratio, slack = 65, 20, 0.2, 54
		retries := 0
		for range vms {
			b := NewRetryBudget(ratio, slack, 10*time.Second, func() int { return vms })
			for range requests {
				b.CountRequest()
				if b.TakeRetry() {
					retries++
				}
			}
			is.True(!b.AllowsRetry())
			time.Sleep(11 * time.Second)
			is.True(b.AllowsRetry())
		}
		is.True(retries <= ratio*vms*requests+slack)
		is.True(retries > 0)
	})
}
