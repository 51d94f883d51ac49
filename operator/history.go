package operator

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"

	"github.com/labstack/echo/v4"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/settings"
	"toucanfall/timeline"
)

// historySize is the number of operators' changes that a VM keeps: nearly three
// days of 1,500 changes a day.
const historySize = 4096

// Change is one record that an operator proposed.
type Change struct {
	Offset   fleet.Offset   `json:"offset"`
	At       timeline.Stamp `json:"at"`
	Proposer string         `json:"proposer"`
	Kind     ledger.Kind    `json:"kind"`
	Path     string         `json:"path"`
	// Body is the proposed value without hashes of secrets.
	Body json.RawMessage `json:"body,omitempty"`
	// Fault is the kind of the rejection, "" if the change was accepted.
	Fault fault.Kind `json:"fault,omitempty"`
}

// History keeps the newest changes that this VM read from the log.
type History struct {
	mu      sync.Mutex
	first   fleet.Offset
	dropped fleet.Offset
	changes []Change
}

// Observe takes a record that was read from the log.
func (h *History) Observe(raw ledger.Raw, r ledger.Record, v ledger.Verdict) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.first == 0 {
		h.first = raw.Offset
	}
	if !operatorKinds[r.Kind] {
		return
	}
	path, body := describe(r)
	h.changes = append(h.changes, Change{
		Offset:   raw.Offset,
		At:       r.At,
		Proposer: r.Proposer,
		Kind:     r.Kind,
		Path:     path,
		Body:     body,
		Fault:    v.Fault,
	})
	if len(h.changes) > historySize {
		h.dropped = h.changes[0].Offset
		h.changes = append([]Change(nil), h.changes[1:]...)
	}
}

// Since returns the first offset from which all changes are kept.
func (h *History) Since() fleet.Offset {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.first, h.dropped+1)
}

// Of returns the changes of a path, oldest first.
func (h *History) ForPath(path string) []Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Change
	for _, c := range h.changes {
		if c.Path == path {
			out = append(out, c)
		}
	}
	return out
}

// describe returns the path of the thing that a record changes and the record's
// body without hashes.
func describe(r ledger.Record) (string, json.RawMessage) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(r.Body, &fields) != nil {
		return "", nil
	}
	delete(fields, "hash")
	// A map of JSON texts can be encoded again.
	body, _ := json.Marshal(fields)
	switch r.Kind {
	case ledger.KindSetting:
		var p settings.Path
		_ = json.Unmarshal(fields["path"], &p)
		return p.String(), fields["value"]
	case ledger.KindWithdraw:
		return thingPath(ledger.KindKey, fields["key"]), body
	default:
		return thingPath(r.Kind, fields["id"]), body
	}
}

func thingPath(kind ledger.Kind, id json.RawMessage) string {
	var text string
	_ = json.Unmarshal(id, &text)
	return fmt.Sprintf("%s/%s", kind, text)
}

// PathHistory is what a VM knows of the changes of one path.
type PathHistory struct {
	Path string `json:"path"`
	// Since is the first offset from which all changes are kept.
	Since   fleet.Offset `json:"since"`
	Changes []Change     `json:"changes"`
	// Revision and Proposer are those of the thing as it stands, which may be
	// older than Since. A Revision of 0 means that there is none.
	Revision fleet.Revision `json:"revision"`
	Proposer string         `json:"proposer,omitempty"`
}

// history answers who changed a path.
func (q *Queries) history(c echo.Context) (any, error) {
	path := c.QueryParam("path")
	revision, proposer, err := q.current(path)
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "%w", err)
	}
	return PathHistory{
		Path:     path,
		Since:    q.History.Since(),
		Changes:  q.History.ForPath(path),
		Revision: revision,
		Proposer: proposer,
	}, nil
}

// current returns the revision and proposer of the thing at a path.
func (q *Queries) current(path string) (fleet.Revision, string, error) {
	if strings.Contains(path, ":") {
		p, err := settings.ParsePath(path)
		if err != nil {
			return 0, "", err
		}
		e, _ := q.State.SettingEntry(p)
		return e.Revision, e.Proposer, nil
	}
	kind, id, ok := strings.Cut(path, "/")
	if !ok || id == "" {
		return 0, "", fmt.Errorf("path %q must be LEVEL:NAME of a setting, or KIND/ID with a kind out of team, key, model, adapter, route and operator", path)
	}
	revision, proposer := q.thing(ledger.Kind(kind), id)
	return revision, proposer, nil
}

func (q *Queries) thing(kind ledger.Kind, id string) (fleet.Revision, string) {
	switch kind {
	case ledger.KindTeam:
		return standing(q.State.Teams.Get(fleet.TeamID(id)))
	case ledger.KindKey:
		return standing(q.State.Keys.Get(fleet.KeyID(id)))
	case ledger.KindModel:
		return standing(q.State.Models.Get(fleet.ModelID(id)))
	case ledger.KindAdapter:
		return standing(q.State.Adapters.Get(fleet.AdapterID(id)))
	case ledger.KindRoute:
		return standing(q.State.Routes.Get(fleet.RouteID(id)))
	case ledger.KindOperator:
		return standing(q.State.Operators.Get(fleet.OperatorID(id)))
	default:
		return 0, ""
	}
}

func standing[V any](e ledger.Entry[V], _ bool) (fleet.Revision, string) {
	return e.Revision, e.Proposer
}
