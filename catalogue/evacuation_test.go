package catalogue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"toucanfall/catalogue"
	"toucanfall/fleet"
	"toucanfall/internal/logpos"
)

// topicRecord requests the evacuation of a data centre or ends it.
type topicRecord struct {
	dc        fleet.DataCentre
	requested bool
}

// readTopic returns the changes of a read of the records from one position up to another.
func readTopic(topic []topicRecord, from, to int, complete bool) catalogue.EvacuationChanges {
	c := catalogue.EvacuationChanges{Complete: complete, Requested: make(map[fleet.DataCentre]bool), Position: catalogue.Position(to)}
	for _, r := range topic[from:to] {
		c.Requested[r.dc] = r.requested
	}
	return c
}

// checkEvacuations compares what a VM knows with the records up to its position.
func checkEvacuations(h *catalogue.Holder, topic []topicRecord) error {
	e := h.Evacuations()
	if !e.Known {
		return nil
	}
	state := make(map[fleet.DataCentre]bool)
	for _, r := range topic[:e.Position] {
		state[r.dc] = r.requested
	}
	var want []fleet.DataCentre
	for _, dc := range []fleet.DataCentre{"a", "b", "c"} {
		if state[dc] {
			want = append(want, dc)
		}
	}
	if fmt.Sprint(e.DataCentres) != fmt.Sprint(want) {
		return fmt.Errorf("at position %d: %v, want %v", e.Position, e.DataCentres, want)
	}
	return nil
}

// testVM is a VM with the position of its next read of the topic, -1 before the first.
type testVM struct {
	*catalogue.Holder
	cursor int
}

// read reads the topic: all of it the first time and when records have expired, else a part.
func (v *testVM) read(t *rapid.T, topic []topicRecord) {
	from, to := v.cursor, len(topic)
	complete := from < 0 || rapid.IntRange(0, 9).Draw(t, "expired") == 0
	if complete {
		from = 0
	} else {
		to = rapid.IntRange(from, len(topic)).Draw(t, "to")
	}
	v.ApplyEvacuations(readTopic(topic, from, to, complete))
	v.cursor = to
}

// Guards against a VM that uses an evacuated data centre, or leaves out one that has returned, because
// reads of the store and what other VMs pass on arrive in any order: a VM always has the evacuations of
// its position, and never goes back.
func TestRandomReadsGiveEvacuationsOfPosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var topic []topicRecord
		vms := make([]*testVM, 3)
		for i := range vms {
			vms[i] = &testVM{catalogue.NewHolder(func() time.Duration { return time.Hour }), -1}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			vm, other := rapid.SampledFrom(vms).Draw(t, "vm"), rapid.SampledFrom(vms).Draw(t, "other")
			before := vm.Evacuations().Position
			switch rapid.SampledFrom([]string{"write", "read", "adopt"}).Draw(t, "what") {
			case "write":
				topic = append(topic, topicRecord{rapid.SampledFrom([]fleet.DataCentre{"a", "b", "c"}).Draw(t, "dc"), rapid.Bool().Draw(t, "requested")})
			case "read":
				vm.read(t, topic)
			case "adopt":
				vm.AdoptEvacuations(other.Evacuations())
			}
			if vm.Evacuations().Position < before {
				t.Fatal("the position went back")
			}
			if err := checkEvacuations(vm.Holder, topic); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// The functions registered for evacuations are called only when these change.
func TestChangedEvacuationsAreReported(t *testing.T) {
	is := is.New(t)
	h := catalogue.NewHolder(func() time.Duration { return time.Hour })
	var got [][]fleet.DataCentre
	h.OnEvacuations(func(list []fleet.DataCentre) { got = append(got, list) })
	h.ApplyEvacuations(catalogue.EvacuationChanges{}) // Nothing is known yet.
	is.True(!h.Evacuations().Known)
	h.AdoptEvacuations(catalogue.Evacuations{})
	is.True(!h.Evacuations().Known)
	topic := []topicRecord{{"b", true}, {"a", true}, {"a", true}, {"a", false}, {"b", false}}
	h.ApplyEvacuations(readTopic(topic, 0, 0, true))
	is.True(h.Evacuations().Known)
	for i := range topic {
		h.ApplyEvacuations(readTopic(topic, i, i+1, false))
	}
	is.Equal(got, [][]fleet.DataCentre{{"b"}, {"a", "b"}, {"b"}, nil})
}

// Guards against an evacuation that ends although no operator ended it, because the topic came back from a
// copy that lacks it. One that is not written again ends after a while, one that is ended by a record at once.
// What a VM passes on to others is what the topic lists.
func TestEvacuationOutlastsRestore(t *testing.T) {
	is := is.New(t)
	var now time.Duration
	h := catalogue.NewHolder(func() time.Duration { return now })
	var seen []string
	h.OnEvacuations(func(dcs []fleet.DataCentre) { seen = append(seen, fmt.Sprint(dcs)) })
	apply := func(era, offset int64, complete bool, requested map[fleet.DataCentre]bool) {
		h.ApplyEvacuations(catalogue.EvacuationChanges{Complete: complete, Requested: requested, Position: logpos.At(era, offset)})
	}
	apply(0, 7, true, map[fleet.DataCentre]bool{"a": true, "b": true, "c": true})
	apply(1, 2, true, map[fleet.DataCentre]bool{"c": true})
	is.Equal(len(seen), 1) // Nothing has changed.
	is.Equal(h.Evacuations().DataCentres, []fleet.DataCentre{"c"})
	apply(0, 8, false, map[fleet.DataCentre]bool{"c": false}) // A read of the former era.
	apply(1, 3, false, map[fleet.DataCentre]bool{"a": true})
	apply(1, 4, false, map[fleet.DataCentre]bool{"b": false})
	is.Equal(h.Evacuated(), []fleet.DataCentre{"a", "c"})
	h.AdoptEvacuations(catalogue.Evacuations{Known: true, Position: logpos.At(2, 0)})
	is.Equal(h.Evacuated(), []fleet.DataCentre{"a", "c"})
	now += time.Minute
	h.ExpireEvacuations()
	is.Equal(len(h.Evacuated()), 0)
	is.Equal(seen, []string{"[a b c]", "[a c]", "[]"})
}
