package control

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sort"
	"strings"

	"toucanfall/operator"
	"toucanfall/timeline"
)

type showTimeline struct {
	session *session
	Request string   `long:"request" description:"only events of this request"`
	Team    string   `long:"team" description:"only events of this team"`
	Model   string   `long:"model" description:"only events of this model"`
	Key     string   `long:"of-key" value-name:"KEY-ID" description:"only events of this key"`
	Name    string   `long:"name" description:"only events of this name"`
	Newest  int      `long:"newest" default:"200" description:"at most this many events"`
	Also    []string `long:"also" value-name:"URL" description:"time line of a further process, such as a stand-in; may be repeated"`
}

// Execute prints the events of all VMs and of the processes given by --also, merged in order.
func (c *showTimeline) Execute([]string) error {
	f, err := c.filter()
	if err != nil {
		return err
	}
	params := url.Values{"name": {f.Name}, "field": {f.Field}, "value": {f.Value}}
	var list []timeline.Entry
	if err := c.session.query("timeline", params, &list); err != nil {
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
		rows = append(rows, joinCells(e.At, e.Process, e.Number, e.Name, formatFields(e.Fields)))
	}
	c.warnMissingVMs()
	return c.session.printTable(merged, "AT\tPROCESS\tEVENT\tNAME\tFIELDS", rows)
}

// warnMissingVMs prints a warning for each VM that does not answer, whose events are missing.
func (c *showTimeline) warnMissingVMs() {
	var st operator.Status
	if c.session.query("status", nil, &st) != nil {
		return
	}
	for _, v := range st.VMs {
		if !v.Answering {
			_, _ = fmt.Fprintf(c.session.stderr, "events of %s are missing: it does not answer\n", v.VM)
		}
	}
}

// filter returns the filter for the options. At most one of --request, --team, --model and
// --of-key may be set.
func (c *showTimeline) filter() (timeline.Filter, error) {
	f := timeline.Filter{Name: c.Name}
	first := ""
	for _, by := range []struct{ flag, field, value string }{
		{"request", "request", c.Request}, {"team", "team", c.Team}, {"model", "model", c.Model}, {"of-key", "key", c.Key},
	} {
		if by.value == "" {
			continue
		}
		if first != "" {
			return f, usageError(fmt.Errorf("--%s and --%s exclude each other", first, by.flag))
		}
		first, f.Field, f.Value = by.flag, by.field, by.value
	}
	return f, nil
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

func formatFields(f timeline.Fields) string {
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
