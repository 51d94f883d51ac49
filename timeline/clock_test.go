package timeline

import (
	"encoding/json"
	"io"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"toucanfall/event"
)

// process is a clock whose wall clock is off by skew milliseconds and may jump back.
type process struct {
	clock Clock
	skew  int64
	last  Stamp
}

func (p *process) now(wall int64) Stamp {
	p.clock.advance(wall + p.skew)
	return p.clock.last
}

// TestRandomClock lets processes with skewed wall clocks send each other messages. It
// checks that the order of stamps agrees with the order in which events happened
// before each other, and that no stamp is ahead of all wall clocks.
func TestRandomClock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		processes := make([]*process, 4)
		for i := range processes {
			processes[i] = &process{}
		}
		wall, highest := int64(1_000_000), int64(0)
		step := func(p *process) Stamp {
			highest = max(highest, wall+p.skew)
			s := p.now(wall)
			if !p.last.Before(s) {
				t.Fatalf("%v after %v on one process", s, p.last)
			}
			if s.WallMS > highest {
				t.Fatalf("%v is ahead of all wall clocks, %d", s, highest)
			}
			p.last = s
			return s
		}
		t.Repeat(map[string]func(*rapid.T){
			"event": func(t *rapid.T) { step(rapid.SampledFrom(processes).Draw(t, "p")) },
			"message": func(t *rapid.T) {
				from, to := rapid.SampledFrom(processes).Draw(t, "from"), rapid.SampledFrom(processes).Draw(t, "to")
				sent := step(from)
				to.clock.Observe(sent)
				if got := step(to); !sent.Before(got) {
					t.Fatalf("sent at %v, received at %v", sent, got)
				}
			},
			"pass":    func(t *rapid.T) { wall += rapid.Int64Range(0, 5).Draw(t, "ms") },
			"correct": func(t *rapid.T) { processes[0].skew = rapid.Int64Range(-500, 500).Draw(t, "skew") },
		})
	})
}

func TestRandomStampText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Stamp{WallMS: rapid.Int64Min(0).Draw(t, "wall"), Counter: rapid.Uint32().Draw(t, "counter")}
		b, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		var got Stamp
		if err := json.Unmarshal(b, &got); err != nil || got != s {
			t.Fatalf("%s was decoded as %v, %v", b, got, err)
		}
	})
}

func FuzzStamp(f *testing.F) {
	f.Add("1.2")
	f.Add("-1.2")
	f.Add("9223372036854775808.0")
	f.Fuzz(func(t *testing.T, text string) {
		var s Stamp
		if s.UnmarshalText([]byte(text)) != nil {
			return
		}
		if s.WallMS < 0 {
			t.Errorf("%q was decoded as %v", text, s)
		}
	})
}

func TestFullCounterCarriesOver(t *testing.T) {
	is := is.New(t)
	c := Clock{last: Stamp{WallMS: math.MaxInt64 - 1, Counter: math.MaxUint32}}
	is.Equal(c.Now(), Stamp{WallMS: math.MaxInt64})
}

func TestObserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		a, b := New("a", 8, logger), New("b", 8, logger)
		for range 3 {
			a.Record(event.ProcessStarted, nil) // all in one millisecond
		}
		is.NoErr(b.Observe(a.Header()))
		b.Record(event.ProcessReady, nil)
		merged := Merge(Filter{}, b.Entries(Filter{}), a.Entries(Filter{}))
		is.Equal(merged[3].Process, "b") // after the events that preceded it
		is.NoErr(b.Observe(""))
		is.True(b.Observe("yesterday") != nil)
		future, err := Stamp{WallMS: time.Now().Add(time.Hour).UnixMilli()}.MarshalText()
		is.NoErr(err)
		is.True(b.Observe(string(future)) != nil)
		is.True(b.Clock.Now().WallMS <= time.Now().UnixMilli()) // the rejected stamp did not advance the clock
	})
}
