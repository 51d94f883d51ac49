package ledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/timeline"
)

// runWithFakeClock runs body with an empty log in a synctest bubble.
func runWithFakeClock(t *testing.T, body func(t *testing.T, is *is.I, l *faultLog)) {
	synctest.Test(t, func(t *testing.T) {
		body(t, is.New(t), newFaultLog())
	})
}

func teamRecord(t *testing.T, id fleet.TeamID) Record {
	return stateFixture{t, nil}.newRecord(KindTeam, 0, fleet.Team{ID: id})
}

func propose(f *Follower, d time.Duration, r Record) (Verdict, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return f.Propose(ctx, r)
}

func TestReadyImmediatelyOnEmptyLog(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, is *is.I, l *faultLog) {
		begin := time.Now()
		f := startFollower(t, l)
		synctest.Wait()
		is.True(f.Ready())
		is.Equal(time.Since(begin), time.Duration(0))
	})
}

func TestProposalsShareAppends(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, is *is.I, l *faultLog) {
		l.delay = 10 * time.Millisecond
		f := startFollower(t, l)
		synctest.Wait()
		var wg sync.WaitGroup
		for i := range 300 {
			wg.Go(func() {
				v, err := propose(f, time.Second, teamRecord(t, fleet.TeamID(fmt.Sprint("t", i))))
				is.NoErr(err)
				is.NoErr(v.Err())
			})
		}
		wg.Wait()
		is.True(l.appends <= 4) // 300 proposals, at most 256 in one append
	})
}

func TestOutageFailsProposalsImmediately(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, is *is.I, l *faultLog) {
		f := startFollower(t, l)
		synctest.Wait()
		l.set(func(l *faultLog) { l.down = true })
		time.Sleep(3 * time.Second) // the open read ends and the next one fails
		begin := time.Now()
		_, err := propose(f, time.Minute, teamRecord(t, "quotes"))
		is.Equal(fault.KindOf(err), fault.StoreUnavailable)
		is.Equal(time.Since(begin), time.Duration(0))
		is.Equal(l.appends, 0)
	})
}

func TestDialErrorFailsProposalsImmediately(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, is *is.I, l *faultLog) {
		l.appendError = func([][]byte) error { return fmt.Errorf("%w: refused", ErrNotSent) }
		f := startFollower(t, l)
		synctest.Wait()
		begin := time.Now()
		_, err := propose(f, time.Minute, teamRecord(t, "quotes"))
		is.Equal(fault.KindOf(err), fault.StoreUnavailable)
		is.Equal(time.Since(begin), time.Duration(0))
	})
}

// Guards against reporting a record as not appended when the first append took
// effect but its answer was lost, and later attempts cannot connect.
func TestLostAnswerIsOutcomeUnknown(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, is *is.I, l *faultLog) {
		first := true
		l.appendError = func([][]byte) error {
			if first {
				first = false
				return errAnswerLost
			}
			return fmt.Errorf("%w: refused", ErrNotSent)
		}
		f := startFollower(t, l)
		synctest.Wait()
		_, err := propose(f, 5*time.Second, teamRecord(t, "quotes"))
		is.Equal(fault.KindOf(err), fault.OutcomeUnknown)
	})
}

func TestLostAnswerAppliesOnce(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, is *is.I, l *faultLog) {
		l.answersToLose = 3
		f := startFollower(t, l)
		synctest.Wait()
		v, err := propose(f, time.Minute, teamRecord(t, "quotes"))
		is.NoErr(err)
		is.NoErr(v.Err())
		is.Equal(v.Revision, fleet.Revision(1))
		time.Sleep(time.Minute)
		e, _ := f.State.Teams.Get("quotes")
		is.Equal(e.Revision, fleet.Revision(1))
	})
}

func TestRetriesStopWithTheirContext(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, is *is.I, l *faultLog) {
		l.appendsToDrop = 1 << 20
		f := startFollower(t, l)
		synctest.Wait()
		_, err := propose(f, 3*time.Second, teamRecord(t, "quotes"))
		is.Equal(fault.KindOf(err), fault.OutcomeUnknown)
		time.Sleep(2 * time.Second)
		n := l.appends
		time.Sleep(time.Minute)
		is.Equal(l.appends, n)
	})
}

// Guards against a record that is too large for the log failing the other records
// of its batch.
func TestRefusedRecordDoesNotFailItsBatch(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, is *is.I, l *faultLog) {
		l.delay = 10 * time.Millisecond
		l.appendError = func(records [][]byte) error {
			for _, r := range records {
				if len(r) > 1000 {
					return fmt.Errorf("%w: too large", ErrRefused)
				}
			}
			return nil
		}
		f := startFollower(t, l)
		synctest.Wait()
		var wg sync.WaitGroup
		for i := range 10 {
			wg.Go(func() {
				id := fleet.TeamID(fmt.Sprint("t", i))
				name, want := "short", fault.Kind("")
				if i == 5 {
					name, want = fmt.Sprintf("%2000d", i), fault.InvalidRequest
				}
				r := stateFixture{t, nil}.newRecord(KindTeam, 0, fleet.Team{ID: id, Name: name})
				_, err := propose(f, time.Minute, r)
				is.Equal(fault.KindOf(err), want)
			})
		}
		wg.Wait()
	})
}

