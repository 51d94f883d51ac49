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

// historySize is the number of operators' changes that a VM keeps, enough for nearly three days
// at 1,500 changes a day.
const historySize = 4096

// Change is a record that an operator proposed.
type Change struct {
	Offset   fleet.Offset   `json:"offset"`
	At       timeline.Stamp `json:"at"`
	Proposer string         `json:"proposer"`
	Kind     ledger.Kind    `json:"kind"`
	Path     string         `json:"path"`
	// Body is the proposed value, without hashes of secrets.
	Body json.RawMessage `json:"body,omitempty"`
	// Fault is the kind of the rejection, "" if the change was accepted.
	Fault fault.Kind `json:"fault,omitempty"`
}

// History keeps the newest operators' changes that this VM has read from the log. It is safe
// for concurrent use.
type History struct {
	// mu guards the fields below.
	mu          sync.Mutex
	firstRead   fleet.Offset
	lastDropped fleet.Offset
	changes     []Change
}

// Observe must be called for every record that is read from the log, in order. It keeps those
// that operators proposed.
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

// Since returns the offset from which on all changes are kept.
func (h *History) Since() fleet.Offset {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.firstRead, h.lastDropped+1)
}

// ForPath returns the changes of a path, oldest first.
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

// pathAndBody returns the path of the entity that a record changes, and the body of the record
// without hashes.
func pathAndBody(r ledger.Record) (string, json.RawMessage) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(r.Body, &fields) != nil {
		return "", nil
	}
	delete(fields, "hash")
	// Encoding a map of valid JSON values cannot fail.
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

// PathHistory is the answer to a history query: the changes of one path that the VM keeps.
type PathHistory struct {
	Path string `json:"path"`
	// Since is the offset from which on all changes are kept.
	Since   fleet.Offset `json:"since"`
	Changes []Change     `json:"changes"`
	// Revision and Proposer are those of the current value, which may be older than
	// Since. Revision is 0 if there is no value.
	Revision fleet.Revision `json:"revision"`
	Proposer string         `json:"proposer,omitempty"`
}

// history returns the changes of the path in the query parameter.
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

// current returns the revision and proposer of the current value of a path. The revision is 0
// if there is none. It fails if the path is malformed.
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
