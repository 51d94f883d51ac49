package ledger

import (
	"context"
	"errors"

	"toucanfall/fleet"
)

// Raw is a record of the log as it was read.
type Raw struct {
	Offset fleet.Offset `json:"offset"`
	Data   []byte       `json:"data"`
}

// Page is what a read that does not wait found.
type Page struct {
	Records []Raw
	// First is the oldest offset that is still kept, or the next one if
	// nothing is kept.
	First fleet.Offset
}

// Errors of a Log.
var (
	// ErrTrimmed is returned by Log.Read if records from the offset on have
	// expired.
	ErrTrimmed = errors.New("records have expired")
	// ErrNotSent marks errors of Log.Append that came before anything was sent.
	ErrNotSent = errors.New("nothing was sent")
	// ErrRefused marks errors of Log.Append after which certainly nothing was
	// added, and which the same records would meet again.
	ErrRefused = errors.New("the log refused the records")
)

// Log is the platform's append-only log. Offsets are consecutive and begin
// with 1.
type Log interface {
	// Append adds records and returns the offset of the first. An error does
	// not mean that nothing was added.
	Append(ctx context.Context, records [][]byte) (fleet.Offset, error)
	// Read returns records from an offset on, and waits for one if there is
	// none yet. It may return no record and no error.
	Read(ctx context.Context, from fleet.Offset) ([]Raw, error)
	// Peek returns the records from an offset on that are there now. Records
	// that have expired are left out; Page.First tells.
	Peek(ctx context.Context, from fleet.Offset) (Page, error)
}
