package fleet_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"toucanfall/fleet"
)

func TestCheckID(t *testing.T) {
	is := is.New(t)
	for _, id := range []string{"a", "0", "at-1", "m.7_x", strings.Repeat("a", 63)} {
		is.NoErr(fleet.CheckID("team", id))
	}
	for _, id := range []string{"", "-a", ".a", "_a", "A", "a b", "a/b", "a:b", "a\n", "ä", strings.Repeat("a", 64)} {
		is.True(fleet.CheckID("team", id) != nil)
	}
}
