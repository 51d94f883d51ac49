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

// Check returns an error if the level is not well formed.
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

// Scope identifies the request or object for which a value is looked up. Empty
// fields select no level.
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

// Path identifies a value in the tree by its level and the name of the setting.
type Path struct {
	Level Level `json:"level"`
	Name  Name  `json:"name"`
}

// String returns the path as operators write it, such as
// "team/quotes:rate_tokens_per_second".
func (p Path) String() string {
	return string(p.Level) + ":" + string(p.Name)
}

// ParsePath parses and checks a path such as "team/quotes:rate_tokens_per_second".
func ParsePath(s string) (Path, error) {
	level, name, ok := strings.Cut(s, ":")
	if !ok {
		return Path{}, fmt.Errorf("path %q must be LEVEL:NAME, for example team/quotes:rate_tokens_per_second", s)
	}
	p := Path{Level: Level(level), Name: Name(name)}
	return p, p.Check()
}

// Check returns an error unless the setting exists and may be set at the level.
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

// Value is a value in the tree, as JSON text.
type Value struct {
	json.RawMessage
}

// Put sets one value in the tree.
type Put struct {
	Path  Path  `json:"path"`
	Value Value `json:"value"`
}

// UnmarshalJSON decodes and checks a Put.
func (p *Put) UnmarshalJSON(b []byte) error {
	type plain Put
	return fleet.DecodeChecked(b, (*plain)(p), p.Check)
}

// Check returns an error unless the path and the value are valid.
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

// Lookup returns the value that is set at a path of the tree, and false if none is.
type Lookup func(Path) (Value, bool)

// EffectiveValue is the effective value of a setting and the level that sets it, or
// LevelDefault if no level does.
type EffectiveValue struct {
	Name  Name  `json:"name"`
	Value Value `json:"value"`
	Level Level `json:"level"`
}

// LevelDefault stands for the default value of a setting, which no level sets.
const LevelDefault Level = "default"

// Effective returns the effective value of a setting for a scope: the one of the
// most specific level that sets it, otherwise the default. It fails if the setting
// does not exist.
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

// Number returns the effective value of a TypeNumber setting. It panics for a
// setting of another type.
func Number(lookup Lookup, scope Scope, name Name) float64 {
	var n float64
	mustDecode(lookup, scope, name, &n)
	return n
}

// Duration returns the effective value of a TypeDuration setting. It panics for a
// setting of another type.
func Duration(lookup Lookup, scope Scope, name Name) time.Duration {
	var s string
	mustDecode(lookup, scope, name, &s)
	d, err := time.ParseDuration(s)
	if err != nil {
		panic(fmt.Sprintf("setting %q has the value %q, which Validate should have rejected", name, s))
	}
	return d
}

// Text returns the effective value of a TypeWord setting. It panics for a number.
func Text(lookup Lookup, scope Scope, name Name) string {
	var s string
	mustDecode(lookup, scope, name, &s)
	return s
}

// mustDecode decodes the effective value of a setting. It panics on an unknown
// setting or a value of the wrong type: values are checked before they enter the
// tree, so either is a bug in the program.
func mustDecode(lookup Lookup, scope Scope, name Name, into any) {
	e, err := Effective(lookup, scope, name)
	if err == nil {
		err = json.Unmarshal(e.Value.RawMessage, into)
	}
	if err != nil {
		panic(fmt.Sprintf("setting %q: %v", name, err))
	}
}
