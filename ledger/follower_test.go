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

// within runs body in a bubble with a paused clock.
func within(t *testing.T, body func(t *testing.T, is *is.I, l *faultLog)) {
	synctest.Test(t, func(t *testing.T) {
		body(t, is.New(t), newFaultLog())
	})
}

func teamRecord(t *testing.T, id fleet.TeamID) Record {
	return fold{t, nil}.record(KindTeam, 0, fleet.Team{ID: id})
}

func propose(f *Follower, d time.Duration, r Record) (Verdict, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return f.Propose(ctx, r)
}

func TestReadyAtOnceOnAnEmptyLog(t *testing.T) {
	within(t, func(t *testing.T, is *is.I, l *faultLog) {
		begin := time.Now()
		f := follow(t, l)
		synctest.Wait()
		is.True(f.Ready())
		is.Equal(time.Since(begin), time.Duration(0))
	})
}

func TestProposalsShareAppends(t *testing.T) {
	within(t, func(t *testing.T, is *is.I, l *faultLog) {
		l.delay = 10 * time.Millisecond
		f := follow(t, l)
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
		is.True(l.appends <= 4) // 300 proposals, 256 at most in one append
	})
}

func TestOutageRefusesAtOnce(t *testing.T) {
	within(t, func(t *testing.T, is *is.I, l *faultLog) {
		f := follow(t, l)
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

func TestDialErrorRefusesWithoutWaiting(t *testing.T) {
	within(t, func(t *testing.T, is *is.I, l *faultLog) {
		l.fail = func([][]byte) error { return fmt.Errorf("%w: refused", ErrNotSent) }
		f := follow(t, l)
		synctest.Wait()
		begin := time.Now()
		_, err := propose(f, time.Minute, teamRecord(t, "quotes"))
		is.Equal(fault.KindOf(err), fault.StoreUnavailable)
		is.Equal(time.Since(begin), time.Duration(0))
	})
}

// TestLostAnswerIsNotRefused covers an append that took effect before its
// answer was lost, while later attempts cannot connect at all.
func TestLostAnswerIsNotRefused(t *testing.T) {
	within(t, func(t *testing.T, is *is.I, l *faultLog) {
		first := true
		l.fail = func([][]byte) error {
			if first {
				first = false
				return errLost
			}
			return fmt.Errorf("%w: refused", ErrNotSent)
		}
		f := follow(t, l)
		synctest.Wait()
		_, err := propose(f, 5*time.Second, teamRecord(t, "quotes"))
		is.Equal(fault.KindOf(err), fault.OutcomeUnknown)
	})
}

func TestLostAnswerAppliesOnce(t *testing.T) {
	within(t, func(t *testing.T, is *is.I, l *faultLog) {
		l.losing = 3
		f := follow(t, l)
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
	within(t, func(t *testing.T, is *is.I, l *faultLog) {
		l.dropping = 1 << 20
		f := follow(t, l)
		synctest.Wait()
		_, err := propose(f, 3*time.Second, teamRecord(t, "quotes"))
		is.Equal(fault.KindOf(err), fault.OutcomeUnknown)
		time.Sleep(2 * time.Second)
		n := l.appends
		time.Sleep(time.Minute)
		is.Equal(l.appends, n)
	})
}

// TestRefusedRecordFailsAlone covers a record that is too large for the log and
// shares its append with others.
func TestRefusedRecordFailsAlone(t *testing.T) {
	within(t, func(t *testing.T, is *is.I, l *faultLog) {
		l.delay = 10 * time.Millisecond
		l.fail = func(records [][]byte) error {
			for _, r := range records {
				if len(r) > 1000 {
					return fmt.Errorf("%w: too large", ErrRefused)
				}
			}
			return nil
		}
		f := follow(t, l)
		synctest.Wait()
		var wg sync.WaitGroup
		for i := range 10 {
			wg.Go(func() {
				id := fleet.TeamID(fmt.Sprint("t", i))
				name, want := "short", fault.Kind("")
				if i == 5 {
					name, want = fmt.Sprintf("%2000d", i), fault.InvalidRequest
				}
				r := fold{t, nil}.record(KindTeam, 0, fleet.Team{ID: id, Name: name})
				_, err := propose(f, time.Minute, r)
				is.Equal(fault.KindOf(err), want)
			})
		}
		wg.Wait()
	})
}

func TestTornRecordIsSkipped(t *testing.T) {
	within(t, func(t *testing.T, is *is.I, l *faultLog) {
		f := follow(t, l)
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
		old, _ := f.State.Teams.Get("quotes")
		r := fold{t, nil}.record(KindTeam, old.Revision, fleet.Team{ID: "quotes", Name: fmt.Sprint(old.Revision)})
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
	within(t, func(t *testing.T, is *is.I, l *faultLog) {
		f := follow(t, l)
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
		late := follow(t, l)
		synctest.Wait()
		is.True(late.Ready())
		is.Equal(late.State.Digest(), f.State.Digest())
		loaded := late.rec.Entries(timeline.Filter{Name: event.SnapshotLoaded.Name})
		is.Equal(len(loaded), 1)
		is.Equal(loaded[0].Fields["offset"], fmt.Sprint(covered))
	})
}

func TestTrimmedStartWithoutSnapshotIsNotReady(t *testing.T) {
	within(t, func(t *testing.T, is *is.I, l *faultLog) {
		f := follow(t, l)
		synctest.Wait()
		fillLog(is, t, f, 30)
		for _, below := range []fleet.Offset{2, 30, 31} {
			l.trim(below)
			late := follow(t, l)
			time.Sleep(10 * time.Second)
			is.True(!late.Ready())
			is.Equal(late.State.Applied(), fleet.Offset(0))
			_, err := propose(late, time.Minute, teamRecord(t, "x"))
			is.Equal(fault.KindOf(err), fault.StoreUnavailable)
			incomplete := late.rec.Entries(timeline.Filter{Name: event.StateIncomplete.Name})
			is.Equal(len(incomplete), 1)
		}
	})
}

// TestTornSnapshotInTheLogIsIgnored leaves an incomplete and a damaged snapshot
// behind the sound one.
func TestTornSnapshotInTheLogIsIgnored(t *testing.T) {
	within(t, func(t *testing.T, is *is.I, l *faultLog) {
		f := follow(t, l)
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
			v, err := propose(f, time.Second, fold{t, nil}.record(KindSnapshotChunk, 0, c))
			is.NoErr(err)
			is.NoErr(v.Err())
		}
		l.trim(5)
		late := follow(t, l)
		synctest.Wait()
		is.True(late.Ready())
		is.Equal(late.State.Digest(), f.State.Digest())
		loaded := late.rec.Entries(timeline.Filter{Name: event.SnapshotLoaded.Name})
		is.Equal(loaded[0].Fields["offset"], fmt.Sprint(covered))
	})
}

// startsWhole reports whether a VM that starts from l gets the state of f.
func startsWhole(l *faultLog, f *Follower) bool {
	late := NewFollower(l, NewState(), quietRecorder())
	defer late.Close()
	synctest.Wait()
	return late.Ready() && late.State.Digest() == f.State.Digest()
}

// TestSnapshotsOutliveRetentionByCount runs two writers over a log that keeps
// few records.
func TestSnapshotsOutliveRetentionByCount(t *testing.T) {
	within(t, func(t *testing.T, is *is.I, l *faultLog) {
		f := follow(t, l)
		g := follow(t, l)
		synctest.Wait()
		newWriter(t, f, "vm-1", 1000*time.Hour)
		newWriter(t, g, "vm-2", 1000*time.Hour)
		for range 60 {
			fillLog(is, t, f, 1)
			time.Sleep(5 * time.Minute)
			l.trim(l.end() - min(l.end(), 20))
		}
		is.True(l.first > 30) // the log was trimmed
		is.True(startsWhole(l, f))
	})
}

// TestSnapshotsOutliveRetentionByAge lets all records of a quiet log expire.
func TestSnapshotsOutliveRetentionByAge(t *testing.T) {
	within(t, func(t *testing.T, is *is.I, l *faultLog) {
		f := follow(t, l)
		synctest.Wait()
		newWriter(t, f, "vm-1", time.Hour)
		fillLog(is, t, f, 20)
		for range 3 {
			before := l.end()
			time.Sleep(4 * time.Hour)
			l.trim(before)
			is.True(startsWhole(l, f))
		}
	})
}

// followerAndCutOne returns a follower with five records and one whose log is
// down.
func followerAndCutOne(is *is.I, t *testing.T, l *faultLog) (f, cut *Follower) {
	f = follow(t, l)
	synctest.Wait()
	fillLog(is, t, f, 5)
	down := newFaultLog()
	down.down = true
	return f, follow(t, down)
}

func TestRelayRefusesGaps(t *testing.T) {
	within(t, func(t *testing.T, is *is.I, l *faultLog) {
		f, late := followerAndCutOne(is, t, l)
		records, ok := f.RecentRecords(0)
		is.True(ok)
		is.NoErr(late.ApplyRecords(records[:2]))
		is.True(late.ApplyRecords(records[3:]) != nil)
		is.Equal(late.State.Applied(), fleet.Offset(2))
		is.NoErr(late.ApplyRecords(records)) // those that were applied are passed over
		is.Equal(late.State.Digest(), f.State.Digest())
	})
}

func TestStartFromPeerWhileTheLogIsDown(t *testing.T) {
	within(t, func(t *testing.T, is *is.I, l *faultLog) {
		f, late := followerAndCutOne(is, t, l)
		synctest.Wait()
		is.True(!late.Ready())
		sn, err := f.Snapshot()
		is.NoErr(err)
		is.NoErr(late.LoadPeerSnapshot(sn, "peer"))
		is.True(late.Ready())
		is.Equal(late.State.Digest(), f.State.Digest())
		_, ok := late.RecentRecords(3)
		is.True(!ok) // it has no records from before the snapshot
	})
}

// TestSnapshotWithoutItsTailIsNotUsed covers a snapshot whose chunks came long
// after the offset that it covers, and are kept longer than its tail.
func TestSnapshotWithoutItsTailIsNotUsed(t *testing.T) {
	within(t, func(t *testing.T, is *is.I, l *faultLog) {
		f := follow(t, l)
		synctest.Wait()
		fillLog(is, t, f, 10)
		sn, err := f.Snapshot()
		is.NoErr(err)
		fillLog(is, t, f, 5)
		for _, c := range sn.chunks("slow") {
			_, err := propose(f, time.Second, fold{t, nil}.record(KindSnapshotChunk, 0, c))
			is.NoErr(err)
		}
		l.trim(12)
		late := follow(t, l)
		time.Sleep(10 * time.Second)
		is.True(!late.Ready())
		is.Equal(late.State.Applied(), fleet.Offset(0))
	})
}

// TestDivergedStateIsReported changes the state of one VM behind the log's back.
func TestDivergedStateIsReported(t *testing.T) {
	within(t, func(t *testing.T, is *is.I, l *faultLog) {
		f, g := follow(t, l), follow(t, l)
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

// TestSearchForSnapshotIsNotRepeatedAtOnce counts the reads of a VM that finds
// none.
func TestSearchForSnapshotIsNotRepeatedAtOnce(t *testing.T) {
	within(t, func(t *testing.T, is *is.I, l *faultLog) {
		f := follow(t, l)
		synctest.Wait()
		fillLog(is, t, f, 30)
		f.Close()
		l.trim(10)
		follow(t, l)
		before := l.peeked()
		time.Sleep(time.Minute)
		is.True(l.peeked()-before < 100) // seven searches of about a dozen reads
	})
}
