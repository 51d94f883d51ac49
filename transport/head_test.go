package transport

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// Guards against heads of thousands of short lines, which take 20 times their bytes, and against a limit
// on them that counts the lines of a body, or of an earlier head.
func TestLinesOfHeadAreLimited(t *testing.T) {
	lines := func(n int) string { return strings.Repeat("a:\r\n", n) }
	for _, c := range []struct {
		read, text string
		long       bool
	}{
		{"", lines(maxHeadLines) + "\r\n", false},
		{"", lines(maxHeadLines+1) + "\r\n", true},
		{lines(maxHeadLines), "\r\n", false},
		{lines(maxHeadLines), lines(1), true},
		{lines(maxHeadLines + 1), "", true},
		{"", strings.ReplaceAll(lines(maxHeadLines+1), "\r", ""), true},
		{"", lines(1) + "\r\n" + lines(2*maxHeadLines), false},
		{"", lines(1) + "\n" + lines(2*maxHeadLines), false},
		{lines(1) + "\r\n" + lines(2*maxHeadLines), "", false},
	} {
		for name, wrap := range map[string]func(*bytes.Reader) *headLines{
			"at once":      func(r *bytes.Reader) *headLines { return &headLines{r: r} },
			"byte by byte": func(r *bytes.Reader) *headLines { return &headLines{r: iotest.OneByteReader(r)} },
		} {
			t.Run(fmt.Sprintf("%.20q+%d %s", c.read, len(c.text), name), func(t *testing.T) {
				is := is.New(t)
				h := wrap(bytes.NewReader([]byte(c.text)))
				err := h.begin([]byte(c.read))
				for b := make([]byte, 4<<10); err == nil; {
					_, err = h.Read(b)
				}
				is.Equal(err == errHeadTooLong, c.long)
			})
		}
	}
}
