package gateway

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// The line that counts what was left out reads like all others of the log.
func TestLeftOutLineReadsLikeOthers(t *testing.T) {
	is := is.New(t)
	line := leftOut("vm-1", 12)
	is.Equal(line[len(line)-1], byte('\n'))
	var got map[string]any
	is.NoErr(json.Unmarshal(line, &got))
	is.Equal(got["event"], 834.0)
	is.Equal(got["msg"], "lines_left_out")
	is.Equal(got["level"], "warning")
	is.Equal(got["process"], "vm-1")
	is.Equal(got["lines"], "12")
}
