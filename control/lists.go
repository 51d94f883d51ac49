package control

import (
	"net/url"
	"strings"

	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/operator"
	"toucanfall/upstream"
)

// query sends a query to the VM.
func (s *session) query(name string, params url.Values, out any) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	return c.Query(background(), name, params, out)
}

// printList queries a list and prints a row for each element.
func printList[E any](s *session, name, header string, cells func(E) string) error {
	var elements []E
	if err := s.query(name, nil, &elements); err != nil {
		return err
	}
	rows := make([]string, len(elements))
	for i, e := range elements {
		rows[i] = cells(e)
	}
	return s.printTable(elements, header, rows)
}

type listTeams struct{ session *session }

// Execute lists teams.
func (c *listTeams) Execute([]string) error {
	return printList(c.session, "teams", "TEAM\tNAME\tREVISION\tBY", func(e ledger.Entry[fleet.Team]) string {
		return joinCells(e.Value.ID, e.Value.Name, e.Revision, e.Proposer)
	})
}

type listKeys struct{ session *session }

// Execute lists keys.
func (c *listKeys) Execute([]string) error {
	return printList(c.session, "keys", "KEY\tTEAM\tWITHDRAWN\tWITHDRAWAL IN THE LOG\tREVISION\tBY", func(k operator.KeyStatus) string {
		return joinCells(k.ID, k.Team, k.Withdrawn, k.Logged, k.Revision, k.Proposer)
	})
}

type listModels struct{ session *session }

// Execute lists models.
func (c *listModels) Execute([]string) error {
	return printList(c.session, "models", "MODEL\tVERSION\tBYTES\tREVISION\tBY", func(e ledger.Entry[fleet.Model]) string {
		return joinCells(e.Value.ID, e.Value.Version, e.Value.Size, e.Revision, e.Proposer)
	})
}

type listAdapters struct{ session *session }

// Execute lists adapters.
func (c *listAdapters) Execute([]string) error {
	return printList(c.session, "adapters", "ADAPTER\tMODEL\tBYTES\tREVISION\tBY", func(e ledger.Entry[fleet.Adapter]) string {
		return joinCells(e.Value.ID, e.Value.Model, e.Value.Size, e.Revision, e.Proposer)
	})
}

type listRoutes struct{ session *session }

// Execute lists routes.
func (c *listRoutes) Execute([]string) error {
	header := "ROUTE\tKIND\tTEAMS\tOPEN\tMODEL\tADAPTER\tSERVICE\tPRIORITY\tREVISION\tBY"
	return printList(c.session, "routes", header, func(e ledger.Entry[fleet.Route]) string {
		r := e.Value
		return joinCells(r.ID, r.Kind, r.Teams, r.Open, r.Model, r.Adapter, r.Service, r.Priority, e.Revision, e.Proposer)
	})
}

type listOperators struct{ session *session }

// Execute lists operators.
func (c *listOperators) Execute([]string) error {
	return printList(c.session, "operators", "OPERATOR\tACCESS\tDISABLED\tREVISION\tBY", func(e ledger.Entry[ledger.Operator]) string {
		return joinCells(e.Value.ID, e.Value.Access, e.Value.Disabled, e.Revision, e.Proposer)
	})
}

type listUpstreams struct{ session *session }

// Execute lists upstreams.
func (c *listUpstreams) Execute([]string) error {
	header := "UPSTREAM\tROLE\tDATA CENTRE\tSTATE\tOWN IN FLIGHT\tRUNNING\tMODELS"
	return printList(c.session, "upstreams", header, func(u upstream.Upstream) string {
		var models []string
		for _, m := range u.Report.Resident {
			models = append(models, string(m.Model))
		}
		return joinCells(u.VM.ID, u.VM.Role, u.VM.DataCentre, u.VM.State, u.InFlight, u.Report.Running, strings.Join(models, ","))
	})
}
