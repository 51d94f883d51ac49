package serving

import (
	"bytes"
	"iter"
)

// eventTerminators are the empty lines that end an event. A line ends with LF, CRLF or CR.
var eventTerminators = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

// completeEvents returns the length of the prefix of b that consists of complete events.
func completeEvents(b []byte) int {
	end := 0
	for _, e := range eventTerminators {
		if i := bytes.LastIndex(b, e); i >= 0 {
			end = max(end, i+len(e))
		}
	}
	return end
}

// eventLines returns the non-empty lines of events.
func eventLines(events []byte) iter.Seq[[]byte] {
	return bytes.FieldsFuncSeq(events, func(r rune) bool { return r == '\n' || r == '\r' })
}

// hasProgress reports whether complete events hold more than comments and empty fields. An engine
// that sends only these, or single bytes, counts as stalled.
func hasProgress(events []byte) bool {
	for line := range eventLines(events) {
		name, value, ok := bytes.Cut(bytes.TrimSpace(line), []byte(":"))
		if len(name) > 0 && (!ok || len(bytes.TrimSpace(value)) > 0) {
			return true
		}
	}
	return false
}

// lastEventID returns the id of the last event that has one, and whether there is one.
func lastEventID(events []byte) (id string, ok bool) {
	for line := range eventLines(events) {
		if value, has := bytes.CutPrefix(line, []byte("id:")); has {
			id, ok = string(bytes.TrimSpace(value)), true
		}
	}
	return id, ok
}
