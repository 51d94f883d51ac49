package dialect

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"

	"toucanfall/fleet"
	"toucanfall/ledger"
)

// AppendRequest is the body of an append to the log.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendAnswer names the offset of the first appended record.
type AppendResponse struct {
	FirstOffset fleet.Offset `json:"first_offset"`
}

// ReadAnswer is the answer to a read of the log.
type ReadResponse struct {
	Records []ledger.Raw `json:"records"`
	// First is the oldest offset that is still kept.
	First fleet.Offset `json:"first"`
}

// How long a read waits for a record, as the log's query has it.
const (
	logWait = "2s"
	noWait  = "0s"
)

// Log is a client of the log service. It implements [ledger.Log].
type Log struct {
	base string
	hc   *http.Client
}

// NewLog returns a client of the log at the base URL.
func NewLog(base string, rt http.RoundTripper) *Log {
	return &Log{base: base, hc: &http.Client{Transport: rt}}
}

// Append adds records to the log. Statuses that blame the request mean that
// nothing was added.
func (l *Log) Append(ctx context.Context, records [][]byte) (fleet.Offset, error) {
	var a AppendResponse
	err := call(ctx, l.hc, http.MethodPost, l.base+"/v1/records", AppendRequest{Records: records}, &a)
	var status *StatusError
	if errors.As(err, &status) && refuses(status.Status) {
		return 0, fmt.Errorf("%w: %w", ledger.ErrRefused, err)
	}
	if err != nil {
		return 0, fmt.Errorf("append to the log: %w", err)
	}
	return a.FirstOffset, nil
}

func refuses(status int) bool {
	return status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge
}

// Read returns records from an offset on, and waits for one. If ctx ends first,
// the connection is closed and not used again.
func (l *Log) Read(ctx context.Context, from fleet.Offset) ([]ledger.Raw, error) {
	a, err := l.read(ctx, from, logWait)
	if err != nil {
		return nil, err
	}
	if len(a.Records) == 0 && a.First > from {
		return nil, ledger.ErrTrimmed
	}
	return a.Records, nil
}

// Peek returns the records from an offset on that are there now.
func (l *Log) Peek(ctx context.Context, from fleet.Offset) (ledger.Page, error) {
	a, err := l.read(ctx, from, noWait)
	if errors.Is(err, ledger.ErrTrimmed) {
		// The answer to a trimmed read does not say what is kept.
		if a, err = l.read(ctx, math.MaxInt64, noWait); err == nil {
			a, err = l.read(ctx, a.First, noWait)
		}
	}
	if err != nil {
		return ledger.Page{}, err
	}
	return ledger.Page{Records: a.Records, First: a.First}, nil
}

func (l *Log) read(ctx context.Context, from fleet.Offset, wait string) (ReadResponse, error) {
	var a ReadResponse
	url := fmt.Sprintf("%s/v1/records?from=%d&wait=%s", l.base, from, wait)
	err := call(ctx, l.hc, http.MethodGet, url, nil, &a)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusGone {
		return ReadResponse{}, ledger.ErrTrimmed
	}
	if err != nil {
		return ReadResponse{}, fmt.Errorf("read the log: %w", err)
	}
	return a, nil
}
