package dialect

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"

	"toucanfall/fleet"
	"toucanfall/internal/httpfield"
	"toucanfall/ledger"
)

// AppendRequest is the body of a request to append records to the log.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse holds the offset of the first appended record.
type AppendResponse struct {
	FirstOffset fleet.Offset `json:"first_offset"`
}

// ReadResponse is the response to a read of the log.
type ReadResponse struct {
	Records []ledger.Raw `json:"records"`
	// First is the oldest offset that the log still keeps.
	First fleet.Offset `json:"first"`
}

// How long the log waits for a record before it answers a read, as the value of
// the query parameter "wait".
const (
	longPollWait = "2s"
	noWait       = "0s"
)

// Log is a client of the log service. It implements [ledger.Log].
type Log struct {
	baseURL string
	hc      *http.Client
}

// NewLog returns a client of the log at the base URL.
func NewLog(baseURL string, rt http.RoundTripper) *Log {
	return &Log{baseURL: baseURL, hc: &http.Client{Transport: httpfield.NewTransport(rt)}}
}

// Append adds records to the log and returns the offset of the first. If the
// log rejects the request, nothing was added and the error wraps
// [ledger.ErrRefused]. After other errors, records may have been added unless
// the error wraps [ledger.ErrNotSent].
func (l *Log) Append(ctx context.Context, records [][]byte) (fleet.Offset, error) {
	var resp AppendResponse
	err := doJSON(ctx, l.hc, http.MethodPost, l.baseURL+"/v1/records", AppendRequest{Records: records}, &resp)
	var status *StatusError
	if errors.As(err, &status) && isRejection(status.Status) {
		return 0, fmt.Errorf("%w: %w", ledger.ErrRefused, err)
	}
	if err != nil {
		return 0, fmt.Errorf("append to the log: %w", err)
	}
	return resp.FirstOffset, nil
}

// isRejection reports whether a status means that the log rejected the request
// without adding records.
func isRejection(status int) bool {
	return status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge
}

// Read returns records starting at an offset. If there is none yet, it waits up
// to longPollWait and then returns none. It returns [ledger.ErrTrimmed] if the
// log no longer keeps the offset. If ctx ends first, the connection is closed
// and not reused.
func (l *Log) Read(ctx context.Context, from fleet.Offset) ([]ledger.Raw, error) {
	a, err := l.read(ctx, from, longPollWait)
	if err != nil {
		return nil, err
	}
	if len(a.Records) == 0 && a.First > from {
		return nil, ledger.ErrTrimmed
	}
	return a.Records, nil
}

// Peek returns the records that exist now, starting at an offset or the oldest
// that the log keeps. It does not wait for new records.
func (l *Log) Peek(ctx context.Context, from fleet.Offset) (ledger.Page, error) {
	a, err := l.read(ctx, from, noWait)
	if errors.Is(err, ledger.ErrTrimmed) {
		// The response to a read below the oldest offset does not contain that
		// offset; a read at the highest offset does.
		if a, err = l.read(ctx, math.MaxInt64, noWait); err == nil {
			a, err = l.read(ctx, a.First, noWait)
		}
	}
	if err != nil {
		return ledger.Page{}, err
	}
	return ledger.Page{Records: a.Records, First: a.First}, nil
}

// read sends one read request. It returns [ledger.ErrTrimmed] for status 410.
func (l *Log) read(ctx context.Context, from fleet.Offset, wait string) (ReadResponse, error) {
	var resp ReadResponse
	url := fmt.Sprintf("%s/v1/records?from=%d&wait=%s", l.baseURL, from, wait)
	err := doJSON(ctx, l.hc, http.MethodGet, url, nil, &resp)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusGone {
		return ReadResponse{}, ledger.ErrTrimmed
	}
	if err != nil {
		return ReadResponse{}, fmt.Errorf("read the log: %w", err)
	}
	return resp, nil
}
