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
	mu          sync.Mutex
	firstRead   fleet.Offset
	lastDropped fleet.Offset
	changes     []Change
}

// Observe takes a record that was read from the log.
func (h *History) Observe(raw ledger.Raw, r ledger.Record, v ledger.Verdict) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.firstRead == 0 {
		h.firstRead = raw.Offset
	}
	if !commandKinds[r.Kind] {
		return
	}
	path, body := pathAndBody(r)
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
		h.lastDropped = h.changes[0].Offset
		h.changes = append([]Change(nil), h.changes[1:]...)
	}
}

// Since returns the first offset from which all changes are kept.
func (h *History) Since() fleet.Offset {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.firstRead, h.lastDropped+1)
}

// Of returns the changes of a path, oldest first.
func (h *History) Of(path string) []Change {
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
func pathAndBody(r ledger.Record) (string, json.RawMessage) {
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
		return entityPath(ledger.KindKey, fields["key"]), body
	default:
		return entityPath(r.Kind, fields["id"]), body
	}
}

func entityPath(kind ledger.Kind, id json.RawMessage) string {
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
		Changes:  q.History.Of(path),
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
	revision, proposer := q.entity(ledger.Kind(kind), id)
	return revision, proposer, nil
}

func (q *Queries) entity(kind ledger.Kind, id string) (fleet.Revision, string) {
	switch kind {
	case ledger.KindTeam:
		return revisionAndProposer(q.State.Teams.Get(fleet.TeamID(id)))
	case ledger.KindKey:
		return revisionAndProposer(q.State.Keys.Get(fleet.KeyID(id)))
	case ledger.KindModel:
		return revisionAndProposer(q.State.Models.Get(fleet.ModelID(id)))
	case ledger.KindAdapter:
		return revisionAndProposer(q.State.Adapters.Get(fleet.AdapterID(id)))
	case ledger.KindRoute:
		return revisionAndProposer(q.State.Routes.Get(fleet.RouteID(id)))
	case ledger.KindOperator:
		return revisionAndProposer(q.State.Operators.Get(fleet.OperatorID(id)))
	default:
		return 0, ""
	}
}

func revisionAndProposer[V any](e ledger.Entry[V], _ bool) (fleet.Revision, string) {
	return e.Revision, e.Proposer
}
