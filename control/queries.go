package control

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sort"
	"strings"

	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/operator"
	"toucanfall/settings"
	"toucanfall/timeline"
	"toucanfall/upstream"
)

// queries lists the commands that only read.
func queries(s *session) []entry {
	return []entry{
		{"status", "show the applied offset of every VM", &status{session: s}},
		{"keys", "list keys", &keys{session: s}},
		{"routes", "list routes", &routes{session: s}},
		{"upstreams", "list upstreams with load and resident models", &upstreams{session: s}},
		{"settings", "show the settings tree, or the effective values of a scope", &showSettings{session: s}},
		{"timeline", "show events of all processes in order", &showTimeline{session: s}},
	}
}

// ask queries the VM.
func (s *session) ask(name string, params url.Values, out any) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	return c.Query(background(), name, params, out)
}

type status struct{ session *session }

// Execute shows the state of all VMs.
func (c *status) Execute([]string) error {
	var st operator.Status
	if err := c.session.ask("status", nil, &st); err != nil {
		return err
	}
	var rows []string
	for _, v := range st.VMs {
		rows = append(rows, row(v.VM, v.DataCentre, v.Answering, v.Leaving, v.LogReachable, v.Applied))
	}
	rows = append(rows, row("in force on every answering VM", "", "", "", "", st.InForce))
	return c.session.table(st, "VM\tDATA CENTRE\tANSWERING\tLEAVING\tLOG\tAPPLIED", rows)
}

type keys struct{ session *session }

// Execute lists keys.
func (c *keys) Execute([]string) error {
	var list []operator.KeyStatus
	if err := c.session.ask("keys", nil, &list); err != nil {
		return err
	}
	var rows []string
	for _, k := range list {
		rows = append(rows, row(k.ID, k.Team, k.Withdrawn, k.Revision))
	}
	return c.session.table(list, "KEY\tTEAM\tWITHDRAWN\tREVISION", rows)
}

type routes struct{ session *session }

// Execute lists routes.
func (c *routes) Execute([]string) error {
	var list []ledger.Entry[fleet.Route]
	if err := c.session.ask("routes", nil, &list); err != nil {
		return err
	}
	var rows []string
	for _, e := range list {
		r := e.Value
		rows = append(rows, row(r.ID, r.Kind, r.Teams, r.Open, r.Model, r.Adapter, r.Service, r.Priority, e.Revision))
	}
	return c.session.table(list, "ROUTE\tKIND\tTEAMS\tOPEN\tMODEL\tADAPTER\tSERVICE\tPRIORITY\tREVISION", rows)
}

type upstreams struct{ session *session }

// Execute lists upstreams.
func (c *upstreams) Execute([]string) error {
	var list []upstream.Upstream
	if err := c.session.ask("upstreams", nil, &list); err != nil {
		return err
	}
	var rows []string
	for _, u := range list {
		var models []string
		for _, m := range u.Report.Resident {
			models = append(models, string(m.Model))
		}
		rows = append(rows, row(u.VM.ID, u.VM.Role, u.VM.DataCentre, u.VM.State, u.InFlight, u.Report.Running, strings.Join(models, ",")))
	}
	return c.session.table(list, "UPSTREAM\tROLE\tDATA CENTRE\tSTATE\tOWN IN FLIGHT\tRUNNING\tMODELS", rows)
}

type showSettings struct {
	session    *session
	Effective  bool   `long:"effective" description:"show the effective value of every setting for a scope"`
	Explain    string `long:"explain" value-name:"NAME" description:"show only this setting, with the level it comes from"`
	DataCentre string `long:"data-centre" description:"scope: data centre"`
	Team       string `long:"team" description:"scope: team"`
	Model      string `long:"model" description:"scope: model"`
	Route      string `long:"route" description:"scope: route"`
}

// Execute shows what is set, or what is in effect and why.
func (c *showSettings) Execute([]string) error {
	if c.Effective || c.Explain != "" {
		return c.showEffective()
	}
	var list []ledger.Entry[settings.Put]
	if err := c.session.ask("settings", nil, &list); err != nil {
		return err
	}
	var rows []string
	for _, e := range list {
		rows = append(rows, row(e.Value.Path, string(e.Value.Value.RawMessage), e.Revision, e.Proposer))
	}
	return c.session.table(list, "PATH\tVALUE\tREVISION\tBY", rows)
}

func (c *showSettings) showEffective() error {
	params := url.Values{"data_centre": {c.DataCentre}, "team": {c.Team}, "model": {c.Model}, "route": {c.Route}}
	var all, list []settings.Explained
	if err := c.session.ask("effective", params, &all); err != nil {
		return err
	}
	var rows []string
	for _, e := range all {
		if c.Explain != "" && string(e.Name) != c.Explain {
			continue
		}
		list = append(list, e)
		rows = append(rows, row(e.Name, string(e.Value.RawMessage), e.Level))
	}
	if len(list) == 0 {
		return fmt.Errorf("unknown setting %q", c.Explain)
	}
	return c.session.table(list, "SETTING\tVALUE\tFROM", rows)
}

type showTimeline struct {
	session *session
	Request string   `long:"request" description:"only events of this request"`
	Team    string   `long:"team" description:"only events of this team"`
	Name    string   `long:"name" description:"only events of this name"`
	Newest  int      `long:"newest" default:"200" description:"at most this many events"`
	Also    []string `long:"also" value-name:"URL" description:"time line of a further process, such as a stand-in; may be repeated"`
}

// Execute shows the merged time line.
func (c *showTimeline) Execute([]string) error {
	f := c.filter()
	params := url.Values{"name": {f.Name}, "field": {f.Field}, "value": {f.Value}}
	var list []timeline.Entry
	if err := c.session.ask("timeline", params, &list); err != nil {
		return err
	}
	lists := [][]timeline.Entry{list}
	for _, also := range c.Also {
		more, err := fetchTimeline(also, params)
		if err != nil {
			return fmt.Errorf("time line of %s: %w", also, err)
		}
		lists = append(lists, more)
	}
	f.Newest = c.Newest
	merged := timeline.Merge(f, lists...)
	var rows []string
	for _, e := range merged {
		rows = append(rows, row(e.At, e.Process, e.Number, e.Name, fieldText(e.Fields)))
	}
	return c.session.table(merged, "AT\tPROCESS\tEVENT\tNAME\tFIELDS", rows)
}

func (c *showTimeline) filter() timeline.Filter {
	f := timeline.Filter{Name: c.Name}
	switch {
	case c.Request != "":
		f.Field, f.Value = "request", c.Request
	case c.Team != "":
		f.Field, f.Value = "team", c.Team
	}
	return f
}

func fetchTimeline(base string, params url.Values) ([]timeline.Entry, error) {
	hc := &http.Client{Timeout: clientTimeout}
	resp, err := hc.Get(strings.TrimSuffix(base, "/") + "/timeline?" + params.Encode())
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var list []timeline.Entry
	err = json.NewDecoder(resp.Body).Decode(&list)
	return list, err
}

func fieldText(f timeline.Fields) string {
	names := make([]string, 0, len(f))
	for name := range f {
		names = append(names, name)
	}
	sort.Strings(names)
	for i, name := range names {
		names[i] = name + "=" + f[name]
	}
	return strings.Join(names, " ")
}
