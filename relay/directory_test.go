package relay

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"toucanfall/fleet"
	"toucanfall/roster"
)

// record is one change of a directory as the store keeps it: an entry, or its end.
type record struct {
	id    fleet.UpstreamID
	entry *roster.Entry
}

// ledger is the store's log of a directory.
type ledger []record

// since returns what a VM reads that knows the log up to a position: the newest record
// of each upstream.
func (l ledger) since(from Position) roster.Changes {
	c := roster.Changes{Complete: from == 0}
	for id, e := range newest(l[from:]) {
		switch {
		case e != nil:
			c.Entries = append(c.Entries, *e)
		case !c.Complete:
			c.Removed = append(c.Removed, id)
		}
	}
	return c
}

func newest(l ledger) map[fleet.UpstreamID]*roster.Entry {
	out := make(map[fleet.UpstreamID]*roster.Entry)
	for _, r := range l {
		out[r.id] = r.entry
	}
	return out
}

// state returns what stands in the directory at a position.
func (l ledger) state(at Position) map[fleet.UpstreamID]roster.Entry {
	out := make(map[fleet.UpstreamID]roster.Entry)
	for id, e := range newest(l[:at]) {
		if e != nil {
			out[id] = *e
		}
	}
	return out
}

// reader is a VM that reads the log, or asks another one.
type reader struct {
	d     *Directory
	known map[fleet.UpstreamID]roster.Entry
	at    Position
}

func (r *reader) take(c roster.Changes, at Position, asked time.Duration) {
	r.d.ApplyChanges(c, at, asked)
	if at < r.at {
		return
	}
	if c.Complete {
		clear(r.known)
	}
	for _, e := range c.Entries {
		r.known[e.ID] = e
	}
	for _, id := range c.Removed {
		delete(r.known, id)
	}
	r.at = at
}

// ask lets a VM ask another one.
func (r *reader) ask(from *reader, now time.Duration) error {
	var n News
	from.d.tell(r.at, now, &n)
	c, err := n.Changes()
	if err != nil || n.DirectoryAge == UnknownAge {
		return err
	}
	if n.Directory >= r.at {
		r.take(c, n.Directory, now-n.DirectoryAge)
	}
	return nil
}

// check returns an error if a VM knows something else than what stood at its position.
func (r *reader) check(l ledger) error {
	want := l.state(r.at)
	for id, e := range want {
		if got, ok := r.known[id]; !ok || !same(got, e) {
			return fmt.Errorf("at %d upstream %s is known as %+v, not %+v", r.at, id, got, e)
		}
	}
	if len(want) != len(r.known) {
		return fmt.Errorf("at %d %v are known, not %v", r.at, maps.Keys(r.known), maps.Keys(want))
	}
	return nil
}

// Guards against an upstream that is used after its end, or missed, because a relay never
// saw what a VM has read between two reads of the relay: whoever reads or asks whom, a VM
// knows what stood at its position.
func TestRandomRelaysTellWhatStands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log ledger
		vms := make([]*reader, 4)
		for i := range vms {
			vms[i] = &reader{d: NewDirectory(), known: make(map[fleet.UpstreamID]roster.Entry)}
		}
		for now := time.Second; now < 60*time.Second; now += time.Second {
			vm := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")]
			switch rapid.SampledFrom([]string{"write", "write", "read", "ask", "ask"}).Draw(t, "what") {
			case "write":
				log = append(log, drawRecord(t))
			case "read":
				vm.take(log.since(vm.at), Position(len(log)), now)
			case "ask":
				if err := vm.ask(vms[rapid.IntRange(0, len(vms)-1).Draw(t, "whom")], now); err != nil {
					t.Fatal(err)
				}
			}
			if err := vm.check(log); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func drawRecord(t *rapid.T) record {
	r := record{id: fleet.UpstreamID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "upstream"))}
	if rapid.IntRange(0, 2).Draw(t, "lives") > 0 {
		r.entry = &roster.Entry{ID: r.id, Address: "192.0.2.1:80", Draining: rapid.Bool().Draw(t, "draining")}
	}
	return r
}

// A removal that is remembered no more is told by all the entries.
func TestForgottenRemovalIsToldByAllEntries(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	d.ApplyChanges(roster.Changes{Complete: true, Entries: []roster.Entry{{ID: "stays"}, {ID: "goes"}}}, 2, time.Second)
	d.ApplyChanges(roster.Changes{Removed: []fleet.UpstreamID{"goes"}}, 3, time.Second)
	for i := range removalsKept {
		d.ApplyChanges(roster.Changes{Removed: []fleet.UpstreamID{fleet.UpstreamID(fmt.Sprint(i))}}, Position(4+i), time.Second)
	}
	var n News
	d.tell(2, 2*time.Second, &n)
	c, err := n.Changes()
	is.NoErr(err)
	is.True(c.Complete)
	is.Equal(len(c.Entries), 1)
	is.Equal(c.Entries[0].ID, fleet.UpstreamID("stays"))
}

// A heartbeat that changes nothing is no news, though the proof is younger.
func TestHeartbeatIsNoNews(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	e := roster.Entry{ID: "u", Holdings: []roster.Holding{{Model: "m"}}}
	d.ApplyChanges(roster.Changes{Complete: true, Entries: []roster.Entry{e}}, 1, time.Second)
	d.ApplyChanges(roster.Changes{Entries: []roster.Entry{e}}, 2, 2*time.Second)
	is.True(!d.newsFor(1))
	var n News
	d.tell(1, 3*time.Second, &n)
	is.Equal(len(n.Entries), 0)
	is.Equal(n.Directory, Position(2))
	is.Equal(n.DirectoryAge, time.Second)
}
