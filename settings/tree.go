package settings

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"toucanfall/fleet"
)

// Level is a level of the tree: "fleet", or a kind and an id such as
// "data_centre/at-1", "team/quotes", "model/m7" or "route/textdesk".
type Level string

// LevelFleet is the root of the tree.
const LevelFleet Level = "fleet"

// LevelKind is the kind of a level.
type LevelKind string

// The kinds of levels, in the order of inheritance: a later one overrides an
// earlier one.
const (
	KindFleet      LevelKind = "fleet"
	KindDataCentre LevelKind = "data_centre"
	KindTeam       LevelKind = "team"
	KindModel      LevelKind = "model"
	KindRoute      LevelKind = "route"
)

// Split returns the kind and the id of the level.
func (l Level) Split() (LevelKind, string) {
	kind, id, _ := strings.Cut(string(l), "/")
	return LevelKind(kind), id
}

// Check reports whether the level is well formed.
func (l Level) Check() error {
	kind, id := l.Split()
	switch kind {
	case KindFleet:
		if l != LevelFleet {
			return fmt.Errorf("level %q: the fleet level has no id", l)
		}
		return nil
	case KindDataCentre, KindTeam, KindModel, KindRoute:
		return fleet.CheckID(string(kind), id)
	default:
		return fmt.Errorf("level %q: unknown kind %q", l, kind)
	}
}

// Scope names the things that a value is asked for. Empty fields are left out.
type Scope struct {
	DataCentre fleet.DataCentre
	Team       fleet.TeamID
	Model      fleet.ModelID
	Route      fleet.RouteID
}

// Levels returns the levels of the scope, the most general first.
func (s Scope) Levels() []Level {
	levels := []Level{LevelFleet}
	add := func(kind LevelKind, id string) {
		if id != "" {
			levels = append(levels, Level(string(kind)+"/"+id))
		}
	}
	add(KindDataCentre, string(s.DataCentre))
	add(KindTeam, string(s.Team))
	add(KindModel, string(s.Model))
	add(KindRoute, string(s.Route))
	return levels
}

// Path names one value of the tree: a level and the name of a setting.
type Path struct {
	Level Level `json:"level"`
	Name  Name  `json:"name"`
}

// String returns the path as operators write it, such as "team/quotes:rate".
func (p Path) String() string {
	return string(p.Level) + ":" + string(p.Name)
}

// ParsePath reads a path such as "team/quotes:rate".
func ParsePath(s string) (Path, error) {
	level, name, ok := strings.Cut(s, ":")
	if !ok {
		return Path{}, fmt.Errorf("path %q must be LEVEL:NAME, for example team/quotes:rate_tokens_per_second", s)
	}
	p := Path{Level: Level(level), Name: Name(name)}
	return p, p.Check()
}

// Check reports whether the path names a setting that the level may carry.
func (p Path) Check() error {
	if err := p.Level.Check(); err != nil {
		return fmt.Errorf("path %q: %w", p, err)
	}
	def, ok := Find(p.Name)
	if !ok {
		return fmt.Errorf("path %q: unknown setting %q", p, p.Name)
	}
	kind, _ := p.Level.Split()
	if !slices.Contains(def.Levels, kind) {
		return fmt.Errorf("path %q: setting %q cannot be set at level %q", p, p.Name, kind)
	}
	return nil
}

// Value is a value of the tree as its JSON text.
type Value struct {
	json.RawMessage
}

// Put is a change of one value.
type Put struct {
	Path  Path  `json:"path"`
	Value Value `json:"value"`
}

// UnmarshalJSON decodes and checks a change.
func (p *Put) UnmarshalJSON(b []byte) error {
	type plain Put
	return fleet.DecodeChecked(b, (*plain)(p), p.Check)
}

// Check reports whether the path exists and the value fits its setting.
func (p *Put) Check() error {
	if err := p.Path.Check(); err != nil {
		return err
	}
	def, _ := Find(p.Path.Name)
	if err := def.Validate(p.Value); err != nil {
		return fmt.Errorf("path %q: %w", p.Path, err)
	}
	return nil
}

// Lookup returns the value that stands at a path of the tree.
type Lookup func(Path) (Value, bool)

// Explained is an effective value and the level that it came from. Level is
// "default" if no level sets it.
type EffectiveValue struct {
	Name  Name  `json:"name"`
	Value Value `json:"value"`
	Level Level `json:"level"`
}

// LevelDefault marks values that no level sets.
const LevelDefault Level = "default"

// Explain returns the effective value of a setting for a scope.
func Effective(lookup Lookup, scope Scope, name Name) (EffectiveValue, error) {
	def, ok := Find(name)
	if !ok {
		return EffectiveValue{}, fmt.Errorf("unknown setting %q", name)
	}
	levels := scope.Levels()
	for _, level := range slices.Backward(levels) {
		if v, ok := lookup(Path{Level: level, Name: name}); ok {
			return EffectiveValue{Name: name, Value: v, Level: level}, nil
		}
	}
	return EffectiveValue{Name: name, Value: def.Default, Level: LevelDefault}, nil
}

// Number returns the effective value of a numeric setting.
func Number(lookup Lookup, scope Scope, name Name) float64 {
	var n float64
	mustDecode(lookup, scope, name, &n)
	return n
}

// Duration returns the effective value of a duration.
func Duration(lookup Lookup, scope Scope, name Name) time.Duration {
	var s string
	mustDecode(lookup, scope, name, &s)
	d, err := time.ParseDuration(s)
	if err != nil {
		panic(fmt.Sprintf("setting %q holds %q, which Accept should have refused", name, s))
	}
	return d
}

// Text returns the effective value of a setting that is one of a list of words.
func Text(lookup Lookup, scope Scope, name Name) string {
	var s string
	mustDecode(lookup, scope, name, &s)
	return s
}

// mustDecode panics on a value of the wrong type: values are checked before
// they enter the tree, so that would be a fault of the program.
func mustDecode(lookup Lookup, scope Scope, name Name, into any) {
	e, err := Effective(lookup, scope, name)
	if err == nil {
		err = json.Unmarshal(e.Value.RawMessage, into)
	}
	if err != nil {
		panic(fmt.Sprintf("setting %q: %v", name, err))
	}
}
