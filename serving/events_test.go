package serving

import (
	"testing"

	"github.com/matryer/is"
)

func TestEventsEndByAnyLineEnd(t *testing.T) {
	for _, c := range []struct {
		text     string
		complete int
		id       string
		progress bool
	}{
		{"id: 1\ndata: a\n\nid: 2\nda", 15, "1", true},
		{"id: 1\r\ndata: a\r\n\r\nid: 2", 18, "1", true},
		{"id: 1\rdata: a\r\rid: 2", 15, "1", true},
		{"id: 1\ndata: a\n\r\nid: 2", 16, "1", true},
		{": comment\n\n", 11, "", false},
		{"data:\r\n\r\n", 9, "", false},
		{"id:\n\n", 5, "", false},
		{"x", 0, "", false},
	} {
		t.Run(c.text, func(t *testing.T) {
			is := is.New(t)
			n := completeEvents([]byte(c.text))
			is.Equal(n, c.complete)
			id, _ := lastEventID([]byte(c.text[:n]))
			is.Equal(id, c.id)
			is.Equal(hasProgress([]byte(c.text[:n])), c.progress)
		})
	}
}

// A stream has been broken off if it ends within an event or a line.
func TestEndInsideEvent(t *testing.T) {
	is := is.New(t)
	for _, rest := range []string{"", "\n", "\r\n", ": comment\n", ": comment\r\n\r\n"} {
		is.True(!insideEvent([]byte(rest))) // between events
	}
	for _, rest := range []string{"i", "id: 1", "id: 1\n", "data: a\r\n", "data: a\r\n\r", ": com", "retry: 5\n", ": c\ndata: a\n"} {
		is.True(insideEvent([]byte(rest))) // within one
	}
}

// The end of the complete events never lies beyond the input, and is never earlier with more
// input, however malformed the events are.
func FuzzEvents(f *testing.F) {
	for _, s := range []string{"id: 1\ndata: a\n\n", "\r\r\n\n\r", "id:\x00\n\n\n", ""} {
		f.Add([]byte(s), 3)
	}
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		cut = max(0, min(cut, len(b)))
		first := completeEvents(b[:cut])
		if end := completeEvents(b); end < first || end > len(b) {
			t.Errorf("%q ends at %d, and cut at %d at %d", b, end, cut, first)
		}
		_, _ = lastEventID(b)
		_ = hasProgress(b)
	})
}
