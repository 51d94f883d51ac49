package ledger

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/settings"
)

// inForceWithin is how long an accepted change may take to reach every VM that
// the log or a peer reaches.
const inForceWithin = 11 * time.Second

// settingAt returns the number that a VM has in force.
func settingAt(f *Follower) float64 {
	return settings.Number(f.State.Setting, settings.Scope{}, settings.MaxTokens)
}

func settingRecord(t *testing.T, base fleet.Revision, n int) Record {
	return fold{t, nil}.record(KindSetting, base, number(settings.LevelFleet, n))
}

// TestPromiseAcceptedConfigurationHolds changes a setting while answers are
// lost and a second operator races, lets late copies come in, cuts a VM off,
// trims the log and restarts VMs. Every VM that is reached has the accepted
// value within inForceWithin, and none ever shows an older one again.
func TestPromiseAcceptedConfigurationHolds(t *testing.T) {
	within(t, func(t *testing.T, is *is.I, l *faultLog) {
		vms := []*Follower{follow(t, l), follow(t, l)}
		cut := &cutLog{faultLog: l}
		vms = append(vms, follow(t, cut))
		synctest.Wait()
		first, err := propose(vms[0], time.Minute, settingRecord(t, 0, 1))
		is.NoErr(err)
		is.NoErr(first.Err())
		synctest.Wait() // until every VM has read it
		cut.cut.Store(true)

		l.set(func(l *faultLog) { l.losing = 2 })
		var wg sync.WaitGroup
		verdicts := make([]Verdict, 2)
		for i := range verdicts {
			wg.Go(func() {
				v, err := propose(vms[i], time.Minute, settingRecord(t, first.Revision, 10+i))
				is.NoErr(err)
				verdicts[i] = v
			})
		}
		wg.Wait()
		won, lost := verdicts[0], verdicts[1]
		value := float64(10)
		if !won.Accepted() {
			won, lost, value = lost, won, 11
		}
		is.True(won.Accepted()) // exactly one of the two wins
		is.Equal(lost.Fault, fault.Conflict)
		is.Equal(lost.Revision, won.Revision)
		is.True(len(lost.Current) > 0) // the loser is shown the current value

		time.Sleep(inForceWithin)
		is.Equal(settingAt(vms[0]), value)
		is.Equal(settingAt(vms[1]), value)
		is.Equal(settingAt(vms[2]), 1.0) // cut off, and still serving what it has

		records, ok := vms[0].RecentRecords(vms[2].State.Applied())
		is.True(ok)
		is.NoErr(vms[2].ApplyRecords(records))
		is.Equal(settingAt(vms[2]), value)

		l.set(func(l *faultLog) { // late copies of everything
			for _, raw := range l.all {
				l.add([][]byte{raw.Data})
			}
		})
		synctest.Wait()
		_, err = newWriter(t, vms[0], "vm-1", time.Hour).Write(t.Context())
		is.NoErr(err)
		l.trim(l.end() - 1)
		cut.cut.Store(false)
		vms = append(vms, follow(t, l)) // starts from the snapshot
		time.Sleep(inForceWithin)
		for _, f := range vms {
			is.True(f.Ready())
			is.Equal(settingAt(f), value)
			is.Equal(f.State.Digest(), vms[0].State.Digest())
		}
	})
}