func TestMalformedRecordIsSkipped(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, is *is.I, l *faultLog) {
		f := startFollower(t, l)
		for _, data := range []string{"", "{", "{\"id\":\"x\",\"kind\":\"strange\"}\n{}", "\xff\x00"} {
			_, err := l.Append(context.Background(), [][]byte{[]byte(data)})
			is.NoErr(err)
		}
		synctest.Wait()
		v, err := propose(f, time.Second, teamRecord(t, "quotes"))
		is.NoErr(err)
		is.Equal(v.Offset, fleet.Offset(5))
		skipped := f.rec.Entries(timeline.Filter{Name: event.RecordSkipped.Name})
		is.Equal(len(skipped), 4)
	})
}

// fillLog appends n changes of one team through f.
func fillLog(is *is.I, t *testing.T, f *Follower, n int) {
	for range n {
		current, _ := f.State.Teams.Get("quotes")
		r := stateFixture{t, nil}.newRecord(KindTeam, current.Revision, fleet.Team{ID: "quotes", Name: fmt.Sprint(current.Revision)})
		v, err := propose(f, time.Minute, r)
		is.NoErr(err)
		is.NoErr(v.Err())
	}
}

func newWriter(t *testing.T, f *Follower, name string, interval time.Duration) *SnapshotWriter {
	w := NewSnapshotWriter(f, name, func() time.Duration { return interval })
	t.Cleanup(w.Close)
	return w
}

func TestTrimmedStartLoadsNewestSnapshot(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, is *is.I, l *faultLog) {
		f := startFollower(t, l)
		synctest.Wait()
		w := newWriter(t, f, "vm-1", 24*time.Hour)
		var covered fleet.Offset
		for range 3 {
			fillLog(is, t, f, 15)
			var err error
			covered, err = w.Write(context.Background())
			is.NoErr(err)
		}
		fillLog(is, t, f, 15)
		l.trim(20)
		joiner := startFollower(t, l)
		synctest.Wait()
		is.True(joiner.Ready())
		is.Equal(joiner.State.Digest(), f.State.Digest())
		loaded := joiner.rec.Entries(timeline.Filter{Name: event.SnapshotLoaded.Name})
		is.Equal(len(loaded), 1)
		is.Equal(loaded[0].Fields["offset"], fmt.Sprint(covered))
	})
}

func TestTrimmedStartWithoutSnapshotIsNotReady(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, is *is.I, l *faultLog) {
		f := startFollower(t, l)
		synctest.Wait()
		fillLog(is, t, f, 30)
		for _, below := range []fleet.Offset{2, 30, 31} {
			l.trim(below)
			joiner := startFollower(t, l)
			time.Sleep(10 * time.Second)
			is.True(!joiner.Ready())
			is.Equal(joiner.State.Applied(), fleet.Offset(0))
			_, err := propose(joiner, time.Minute, teamRecord(t, "x"))
			is.Equal(fault.KindOf(err), fault.StoreUnavailable)
			incomplete := joiner.rec.Entries(timeline.Filter{Name: event.StateIncomplete.Name})
			is.Equal(len(incomplete), 1)
		}
	})
}

// Guards against loading damaged data: an incomplete and a damaged snapshot follow
// the valid one in the log.
func TestDamagedSnapshotInLogIsIgnored(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, is *is.I, l *faultLog) {
		f := startFollower(t, l)
		synctest.Wait()
		fillLog(is, t, f, 10)
		covered, err := newWriter(t, f, "vm-1", 24*time.Hour).Write(context.Background())
		is.NoErr(err)
		fillLog(is, t, f, 10)
		torn := []SnapshotChunk{
			{ID: "half", Covered: 15, Index: 0, Count: 2, Data: []byte("x")},
			{ID: "bad", Covered: 16, Index: 0, Count: 1, Data: []byte("x")},
		}
		for _, c := range torn {
			v, err := propose(f, time.Second, stateFixture{t, nil}.newRecord(KindSnapshotChunk, 0, c))
			is.NoErr(err)
			is.NoErr(v.Err())
		}
		l.trim(5)
		joiner := startFollower(t, l)
		synctest.Wait()
		is.True(joiner.Ready())
		is.Equal(joiner.State.Digest(), f.State.Digest())
		loaded := joiner.rec.Entries(timeline.Filter{Name: event.SnapshotLoaded.Name})
		is.Equal(loaded[0].Fields["offset"], fmt.Sprint(covered))
	})
}

// startsComplete reports whether a follower that starts from l reaches the state
// of f.
func startsComplete(l *faultLog, f *Follower) bool {
	joiner := NewFollower(l, NewState(), newTestRecorder())
	defer joiner.Close()
	synctest.Wait()
	return joiner.Ready() && joiner.State.Digest() == f.State.Digest()
}

