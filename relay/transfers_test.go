package relay

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/catalogue"
	"toucanfall/fleet"
	"toucanfall/group"
)

// Guards against an answer without its large parts that confirms what the follower does not have, that
// comes later than an answer may, or that others do not get because two followers are frozen.
func TestLargeAnswerWaitsForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now := newClock()
		s := newLargeService(100_000, now)
		answers := make(map[time.Duration]int)
		var mu sync.Mutex
		ask := func(vm fleet.VMID) (busy bool) {
			var out News
			began := now()
			is.NoErr(s.Peer().Follow(Ask{VM: vm}, &out))
			is.Equal(out.Busy, len(out.Document) == 0)
			is.Equal(out.Config, catalogue.Version(1)) // A follower with version 0 does not take this as confirmed.
			mu.Lock()
			defer mu.Unlock()
			answers[now()-began]++
			return out.Busy
		}
		var asking sync.WaitGroup
		var busy atomic.Int64
		for i := range 6 {
			asking.Go(func() {
				if ask(fleet.VMID(fmt.Sprint("vm-", i))) {
					busy.Add(1)
				}
			})
		}
		asking.Wait() // None of them asks again, as if it were frozen.
		is.Equal(answers, map[time.Duration]int{0: 2, minTransferTimeout: 2, maxAnswerDelay: 2})
		is.Equal(busy.Load(), int64(2))
		is.True(!ask("")) // A VM of an earlier version does not wait.
		is.Equal(answers[0], 3)
	})
}

// Guards against followers that wait although others have received their answers.
func TestNextRequestEndsTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now := newClock()
		s := newLargeService(100_000, now)
		began := now()
		for _, vm := range []fleet.VMID{"a", "b", "a", "b", "a"} {
			var out News
			is.NoErr(s.Peer().Follow(Ask{VM: vm}, &out))
			is.True(!out.Busy)
		}
		is.Equal(now(), began)
	})
}

// Guards against a VM that starts and waits for a busy relay although it could read the store.
func TestBusyRelayDoesNotDelayStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now, members := newClock(), newMemberList(23, 1)
		link := &slowLink{service: newLargeService(100_000, now), relay: members.Members[0].Address()}
		link.service.transfers.active = []transfer{{"a", 2 * time.Hour}, {"b", 2 * time.Hour}}
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
