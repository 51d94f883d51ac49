package operator

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/keyring"
	"toucanfall/ledger"
	"toucanfall/membership"
	"toucanfall/settings"
	"toucanfall/timeline"
	"toucanfall/upstream"
)

// queryTimeout bounds a query that asks other VMs.
const queryTimeout = 3 * time.Second

// Members tells what this VM knows of the others.
type Members interface {
	Members() []membership.Member
}

// Upstreams tells what this VM knows of the upstreams.
type Upstreams interface {
	Upstreams() []upstream.Upstream
}

// Timelines collects the events of all VMs that answer.
type Timelines interface {
	Timeline(ctx context.Context, f timeline.Filter) []timeline.Entry
}

// Withdrawals tells which withdrawals are in force but not in the log.
type Withdrawals interface {
	Pending() []keyring.Withdrawal
}

// Queries answers operators' questions from the state of this VM.
type Queries struct {
	State     *ledger.State
	Self      func() membership.Beat
	Members   Members
	Upstreams Upstreams
	Timelines Timelines

	Withdrawals Withdrawals
	// Withdrawn reports whether this VM refuses a key.
	Withdrawn func(id fleet.KeyID) bool
	History   *History
}

// queries is the table of all queries by name.
var queries = map[string]func(q *Queries, c echo.Context) (any, error){
	"status":    (*Queries).status,
	"teams":     func(q *Queries, _ echo.Context) (any, error) { return q.State.Teams.Entries(), nil },
	"keys":      func(q *Queries, _ echo.Context) (any, error) { return q.keys(), nil },
	"models":    func(q *Queries, _ echo.Context) (any, error) { return q.State.Models.Entries(), nil },
	"adapters":  func(q *Queries, _ echo.Context) (any, error) { return q.State.Adapters.Entries(), nil },
	"routes":    func(q *Queries, _ echo.Context) (any, error) { return q.State.Routes.Entries(), nil },
	"operators": func(q *Queries, _ echo.Context) (any, error) { return q.State.Operators.Entries(), nil },
	"upstreams": func(q *Queries, _ echo.Context) (any, error) { return q.Upstreams.Upstreams(), nil },
	"placement": (*Queries).placement,
	"settings":  (*Queries).settings,
	"effective": (*Queries).effective,
	"timeline":  (*Queries).timeline,
	"history":   (*Queries).history,
}

// serve answers GET /v1/queries/NAME.
func (q *Queries) serve(c echo.Context) error {
	name := c.Param("name")
	query, ok := queries[name]
	if !ok {
		return fault.New(fault.NotFound, "unknown query %q", name)
	}
	v, err := query(q, c)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, v)
}

// VMStatus is the state of one VM as the asked VM knows it.
type VMStatus struct {
	VM           fleet.VMID       `json:"vm"`
	DataCentre   fleet.DataCentre `json:"data_centre"`
	Answering    bool             `json:"answering"`
	Leaving      bool             `json:"leaving"`
	LogReachable bool             `json:"log_reachable"`
	// CutOff VMs reach neither the log nor a VM that does.
	CutOff  bool         `json:"cut_off"`
	Applied fleet.Offset `json:"applied"`
	// SameWithdrawals tells whether the VM has heard the same withdrawals as
	// the asked one.
	SameWithdrawals bool `json:"same_withdrawals"`
}

// Status tells the applied offset of every VM.
type Status struct {
	AskedVM fleet.VMID `json:"asked_vm"`
	VMs     []VMStatus `json:"vms"`
	// InForce is the offset that every answering VM has applied.
	AppliedByAnswering fleet.Offset `json:"in_force"`
	// Everywhere is set if every listed VM answers, so that InForce holds for
	// all VMs.
	AllAnswering bool `json:"everywhere"`
	// NotLogged lists withdrawn keys whose withdrawal is in force but not yet
	// in the log.
	NotLogged []fleet.KeyID `json:"not_logged,omitempty"`
}

func (q *Queries) status(echo.Context) (any, error) {
	self := q.Self()
	st := Status{AskedVM: self.VM, AppliedByAnswering: self.Applied, AllAnswering: true}
	st.VMs = append(st.VMs, vmStatus(self, true))
	for _, w := range q.Withdrawals.Pending() {
		st.NotLogged = append(st.NotLogged, w.Key)
	}
	for _, m := range q.Members.Members() {
		v := vmStatus(m.Beat, m.Answering)
		v.VM = m.VM.ID
		v.DataCentre = m.VM.DataCentre
		v.SameWithdrawals = m.Beat.Withdrawals == self.Withdrawals
		st.VMs = append(st.VMs, v)
		st.AllAnswering = st.AllAnswering && m.Answering
		if m.Answering {
			st.AppliedByAnswering = min(st.AppliedByAnswering, m.Beat.Applied)
		}
	}
	return st, nil
}

func vmStatus(b membership.Beat, answering bool) VMStatus {
	return VMStatus{
		VM:           b.VM,
		DataCentre:   b.DataCentre,
		Answering:    answering,
		Leaving:      b.Leaving,
		LogReachable: b.LogReachable,
		CutOff:       b.CutOff,
		Applied:      b.Applied,

		SameWithdrawals: true,
	}
}

// KeyStatus is a key without its hash.
type KeyStatus struct {
	ID        fleet.KeyID  `json:"id"`
	Team      fleet.TeamID `json:"team"`
	Withdrawn bool         `json:"withdrawn"`
	// Logged tells whether the withdrawal is in the log.
	Logged   bool           `json:"logged"`
	Revision fleet.Revision `json:"revision"`
	Proposer string         `json:"proposer"`
}

func (q *Queries) keys() []KeyStatus {
	var out []KeyStatus
	for _, e := range q.State.Keys.Entries() {
		k := KeyStatus{ID: e.Value.ID, Team: e.Value.Team, Withdrawn: q.Withdrawn(e.Value.ID), Revision: e.Revision, Proposer: e.Proposer}
		_, k.Logged = q.State.Withdrawn.Get(k.ID)
		out = append(out, k)
	}
	return out
}

func (q *Queries) settings(echo.Context) (any, error) {
	return q.State.SettingEntries(), nil
}

// effective answers with every setting of a scope and its level.
func (q *Queries) effective(c echo.Context) (any, error) {
	scope := settings.Scope{
		DataCentre: fleet.DataCentre(c.QueryParam("data_centre")),
		Team:       fleet.TeamID(c.QueryParam("team")),
		Model:      fleet.ModelID(c.QueryParam("model")),
		Route:      fleet.RouteID(c.QueryParam("route")),
	}
	var out []settings.EffectiveValue
	for _, def := range settings.Registry {
		e, err := settings.Effective(q.State.Setting, scope, def.Name)
		if err != nil {
			return nil, fault.New(fault.InvalidRequest, "%w", err)
		}
		out = append(out, e)
	}
	return out, nil
}

func (q *Queries) timeline(c echo.Context) (any, error) {
	var f timeline.Filter
	if err := c.Bind(&f); err != nil {
		return nil, fault.New(fault.InvalidRequest, "cannot read the filter: %w", err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), queryTimeout)
	defer cancel()
	return slices.Clip(q.Timelines.Timeline(ctx, f)), nil
}
