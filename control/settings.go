package control

import (
	"fmt"
	"strings"

	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/settings"
)

type showSettings struct {
	session    *session
	Effective  bool   `long:"effective" description:"show the effective value of every setting for a scope"`
	Explain    string `long:"explain" value-name:"NAME" description:"show what each level of the scope says about this setting"`
	DataCentre string `long:"data-centre" description:"scope: data centre"`
	Team       string `long:"team" description:"scope: team"`
	Model      string `long:"model" description:"scope: model"`
	Route      string `long:"route" description:"scope: route"`
}

// tree is the settings tree as the VM holds it.
type tree map[settings.Path]ledger.Entry[settings.Put]

func (t tree) lookup(p settings.Path) (settings.Value, bool) {
	e, ok := t[p]
	return e.Value.Value, ok
}

// Execute shows what is set, or what is in effect and why.
func (c *showSettings) Execute([]string) error {
	var all []ledger.Entry[settings.Put]
	if err := c.session.ask("settings", nil, &all); err != nil {
		return err
	}
	set := make(tree)
	for _, e := range all {
		set[e.Value.Path] = e
	}
	switch {
	case c.Explain != "":
		return c.explain(set)
	case c.Effective:
		return c.effective(set)
	default:
		return c.raw(all)
	}
}

func (c *showSettings) scope() settings.Scope {
	return settings.Scope{
		DataCentre: fleet.DataCentre(c.DataCentre),
		Team:       fleet.TeamID(c.Team),
		Model:      fleet.ModelID(c.Model),
		Route:      fleet.RouteID(c.Route),
	}
}

func (c *showSettings) raw(all []ledger.Entry[settings.Put]) error {
	var rows []string
	for _, e := range all {
		rows = append(rows, row(e.Value.Path, string(e.Value.Value.RawMessage), e.Revision, e.Proposer))
	}
	return c.session.table(all, "PATH\tVALUE\tREVISION\tBY", rows)
}

func (c *showSettings) effective(set tree) error {
	var out []settings.EffectiveValue
	var rows []string
	for _, def := range settings.Registry {
		e, err := settings.Effective(set.lookup, c.scope(), def.Name)
		if err != nil {
			return usage(err)
		}
		out = append(out, e)
		rows = append(rows, row(e.Name, string(e.Value.RawMessage), e.Level))
	}
	return c.session.table(out, "SETTING\tVALUE\tFROM", rows)
}

// levelValue is what one level of a scope says about a setting.
type levelValue struct {
	Level    settings.Level `json:"level"`
	Value    settings.Value `json:"value"`
	InEffect bool           `json:"in_effect"`
	Revision fleet.Revision `json:"revision,omitempty"`
	Proposer string         `json:"proposer,omitempty"`
}

// explain shows the value of each level that sets one. The last overrides the
// others.
func (c *showSettings) explain(set tree) error {
	def, ok := settings.Find(settings.Name(c.Explain))
	if !ok {
		return usage(fmt.Errorf("unknown setting %q; the settings are %s", c.Explain, settingNames()))
	}
	values := []levelValue{{Level: settings.LevelDefault, Value: def.Default}}
	for _, level := range c.scope().Levels() {
		if e, ok := set[settings.Path{Level: level, Name: def.Name}]; ok {
			values = append(values, levelValue{Level: level, Value: e.Value.Value, Revision: e.Revision, Proposer: e.Proposer})
		}
	}
	values[len(values)-1].InEffect = true
	var rows []string
	for _, v := range values {
		rows = append(rows, row(v.Level, string(v.Value.RawMessage), v.InEffect, v.Revision, v.Proposer))
	}
	return c.session.table(values, "LEVEL\tVALUE\tIN EFFECT\tREVISION\tBY", rows)
}

func settingNames() string {
	var names []string
	for _, def := range settings.Registry {
		names = append(names, string(def.Name))
	}
	return strings.Join(names, ", ")
}
