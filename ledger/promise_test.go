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

// maxPropagation is the maximum time for an accepted change to be applied by every
// VM that can read the log or reach a peer.
const maxPropagation = 11 * time.Second

// settingIn returns the value of the setting that a VM has applied.
func settingIn(f *Follower) float64 {
	return settings.Number(f.State.Setting, settings.Scope{}, settings.MaxTokens)
}

func settingRecord(t *testing.T, base fleet.Revision, n int) Record {
	return stateFixture{t, nil}.newRecord(KindSetting, base, settingPut(settings.LevelFleet, n))
}

// Guards against an accepted change that is lost, reverted or not applied within
// maxPropagation. Answers of the log are lost, two operators change a setting
// concurrently, a VM is disconnected, all records are appended a second time, the
// log is trimmed, and a VM starts from a snapshot.
func TestPromiseAcceptedConfigurationHolds(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, is *is.I, l *faultLog) {
		vms := []*Follower{startFollower(t, l), startFollower(t, l)}
		link := &disconnectableLog{faultLog: l}
		vms = append(vms, startFollower(t, link))
		synctest.Wait()
		first, err := propose(vms[0], time.Minute, settingRecord(t, 0, 1))
		is.NoErr(err)
		is.NoErr(first.Err())
		synctest.Wait() // until every VM has read it
		link.disconnected.Store(true)

		l.set(func(l *faultLog) { l.answersToLose = 2 })
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
		winner, loser := verdicts[0], verdicts[1]
		value := float64(10)
		if !winner.Accepted() {
			winner, loser, value = loser, winner, 11
		}
		is.True(winner.Accepted()) // exactly one of the two wins
		is.Equal(loser.Fault, fault.Conflict)
		is.Equal(loser.Revision, winner.Revision)
		is.True(len(loser.Current) > 0) // the loser gets the current value

		time.Sleep(maxPropagation)
		is.Equal(settingIn(vms[0]), value)
		is.Equal(settingIn(vms[1]), value)
		is.Equal(settingIn(vms[2]), 1.0) // disconnected, and still uses its last value

		records, ok := vms[0].RecentRecords(vms[2].State.Applied())
		is.True(ok)
		is.NoErr(vms[2].ApplyRecords(records))
		is.Equal(settingIn(vms[2]), value)

		l.set(func(l *faultLog) { // delayed duplicates of all records
			for _, raw := range l.history {
				l.add([][]byte{raw.Data})
			}
		})
		synctest.Wait()
		_, err = newWriter(t, vms[0], "vm-1", time.Hour).Write(t.Context())
		is.NoErr(err)
		l.trim(l.end() - 1)
		link.disconnected.Store(false)
		vms = append(vms, startFollower(t, l)) // starts from the snapshot
		time.Sleep(maxPropagation)
		for _, f := range vms {
			is.True(f.Ready())
			is.Equal(settingIn(f), value)
			is.Equal(f.State.Digest(), vms[0].State.Digest())
		}
	})
}
