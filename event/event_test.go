package event_test

import (
	"testing"

	"github.com/matryer/is"

	"toucanfall/event"
)

func TestNumbersAndNamesAreUnique(t *testing.T) {
	is := is.New(t)
	numbers := make(map[event.Number]bool)
	names := make(map[string]bool)
	last := event.Number(0)
	for _, e := range event.Registry {
		is.True(!numbers[e.Number])
		is.True(!names[e.Name])
		is.True(e.Number > last) // the registry is in order
		is.True(e.Text != "")
		numbers[e.Number] = true
		names[e.Name] = true
		last = e.Number
	}
}
