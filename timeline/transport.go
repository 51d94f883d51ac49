package timeline

import "net/http"

// stampedTransport sends the clock of a process with every request.
type stampedTransport struct {
	next http.RoundTripper
	rec  *Recorder
}

// StampRequests returns a round tripper over next whose requests carry a stamp
// of the recorder's clock, so that what the other process records is ordered
// after what this one recorded before.
func StampRequests(next http.RoundTripper, rec *Recorder) http.RoundTripper {
	return stampedTransport{next: next, rec: rec}
}

// RoundTrip sends a stamped copy of the request.
func (t stampedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	stamped := r.Clone(r.Context())
	stamped.Header.Set(HeaderClock, t.rec.Header())
	return t.next.RoundTrip(stamped)
}
