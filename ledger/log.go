package ledger

import (
	"context"
	"errors"

	"toucanfall/fleet"
)

// Raw is an encoded record as read from the log.
type Raw struct {
	Offset fleet.Offset `json:"offset"`
	Data   []byte       `json:"data"`
}

// Page is the result of Log.Peek.
type Page struct {
	Records []Raw
	// First is the oldest offset that the log retains, or the offset of the next
	// record if it retains none.
	First fleet.Offset
}

// Errors of a Log.
var (
	// ErrTrimmed is returned by Log.Read if the record at the requested offset has
	// expired.
	ErrTrimmed = errors.New("records have expired")
	// ErrNotSent is wrapped by errors of Log.Append that occurred before anything
	// was sent.
	ErrNotSent = errors.New("nothing was sent")
	// ErrRefused is wrapped by errors of Log.Append that guarantee that nothing was
	// added and that would occur again for the same records.
	ErrRefused = errors.New("the log refused the records")
)

// Log is the platform's append-only log. Offsets are consecutive and start at 1.
type Log interface {
	// Append adds records and returns the offset of the first. Records may have
	// been added even if it returns an error.
	Append(ctx context.Context, records [][]byte) (fleet.Offset, error)
	// Read returns records starting at an offset, and waits for one if there is
	// none yet. It may return no records and no error.
	Read(ctx context.Context, from fleet.Offset) ([]Raw, error)
	// Peek returns available records starting at an offset, without waiting.
	// Expired records are omitted; Page.First is then above the offset.
	Peek(ctx context.Context, from fleet.Offset) (Page, error)
}
