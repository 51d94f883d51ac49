package dialect

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"toucanfall/internal/httpstatus"
	"toucanfall/ledger"
)

// Limits of connections to the platform and to upstreams.
const (
	dialTimeout = time.Second
	// idleConnTimeout is short, because a request that reuses a connection
	// that broke while it was idle waits for its whole timeout.
	idleConnTimeout     = 10 * time.Second
	maxIdleConnsPerHost = 64
	maxErrorBodyBytes   = 4 << 10
	maxResponseBytes    = 64 << 20
	maxHeaderBytes      = 64 << 10
	// connBufferBytes is small because many streams are open concurrently.
	connBufferBytes = 2 << 10
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP
	// keep-alive, which detects an unreachable peer while a request waits.
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// NewDialer returns a dialer for platform services and upstreams. Its
// connections use TCP keep-alive to detect an unreachable peer.
func NewDialer() net.Dialer {
	return net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}}
}

// NewTransport returns an HTTP transport for platform services and upstreams.
// It ignores proxy settings in the environment.
func NewTransport() *http.Transport {
	dialer := NewDialer()
	return &http.Transport{
		DialContext:            dialer.DialContext,
		IdleConnTimeout:        idleConnTimeout,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		ReadBufferSize:         connBufferBytes,
		WriteBufferSize:        connBufferBytes,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

// StatusError is the error for a response with an unexpected status.
type StatusError struct {
	Status int
	// Body is the start of the body, up to maxErrorBodyBytes.
	Body string
}

// Error returns the status and the start of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Body)
}

// doJSON sends a request with in as its JSON body and decodes the response into
// out; both may be nil. A status outside 2xx is a [StatusError]. If dialling
// failed, the error wraps [ledger.ErrNotSent].
func doJSON(ctx context.Context, hc *http.Client, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("cannot encode request: %w", err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := hc.Do(req)
	if err != nil {
		return MarkNotSent(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return newStatusError(resp)
	}
	if out == nil {
		return nil
	}
	return decode(resp, out)
}

// decode decodes the JSON body of a response. It reads the body to its end, so
// that the connection can be reused.
func decode(resp *http.Response, out any) error {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return err
	}
	if len(b) > maxResponseBytes {
		return fmt.Errorf("response body is larger than %d bytes", maxResponseBytes)
	}
	return json.Unmarshal(b, out)
}

// newStatusError returns the StatusError of a response, or an error that wraps [httpstatus.ErrInvalid].
func newStatusError(resp *http.Response) error {
	if err := httpstatus.CheckFinal(resp); err != nil {
		return err
	}
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	return &StatusError{Status: resp.StatusCode, Body: string(b)}
}

// MarkNotSent wraps errors of dialling in [ledger.ErrNotSent], since no part of
// the request can have been sent. It returns other errors unchanged.
func MarkNotSent(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", ledger.ErrNotSent, err)
	}
	return err
}
