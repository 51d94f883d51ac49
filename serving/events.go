package serving

import (
	"bytes"
	"iter"
)

// eventEnds are the empty lines after an event: a line ends by any of LF, CRLF and CR.
var eventTerminators = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

// wholeEvents returns the length of the whole events that b begins with.
func completeEvents(b []byte) int {
	end := 0
	for _, e := range eventTerminators {
		if i := bytes.LastIndex(b, e); i >= 0 {
			end = max(end, i+len(e))
		}
	}
	return end
}

// linesOf yields the lines of events, without empty ones.
func eventLines(events []byte) iter.Seq[[]byte] {
	return bytes.FieldsFuncSeq(events, func(r rune) bool { return r == '\n' || r == '\r' })
}

// progress reports whether whole events hold more than comments and empty fields: an engine
// that sends only these, or single bytes, stands still.
func hasProgress(events []byte) bool {
	for line := range eventLines(events) {
		name, value, ok := bytes.Cut(bytes.TrimSpace(line), []byte(":"))
		if len(name) > 0 && (!ok || len(bytes.TrimSpace(value)) > 0) {
			return true
		}
	}
	return false
}

// lastEventID returns the id of the last event that has one.
func lastEventID(events []byte) (id string, ok bool) {
	for line := range eventLines(events) {
		if value, has := bytes.CutPrefix(line, []byte("id:")); has {
			id, ok = string(bytes.TrimSpace(value)), true
		}
	}
	return id, ok
}
