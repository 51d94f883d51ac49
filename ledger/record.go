package ledger

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/timeline"
)

// RecordID identifies a proposal. All appended copies of a proposal have the same
// ID.
type RecordID string

// Kind is the kind of a record. It determines the type of the body and the
// function that applies it; see kinds.go.
type Kind string

// Record is one entry of the log.
type Record struct {
	ID   RecordID `json:"id"`
	Kind Kind     `json:"kind"`
	// Proposer names the operator or VM that proposed the record.
	Proposer string `json:"proposer"`
	// At is the time at which the proposer created the record. Applying a record
	// never reads a clock.
	At timeline.Stamp `json:"at"`
	// Base is the revision of the changed entry on which the proposer based the
	// change; 0 if the entry did not exist.
	Base fleet.Revision  `json:"base,omitempty"`
	Body json.RawMessage `json:"body"`
}

// NewRecord returns a record with a new ID and the encoded body. It fails if the
// body cannot be encoded as JSON.
func NewRecord(kind Kind, proposer string, at timeline.Stamp, base fleet.Revision, body any) (Record, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return Record{}, fault.New(fault.InvalidRequest, "cannot encode the body of a %s record: %w", kind, err)
	}
	r := Record{
		ID:       RecordID(uuid.NewString()),
		Kind:     kind,
		Proposer: proposer,
		At:       at,
		Base:     base,
		Body:     b,
	}
	return r, nil
}

// UnmarshalJSON decodes and checks a record.
func (r *Record) UnmarshalJSON(b []byte) error {
	type plain Record
	if err := json.Unmarshal(b, (*plain)(r)); err != nil {
		return err
	}
	return r.check()
}

func (r *Record) check() error {
	if r.ID == "" {
		return errors.New("record has no id")
	}
	if _, ok := kinds[r.Kind]; !ok {
		return fmt.Errorf("record %q has unknown kind %q", r.ID, r.Kind)
	}
	if len(r.Body) == 0 {
		return fmt.Errorf("record %q has no body", r.ID)
	}
	return nil
}

// header is a record without its body.
type header struct {
	ID       RecordID       `json:"id"`
	Kind     Kind           `json:"kind"`
	Proposer string         `json:"proposer"`
	WallMS   int64          `json:"wall_ms"`
	Counter  uint32         `json:"counter,omitempty"`
	Base     fleet.Revision `json:"base,omitempty"`
}

// Encode returns the record in the format of the log: two lines of JSON, the
// header and the body, so that readers scan the body only when they need it. It
// fails if the body is not valid JSON.
func (r Record) Encode() ([]byte, error) {
	head, err := json.Marshal(header{ID: r.ID, Kind: r.Kind, Proposer: r.Proposer, WallMS: r.At.WallMS, Counter: r.At.Counter, Base: r.Base})
	if err != nil {
		return nil, err
	}
	buf := bytes.NewBuffer(append(head, '\n'))
	if err := json.Compact(buf, r.Body); err != nil {
		return nil, fmt.Errorf("body of record %q: %w", r.ID, err)
	}
	return buf.Bytes(), nil
}

// DecodeRecord decodes and checks a record of the log. The body is not validated
// until the record is applied, and it aliases data.
func DecodeRecord(data []byte) (Record, error) {
	head, body, _ := bytes.Cut(data, []byte("\n"))
	var h header
	if err := json.Unmarshal(head, &h); err != nil {
		return Record{}, err
	}
	at := timeline.Stamp{WallMS: h.WallMS, Counter: h.Counter}
	r := Record{ID: h.ID, Kind: h.Kind, Proposer: h.Proposer, At: at, Base: h.Base, Body: body}
	return r, r.check()
}

// Verdict is the result of applying a record. It is the same on every VM.
type Verdict struct {
	Offset fleet.Offset `json:"offset"`
	// Fault is the kind of the rejection, "" if the record was accepted.
	Fault   fault.Kind `json:"fault,omitempty"`
	Message string     `json:"message,omitempty"`
	// Current is the current value after a conflict, and Revision its revision.
	// For an accepted record, Revision is the revision of the changed entry.
	Current  json.RawMessage `json:"current,omitempty"`
	Revision fleet.Revision  `json:"revision,omitempty"`
}

// Accepted reports whether the record was accepted.
func (v Verdict) Accepted() bool {
	return v.Fault == ""
}

// Err returns nil for an accepted record and a fault otherwise.
func (v Verdict) Err() error {
	if v.Accepted() {
		return nil
	}
	return fault.New(v.Fault, "%s", v.Message)
}
