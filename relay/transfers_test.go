package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/catalogue"
	"toucanfall/fleet"
	"toucanfall/group"
)

// Guards against an answer without its large parts that confirms what the follower does not have, that
// comes later than an answer may, or that is repeated for ever because a follower has vanished.
func TestLargeAnswerWaitsForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now := newClock()
		s := newLargeService(100_000, now)
		s.cfg.Directory.ApplyChanges(testLog{}.since(0), 1, now())
		ask := func(vm fleet.VMID) (out News, took time.Duration) {
			began := now()
			is.NoErr(s.Peer().Follow(Ask{VM: vm}, &out))
			return out, now() - began
		}
		for _, vm := range []fleet.VMID{"a", "b"} {
			out, took := ask(vm)
			is.True(len(out.Document) > 0 && !out.Busy && took == 0)
		}
		out, took := ask("c")
		is.True(out.Busy && len(out.Document) == 0)
		is.Equal(took, maxAnswerDelay)
		is.Equal(out.Config, catalogue.Version(1)) // A follower with version 0 does not take this as confirmed.
		out, took = ask("")
		is.True(len(out.Document) > 0 && took == 0) // A VM of an earlier version does not wait.
		out, _ = ask("a")
		is.True(!out.Busy) // It has received its first answer.
		out, took = ask("d")
		is.True(!out.Busy)
		is.Equal(took, transferTimeout-maxAnswerDelay) // The transfer to b has expired.
	})
}

// Guards against a VM that starts and waits for a busy relay although it could read the store.
func TestBusyRelayDoesNotDelayStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now, members := newClock(), newMemberList(23, 1)
		link := &slowLink{service: newLargeService(100_000, now), relay: members.Members[0].Address()}
		for _, vm := range []fleet.VMID{"a", "b"} {
			is.NoErr(link.service.Peer().Follow(Ask{VM: vm}, &News{}))
		}
		f := NewFollower(FollowerConfig{
			Self: "vm-9@192.0.2.1:9@dc-0", Peers: link, MemberList: func() group.MemberList { return members }, Now: now, Events: newTestRecorder(),
			NewRequest: func() Ask { return Ask{} }, ApplyNews: func(context.Context, *News, time.Duration) bool { return false },
		})
		is.True(f.UpdateExpected())
		is.True(!f.request(t.Context(), members.Members[0]))
		is.True(!f.UpdateExpected())
		_, ok := f.choose()
		is.True(ok) // The relay is not excluded.
	})
}

// Guards against entries of the directory that are left out while their position is confirmed.
func TestWithheldDirectoryConfirmsNothing(t *testing.T) {
	is := is.New(t)
	n := News{Directory: 7, All: make([]byte, 10), Document: make([]byte, 10), Config: 3, Mark: Mark{Directory: 5, Config: 6}}
	n.withholdLarge()
	is.Equal(n, News{DirectoryAge: UnknownAge, Config: 3, Mark: Mark{Config: 6}, Busy: true})
	n = News{Directory: 7, DirectoryAge: time.Second, Document: make([]byte, 10), Config: 3}
	n.withholdLarge()
	is.Equal(n, News{Directory: 7, DirectoryAge: time.Second, Config: 3, Busy: true})
}
