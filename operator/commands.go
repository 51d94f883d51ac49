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
	"toucanfall/ledger"
	"toucanfall/timeline"
)

// commandTimeout bounds a command from the request to its verdict.
const commandTimeout = 10 * time.Second

// Command asks to change one thing.
type Command struct {
	// Base is the revision that the change was based on; 0 makes a new thing.
	Base fleet.Revision  `json:"base"`
	Body json.RawMessage `json:"body"`
}

// Proposer appends records to the ordered state.
type Proposer interface {
	Propose(ctx context.Context, r ledger.Record) (ledger.Verdict, error)
}

// Withdrawer makes a withdrawal take effect here and at all reachable peers.
type Withdrawer interface {
	Withdraw(key fleet.KeyID)
}

// operatorKinds lists the records that operators may propose.
var operatorKinds = map[ledger.Kind]bool{
	ledger.KindSetting:  true,
	ledger.KindTeam:     true,
	ledger.KindKey:      true,
	ledger.KindModel:    true,
	ledger.KindAdapter:  true,
	ledger.KindRoute:    true,
	ledger.KindWithdraw: true,
	ledger.KindOperator: true,
}

// Commands carries out operators' changes.
type Commands struct {
	proposer   Proposer
	withdrawer Withdrawer
	rec        *timeline.Recorder
}

// NewCommands returns the commands.
func NewCommands(proposer Proposer, withdrawer Withdrawer, rec *timeline.Recorder) *Commands {
	return &Commands{proposer: proposer, withdrawer: withdrawer, rec: rec}
}

// serve answers POST /v1/commands/KIND with the verdict.
func (cs *Commands) serve(c echo.Context) error {
	kind := ledger.Kind(c.Param("kind"))
	var cmd Command
	if err := json.NewDecoder(c.Request().Body).Decode(&cmd); err != nil {
		return fault.New(fault.InvalidRequest, "cannot decode the command: %w", err)
	}
	op, _ := c.Get(contextOperator).(fleet.OperatorID)
	v, err := cs.Do(c.Request().Context(), op, kind, cmd)
	if err != nil {
		return err
	}
	status := http.StatusOK
	if !v.Accepted() {
		status = fault.Lookup(v.Fault).Status
	}
	return c.JSON(status, v)
}

// Do proposes a change and returns its verdict once it was read back.
func (cs *Commands) Do(ctx context.Context, op fleet.OperatorID, kind ledger.Kind, cmd Command) (ledger.Verdict, error) {
	if !operatorKinds[kind] {
		return ledger.Verdict{}, fault.New(fault.InvalidRequest, "unknown command %q", kind)
	}
	r, err := ledger.NewRecord(kind, string(op), cs.rec.Clock.Now(), cmd.Base, cmd.Body)
	if err != nil {
		return ledger.Verdict{}, err
	}
	if err := ledger.CheckBody(r); err != nil {
		return ledger.Verdict{}, err
	}
	if kind == ledger.KindWithdraw {
		cs.withdrawNow(cmd.Body)
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	v, err := cs.proposer.Propose(ctx, r)
	cs.note(op, kind, v, err)
	return v, err
}

// withdrawNow makes a withdrawal take effect before it is in the log.
func (cs *Commands) withdrawNow(body json.RawMessage) {
	var w ledger.Withdrawal
	if json.Unmarshal(body, &w) == nil {
		cs.withdrawer.Withdraw(w.Key)
	}
}

func (cs *Commands) note(op fleet.OperatorID, kind ledger.Kind, v ledger.Verdict, err error) {
	verdict := "accepted"
	switch {
	case err != nil:
		verdict = err.Error()
	case !v.Accepted():
		verdict = string(v.Fault) + ": " + v.Message
	}
	cs.rec.Record(event.OperatorCommand, timeline.Fields{"operator": string(op), "kind": string(kind), "verdict": verdict})
}
