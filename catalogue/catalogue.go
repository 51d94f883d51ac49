// Package catalogue holds the operators' configuration in the form that the gateway uses:
// routes, services with their models, and teams with keys and limits.
//
// A [Config] is immutable. [Holder] holds the active one and when the store last confirmed
// that no newer one exists.
package catalogue

import (
	"strings"
	"time"

	"toucanfall/fleet"
)

// Version is the version number of a configuration. It increases, but not by a fixed step.
type Version int64

// ServiceID identifies a service: a group of interchangeable upstreams.
type ServiceID string

// Kind says whether requests of a route may be repeated.
type Kind int

// The kinds of routes.
const (
	// Unsafe requests run at most once for each attempt of a client.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream routes answer with a series of events. Their requests are unsafe unless the route
	// is resumable.
	Stream
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "stream"}[k]
}

// Route defines how requests for a host and path prefix are handled.
type Route struct {
	Name   fleet.RouteID
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds how long a client waits for the answer; 0 means no bound.
	Timeout time.Duration
	// Objective is the operators' latency target: the time to the answer, or to the first
	// event of a stream.
	Objective time.Duration
	// MaxPause is the longest pause between two events of a stream that is on time; 0 means that
	// the operators set none.
	MaxPause time.Duration
	// Attempts is the maximum number of upstreams to which one request is sent.
	Attempts int
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// Public routes require no key.
	Public bool
	// Resumable is set if a stream may be continued by another upstream.
	Resumable bool
	// AllowedRegions lists the regions whose upstreams may get the route's requests; empty means all.
	AllowedRegions []fleet.Region
	// Split lists the services among which requests are divided by weight.
	Split []Weighted
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Weighted is a service with its weight among the services of a route.
type Weighted struct {
	Service ServiceID
	Weight  float64
}

// Service is a group of interchangeable upstreams.
type Service struct {
	ID ServiceID
	// ColdTime is how long an upstream is cold after a start. While it is cold, it takes ColdRate
	// requests per second from all VMs together. There is no such limit if either is 0.
	ColdTime time.Duration
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service. Sizes are in MB.
type Engine struct {
	// WeightsMB is the memory of an engine for weights and adapters.
	WeightsMB float64
	// AdapterSlots is the maximum number of adapters that an engine holds.
	AdapterSlots int
	// LoadsPerSecond and LoadsAtOnce bound the rate and the number of concurrent loads from
	// the weight store, for all engines together.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// Slots is how many requests an engine runs at the same time, and MemoryTokens how many tokens of
	// prompts and answers it has memory for; 0 means that the operators state none.
	Slots        int
	MemoryTokens fleet.Tokens
	Models       map[fleet.ModelID]*Model
}

// Model is a model of a service. Sizes are in MB.
type Model struct {
	ID fleet.ModelID
	// WeightsMB and AdapterMB are the memory that the weights and each adapter need.
	WeightsMB float64
	AdapterMB float64
	// Adapters is the number of adapters in the operators' document.
	Adapters int
	// Load, DiskLoad and WarmLoad are the times to load the weights from the weight store, the
	// engine's disk and its memory.
	Load     time.Duration
	DiskLoad time.Duration
	WarmLoad time.Duration
}

// Team is a tenant with its keys and its rate limit, which applies to all VMs together.
type Team struct {
	ID   fleet.TeamID
	Keys []string
	// Rate and Burst are the team's limit, in requests instead of tokens if CountsRequests is set;
	// a Rate of 0 means no limit.
	Rate  fleet.TokensPerSecond
	Burst fleet.Tokens
	// CountsRequests is set where the limit is in requests, not in tokens.
	CountsRequests bool
	// PlainTokens is the charge for a request without token counts.
	PlainTokens fleet.Tokens
	// Priority, if HasPriority is set, decides the rank of a request before the route's priority
	// does; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// AllowedRegions lists the regions whose upstreams may get the team's requests; empty means all.
	AllowedRegions []fleet.Region
}

// Limits holds bounds on clients' requests.
type Limits struct {
	// BodyBytes is the longest body of a request; 0 means the default of the gateway.
	BodyBytes int64
	// HeaderTimeout is the time in which clients must complete the head of a request; 0 means the
	// default of the gateway.
	HeaderTimeout time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  Version
	Services map[ServiceID]*Service
	Teams    []*Team
	Limits   Limits
	// Document is the configuration as the operators wrote it, to be sent to other VMs. NewConfig
	// does not set it.
	Document []byte
	hosts    map[string][]*Route
	keys     map[string]*Team
}

// NewConfig returns a configuration, with its routes indexed by host and its teams by key.
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

// Match returns the route for a host and path: of the routes of that host, the one with the
// longest prefix of the path. It reports whether there is one.
func (c *Config) Match(host, path string) (*Route, bool) {
	var best *Route
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// TeamOf returns the team that holds a key, and whether there is one.
func (c *Config) TeamOf(key string) (*Team, bool) {
	t, ok := c.keys[key]
	return t, ok
}

// HasTeams reports whether there are teams, so that requests need a key.
func (c *Config) HasTeams() bool {
	return len(c.Teams) > 0
}
