// Package httpstatus tells which status codes of HTTP responses are answers.
package httpstatus

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrInvalid is the error of a response whose status code is no answer to any request of this program. What follows
// it on its connection cannot be trusted.
var ErrInvalid = errors.New("the status code is invalid")

// Class says what a response with a status code is.
type Class int

const (
	// Invalid codes are those outside of 100 to 599, "All valid status codes are within the range of 100 to 599,
	// inclusive" (RFC 9110, section 15), and 101: "A server MUST NOT switch to a protocol that was not indicated by the
	// client in the corresponding request's Upgrade header field" (section 7.8), and no request has that header.
	// A client should treat a response with an invalid code like a server error (section 15).
	Invalid Class = iota
	// Informational codes are the other ones of 100 to 199, an "interim response ... prior to completing the requested
	// action and sending a final response" (section 15.2).
	Informational
	// Final codes are those from 200 to 599. Their responses are answers.
	Final
)

// ClassOf returns the class of a status code.
func ClassOf(code int) Class {
	switch {
	case code == http.StatusSwitchingProtocols || code < 100 || code > 599:
		return Invalid
	case code < 200:
		return Informational
	}
	return Final
}

// CheckFinal returns an error that wraps [ErrInvalid] for a response after the interim ones whose code is not final.
// The client of net/http passes over interim responses, except 101, and returns any other code.
func CheckFinal(resp *http.Response) error {
	if ClassOf(resp.StatusCode) != Final {
		return fmt.Errorf("%w: %03d", ErrInvalid, resp.StatusCode)
	}
	return nil
}
