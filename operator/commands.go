package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/keyring"
	"toucanfall/ledger"
	"toucanfall/timeline"
)

// Time limits of a command, from the request to the verdict.
const (
	commandTimeout = 10 * time.Second
	// withdrawTimeout is shorter, because a withdrawal is effective before it is in the
	// log, so the operator need not wait until an outage of the log ends.
	withdrawTimeout = 4 * time.Second
)

// Command is the request body of a change to one entity.
type Command struct {
	// Base is the revision that the change is based on; 0 creates a new entity.
	Base fleet.Revision  `json:"base"`
	Body json.RawMessage `json:"body"`
}

// Proposer appends a record to the log and returns its verdict once the record has been read
// back and applied. It fails if the log does not answer.
type Proposer interface {
	Propose(ctx context.Context, r ledger.Record) (ledger.Verdict, error)
}

// Withdrawer applies a withdrawal on this VM and on all peers that are reachable now, and
// keeps sending it to the other peers and to the log in the background.
type Withdrawer interface {
	Withdraw(ctx context.Context, w keyring.Withdrawal) keyring.Reach
}

// Outcome is the response to a command.
type Outcome struct {
	ledger.Verdict
	// NotLogged is set on a withdrawal that is effective on the VMs in Reach but is not
	// yet in the log. The VMs keep trying to append it.
	NotLogged bool `json:"not_logged,omitempty"`
	// Reach is set on withdrawals.
	Reach *keyring.Reach `json:"reach,omitempty"`
}

// status returns the HTTP status of the outcome.
func (o Outcome) status() int {
	switch {
	case o.NotLogged:
		return http.StatusAccepted
	case !o.Accepted():
		return fault.Lookup(o.Fault).Status
	default:
		return http.StatusOK
	}
}

// commandKinds are the kinds of records that operators may propose.
var commandKinds = map[ledger.Kind]bool{
	ledger.KindSetting:  true,
	ledger.KindTeam:     true,
	ledger.KindKey:      true,
	ledger.KindModel:    true,
	ledger.KindAdapter:  true,
	ledger.KindRoute:    true,
	ledger.KindWithdraw: true,
	ledger.KindOperator: true,

	ledger.KindPlacementClear: true,
}

// Commands executes operators' commands.
type Commands struct {
	proposer   Proposer
	withdrawer Withdrawer
	recorder   *timeline.Recorder
}

// NewCommands returns Commands that append records by proposer, apply withdrawals by
// withdrawer, and record an event for each command in rec.
func NewCommands(proposer Proposer, withdrawer Withdrawer, rec *timeline.Recorder) *Commands {
	return &Commands{proposer: proposer, withdrawer: withdrawer, recorder: rec}
}

// serve answers POST /v1/commands/KIND with the verdict.
func (cs *Commands) serve(c echo.Context) error {
	kind := ledger.Kind(c.Param("kind"))
	var cmd Command
	if err := json.NewDecoder(c.Request().Body).Decode(&cmd); err != nil {
		return fault.New(fault.InvalidRequest, "cannot decode the command: %w", err)
	}
	op, _ := c.Get(contextOperator).(fleet.OperatorID)
	o, err := cs.Do(c.Request().Context(), op, kind, cmd)
	if err != nil {
		return err
	}
	return c.JSON(o.status(), o)
}

// Do validates and proposes a change and returns its verdict once the record has been read back
// from the log. A rejection is an Outcome, not an error.
func (cs *Commands) Do(ctx context.Context, op fleet.OperatorID, kind ledger.Kind, cmd Command) (Outcome, error) {
	if !commandKinds[kind] {
		return Outcome{}, fault.New(fault.InvalidRequest, "unknown command %q", kind)
	}
	r, err := ledger.NewRecord(kind, string(op), cs.recorder.Clock.Now(), cmd.Base, cmd.Body)
	if err != nil {
		return Outcome{}, err
	}
	if err := ledger.CheckBody(r); err != nil {
		return Outcome{}, err
	}
	if id, ok := ledger.WithdrawnKey(r); ok {
		return cs.withdraw(ctx, id, r)
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	v, err := cs.proposer.Propose(ctx, r)
	cs.recordVerdict(op, kind, v, err)
	return Outcome{Verdict: v}, err
}

// withdraw applies a withdrawal before it appends it to the log. If the log does not answer,
// the withdrawal is effective nevertheless and is appended later, so this is not an error.
func (cs *Commands) withdraw(ctx context.Context, id fleet.KeyID, r ledger.Record) (Outcome, error) {
	reach := cs.withdrawer.Withdraw(ctx, keyring.Withdrawal{Key: id, By: r.Proposer, At: r.At})
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	v, err := cs.proposer.Propose(ctx, r)
	cs.recordVerdict(fleet.OperatorID(r.Proposer), r.Kind, v, err)
	o := Outcome{Verdict: v, Reach: &reach}
	switch fault.KindOf(err) {
	case fault.StoreUnavailable, fault.OutcomeUnknown:
		o.NotLogged = true
		return o, nil
	default:
		return o, err
	}
}

func (cs *Commands) recordVerdict(op fleet.OperatorID, kind ledger.Kind, v ledger.Verdict, err error) {
	verdict := "accepted"
	switch {
	case err != nil:
		verdict = err.Error()
	case !v.Accepted():
		verdict = string(v.Fault) + ": " + v.Message
	}
	cs.recorder.Record(event.OperatorCommand, timeline.Fields{"operator": string(op), "kind": string(kind), "verdict": verdict})
}
