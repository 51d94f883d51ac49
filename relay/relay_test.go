package relay

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"toucanfall/group"
	"toucanfall/timeline"
)

// newMemberList returns a member list of VMs that are spread over data centres.
func newMemberList(vms, dataCentres int) group.MemberList {
	var r group.MemberList
	for i := range vms {
		r.Members = append(r.Members, group.Member(fmt.Sprintf("vm-%d@192.0.2.1:%d@dc-%d", i, i, i%dataCentres)))
	}
	r.Coordinator = r.Members[0]
	return r
}

// In a small fleet all VMs follow the coordinator. In a large one two of each data centre
// do, the same ones for every VM that computes them, and the other VMs are spread over
// these.
func TestRelayTree(t *testing.T) {
	is := is.New(t)
	small := newMemberList(directMaxVMs, 3)
	for _, m := range small.Members[1:] {
		is.Equal(Sources(m, small), []group.Member{small.Coordinator})
	}
	is.Equal(len(Sources(small.Coordinator, small)), 0)
	for _, vms := range []int{30, 100, 300, 400} {
		large := newMemberList(vms, 5)
		followers := make(map[group.Member]int)
		for _, m := range large.Members[1:] {
			s := Sources(m, large)
			followers[s[0]]++
			is.Equal(s[len(s)-1], large.Coordinator)
			is.Equal(IsRelay(m, large), len(s) == 1)
			if len(s) > 1 {
				is.Equal(s[0].DataCentre(), m.DataCentre())
			}
		}
		is.Equal(followers[large.Coordinator], 5*relaysPerDataCentre)
		for m, n := range followers {
			is.True(m == large.Coordinator || n <= vms/5) // No relay serves nearly all of its data centre.
		}
	}
}

// Without a coordinator the VMs of a large fleet still follow their relays.
func TestRelayTreeWithoutCoordinator(t *testing.T) {
	is := is.New(t)
	large := newMemberList(100, 5)
	large.Coordinator = ""
	for _, m := range large.Members {
		if !IsRelay(m, large) {
			is.Equal(len(Sources(m, large)), relaysPerDataCentre)
		}
	}
}

// News with impossible times are rejected: they would make a confirmation look newer than
// it is.
func TestNewsValidation(t *testing.T) {
	is := is.New(t)
	good := News{Held: time.Second, DirectoryAge: UnknownAge, ConfigAge: 0, RollAge: time.Hour}
	is.NoErr(good.Validate())
	for _, corrupt := range []func(*News){
		func(n *News) { n.Held = -1 },
		func(n *News) { n.DirectoryAge = -1 },
		func(n *News) { n.ConfigAge = -time.Hour },
		func(n *News) { n.RollAge = -1 },
		func(n *News) { n.Directory = -1 },
		func(n *News) { n.Config = -1 },
	} {
		bad := good
		corrupt(&bad)
		is.True(bad.Validate() != nil)
	}
}

// A packed value that unpacks to more than the limit is rejected, and so is one that cannot
// be decoded.
func TestUnpackedSizeIsBounded(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	is.NoErr(err)
	is.NoErr(gob.NewEncoder(w).Encode(make([]byte, maxUnpacked+1)))
	is.NoErr(w.Close())
	var out []byte
	is.True(unpack(b.Bytes(), &out) != nil)
	is.True(unpack([]byte("no value"), &out) != nil)
	is.NoErr(unpack(pack([]byte("a value")), &out))
	is.Equal(string(out), "a value")
}

// unreachablePeers is a network on which no VM answers.
type unreachablePeers struct{}

// CallReceiving always fails.
func (unreachablePeers) CallReceiving(context.Context, string, string, any, any, time.Duration) error {
	return errors.New("the peer is unreachable")
}

// A starting VM of a large fleet waits for its relay instead of reading the store, unless
// the relay does not answer. In a small fleet it reads the store immediately.
func TestStartingVMWaitsForRelayOnly(t *testing.T) {
	is := is.New(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	var now time.Duration
	var members group.MemberList
	var outcomes []Outcome
	f := NewFollower(FollowerConfig{
		Self: "vm-9@192.0.2.1:9@dc-4", Peers: unreachablePeers{}, MemberList: func() group.MemberList { return members }, NewRequest: func() Ask { return Ask{} },
		Now: func() time.Duration { return now }, Events: timeline.New("test", 16, logger),
		OnAnswer: func(o Outcome, _ int, _ time.Duration) { outcomes = append(outcomes, o) },
	})
	is.True(f.UpdateExpected()) // It has no member list yet.
	members = newMemberList(directMaxVMs, 3)
	is.True(!f.UpdateExpected())
	members = newMemberList(100, 5)
	is.True(f.UpdateExpected())
	is.True(!f.request(t.Context(), members.Coordinator))
	is.True(!f.UpdateExpected())
	is.True(!f.Informed())
	is.Equal(outcomes, []Outcome{Failed})
}
