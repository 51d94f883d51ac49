package timeline

import "net/http"

// stampedTransport adds the HeaderClock header to every request.
type stampedTransport struct {
	next http.RoundTripper
	rec  *Recorder
}

// StampRequests returns a round tripper that adds a stamp of the recorder's clock to
// each request and sends it through next, so that events recorded by the receiving
// process are ordered after those that this process recorded before.
func StampRequests(next http.RoundTripper, rec *Recorder) http.RoundTripper {
	return stampedTransport{next: next, rec: rec}
}

// CloseIdleConnections closes the connections of the next round tripper that carry no request.
func (t stampedTransport) CloseIdleConnections() {
	if c, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// RoundTrip sends a copy of the request with the header.
func (t stampedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	stamped := r.Clone(r.Context())
	stamped.Header.Set(HeaderClock, t.rec.Header())
	return t.next.RoundTrip(stamped)
}
