package serving

import (
	"bytes"
	"iter"
	"net/http"
	"strings"

	"toucanfall/transport"
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

// insideEvent reports whether a stream that ends after rest, which follows its last complete event,
// ends inside an event. A line without its end, and a CR that may be the first half of CRLF, are
// inside; comments and empty lines between events are not.
func insideEvent(rest []byte) bool {
	if len(rest) > 0 && !bytes.ContainsAny(rest[len(rest)-1:], "\r\n") {
		return true
	}
	for line := range eventLines(rest) {
		if line[0] != ':' {
			return true
		}
	}
	return false
}

// isEventStream reports whether the body of an answer is a stream of events. Engines may leave out
// the type of their streams.
func isEventStream(resp *transport.Answer) bool {
	kind, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	kind = strings.TrimSpace(kind)
	return resp.Status == http.StatusOK && (kind == "" || strings.EqualFold(kind, "text/event-stream"))
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
	for line := range eventLines(bytes.TrimPrefix(events, byteOrderMark)) {
		if value, has := bytes.CutPrefix(line, []byte("id:")); has {
			id, ok = string(bytes.TrimSpace(value)), true
		}
	}
	return id, ok
}
