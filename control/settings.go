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

// settingsTree holds the values that are set, by path.
type settingsTree map[settings.Path]ledger.Entry[settings.Put]

func (t settingsTree) lookup(p settings.Path) (settings.Value, bool) {
	e, ok := t[p]
	return e.Value.Value, ok
}

// Execute prints the values that are set, the effective values of a scope, or the value of one
// setting at each level of the scope.
func (c *showSettings) Execute([]string) error {
	var all []ledger.Entry[settings.Put]
	if err := c.session.query("settings", nil, &all); err != nil {
		return err
	}
	set := make(settingsTree)
	for _, e := range all {
		set[e.Value.Path] = e
	}
	switch {
	case c.Explain != "":
		return c.printLevels(set)
	case c.Effective:
		return c.printEffective(set)
	default:
		return c.printSet(all)
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

func (c *showSettings) printSet(all []ledger.Entry[settings.Put]) error {
	var rows []string
	for _, e := range all {
		rows = append(rows, joinCells(e.Value.Path, string(e.Value.Value.RawMessage), e.Revision, e.Proposer))
	}
	return c.session.printTable(all, "PATH\tVALUE\tREVISION\tBY", rows)
}

func (c *showSettings) printEffective(set settingsTree) error {
	var out []settings.EffectiveValue
	var rows []string
	for _, def := range settings.Registry {
		e, err := settings.Effective(set.lookup, c.scope(), def.Name)
		if err != nil {
			return usageError(err)
		}
		out = append(out, e)
		rows = append(rows, joinCells(e.Name, string(e.Value.RawMessage), e.Level))
	}
	return c.session.printTable(out, "SETTING\tVALUE\tFROM", rows)
}

// levelSetting is the value of a setting at one level of a scope.
type levelSetting struct {
	Level    settings.Level `json:"level"`
	Value    settings.Value `json:"value"`
	InEffect bool           `json:"in_effect"`
	Revision fleet.Revision `json:"revision,omitempty"`
	Proposer string         `json:"proposer,omitempty"`
}

// printLevels prints the default of the setting and its value at each level of the scope that
// sets one, the most general first. The last value is effective.
func (c *showSettings) printLevels(set settingsTree) error {
	def, ok := settings.Find(settings.Name(c.Explain))
	if !ok {
		return usageError(fmt.Errorf("unknown setting %q; the settings are %s", c.Explain, settingNames()))
	}
	values := []levelSetting{{Level: settings.LevelDefault, Value: def.Default}}
	for _, level := range c.scope().Levels() {
		if e, ok := set[settings.Path{Level: level, Name: def.Name}]; ok {
			values = append(values, levelSetting{Level: level, Value: e.Value.Value, Revision: e.Revision, Proposer: e.Proposer})
		}
	}
	values[len(values)-1].InEffect = true
	var rows []string
	for _, v := range values {
		rows = append(rows, joinCells(v.Level, string(v.Value.RawMessage), v.InEffect, v.Revision, v.Proposer))
	}
	return c.session.printTable(values, "LEVEL\tVALUE\tIN EFFECT\tREVISION\tBY", rows)
}

func settingNames() string {
	var names []string
	for _, def := range settings.Registry {
		names = append(names, string(def.Name))
	}
	return strings.Join(names, ", ")
}
