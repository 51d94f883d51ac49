// Package httpfield checks the names of the header and trailer fields of HTTP responses.
package httpfield

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"golang.org/x/net/http/httpguts"
)

// ErrInvalidName is the error of a response with a field whose name is no token. It does not quote the name, which may be
// part of an answer to another caller.
var ErrInvalidName = errors.New("the name of a field is invalid")

// CheckNames returns [ErrInvalidName] if the name of a field is no token (RFC 9110, section 5.1). net/http refuses most
// of these, but reads names that hold blanks as they are, also those with a blank before the colon, which a response must
// not be forwarded with (RFC 9112, section 5.1). Such a field may have been meant as the frame of the body, so that
// nothing shows where the response ends.
func CheckNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return ErrInvalidName
		}
	}
	return nil
}

// Transport is a round tripper that fails with [ErrInvalidName] at a response, or an interim response before it, with a
// field whose name is invalid. At a trailer with such a field, reading the body fails. The zero Transport is invalid.
type Transport struct {
	next http.RoundTripper
}

// NewTransport returns a transport that sends requests through next.
func NewTransport(next http.RoundTripper) *Transport { return &Transport{next: next} }

// RoundTrip implements [http.RoundTripper].
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	checkInterim := &httptrace.ClientTrace{Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
		return CheckNames(http.Header(h))
	}}
	resp, err := t.next.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), checkInterim)))
	if err != nil {
		return nil, err
	}
	if err := CheckNames(resp.Header); err != nil {
		// Closing a body that was not read closes its connection, but that of a response without a body is idle already.
		_ = resp.Body.Close()
		t.CloseIdleConnections()
		return nil, err
	}
	resp.Body = &body{ReadCloser: resp.Body, resp: resp, transport: t}
	return resp, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// body is the body of a response.
type body struct {
	io.ReadCloser
	resp      *http.Response
	transport *Transport
}

// Read reads from the body, and checks the names of the trailer at its end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if nameErr := CheckNames(b.resp.Trailer); nameErr != nil {
		b.transport.CloseIdleConnections()
		return n, nameErr
	}
	return n, err
}
