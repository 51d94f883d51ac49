package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/catalogue"
	"toucanfall/fleet"
	"toucanfall/group"
	"toucanfall/quarantine"
	"toucanfall/relay"
)

// oneReport is a log with one report before position 5.
type oneReport struct{}

func (oneReport) Since(from relay.Position) ([]quarantine.Report, relay.Position, time.Duration) {
	if from >= 5 {
		return nil, 5, time.Hour
	}
	return []quarantine.Report{{VM: "vm", Number: 1}}, 5, time.Hour
}

// Guards against reports in each answer to a VM of an earlier version, which cannot say up to where it
// has them, and against answers without delay to it.
func TestReportsAreForVMsThatWantThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := func() time.Duration { return time.Hour + time.Second }
		s := relay.NewService(relay.ServiceConfig{
			Directory: relay.NewDirectory(), Catalogue: catalogue.NewHolder(now), Membership: group.New(group.Config{}), Reports: oneReport{}, Self: "self", Now: now,
		})
		for _, c := range []struct {
			in        relay.Ask
			reports   int
			immediate bool
		}{
			{relay.Ask{}, 0, false},
			{relay.Ask{WantsReports: true}, 1, true},
			{relay.Ask{WantsReports: true, Reports: 5}, 0, false},
		} {
			is := is.New(t)
			var out relay.News
			began := time.Now()
			is.NoErr(s.Peer().Follow(c.in, &out))
			is.Equal(out.HasReports, c.in.WantsReports)
			is.Equal(len(out.Reports), c.reports)
			is.Equal(time.Since(began) == 0, c.immediate)
			is.NoErr(out.Validate())
		}
	})
}

// Guards against an evacuation that waits at a relay until the next confirmation, and against an
// answer without delay to each request of a VM of an earlier version, which cannot say what it knows.
func TestEvacuationsAreForVMsThatWantThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := func() time.Duration { return time.Hour + time.Second }
		h := catalogue.NewHolder(now)
		h.ApplyEvacuations(catalogue.EvacuationChanges{Complete: true, Position: 5, Requested: map[fleet.DataCentre]bool{"dc": true}})
		s := relay.NewService(relay.ServiceConfig{
			Directory: relay.NewDirectory(), Catalogue: h, Membership: group.New(group.Config{}), Reports: oneReport{}, Self: "self", Now: now,
		})
		for _, c := range []struct {
			in               relay.Ask
			given, immediate bool
		}{
			{relay.Ask{}, false, false},
			{relay.Ask{WantsEvacuations: true}, true, true},
			{relay.Ask{WantsEvacuations: true, Evacuations: 5}, true, false},
		} {
			is := is.New(t)
			var out relay.News
			began := time.Now()
			is.NoErr(s.Peer().Follow(c.in, &out))
			is.Equal(out.HasEvacuations, c.given)
			is.Equal(len(out.Evacuated) == 1, c.given)
			is.Equal(time.Since(began) == 0, c.immediate)
			is.NoErr(out.Validate())
		}
		is := is.New(t)
		is.True((&relay.News{EvacuationsAt: -1}).Validate() != nil)
	})
}
