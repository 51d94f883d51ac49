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

	"toucanfall/ledger"
)

// Limits of connections to the platform and to upstreams.
const (
	dialTimeout = time.Second
	// Idle connections are closed early, because one that went silent
	// meanwhile costs the next request its timeout.
	idleConnTimeout     = 10 * time.Second
	maxIdleConnsPerHost = 64
	maxErrorBodyBytes   = 4 << 10
	maxResponseBytes    = 64 << 20
	maxHeaderBytes      = 64 << 10
	// connBuffer is small because many streams are open at once.
	connBufferBytes = 2 << 10
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a peer that
	// takes no packets any more while a request waits for it.
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// NewDialer returns a dialer for platform services and upstreams, whose
// connections notice a peer that takes no packets any more.
func NewDialer() net.Dialer {
	return net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}}
}

// NewTransport returns a transport for platform services and upstreams. It
// takes no proxy from the environment.
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

// StatusError is an answer with an unexpected status.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the status and the start of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Body)
}

// call sends in as JSON, if it is not nil, and decodes the answer into out.
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

// decode reads the answer to its end, so that its connection can be used again.
func decode(resp *http.Response, out any) error {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return err
	}
	if len(b) > maxResponseBytes {
		return fmt.Errorf("the answer has more than %d bytes", maxResponseBytes)
	}
	return json.Unmarshal(b, out)
}

func newStatusError(resp *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	return &StatusError{Status: resp.StatusCode, Body: string(b)}
}

// MarkNotSent wraps errors of dialling, after which nothing can have been sent.
func MarkNotSent(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", ledger.ErrNotSent, err)
	}
	return err
}