// Guards against state that cannot be recovered because the log retains few
// records. Two writers run over a log of 20 records.
func TestSnapshotsSurviveRetentionByCount(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, is *is.I, l *faultLog) {
		f := startFollower(t, l)
		g := startFollower(t, l)
		synctest.Wait()
		newWriter(t, f, "vm-1", 1000*time.Hour)
		newWriter(t, g, "vm-2", 1000*time.Hour)
		for range 60 {
			fillLog(is, t, f, 1)
			time.Sleep(5 * time.Minute)
			l.trim(l.end() - min(l.end(), 20))
		}
		is.True(l.first > 30) // the log was trimmed
		is.True(startsComplete(l, f))
	})
}

// Guards against state that cannot be recovered because all records of an idle
// log expired.
func TestSnapshotsSurviveRetentionByAge(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, is *is.I, l *faultLog) {
		f := startFollower(t, l)
		synctest.Wait()
		newWriter(t, f, "vm-1", time.Hour)
		fillLog(is, t, f, 20)
		for range 3 {
			before := l.end()
			time.Sleep(4 * time.Hour)
			l.trim(before)
			is.True(startsComplete(l, f))
		}
	})
}

// followerAndDisconnected returns a follower with five records and one whose log
// is unreachable.
func followerAndDisconnected(is *is.I, t *testing.T, l *faultLog) (f, disconnected *Follower) {
	f = startFollower(t, l)
	synctest.Wait()
	fillLog(is, t, f, 5)
	down := newFaultLog()
	down.down = true
	return f, startFollower(t, down)
}

func TestRelayRejectsGaps(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, is *is.I, l *faultLog) {
		f, joiner := followerAndDisconnected(is, t, l)
		records, ok := f.RecentRecords(0)
		is.True(ok)
		is.NoErr(joiner.ApplyRecords(records[:2]))
		is.True(joiner.ApplyRecords(records[3:]) != nil)
		is.Equal(joiner.State.Applied(), fleet.Offset(2))
		is.NoErr(joiner.ApplyRecords(records)) // records that were applied before are skipped
		is.Equal(joiner.State.Digest(), f.State.Digest())
	})
}

func TestStartFromPeerWhileTheLogIsDown(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, is *is.I, l *faultLog) {
		f, joiner := followerAndDisconnected(is, t, l)
		synctest.Wait()
		is.True(!joiner.Ready())
		sn, err := f.Snapshot()
		is.NoErr(err)
		is.NoErr(joiner.LoadPeerSnapshot(sn, "peer"))
		is.True(joiner.Ready())
		is.Equal(joiner.State.Digest(), f.State.Digest())
		_, ok := joiner.RecentRecords(3)
		is.True(!ok) // it has no records from before the snapshot
	})
}

// Guards against using a snapshot whose chunks are still in the log while records
// after the offset that it covers have expired. This happens when the chunks are
// appended long after that offset.
func TestSnapshotWithoutItsTailIsNotUsed(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, is *is.I, l *faultLog) {
		f := startFollower(t, l)
		synctest.Wait()
		fillLog(is, t, f, 10)
		sn, err := f.Snapshot()
		is.NoErr(err)
		fillLog(is, t, f, 5)
		for _, c := range sn.chunks("slow") {
			_, err := propose(f, time.Second, stateFixture{t, nil}.newRecord(KindSnapshotChunk, 0, c))
			is.NoErr(err)
		}
		l.trim(12)
		joiner := startFollower(t, l)
		time.Sleep(10 * time.Second)
		is.True(!joiner.Ready())
		is.Equal(joiner.State.Applied(), fleet.Offset(0))
	})
}

// Guards against undetected divergence: changes the state of one VM without a
// record in the log.
func TestDivergedStateIsReported(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, is *is.I, l *faultLog) {
		f, g := startFollower(t, l), startFollower(t, l)
		synctest.Wait()
		w := newWriter(t, f, "vm-1", 24*time.Hour)
		for _, want := range []int{0, 1} {
			fillLog(is, t, f, 5)
			_, err := w.Write(t.Context())
			is.NoErr(err)
			synctest.Wait()
			is.Equal(len(f.rec.Entries(timeline.Filter{Name: event.StateDiverged.Name})), 0)
			is.Equal(len(g.rec.Entries(timeline.Filter{Name: event.StateDiverged.Name})), want)
			g.State.Teams.put(l.end(), Record{}, "ghost", fleet.Team{ID: "ghost"})
		}
	})
}

// Guards against a VM that finds no snapshot reading the whole log continuously.
func TestSnapshotSearchIsNotRepeatedImmediately(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, is *is.I, l *faultLog) {
		f := startFollower(t, l)
		synctest.Wait()
		fillLog(is, t, f, 30)
		f.Close()
		l.trim(10)
		startFollower(t, l)
		before := l.peekCount()
		time.Sleep(time.Minute)
		is.True(l.peekCount()-before < 100) // seven searches of about a dozen reads
	})
}
