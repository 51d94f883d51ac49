// Package catalogue holds the operators' configuration as the gateway works
// with it: routes, services with their models, and teams with keys and limits.
//
// A [Config] is immutable. [Holder] has the one in force and tells how fresh
// the knowledge is that no newer one exists.
package catalogue

import (
	"strings"
	"time"

	"toucanfall/fleet"
)

// Version numbers configurations. They increase in uneven steps.
type Version int64

// ServiceID names a service: a group of upstreams that are alike.
type ServiceID string

// Kind tells what may be repeated on a route.
type Kind int

// The kinds of routes.
const (
	// Unsafe requests run at most once for each attempt of a client.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream answers are series of events. A stream is unsafe unless its route
	// is resumable.
	Stream
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "stream"}[k]
}

// Route says where requests of a host and path prefix go.
type Route struct {
	Name   fleet.RouteID
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest that a client is kept waiting; 0 means no bound.
	Timeout time.Duration
	// Objective is the latency that the operators aim at: to the answer, or to
	// the first event of a stream.
	Objective time.Duration
	// Attempts bounds the upstreams to which one request is sent.
	Attempts int
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another upstream.
	Resumable bool
	Split     []Weighted
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Weighted is a service with its share of a route's requests.
type Weighted struct {
	Service ServiceID
	Weight  float64
}

// Service is a group of upstreams that are alike.
type Service struct {
	ID ServiceID
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// WeightsMB is the memory for weights and adapters.
	WeightsMB float64
	// AdapterSlots bounds the adapters of an engine.
	AdapterSlots int
	// LoadsPerSecond and LoadsAtOnce bound the loads from the weight store,
	// over all engines.
	LoadsPerSecond float64
	LoadsAtOnce    int
	Models         map[fleet.ModelID]*Model
}

// Model is a model of a service.
type Model struct {
	ID fleet.ModelID
	// WeightsMB and AdapterMB are the memory that the weights and each
	// adapter take.
	WeightsMB float64
	AdapterMB float64
	Adapters  int
	// Load, DiskLoad and WarmLoad are how long a load takes from the weight
	// store, from the engine's disk, and from its memory.
	Load     time.Duration
	DiskLoad time.Duration
	WarmLoad time.Duration
}

// Team is a tenant with its keys and its limit over all VMs.
type Team struct {
	ID   fleet.TeamID
	Keys []string
	// Rate and Burst limit the team; a Rate of 0 means no limit.
	Rate  fleet.TokensPerSecond
	Burst fleet.Tokens
	// CountsRequests is set where the limit is in requests, not in tokens.
	CountsRequests bool
	// PlainTokens is what a request without token counts is charged.
	PlainTokens fleet.Tokens
	// Priority replaces the route's where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a client may send.
type Limits struct {
	BodyBytes int64
}

// Config is one version of the configuration.
type Config struct {
	Version  Version
	Services map[ServiceID]*Service
	Teams    []*Team
	Limits   Limits
	// Document is the configuration as the operators wrote it, for other VMs.
	Document []byte
	hosts    map[string][]*Route
	keys     map[string]*Team
}

// NewConfig returns a configuration with its routes and keys indexed.
func NewConfig(v Version, routes []*Route, services []*Service, teams []*Team, limits Limits) *Config {
	c := &Config{
		Version: v, Teams: teams, Limits: limits,
		Services: make(map[ServiceID]*Service, len(services)),
		hosts:    make(map[string][]*Route),
		keys:     make(map[string]*Team),
	}
	for _, s := range services {
		c.Services[s.ID] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, t := range teams {
		for _, k := range t.Keys {
			c.keys[k] = t
		}
	}
	return c
}

// Match returns the route of a host and path: of the routes of that host the
// one with the longest prefix that begins the path.
func (c *Config) Match(host, path string) (*Route, bool) {
	var best *Route
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// TeamOf returns the team that holds a key.
func (c *Config) TeamOf(key string) (*Team, bool) {
	t, ok := c.keys[key]
	return t, ok
}

// HasTeams reports whether requests have to show a key.
func (c *Config) HasTeams() bool {
	return len(c.Teams) > 0
}
