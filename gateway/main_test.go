package gateway

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The record that counts dropped lines has the format of all other log records.
func TestDroppedLinesRecordFormat(t *testing.T) {
	is := is.New(t)
	line := droppedLinesRecord("vm-1", 12)
	is.Equal(line[len(line)-1], byte('\n'))
	var got map[string]any
	is.NoErr(json.Unmarshal(line, &got))
	is.Equal(got["event"], 834.0)
	is.Equal(got["msg"], "lines_left_out")
	is.Equal(got["level"], "warning")
	is.Equal(got["process"], "vm-1")
	is.Equal(got["lines"], "12")
	at, err := time.Parse("2006-01-02T15:04:05.000Z07:00", fmt.Sprint(got["time"]))
	is.NoErr(err) // milliseconds, to order the lines of several VMs
	is.True(time.Since(at) < time.Hour)
}
