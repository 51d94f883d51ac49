package relay

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"toucanfall/fleet"
	"toucanfall/roster"
)

// logRecord is one change of a directory as the store keeps it: an entry, or nil for its
// removal.
type logRecord struct {
	id    fleet.UpstreamID
	entry *roster.Entry
}

// testLog is the store's log of a directory.
type testLog []logRecord

// since returns what a VM reads that has read the log up to a position: the newest record
// of each upstream.
func (l testLog) since(from Position) roster.Changes {
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

func newest(l testLog) map[fleet.UpstreamID]*roster.Entry {
	out := make(map[fleet.UpstreamID]*roster.Entry)
	for _, r := range l {
		out[r.id] = r.entry
	}
	return out
}

// state returns the entries of the directory at a position.
func (l testLog) state(at Position) map[fleet.UpstreamID]roster.Entry {
	out := make(map[fleet.UpstreamID]roster.Entry)
	for id, e := range newest(l[:at]) {
		if e != nil {
			out[id] = *e
		}
	}
	return out
}

// testVM is a VM that reads the log or requests updates from other VMs.
type testVM struct {
	d        *Directory
	entries  map[fleet.UpstreamID]roster.Entry
	position Position
}

func (r *testVM) apply(c roster.Changes, at Position, requestedAt time.Duration) {
	r.d.ApplyChanges(c, at, requestedAt)
	if at < r.position {
		return
	}
	if c.Complete {
		clear(r.entries)
	}
	for _, e := range c.Entries {
		r.entries[e.ID] = e
	}
	for _, id := range c.Removed {
		delete(r.entries, id)
	}
	r.position = at
}

// requestFrom requests an update from another VM and applies it.
func (r *testVM) requestFrom(from *testVM, now time.Duration) error {
	var n News
	from.d.fillNews(r.position, now, &n)
	c, err := n.Changes()
	if err != nil || n.DirectoryAge == UnknownAge {
		return err
	}
	if n.Directory >= r.position {
		r.apply(c, n.Directory, now-n.DirectoryAge)
	}
	return nil
}

// checkEntries returns an error if the VM's entries differ from those of the log at its
// position.
func (r *testVM) checkEntries(l testLog) error {
	want := l.state(r.position)
	for id, e := range want {
		if got, ok := r.entries[id]; !ok || !equalIgnoringAdapters(got, e) {
			return fmt.Errorf("at position %d, upstream %s is %+v, want %+v", r.position, id, got, e)
		}
	}
	if len(want) != len(r.entries) {
		return fmt.Errorf("at position %d, the upstreams are %v, want %v", r.position, maps.Keys(r.entries), maps.Keys(want))
	}
	return nil
}

// Guards against an upstream that is used after its removal, or missing, because a relay
// did not see what a VM has read between two reads of the relay: in any order of reads and
// requests a VM has the entries of its position.
func TestRandomRelaysReportCurrentEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log testLog
		vms := make([]*testVM, 4)
		for i := range vms {
			vms[i] = &testVM{d: NewDirectory(), entries: make(map[fleet.UpstreamID]roster.Entry)}
		}
		for now := time.Second; now < 60*time.Second; now += time.Second {
			vm := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")]
			switch rapid.SampledFrom([]string{"write", "write", "read", "ask", "ask"}).Draw(t, "what") {
			case "write":
				log = append(log, drawRecord(t))
			case "read":
				vm.apply(log.since(vm.position), Position(len(log)), now)
			case "ask":
				if err := vm.requestFrom(vms[rapid.IntRange(0, len(vms)-1).Draw(t, "whom")], now); err != nil {
					t.Fatal(err)
				}
			}
			if err := vm.checkEntries(log); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func drawRecord(t *rapid.T) logRecord {
	r := logRecord{id: fleet.UpstreamID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "upstream"))}
	if rapid.IntRange(0, 2).Draw(t, "lives") > 0 {
		r.entry = &roster.Entry{ID: r.id, Address: "192.0.2.1:80", Draining: rapid.Bool().Draw(t, "draining")}
	}
	return r
}

// A VM that needs a removal which is no longer kept gets all entries.
func TestDroppedRemovalSendsAllEntries(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	d.ApplyChanges(roster.Changes{Complete: true, Entries: []roster.Entry{{ID: "stays"}, {ID: "goes"}}}, 2, time.Second)
	d.ApplyChanges(roster.Changes{Removed: []fleet.UpstreamID{"goes"}}, 3, time.Second)
	for i := range maxRemovals {
		d.ApplyChanges(roster.Changes{Removed: []fleet.UpstreamID{fleet.UpstreamID(fmt.Sprint(i))}}, Position(4+i), time.Second)
	}
	var n News
	d.fillNews(2, 2*time.Second, &n)
	c, err := n.Changes()
	is.NoErr(err)
	is.True(c.Complete)
	is.Equal(len(c.Entries), 1)
	is.Equal(c.Entries[0].ID, fleet.UpstreamID("stays"))
}

// A heartbeat that changes nothing is no update, though it makes the confirmation newer.
func TestUnchangedHeartbeatIsNoUpdate(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	e := roster.Entry{ID: "u", Holdings: []roster.Holding{{Model: "m"}}}
	d.ApplyChanges(roster.Changes{Complete: true, Entries: []roster.Entry{e}}, 1, time.Second)
	d.ApplyChanges(roster.Changes{Entries: []roster.Entry{e}}, 2, 2*time.Second)
	is.True(!d.hasUpdateFor(1))
	var n News
	d.fillNews(1, 3*time.Second, &n)
	is.Equal(len(n.Entries), 0)
	is.Equal(n.Directory, Position(2))
	is.Equal(n.DirectoryAge, time.Second)
}

// Guards against a cold engine that VMs behind a relay take for a warm one, against a cold time that
// counts anew from each request although the relay has known it for long, and against an update for
// each heartbeat of a cold engine.
func TestColdTimeIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := NewDirectory()
		cold := func(d time.Duration) []roster.Entry { return []roster.Entry{{ID: "u", Cold: d}} }
		d.ApplyChanges(roster.Changes{Complete: true, Entries: cold(20 * time.Second)}, 1, time.Second)
		sent := func(from Position) []roster.Entry {
			var n News
			d.fillNews(from, 3*time.Second, &n)
			c, err := n.Changes()
			is.NoErr(err)
			return c.Entries
		}
		is.Equal(sent(0), cold(20*time.Second))
		time.Sleep(5 * time.Second)
		is.Equal(sent(0), cold(15*time.Second)) // The packed list is not that of 5 s ago.
		d.ApplyChanges(roster.Changes{Entries: cold(15 * time.Second)}, 2, 2*time.Second)
		is.True(!d.hasUpdateFor(1)) // A heartbeat of the same cold time.
		d.ApplyChanges(roster.Changes{Entries: cold(0)}, 3, 2*time.Second)
		is.True(!d.hasUpdateFor(1))
		d.ApplyChanges(roster.Changes{Entries: cold(20 * time.Second)}, 4, 2*time.Second)
		is.True(d.hasUpdateFor(3)) // Cold again.
		is.Equal(sent(3), cold(20*time.Second))
		time.Sleep(time.Minute)
		is.Equal(sent(3), cold(0))
	})
}
