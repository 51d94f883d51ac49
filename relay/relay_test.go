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

	"toucanfall/crew"
	"toucanfall/timeline"
)

// fleet returns a roll of VMs in data centres.
func fleetOf(vms, dataCentres int) crew.MemberList {
	var r crew.MemberList
	for i := range vms {
		r.Members = append(r.Members, crew.Member(fmt.Sprintf("vm-%d@192.0.2.1:%d@dc-%d", i, i, i%dataCentres)))
	}
	r.Coordinator = r.Members[0]
	return r
}

// In a small fleet all VMs follow the coordinator; in a large one two of each data centre
// do, whoever looks, and the load of the others is spread over these.
func TestTreeOfRelays(t *testing.T) {
	is := is.New(t)
	small := fleetOf(direct, 3)
	for _, m := range small.Members[1:] {
		is.Equal(Sources(m, small), []crew.Member{small.Coordinator})
	}
	is.Equal(len(Sources(small.Coordinator, small)), 0)
	for _, vms := range []int{30, 100, 300, 400} {
		large := fleetOf(vms, 5)
		asked := make(map[crew.Member]int)
		for _, m := range large.Members[1:] {
			s := Sources(m, large)
			asked[s[0]]++
			is.Equal(s[len(s)-1], large.Coordinator)
			is.Equal(IsRelay(m, large), len(s) == 1)
			if len(s) > 1 {
				is.Equal(s[0].DataCentre(), m.DataCentre())
			}
		}
		is.Equal(asked[large.Coordinator], 5*relaysEach)
		for m, n := range asked {
			is.True(m == large.Coordinator || n <= vms/5) // No relay has nearly all of its data centre.
		}
	}
}

// Without a coordinator the VMs of a large fleet still follow their relays.
func TestTreeWithoutCoordinator(t *testing.T) {
	is := is.New(t)
	large := fleetOf(100, 5)
	large.Coordinator = ""
	for _, m := range large.Members {
		if !IsRelay(m, large) {
			is.Equal(len(Sources(m, large)), relaysEach)
		}
	}
}

// News whose times cannot be are refused: they would make a proof younger than it is.
func TestNewsAreChecked(t *testing.T) {
	is := is.New(t)
	good := News{Held: time.Second, DirectoryAge: UnknownAge, ConfigAge: 0, RollAge: time.Hour}
	is.NoErr(good.Validate())
	for _, spoil := range []func(*News){
		func(n *News) { n.Held = -1 },
		func(n *News) { n.DirectoryAge = -1 },
		func(n *News) { n.ConfigAge = -time.Hour },
		func(n *News) { n.RollAge = -1 },
		func(n *News) { n.Directory = -1 },
		func(n *News) { n.Config = -1 },
	} {
		bad := good
		spoil(&bad)
		is.True(bad.Validate() != nil)
	}
}

// A packed value that would unpack without end is refused, and so is one that cannot be
// read.
func TestPackedValueIsBounded(t *testing.T) {
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

// deaf is a network on which nobody answers.
type deaf struct{}

// Call fails.
func (deaf) Call(context.Context, string, string, any, any) error {
	return errors.New("nobody answers")
}

// A VM of a large fleet that starts leaves it to its relay to tell, but not to one that
// does not answer; in a small fleet it asks the store at once.
func TestStartingVMWaitsForRelayOnly(t *testing.T) {
	is := is.New(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	var now time.Duration
	var roll crew.MemberList
	f := NewFollower(FollowerConfig{
		Self: "vm-9@192.0.2.1:9@dc-4", Peers: deaf{}, MemberList: func() crew.MemberList { return roll }, NewRequest: func() Ask { return Ask{} },
		Now: func() time.Duration { return now }, Events: timeline.New("test", 16, logger),
	})
	is.True(f.UpdateExpected()) // It does not know the members yet.
	roll = fleetOf(direct, 3)
	is.True(!f.UpdateExpected())
	roll = fleetOf(100, 5)
	is.True(f.UpdateExpected())
	is.True(!f.turn(t.Context(), roll.Coordinator))
	is.True(!f.UpdateExpected())
	is.True(!f.Informed())
}
